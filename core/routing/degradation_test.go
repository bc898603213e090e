package routing

import (
	"fmt"
	"testing"
	"time"

	"tarragonhollow.example/tarragonhollow/core/splitmix"
)

// zoneFleet is the daemons and targets of one zone. Load reports take reportDelay to
// arrive, and some targets fail every request at once while their health checks pass.
type zoneFleet struct {
	tables  []*Table
	targets int
	faulty  int
	// shared is whether daemons report their degraded targets to each other.
	shared bool
	// answers holds the ends of successful requests that are still running.
	answers []answer
}

type answer struct {
	at      time.Time
	daemon  int
	address string
}

const (
	reportDelay = 50 * time.Millisecond
	answerTime  = 100 * time.Millisecond
	fleetSlots  = 7
)

func newZoneFleet(daemons, targets, faulty int, shared bool) *zoneFleet {
	f := &zoneFleet{targets: targets, faulty: faulty, shared: shared}
	var list []Target
	for i := range targets {
		list = append(list, Target{Address: fmt.Sprint("t", i), Zone: "z"})
	}
	for range daemons {
		f.tables = append(f.tables, NewTable("g", list, fleetSlots))
	}
	return f
}

// run sends one request per gap, each to the next daemon in turn. One in four is an
// order, which must not run twice; a question that fails gets a second attempt. It
// returns how many orders and how many questions were lost.
func (f *zoneFleet) run(requests int, gap time.Duration) (orders, questions int) {
	now := time.Unix(1000, 0)
	spreadAt := now
	for i := range requests {
		now = now.Add(gap)
		f.finish(now)
		if now.Sub(spreadAt) >= reportDelay {
			f.spread(now)
			spreadAt = now
		}
		order := i%4 == 0
		request := Request{Zone: "z", LastChance: order, Exclude: map[string]bool{}, SeedValue: splitmix.Mix(uint64(i))}
		if f.attempt(now, i%len(f.tables), &request) {
			continue
		}
		if order {
			orders++
			continue
		}
		request.LastChance = true
		if !f.attempt(now, i%len(f.tables), &request) {
			questions++
		}
	}
	return orders, questions
}

// attempt sends a request to the target that the daemon chooses and reports whether it
// will be answered.
func (f *zoneFleet) attempt(now time.Time, daemon int, request *Request) bool {
	table := f.tables[daemon]
	choice, _ := table.PickLeastLoaded(now, *request)
	request.Exclude[choice.Address] = true
	table.Start(now, choice.Address, false)
	var number int
	_, _ = fmt.Sscanf(choice.Address, "t%d", &number) // newZoneFleet builds the addresses
	if number < f.faulty {
		table.End(now, choice.Address, false, SoftFailed)
		return false
	}
	f.answers = append(f.answers, answer{now.Add(answerTime), daemon, choice.Address})
	return true
}

func (f *zoneFleet) finish(now time.Time) {
	for len(f.answers) > 0 && !f.answers[0].at.After(now) {
		a := f.answers[0]
		f.answers = f.answers[1:]
		f.tables[a.daemon].End(a.at, a.address, false, Succeeded)
	}
}

// spread sends every daemon the fleet's counts and, if shared is set, degraded targets.
func (f *zoneFleet) spread(now time.Time) {
	most := map[string]int{}
	for _, table := range f.tables {
		for address, failures := range table.DegradedTargets(now) {
			most[address] = max(most[address], failures)
		}
	}
	if !f.shared {
		clear(most)
	}
	for i := range f.targets {
		address := fmt.Sprint("t", i)
		running := 0
		for _, table := range f.tables {
			running += table.LocalRequests(address)
		}
		for _, table := range f.tables {
			table.ApplyReport(now, address, LoadReport{OnlineTotal: running, ReportAge: -1, Slots: fleetSlots, PeerFailures: most[address]})
		}
	}
}

// Orders are refused by targets whose health checks pass: they accept the connection and
// reset it. Being empty, they look like the best choice to each of the zone's daemons,
// until each daemon has lost several orders there.
func TestDoubtSparesOrdersFromTargetsThatFailAtOnce(t *testing.T) {
	const daemons, targets, faulty, requests = 15, 22, 3, 3000
	gap := 4 * time.Millisecond
	ordersAlone, questionsAlone := newZoneFleet(daemons, targets, faulty, false).run(requests, gap)
	ordersShared, questionsShared := newZoneFleet(daemons, targets, faulty, true).run(requests, gap)
	t.Logf("of %d requests, lost without shared reports: %d orders, %d questions; with them: %d, %d",
		requests, ordersAlone, questionsAlone, ordersShared, questionsShared)
	if ordersShared*2 > ordersAlone || questionsShared*2 > questionsAlone {
		t.Fatal("reporting degraded targets must avoid at least half of the losses")
	}
}

// One daemon has lost its connection to the targets of its zone. If the others believed
// its reports, the zone's requests would move to other zones.
func TestDaemonFailingAtManyTargetsReportsNoneDegraded(t *testing.T) {
	table, _ := zones(4)
	now := time.Unix(1000, 0)
	for _, address := range []string{"a0", "a1"} {
		table.End(now, address, false, SoftFailed)
	}
	if got := table.DegradedTargets(now); len(got) != 2 {
		t.Fatalf("degraded %v, want two of eight", got)
	}
	table.End(now, "a2", false, SoftFailed)
	if got := table.DegradedTargets(now); len(got) != 0 {
		t.Fatalf("degraded %v, want none reported at three of eight", got)
	}
}

func TestDegradationEndsWithASuccessOrWithTime(t *testing.T) {
	table, _ := zones(1)
	now := time.Unix(1000, 0)
	table.End(now, "a0", false, SoftFailed)
	if got := pick(t, table, Request{Zone: "a"}); got != "b0" {
		t.Fatalf("picked %s although a0 has just failed", got)
	}
	table.End(now, "a0", false, Succeeded)
	if got := pick(t, table, Request{Zone: "a"}); got != "a0" {
		t.Fatalf("picked %s although a0 has answered since", got)
	}
	table.End(now, "a0", false, SoftFailed)
	choice, _ := table.PickLeastLoaded(now.Add(BaseEjectionTime), Request{Zone: "a"})
	if choice.Address != "a0" {
		t.Fatalf("picked %s although the degradation of a0 has ended", choice.Address)
	}
}

// A target returns after an ejection and may still be faulty. An order that it loses
// can't be sent again; a question can.
func TestNonRepeatableRequestAvoidsReturningTarget(t *testing.T) {
	table, _ := zones(1)
	now := time.Unix(1000, 0)
	table.End(now, "a0", false, HardFailed)
	now = now.Add(BaseEjectionTime)
	order, _ := table.PickLeastLoaded(now, Request{Zone: "a", LastChance: true})
	question, _ := table.PickLeastLoaded(now, Request{Zone: "a"})
	if order.Address != "b0" || question.Address != "a0" {
		t.Fatalf("the order goes to %s, the question to %s", order.Address, question.Address)
	}
}

// With every other target full, a degraded target is still better than a queue.
func TestDegradedTargetIsPreferredToAQueue(t *testing.T) {
	table, report := zones(1)
	report("a0", 0, 0)
	report("b0", 6, 0)
	table.End(time.Unix(1000, 0), "a0", false, SoftFailed)
	if got := pick(t, table, Request{Zone: "a"}); got != "a0" {
		t.Fatalf("picked %s although b0 has a queue", got)
	}
}
