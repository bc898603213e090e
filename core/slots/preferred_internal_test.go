package slots

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Guards against a choice that differs from the order of preference: the lists that are not
// sorted must give the same target as those that are.
func TestThePreferredCandidateIsTheFirstInOrderThatFits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := NewLedgerWith(Policy{TargetRates: rapid.Bool().Draw(t, "rates")})
		var list []candidate
		for i := range rapid.IntRange(0, 30).Draw(t, "targets") {
			online := rapid.IntRange(0, 4).Draw(t, "online")
			list = append(list, candidate{Target: &Target{Start: fmt.Sprint(i), Slots: rapid.IntRange(1, 4).Draw(t, "slots")}, usage: &usage{},
				online: online, taken: online + rapid.IntRange(0, 2).Draw(t, "batch"), rate: rapid.SampledFrom([]float64{0.5, 1, 2}).Draw(t, "rate")})
		}
		most := rapid.IntRange(0, 4).Draw(t, "most")
		for _, fits := range []func(*candidate) bool{(*candidate).free, func(c *candidate) bool { return c.online < most }} {
			want := ""
			for _, c := range l.order(list) {
				if fits(&c) {
					want = c.Start
					break
				}
			}
			got, found := l.preferred(list, fits)
			if found != (want != "") || found && got.Start != want {
				t.Fatalf("preferred %v, the first in order is %q", got, want)
			}
		}
	})
}

// Guards against items that are counted as preempted after they have ended, or not while
// they still run: each grant counts them.
func TestPreemptedItemsAreCountedUntilTheyEnd(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := NewLedgerWith(Policy{BatchReserve: rapid.Bool().Draw(t, "reserve")})
		l.SetTargets(map[string][]Target{"g": {{Start: "a", Slots: 4}, {Start: "b", Slots: 4}}})
		now := time.Unix(1000, 0)
		for n := range uint64(rapid.IntRange(1, 80).Draw(t, "steps")) {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				l.Grant(now, Request{ID: ID{"h", n}, Group: "g", Patience: 1e9}, n)
			case 1:
				l.Grant(now, Request{ID: ID{"h", n}, Group: "g", Batch: true}, n)
			case 2:
				l.End(now, "h", []Ended{{Number: uint64(rapid.IntRange(0, int(n)).Draw(t, "ended"))}})
			default:
				l.RepeatPreemptions(now)
				l.Expire(now)
			}
			for name, u := range l.usage {
				want := u.batch
				for le := range u.leases {
					if le.batch && now.Before(le.preemptUntil) {
						want--
					}
				}
				if got := u.notPreempted(now); got != want {
					t.Fatalf("target %s: %d items not preempted, counted %d", name, want, got)
				}
			}
		}
	})
}
