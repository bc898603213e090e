package slots_test

import (
	"fmt"
	"testing"
	"time"

	"tarragonhollow.example/tarragonhollow/core/routing"
	"tarragonhollow.example/tarragonhollow/core/slots"
)

// BenchmarkGrantBatch measures a request of a batch item with time in a zone with a
// reserve: one that is granted, and its end, and one that is denied. 170 holders state what
// their items need.
func BenchmarkGrantBatch(b *testing.B) {
	for name, policy := range map[string]slots.Policy{"off": {}, "reserve": {BatchReserve: true}} {
		for _, targets := range []int{10, 200, 2000} {
			for _, denied := range []bool{false, true} {
				b.Run(fmt.Sprintf("%s/targets=%d/denied=%t", name, targets, denied), func(b *testing.B) {
					benchmarkGrantBatch(b, policy, targets, denied)
				})
			}
		}
	}
}

func benchmarkGrantBatch(b *testing.B, policy slots.Policy, targets int, denied bool) {
	const holders = 170
	l := slots.NewLedgerWith(policy)
	l.SetTargets(map[string][]slots.Target{"g": targetList(targets)})
	online := targets * perTarget / 4
	now := burst(l, start, online, 2*time.Second)
	item := func(n int) slots.Request {
		return slots.Request{ID: slots.ID{Holder: fmt.Sprint("h", n%holders), Number: uint64(n)}, Group: "g", Batch: true, Slack: time.Minute, Needed: 0.01, Work: 100}
	}
	n := 1 << 20
	free := targets * perTarget
	if denied {
		free -= online
		for range free {
			n++
			l.Grant(now, item(n), uint64(n)*0x9e3779b97f4a7c15)
		}
	}
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(10 * time.Microsecond)
		n++
		r := item(n)
		got := l.Grant(now, r, uint64(n)*0x9e3779b97f4a7c15)
		if got.Verdict == slots.Granted {
			l.End(now, r.ID.Holder, []slots.Ended{{Number: r.ID.Number, Target: got.Target, Outcome: routing.Neutral}})
		}
	}
}
