package places

import (
	"testing"
	"time"

	"tarragonhollow.example/tarragonhollow/core/roster"
	"tarragonhollow.example/tarragonhollow/core/routing"
)

// The leader of a zone is itself the holder of an item that must give way. It has to
// look at once, as a holder that is told over the network does: guests wait behind the
// item meanwhile.
func TestOwnLeasesWakeTheHolderOfWorkThatMustGiveWay(t *testing.T) {
	changed := make(chan struct{}, 1)
	o := newOwnLeases(func() bool { return true }, changed)
	n := o.next()
	o.begin(n, ownLease{target: roster.Target{ID: "t", Start: "t", Zone: "z"}, batch: true})
	o.yield([]uint64{n + 1})
	if len(changed) > 0 {
		t.Fatal("woken for a lease that is not its own")
	}
	o.yield([]uint64{n})
	if len(changed) != 1 || o.takeYields()["t"] != 1 {
		t.Fatal("not woken for the own lease")
	}
}

// In a small fleet no leader is ever told. Ends that were kept for one would fill the
// memory of a daemon that runs for weeks.
func TestOwnLeasesKeepNoEndsWithoutALeader(t *testing.T) {
	scheduled := false
	o := newOwnLeases(func() bool { return scheduled }, make(chan struct{}, 1))
	target := roster.Target{ID: "t", Start: "t", Zone: "z"}
	run := func() {
		for range 1000 {
			n := o.next()
			o.begin(n, ownLease{target: target})
			o.doubt(n)
			o.end(n, routing.Succeeded, time.Second)
			o.abandon(n, "leader")
		}
	}
	run()
	if len(o.ended) > 0 || len(o.running) > 0 || len(o.news) > 0 {
		t.Fatalf("%d ends and %d leases are kept, %d wakes", len(o.ended), len(o.running), len(o.news))
	}
	// Where leaders are told, a report takes them all, also if there is no leader now.
	scheduled = true
	run()
	o.reportsTo("z", "")
	if len(o.ended) > 0 {
		t.Fatalf("%d ends are kept after a report", len(o.ended))
	}
}
