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
	l := newLocalLeases(func() bool { return true }, changed, false)
	n := l.next()
	l.begin(n, localLease{target: roster.Target{ID: "t", Start: "t", Zone: "z"}, batch: true})
	l.preempt([]uint64{n + 1})
	if len(changed) > 0 {
		t.Fatal("woken for a lease of another daemon")
	}
	l.preempt([]uint64{n})
	if len(changed) != 1 || l.takePreemptions()["t"] != 1 {
		t.Fatal("not woken for its own lease")
	}
}

// With the batch reserve the leader chooses which item has the most time to lose. If the
// holder stopped another one at the same target, the wrong item would finish late. A notice
// that is repeated must not stop a second item.
func TestLocalLeasesNameThePreemptedItems(t *testing.T) {
	l := newLocalLeases(func() bool { return true }, make(chan struct{}, 1), true)
	first, second := l.next(), l.next()
	for _, n := range []uint64{first, second} {
		l.begin(n, localLease{target: roster.Target{ID: "t", Start: "t", Zone: "z"}, batch: true})
	}
	l.preempt([]uint64{first})
	l.preempt([]uint64{first, second + 1})
	if got := l.takePreempted(); len(got) != 1 || !got[first] {
		t.Fatalf("the leases %v are preempted, want %d", got, first)
	}
	if len(l.takePreempted()) != 0 || len(l.takePreemptions()) != 0 {
		t.Fatal("a preemption is returned twice")
	}
}

// In a small fleet nothing is reported to a leader. Ended leases kept for a report would
// fill the memory of a daemon that runs for weeks.
func TestLocalLeasesKeepNoEndsWithoutALeader(t *testing.T) {
	scheduled := false
	l := newLocalLeases(func() bool { return scheduled }, make(chan struct{}, 1), false)
	target := roster.Target{ID: "t", Start: "t", Zone: "z"}
	run := func() {
		for range 1000 {
			n := l.next()
			l.begin(n, localLease{target: target})
			l.reportDegraded(n)
			l.end(n, routing.Succeeded, time.Second)
			l.abandon(n, "leader")
		}
	}
	run()
	if len(l.ended) > 0 || len(l.running) > 0 || len(l.reportDue) > 0 {
		t.Fatalf("%d ends and %d leases are kept, %d wakes", len(l.ended), len(l.running), len(l.reportDue))
	}
	// Where leaders get reports, a report takes all ended leases, also if there is no
	// leader now.
	scheduled = true
	run()
	l.reportsTo("z", "")
	if len(l.ended) > 0 {
		t.Fatalf("%d ends are kept after a report", len(l.ended))
	}
}
