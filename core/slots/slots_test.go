package slots_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"tarragonhollow.example/tarragonhollow/core/board"
	"tarragonhollow.example/tarragonhollow/core/routing"
	"tarragonhollow.example/tarragonhollow/core/slots"
)

func TestSlots(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "slots")
}

var start = time.Unix(1000, 0)

const perTarget = 4

// ledger returns a ledger of n targets t0, t1, ... of the group g.
func ledger(n int) *slots.Ledger {
	l := slots.NewLedger()
	var targets []slots.Target
	for i := range n {
		targets = append(targets, slots.Target{Start: fmt.Sprint("t", i), Slots: perTarget})
	}
	l.SetTargets(map[string][]slots.Target{"g": targets})
	return l
}

var numbers uint64

// request returns a slot request for an online request of the holder h, changed by the
// given options.
func request(change ...func(*slots.Request)) slots.Request {
	numbers++
	r := slots.Request{ID: slots.ID{Holder: "h", Number: numbers}, Group: "g", Patience: time.Second}
	for _, c := range change {
		c(&r)
	}
	return r
}

func batch(r *slots.Request)      { r.Batch = true }
func visiting(r *slots.Request)   { r.Visiting = true }
func staying(r *slots.Request)    { r.Stay = true }
func lastChance(r *slots.Request) { r.LastChance = true }

func holder(name string) func(*slots.Request) { return func(r *slots.Request) { r.ID.Holder = name } }

func without(targets ...string) func(*slots.Request) {
	return func(r *slots.Request) { r.Exclude = targets }
}

