package routing

import (
	"fmt"
	"testing"
	"time"
)

// zones returns a table of n targets in each of the zones a and b, 4 slots each, and a
// function that reports their loads to it.
func zones(n int) (*Table, func(address string, online, batch int)) {
	var targets []Target
	for i := range n {
		targets = append(targets, Target{Address: fmt.Sprint("a", i), Zone: "a"}, Target{Address: fmt.Sprint("b", i), Zone: "b"})
	}
	t := NewTable("g", targets, 4)
	return t, func(address string, online, batch int) {
		t.ApplyReport(time.Unix(1000, 0), address, LoadReport{OnlineTotal: online, BatchRunning: batch, Slots: 4, ReportAge: -1})
	}
}

func pick(t *testing.T, table *Table, r Request) string {
	t.Helper()
	choice, ok := table.PickLeastLoaded(time.Unix(1000, 0), r)
	if !ok {
		t.Fatal("no target")
	}
	return choice.Address
}

func TestPickLeastLoadedPrefersFreeSlotsToPreemption(t *testing.T) {
	table, report := zones(2)
	report("a0", 0, 4)
	report("a1", 2, 0)
	report("b0", 0, 0)
	report("b1", 0, 0)
	for seed := range uint64(20) {
		if got := pick(t, table, Request{Zone: "a", SeedValue: seed}); got[0] != 'b' {
			t.Fatalf("seed %d: picked %s although b's targets are empty", seed, got)
		}
	}
	report("b0", 4, 0)
	report("b1", 4, 0)
	report("a1", 4, 0)
	if got := pick(t, table, Request{Zone: "a"}); got != "a0" {
		t.Fatalf("picked %s although batch at a0 can be preempted", got)
	}
}

// A burst fills zone a, where most callers are. Its daemons receive zone b's loads late.
// If they chose the lowest load in the outdated reports, they would all choose one target.
func TestPickLeastLoadedWithStaleRemoteLoadsSpreadsOverFreeTargets(t *testing.T) {
	table, report := zones(3)
	request := Request{Zone: "a", RemoteStale: true}
	report("a0", 1, 3)
	for _, full := range []string{"a1", "a2"} {
		report(full, 4, 0)
	}
	report("b0", 0, 0)
	report("b1", 1, 0)
	report("b2", 3, 0)
	if got := pick(t, table, request); got != "a0" {
		t.Fatalf("picked %s although the local zone has a slot that batch can be preempted from", got)
	}
	report("a0", 4, 0)
	seen := map[string]bool{}
	for seed := range uint64(50) {
		request.SeedValue = seed
		seen[pick(t, table, request)] = true
	}
	if !seen["b0"] || !seen["b1"] || len(seen) != 2 {
		t.Fatalf("picked %v, want b0 and b1, which had free slots", seen)
	}
	report("b0", 4, 0)
	report("b1", 4, 0)
	if got := pick(t, table, request); got == "b2" {
		t.Fatal("picked a remote target whose last slot may be taken")
	}
}
