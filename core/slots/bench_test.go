package slots_test

import (
	"fmt"
	"testing"
	"time"

	"tarragonhollow.example/tarragonhollow/core/routing"
	"tarragonhollow.example/tarragonhollow/core/slots"
)

// BenchmarkGrant measures a grant and its release in a zone with 0.9 of its slots taken
// (full targets: no target is empty, the costly case) and with 0.05 (some are).
func BenchmarkGrant(b *testing.B) {
	policies := []struct {
		name   string
		policy slots.Policy
	}{{"counts", slots.Policy{}}, {"rates", slots.Policy{TargetRates: true}}}
	for _, p := range policies {
		for _, targets := range []int{10, 200, 2000} {
			for _, taken := range []float64{0.05, 0.9} {
				b.Run(fmt.Sprintf("%s/targets=%d/taken=%v", p.name, targets, taken), func(b *testing.B) { benchmarkGrant(b, p.policy, targets, taken) })
			}
		}
	}
}

func benchmarkGrant(b *testing.B, policy slots.Policy, targets int, taken float64) {
	const perTarget = 8
	l := slots.NewLedgerWith(policy)
	var list []slots.Target
	for i := range targets {
		list = append(list, slots.Target{Start: fmt.Sprint("t", i), Slots: perTarget})
	}
	l.SetTargets(map[string][]slots.Target{"g": list})
	now := time.Unix(1000, 0)
	var running []slots.Ended
	grant := func(n int) {
		r := slots.Request{ID: slots.ID{Holder: "h", Number: uint64(n)}, Group: "g", Patience: time.Hour, Stay: true, Work: 100}
		got := l.Grant(now, r, uint64(n)*0x9e3779b97f4a7c15)
		took := time.Duration(500+n%7*100) * time.Millisecond
		running = append(running, slots.Ended{Number: uint64(n), Target: got.Target, Outcome: routing.Succeeded, Took: took})
	}
	n := 0
	for ; n < int(taken*float64(targets*perTarget)); n++ {
		grant(n)
	}
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(time.Millisecond)
		grant(n)
		l.End(now, "h", running[:1])
		running = running[1:]
		n++
	}
}

// BenchmarkExpire measures what a leader does at each report to other zones, with 2,000
// targets and 0.9 of their slots taken.
func BenchmarkExpire(b *testing.B) {
	for name, policy := range map[string]slots.Policy{"counts": {}, "rates": {TargetRates: true}} {
		b.Run(name, func(b *testing.B) {
			const targets, perTarget, taken = 2000, 8, 14_400
			l := slots.NewLedgerWith(policy)
			var list []slots.Target
			for i := range targets {
				list = append(list, slots.Target{Start: fmt.Sprint("t", i), Slots: perTarget})
			}
			l.SetTargets(map[string][]slots.Target{"g": list})
			now := time.Unix(1000, 0)
			for n := range taken {
				r := slots.Request{ID: slots.ID{Holder: fmt.Sprint("h", n%170), Number: uint64(n)}, Group: "g", Patience: time.Hour, Stay: true, Work: 100}
				l.Grant(now, r, uint64(n)*0x9e3779b97f4a7c15)
			}
			for b.Loop() {
				now = now.Add(time.Microsecond) // no lease expires
				l.Expire(now)
			}
		})
	}
}