var _ = Describe("The ledger of a zone's slots", func() {
	var l *slots.Ledger
	var now time.Time
	BeforeEach(func() { l, now = ledger(2), start })

	granted := func(change ...func(*slots.Request)) slots.Grant {
		GinkgoHelper()
		got := l.Grant(now, request(change...), numbers)
		Expect(got.Verdict).To(Equal(slots.Granted))
		return got
	}

	It("fills the targets evenly and grants each free slot once", func() {
		for range 2 * perTarget {
			granted()
		}
		Expect(l.Counts()).To(Equal(map[string]board.Count{"t0": {Online: perTarget}, "t1": {Online: perTarget}}))
		Expect(l.FreeSlots(now)["g"]).To(BeZero())
		Expect(l.Grant(now, request(visiting), 0).Verdict).To(Equal(slots.None))
		Expect(l.Grant(now, request(batch), 0).Verdict).To(Equal(slots.None))
	})

	It("preempts as many batch items as online work needs, the last ones first", func() {
		var items []slots.Request
		for range 2 * perTarget {
			r := request(batch, holder(fmt.Sprint("h", len(items))))
			Expect(l.Grant(now, r, numbers).Verdict).To(Equal(slots.Granted))
			items = append(items, r)
			now = now.Add(time.Millisecond)
		}
		preempted := map[slots.ID]bool{}
		for range 3 {
			for _, id := range granted().Yield {
				preempted[id] = true
			}
		}
		Expect(preempted).To(HaveLen(3))
		Expect(preempted).To(HaveKey(items[len(items)-1].ID))
		Expect(preempted).To(HaveKey(items[len(items)-2].ID))
		// An item whose holder did not receive the notice is preempted again, or another
		// one.
		now = now.Add(time.Second)
		Expect(granted().Yield).NotTo(BeEmpty())
	})

	// A zone has thousands of engines. Examining each of them for every request would use
	// up the leader's CPU; the choice must be as good as if it did.
	It("grants empty targets to a large zone's requests, and fills all of them evenly", func() {
		const many = 500
		l = ledger(many)
		for range many {
			Expect(granted().Running).To(BeZero())
		}
		for _, c := range l.Counts() {
			Expect(c).To(Equal(board.Count{Online: 1}))
		}
		Expect(l.Counts()).To(HaveLen(many))
		for range many {
			Expect(granted().Running).To(Equal(1))
		}
		Expect(l.Fullest(10)).To(HaveLen(10))
	})

	It("returns the full description of the granted target", func() {
		l.SetTargets(map[string][]slots.Target{"g": {{Start: "s", Slots: 1, ID: "t", Born: 7, Address: "1:1", Zone: "z"}}})
		Expect(granted().At).To(Equal(slots.Target{Start: "s", Slots: 1, ID: "t", Born: 7, Address: "1:1", Zone: "z"}))
	})

	// Online requests come and go faster than batch items can be preempted. Items that
	// get the slots of items that have not ended yet wait at the engine, and online
	// requests wait behind them.
	It("grants no batch item a slot whose preempted item has not ended", func() {
		l = ledger(1)
		for range perTarget {
			Expect(l.Grant(now, request(batch), 0).Verdict).To(Equal(slots.Granted))
		}
		online := request()
		Expect(l.Grant(now, online, 0).Yield).To(HaveLen(1))
		l.End(now, online.ID.Holder, []slots.Ended{{Number: online.ID.Number, Target: "t0", Outcome: routing.Succeeded}})
		Expect(l.Grant(now, request(batch), 0).Verdict).To(Equal(slots.None))
	})

	It("grants batch only the slots beyond the headroom", func() {
		l = ledger(1)
		for range perTarget - 1 {
			r := request(batch)
			r.Headroom = 1
			Expect(l.Grant(now, r, 0).Verdict).To(Equal(slots.Granted))
		}
		r := request(batch)
		r.Headroom = 1
		Expect(l.Grant(now, r, 0).Verdict).To(Equal(slots.None))
		Expect(l.Grant(now, request(), 0).Verdict).To(Equal(slots.Granted))
	})

	// A target accepts every connection and fails each request at once. It always looks
	// like the emptiest one, and would attract the requests of the whole zone.
	It("avoids a target that fails, and tries it again with one request at a time", func() {
		r := request(without("t1"))
		Expect(l.Grant(now, r, 0).Target).To(Equal("t0"))
		l.Report(now, "h", nil, []slots.Ended{{Number: r.ID.Number, Target: "t0", Outcome: routing.HardFailed}})
		for range perTarget {
			Expect(granted().Target).To(Equal("t1"))
		}
		// Its slots do not count as free, but are preferred to a queue at another target.
		Expect(l.FreeSlots(now)["g"]).To(BeZero())
		now = now.Add(routing.BaseEjectionTime)
		l = ledgerAfterFailure(now.Add(-routing.BaseEjectionTime))
		trial := request()
		Expect(l.Grant(now, trial, 0).Target).To(Equal("t0"))
		for range perTarget {
			Expect(l.Grant(now, request(), 0).Target).To(Equal("t1"))
		}
		l.Report(now, "h", nil, []slots.Ended{{Number: trial.ID.Number, Target: "t0", Outcome: routing.Succeeded}})
		Expect(l.Grant(now, request(), 0).Target).To(Equal("t0"))
		Expect(l.Grant(now, request(), 0).Target).To(Equal("t0"))
	})

	It("sends no request that must not run twice to a target that has not answered since it failed", func() {
		l = ledgerAfterFailure(now)
		now = now.Add(time.Minute)
		for range perTarget {
			Expect(l.Grant(now, request(lastChance), 0).Target).To(Equal("t1"))
		}
	})

	It("sends a request to the zone with the most free slots, and counts what it sent there", func() {
		for range 2 * perTarget {
			granted()
		}
		l.ApplyRemoteFree(now, "y", "y:1", map[string]int{"g": 3})
		l.ApplyRemoteFree(now, "x", "x:1", map[string]int{"g": 4})
		var zones []string
		for range 5 {
			got := l.Grant(now, request(), 0)
			if got.Verdict == slots.Elsewhere {
				zones = append(zones, got.Zone)
				continue
			}
			Expect(got.Verdict).To(Equal(slots.Granted))
			zones = append(zones, "home")
		}
		// The last slot of a zone may have been taken.
		Expect(zones).To(Equal([]string{"x", "x", "y", "x", "y"}))
		Expect(l.Grant(now, request(), 0).Verdict).To(Equal(slots.Granted))
		Expect(l.Grant(now, request(staying), 0).Verdict).To(Equal(slots.Granted))
		now = now.Add(slots.FreeSlotsTTL + time.Millisecond)
		l.ApplyRemoteFree(now, "v", "v:1", map[string]int{"g": 2})
		Expect(l.Grant(now, request(), 0).Zone).To(Equal("v"))
	})

	// A request that would queue for longer than its caller waits must be refused at
	// once.
	It("refuses a request that would queue for too long, based on the service time", func() {
		l = ledger(1)
		for range 10 {
			r := request()
			Expect(l.Grant(now, r, 0).Verdict).To(Equal(slots.Granted))
			l.Report(now, "h", nil, []slots.Ended{{Number: r.ID.Number, Target: "t0", Outcome: routing.Succeeded, Took: time.Second}})
		}
		for range perTarget {
			granted()
		}
		// One of the four slots becomes free every quarter of a second.
		granted()
		granted()
		granted()
		refused := request()
		refused.Patience = 900 * time.Millisecond
		got := l.Grant(now, refused, 0)
		Expect(got.Verdict).To(Equal(slots.Overloaded))
		Expect(got.Wait).To(BeNumerically("~", time.Second, time.Millisecond))
	})

	It("uses a target that the request excludes only if there is no other", func() {
		Expect(granted(without("t0")).Target).To(Equal("t1"))
		Expect(granted(without("t0", "t1")).Target).NotTo(BeEmpty())
		Expect(l.Grant(now, request(func(r *slots.Request) { r.Group = "unknown" }), 0).Verdict).To(Equal(slots.None))
	})

	// A leader's host loses power. The next leader does not know what runs, and must not
	// send the zone's requests to engines that are full.
	It("is complete after one report of each holder", func() {
		var running []slots.Running
		for range 2 * perTarget {
			r := request()
			got := l.Grant(now, r, 0)
			running = append(running, slots.Running{Number: r.ID.Number, Target: got.Target})
		}
		next := ledger(2)
		next.Report(now, "h", running, nil)
		Expect(next.Counts()).To(Equal(l.Counts()))
	})

	It("drops a lease that its holder does not report, once the grant must have reached it", func() {
		granted()
		l.Report(now, "h", nil, nil)
		Expect(l.Counts()).To(HaveLen(1))
		now = now.Add(slots.ReportInterval)
		l.Report(now, "h", nil, nil)
		Expect(l.Counts()).To(BeEmpty())
	})

	It("drops the leases of a holder that sends no reports", func() {
		granted()
		now = now.Add(slots.LeaseTTL)
		l.Expire(now)
		Expect(l.Counts()).To(HaveLen(1))
		now = now.Add(time.Millisecond)
		l.Expire(now)
		Expect(l.Counts()).To(BeEmpty())
	})

	// A count that is subtracted wrongly leaves load that no daemon has: a target looks
	// full forever, or gets twice as many requests as fit.
	It("counts what its holders run, whatever is requested, reported and lost", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			l := ledger(3)
			now := start
			type key struct {
				holder string
				number uint64
			}
			held := map[key]slots.Running{}
			last := uint64(0)
			for range rapid.IntRange(1, 60).Draw(t, "steps") {
				now = now.Add(time.Duration(rapid.IntRange(0, 20).Draw(t, "ms")) * time.Millisecond)
				h := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "holder")
				switch rapid.IntRange(0, 2).Draw(t, "step") {
				case 0:
					last++
					r := slots.Request{ID: slots.ID{Holder: h, Number: last}, Group: "g", Patience: time.Second, Batch: rapid.Bool().Draw(t, "batch")}
					if got := l.Grant(now, r, last); got.Verdict == slots.Granted {
						held[key{h, last}] = slots.Running{Number: last, Target: got.Target, Batch: r.Batch}
					}
				case 1:
					for number := range last {
						k := key{h, number + 1}
						if r, runs := held[k]; runs {
							delete(held, k)
							l.End(now, h, []slots.Ended{{Number: k.number, Target: r.Target, Outcome: routing.Neutral}})
							break
						}
					}
				case 2:
					var running []slots.Running
					for k, r := range held {
						if k.holder == h {
							running = append(running, r)
						}
					}
					l.Report(now, h, running, nil)
				}
				want := map[string]board.Count{}
				for _, r := range held {
					c := want[r.Target]
					if r.Batch {
						c.Batch++
					} else {
						c.Online++
					}
					want[r.Target] = c
				}
				if got := l.Counts(); fmt.Sprint(got) != fmt.Sprint(want) {
					t.Fatalf("counts %v, held %v", got, want)
				}
				for start, c := range want {
					if c.Batch > perTarget {
						t.Fatalf("%d batch items at %s", c.Batch, start)
					}
				}
			}
		})
	})
})

// ledgerAfterFailure returns a ledger of two targets, of which t0 has just failed.
func ledgerAfterFailure(now time.Time) *slots.Ledger {
	l := ledger(2)
	l.End(now, "h", []slots.Ended{{Number: 1, Target: "t0", Outcome: routing.HardFailed}})
	return l
}
