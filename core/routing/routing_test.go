package routing

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"tarragonhollow.example/tarragonhollow/core/splitmix"
)

func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "7")
	os.Exit(m.Run())
}

var epoch = time.Unix(1_000_000, 0)

func address(i int) string { return fmt.Sprintf("10.0.0.%d:80", i) }

func tableOf(n int) *Table {
	zones := []string{"hai-chau", "son-tra", "ngu-hanh"}
	targets := make([]Target, n)
	for i := range targets {
		targets[i] = Target{Address: address(i), Zone: zones[i%len(zones)]}
	}
	return NewTable("g", targets, 8)
}

// A caller must never be sent to a target that is leaving. It must not be sent to one
// that was tried already or is ejected while a better one is left. The reference model
// tracks each target's state independently.
func TestPickAvoidsUnusableTargets(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 8).Draw(t, "targets")
		table := tableOf(n)
		now := epoch
		leaving, until := map[string]bool{}, map[string]time.Time{}
		returning := map[string]bool{}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
			a := address(rapid.IntRange(0, n-1).Draw(t, "target"))
			switch rapid.SampledFrom([]string{"leave", "stay", "fail", "succeed", "pick", "pick"}).Draw(t, "op") {
			case "leave":
				table.SetLeaving(a, true)
				leaving[a] = true
			case "stay":
				table.SetLeaving(a, false)
				leaving[a] = false
			case "fail":
				table.Start(now, a, false)
				table.End(now, a, false, HardFailed)
				until[a], returning[a] = table.EjectedUntil(a), true
			case "succeed":
				table.Start(now, a, false)
				table.End(now, a, false, Succeeded)
			case "pick":
				exclude := map[string]bool{address(rapid.IntRange(0, n-1).Draw(t, "tried")): true}
				checkPick(t, table, now, exclude, leaving, until, returning)
			}
		}
	})
}

func checkPick(t *rapid.T, table *Table, now time.Time, exclude, leaving map[string]bool, until map[string]time.Time, returning map[string]bool) {
	staying, good := 0, 0
	for i := range table.Len() {
		a := address(i)
		if leaving[a] {
			continue
		}
		staying++
		if !exclude[a] && !now.Before(until[a]) {
			good++
		}
	}
	affinity := rapid.SampledFrom([]string{"", "opening"}).Draw(t, "affinity")
	choice, ok := table.Pick(now, Request{Zone: "son-tra", Exclude: exclude, Affinity: affinity, SeedValue: rapid.Uint64().Draw(t, "seed")})
	if ok != (staying > 0) {
		t.Fatalf("%d targets stay, picked: %v", staying, ok)
	}
	if leaving[choice.Address] {
		t.Fatalf("picked leaving %s", choice.Address)
	}
	if good > 0 && (exclude[choice.Address] || now.Before(until[choice.Address])) {
		t.Fatalf("picked %s though %d better targets were left", choice.Address, good)
	}
	if good > 0 && choice.Reason == ByLastResort {
		t.Fatalf("last resort with %d good targets", good)
	}
}

// Whatever prompts arrive, affinity must not build a queue at one target. The reference
// model is the true load of a fleet in which this daemon starts all requests.
func TestAffinityKeepsToTheLoadBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 10).Draw(t, "targets")
		table := tableOf(n)
		truth := map[string]int{}
		total := 0
		for range rapid.IntRange(1, 200).Draw(t, "requests") {
			r := Request{
				Affinity:  rapid.SampledFrom([]string{"a", "a", "a", "b"}).Draw(t, "prompt"),
				SeedValue: rapid.Uint64().Draw(t, "seed"),
			}
			choice, _ := table.Pick(epoch, r)
			total++
			truth[choice.Address]++
			table.Start(epoch, choice.Address, false)
			bound := LoadFactor*float64(total)/float64(n) + LoadSlack
			if choice.Reason == ByPrefix && float64(truth[choice.Address]) > bound {
				t.Fatalf("%s has %d of %d, the bound is %.2f", choice.Address, truth[choice.Address], total, bound)
			}
		}
	})
}

// Compared with a reference model that always chooses the least loaded target with
// perfect knowledge, the choice of two may be worse by only a few requests.
func TestChoiceOfTwoStaysNearLeastLoaded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const targets, requests = 10, 400
		table := tableOf(targets)
		random := splitmix.Generator(rapid.Uint64().Draw(t, "seed"))
		worst := 0
		for range requests {
			choice, _ := table.Pick(epoch, Request{SeedValue: random.Next()})
			table.Start(epoch, choice.Address, false)
			worst = max(worst, table.LocalRequests(choice.Address))
		}
		if least := requests / targets; worst > least+4 {
			t.Fatalf("highest load %d, least loaded gives %d", worst, least)
		}
	})
}

