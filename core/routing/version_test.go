package routing

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// mixedTable returns a table of n targets whose versions, of v1, v2 and unknown, are drawn.
func mixedTable(t *rapid.T, n int) (*Table, map[string]string) {
	versions := map[string]string{}
	var targets []Target
	for i := range n {
		version := rapid.SampledFrom([]string{"v1", "v2", ""}).Draw(t, "version")
		versions[address(i)] = version
		targets = append(targets, Target{Address: address(i), Zone: fmt.Sprint("z", i%2), Version: version})
	}
	return NewTable("g", targets, 4), versions
}

// Guards against a request that requires a version and goes to a target of another or of
// unknown version because all others are tried, ejected, degraded, full or leaving.
func TestPicksOnlyTargetsOfTheRequiredVersion(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 8).Draw(t, "targets")
		table, versions := mixedTable(t, n)
		now, serves := epoch, false
		r := Request{Version: "v2", Zone: "z0", Exclude: map[string]bool{}, SeedValue: rapid.Uint64().Draw(t, "seed")}
		for i := range n {
			a := address(i)
			for range rapid.IntRange(0, 6).Draw(t, "requests") {
				table.Start(now, a, rapid.Bool().Draw(t, "reserved"))
			}
			if rapid.Bool().Draw(t, "fails") {
				table.Start(now, a, false)
				table.End(now, a, false, HardFailed)
			}
			if rapid.Bool().Draw(t, "reported") {
				table.ApplyReport(now, a, LoadReport{OnlineTotal: rapid.IntRange(0, 6).Draw(t, "online"), Slots: 4, ReportAge: -1})
			}
			r.Exclude[a] = rapid.Bool().Draw(t, "tried")
			leaving := rapid.IntRange(0, 3).Draw(t, "leaving") == 0
			table.SetLeaving(a, leaving)
			serves = serves || !leaving && versions[a] == "v2"
		}
		now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
		r.Alone, r.OnlyAlone = rapid.Bool().Draw(t, "alone"), rapid.Bool().Draw(t, "only alone")
		r.LastChance, r.RemoteStale = rapid.Bool().Draw(t, "last chance"), rapid.Bool().Draw(t, "stale")
		r.Affinity = rapid.SampledFrom([]string{"", "key"}).Draw(t, "affinity")
		choice, ok := table.Pick(now, r)
		if ok != serves || ok && versions[choice.Address] != "v2" {
			t.Fatalf("Pick: %v of version %q, %v; served: %v", choice, versions[choice.Address], ok, serves)
		}
		if choice, ok := table.PickLeastLoaded(now, r); ok && versions[choice.Address] != "v2" {
			t.Fatalf("PickLeastLoaded: %v of version %q", choice, versions[choice.Address])
		}
		if !serves && !table.Ready(now, r) {
			t.Fatal("a request waits for a version that no target serves")
		}
	})
}

// Guards against a target chosen by its cached prefix although its version differs.
func TestHintsDoNotOverrideTheRequiredVersion(t *testing.T) {
	table := NewTable("g", []Target{{Address: "old", Version: "v1"}, {Address: "new", Version: "v2"}}, 4)
	table.Hint("old", "p", true)
	r := Request{Version: "v2", Prefixes: []string{"p"}}
	if choice, ok := table.Pick(epoch, r); !ok || choice.Address != "new" {
		t.Fatalf("picked %v", choice)
	}
}

// Guards against a request that is admitted by the free slots of another version, or
// refused by its queues.
func TestAdmitJudgesOnlyTheRequiredVersion(t *testing.T) {
	table := NewTable("g", []Target{{Address: "old", Version: "v1"}, {Address: "new", Version: "v2"}}, 1)
	table.ObserveServiceTime(2 * time.Second)
	table.Start(epoch, "new", false)
	deadline := epoch.Add(time.Second)
	if table.Admit(epoch, deadline, "v2") == nil {
		t.Fatal("admitted by a free slot of another version")
	}
	for _, version := range []string{"", "v1"} {
		if r := table.Admit(epoch, deadline, version); r != nil {
			t.Fatalf("version %q: %v", version, r)
		}
	}
}
