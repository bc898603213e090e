package slots_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tarragonhollow.example/tarragonhollow/core/routing"
	"tarragonhollow.example/tarragonhollow/core/slots"
)

var _ = Describe("A less urgent request", func() {
	const (
		slotCount = 16
		took      = 200 * time.Millisecond // 80 requests a second
		patience  = 500 * time.Millisecond
		step      = 10 * time.Millisecond
	)

	// Load pattern: for four seconds, requests of rank 0 ask for more than all slots, and
	// then for half of them. Failure guarded against: requests of rank 1 are held for their
	// whole maximum wait and refused, although nothing could have become free for them.
	It("is refused on arrival while more urgent ones take every slot, and served afterwards", func() {
		l := slots.NewLedgerWith(slots.Policy{Queue: true})
		l.SetTargets(map[string][]slots.Target{"g": {{Start: "t", Slots: slotCount}}})
		now := start
		ends := map[uint64]time.Time{}
		waitingSince := map[uint64]time.Time{}
		var heldInVain, refusedAtOnce, served int
		begin := func(number uint64) { ends[number] = now.Add(took) }
		for tick := uint64(0); now.Before(start.Add(8 * time.Second)); tick++ {
			now = now.Add(step)
			for n, at := range ends {
				if !at.After(now) {
					delete(ends, n)
					l.End(now, "h", []slots.Ended{{Number: n, Target: "t", Outcome: routing.Succeeded, Took: took}})
				}
			}
			arrives := []bool{now.Before(start.Add(4*time.Second)) || tick%4 == 0, tick%2 == 0}
			for rank := range 2 {
				if !arrives[rank] {
					continue
				}
				number := 2*tick + uint64(rank)
				r := slots.Request{ID: slots.ID{Holder: "h", Number: number}, Group: "g", Rank: rank, MayWait: true, Patience: patience,
					ObjectiveLeft: 300 * time.Millisecond, DeadlineLeft: 2 * time.Second}
				switch grant := l.Grant(now, r, number); {
				case grant.Verdict == slots.Granted:
					begin(number)
					served += rank
				case grant.Verdict == slots.Waiting && rank == 1:
					waitingSince[number] = now
				case grant.Verdict == slots.Overloaded && rank == 1:
					refusedAtOnce++
				}
			}
			for n := range waitingSince {
				l.Grant(now, slots.Request{ID: slots.ID{Holder: "h", Number: n}, Group: "g", Rank: 1, MayWait: true,
					Patience: patience - now.Sub(waitingSince[n])}, n)
			}
			for _, d := range l.Dispatch(now) {
				since, rankOne := waitingSince[d.ID.Number]
				delete(waitingSince, d.ID.Number)
				switch {
				case d.Grant.Verdict == slots.Granted:
					begin(d.ID.Number)
					if rankOne {
						served++
					}
				case rankOne && now.Sub(since) > patience/2:
					heldInVain++
				}
			}
		}
		Expect(refusedAtOnce).To(BeNumerically(">", 0))
		Expect(heldInVain).To(BeNumerically("<=", refusedAtOnce/4))
		Expect(served).To(BeNumerically(">", 100), "rank 1 is served once rank 0 leaves slots")
	})
})
