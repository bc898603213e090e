package places

import (
	"testing"
	"time"

	"tarragonhollow.example/tarragonhollow/core/roster"
	"tarragonhollow.example/tarragonhollow/core/routing"
)

// The leader of a zone may itself hold an item that is preempted. It must react at once,
// as a holder that is notified over the network does: online requests queue behind the
// item meanwhile.
func TestLocalLeasesWakeTheHolderOfPreemptedWork(t *testing.T) {
	changed := make(chan struct{}, 1)
	o := newLocalLeases(func() bool { return true }, changed)
	n := o.next()
	o.begin(n, localLease{target: roster.Target{ID: "t", Start: "t", Zone: "z"}, batch: true})
	o.preempt([]uint64{n + 1})
	if len(changed) > 0 {
		t.Fatal("woken for a lease of another daemon")
	}
	o.preempt([]uint64{n})
	if len(changed) != 1 || o.takePreemptions()["t"] != 1 {
		t.Fatal("not woken for its own lease")
	}
}

// In a small fleet nothing is reported to a leader. Ended leases kept for a report would
// fill the memory of a daemon that runs for weeks.
func TestLocalLeasesKeepNoEndsWithoutALeader(t *testing.T) {
	scheduled := false
	o := newLocalLeases(func() bool { return scheduled }, make(chan struct{}, 1))
	target := roster.Target{ID: "t", Start: "t", Zone: "z"}
	run := func() {
		for range 1000 {
			n := o.next()
			o.begin(n, localLease{target: target})
			o.reportDegraded(n)
			o.end(n, routing.Succeeded, time.Second)
			o.abandon(n, "leader")
		}
	}
	run()
	if len(o.ended) > 0 || len(o.running) > 0 || len(o.reportDue) > 0 {
		t.Fatalf("%d ends and %d leases are kept, %d wakes", len(o.ended), len(o.running), len(o.reportDue))
	}
	// Where leaders get reports, a report takes all ended leases, also if there is no
	// leader now.
	scheduled = true
	run()
	o.reportsTo("z", "")
	if len(o.ended) > 0 {
		t.Fatalf("%d ends are kept after a report", len(o.ended))
	}
}
