package places

import (
	"testing"
	"time"

	"tarragonhollow.example/tarragonhollow/core/roster"
	"tarragonhollow.example/tarragonhollow/core/routing"
)

// In a small fleet no leader is ever told. Ends that were kept for one would fill the
// memory of a daemon that runs for weeks.
func TestOwnLeasesKeepNoEndsWithoutALeader(t *testing.T) {
	scheduled := false
	o := newOwnLeases(func() bool { return scheduled })
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
