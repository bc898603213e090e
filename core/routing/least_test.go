package routing

import (
	"fmt"
	"testing"
	"time"
)

// zones returns a table of n targets in each of the zones a and b, 4 slots each,
// and a function that tells their loads.
func zones(n int) (*Table, func(address string, online, batch int)) {
	var targets []Target
	for i := range n {
		targets = append(targets, Target{Address: fmt.Sprint("a", i), Zone: "a"}, Target{Address: fmt.Sprint("b", i), Zone: "b"})
	}
	t := NewTable("g", targets, 4)
	return t, func(address string, online, batch int) {
		t.Hear(time.Unix(1000, 0), address, Word{OnlineTotal: online, BatchRunning: batch, Slots: 4, ReportAge: -1})
	}
}

func pick(t *testing.T, table *Table, r Request) string {
	t.Helper()
	choice, ok := table.PickLeast(time.Unix(1000, 0), r)
	if !ok {
		t.Fatal("no target")
	}
	return choice.Address
}

func TestPickLeastTakesFreePlacesBeforeBatchGivesWay(t *testing.T) {
	table, hear := zones(2)
	hear("a0", 0, 4)
	hear("a1", 2, 0)
	hear("b0", 0, 0)
	hear("b1", 0, 0)
	for seed := range uint64(20) {
		if got := pick(t, table, Request{Zone: "a", SeedValue: seed}); got[0] != 'b' {
			t.Fatalf("seed %d: %s, where b's targets are empty", seed, got)
		}
	}
	hear("b0", 4, 0)
	hear("b1", 4, 0)
	hear("a1", 4, 0)
	if got := pick(t, table, Request{Zone: "a"}); got != "a0" {
		t.Fatalf("%s, where batch at a0 can give way", got)
	}
}

// A burst fills zone a, where most callers are. Its daemons hear of zone b with
// delay. Going by the least old word they would all meet at one target.
func TestPickLeastWithStaleFarLoadsSpreadsOverWhatHadRoom(t *testing.T) {
	table, hear := zones(3)
	ask := Request{Zone: "a", FarIsStale: true}
	hear("a0", 1, 3)
	for _, full := range []string{"a1", "a2"} {
		hear(full, 4, 0)
	}
	hear("b0", 0, 0)
	hear("b1", 1, 0)
	hear("b2", 3, 0)
	if got := pick(t, table, ask); got != "a0" {
		t.Fatalf("%s, where the own zone has a place that batch gives back", got)
	}
	hear("a0", 4, 0)
	seen := map[string]bool{}
	for seed := range uint64(50) {
		ask.SeedValue = seed
		seen[pick(t, table, ask)] = true
	}
	if !seen["b0"] || !seen["b1"] || len(seen) != 2 {
		t.Fatalf("went to %v, b0 and b1 had room", seen)
	}
	hear("b0", 4, 0)
	hear("b1", 4, 0)
	if got := pick(t, table, ask); got == "b2" {
		t.Fatal("went to a far target whose last place may be gone")
	}
}