// A load report is old when it arrives. This daemon's requests since then must be added,
// or all entry hosts choose the target that looked empty a moment ago.
func TestLoadCorrectsTheReportsLag(t *testing.T) {
	table := tableOf(2)
	a := address(0)
	table.Start(epoch.Add(time.Millisecond), a, false)
	table.Start(epoch.Add(900*time.Millisecond), a, false)
	table.End(epoch.Add(950*time.Millisecond), a, false, Succeeded)
	now := epoch.Add(time.Second)
	table.ApplyReport(now, a, LoadReport{Reported: 5, ReportAge: 500 * time.Millisecond, OnlineTotal: 2, BatchRunning: 1})
	if got := table.entries[a].load(now); got != 4+1-1+BatchLoad {
		t.Fatalf("load %v: want 4 reported online, 1 started and 1 ended since, and a batch item", got)
	}
	if got := table.entries[a].load(now.Add(LoadReportTTL + time.Millisecond)); got != 1 {
		t.Fatalf("load %v by an expired report: want the local request alone", got)
	}
}

// A conversation's next turn should go to the target that cached the earlier ones, unless
// it is overloaded; a short common prefix must not decide.
func TestHintFindsTheCachedPrompt(t *testing.T) {
	table := tableOf(4)
	prompt := []string{"p1", "p2", "p3", "p4"}
	for i := range 4 {
		table.Hint(address(i), "p1", true)
	}
	for _, p := range prompt[:3] {
		table.Hint(address(2), p, true)
	}
	r := Request{Prefixes: prompt}
	if choice, _ := table.Pick(epoch, r); choice != (Choice{address(2), ByHint}) {
		t.Fatalf("picked %+v", choice)
	}
	for range 10 {
		table.Start(epoch, address(2), false)
	}
	if choice, _ := table.Pick(epoch, r); choice.Address == address(2) {
		t.Fatalf("picked %+v though it is overloaded", choice)
	}
	table.Hint(address(2), "p3", false)
	table.Hint(address(2), "p2", false)
	if choice, _ := table.Pick(epoch, r); choice.Reason == ByHint {
		t.Fatalf("picked %+v by a prefix that all targets hold", choice)
	}
}

// A target that failed returns gradually: one trial request first, then twice as many
// each time.
func TestReturnRampsUp(t *testing.T) {
	table := tableOf(1)
	a := address(0)
	table.Start(epoch, a, false)
	if state, changed := table.End(epoch, a, false, HardFailed); state != Ejected || !changed {
		t.Fatalf("state %v changed %v", state, changed)
	}
	now := epoch.Add(BaseEjectionTime)
	e := table.entries[a]
	for _, allowance := range []int{1, 2, 4, 8} {
		for range allowance {
			if !e.available(now) {
				t.Fatalf("not available below the allowance of %d", allowance)
			}
			table.Start(now, a, false)
		}
		if e.available(now) {
			t.Fatalf("available above the allowance of %d", allowance)
		}
		for i := range allowance {
			o := Neutral
			if i == 0 {
				o = Succeeded
			}
			table.End(now, a, false, o)
		}
	}
	if e.health.state(now) != Healthy {
		t.Fatalf("state %v after the gradual return", e.health.state(now))
	}
}

// A request that ran on two crashed targets must not take other requests down a third
// time: it waits for an empty target that it has not tried. Any other request waits only
// while all targets are ejected.
func TestReadyWaitsForAnEmptyTarget(t *testing.T) {
	table := tableOf(2)
	table.Start(epoch, address(0), false)
	quarantined := Request{OnlyAlone: true, Exclude: map[string]bool{address(1): true}}
	if table.Ready(epoch, quarantined) || !table.Ready(epoch, Request{}) {
		t.Fatal("ready while another request runs, or for a target that was tried")
	}
	table.End(epoch, address(0), false, Succeeded)
	if choice, _ := table.Pick(epoch, quarantined); !table.Ready(epoch, quarantined) || choice.Address != address(0) {
		t.Fatalf("picked %+v, an empty untried target was there", choice)
	}
	for i := range 2 {
		table.Start(epoch, address(i), false)
		table.End(epoch, address(i), false, HardFailed)
	}
	if table.Ready(epoch, Request{}) {
		t.Fatal("ready while all targets are ejected")
	}
}

// A request whose deadline is earlier than the end of the queue is refused with a retry
// time; while any slot is free no request is refused.
func TestAdmitRefusesByTheQueue(t *testing.T) {
	table := tableOf(1)
	table.ObserveServiceTime(4 * time.Second)
	deadline := epoch.Add(time.Second)
	for i := range 8 {
		if r := table.Admit(epoch, deadline, ""); r != nil {
			t.Fatalf("refused with %d of 8 slots used: %v", i, r)
		}
		table.Start(epoch, address(0), false)
	}
	table.Start(epoch, address(0), false)
	table.Start(epoch, address(0), false)
	r := table.Admit(epoch, deadline, "")
	if r == nil || r.RetryAfterMs != 500 {
		t.Fatalf("refusal %+v: 3 of 8 in 4 s are 1.5 s, 0.5 s past the deadline", r)
	}
}
