package slots_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tarragonhollow.example/tarragonhollow/core/board"
	"tarragonhollow.example/tarragonhollow/core/routing"
	"tarragonhollow.example/tarragonhollow/core/slots"
)

var withRates = slots.Policy{TargetRates: true}

// isSlow selects a quarter of the targets of a replay.
func isSlow(target int) bool { return target%4 == 0 }

func isFast(target int) bool { return !isSlow(target) }

// slowQuarter makes a quarter of the targets 2.2 times as slow as the others.
func slowQuarter(target int, _ time.Duration) float64 {
	if isSlow(target) {
		return 2.2
	}
	return 1
}

// withFreeSlots returns the samples in which every target has a free slot: in the others
// the choice of a target was constrained.
func withFreeSlots(samples [][rateReplayTargets]int) [][rateReplayTargets]int {
	var free [][rateReplayTargets]int
	for _, sample := range samples {
		most := 0
		for _, c := range sample {
			most = max(most, c)
		}
		if most < rateReplaySlots {
			free = append(free, sample)
		}
	}
	return free
}

var _ = Describe("Learned rates of targets", func() {
	// Load pattern: engines of unequal speed under load steps. By numbers of requests, the
	// slow ones get as many as the fast ones, hold each for longer, and use up the slots.
	It("level the finishing times of unequal targets instead of their numbers of requests", func() {
		replay := fleetReplay{unit: 400 * time.Millisecond, slowness: slowQuarter, share: 0.5, duration: 58 * time.Second, seed: 3}
		earlier := replay.run()
		replay.policy = withRates
		now := replay.run()
		finishing := func(r rateReplayResult) float64 {
			samples := withFreeSlots(r.samples)
			return meanRequests(samples, isSlow) * 2.2 / meanRequests(samples, isFast)
		}
		Expect(finishing(now)).To(And(BeNumerically(">", 0.75), BeNumerically("<", 1.25)))
		Expect(finishing(earlier)).To(BeNumerically(">", 1.25), "the replay does not show the fault")
		share := func(r rateReplayResult) float64 { return float64(r.highFree) / float64(r.high) }
		Expect(share(now)).To(BeNumerically(">", share(earlier)))
		Expect(now.meanRun).To(BeNumerically("<", earlier.meanRun))
	})

	// Load pattern: an engine becomes 2.5 times slower for 0.6 s. By numbers of requests it
	// keeps its share of them, which then end late.
	It("move load away from a target while it is slow, and back afterwards", func() {
		const slowFrom, slowUntil = 9600 * time.Millisecond, 10200 * time.Millisecond
		// load returns the requests at the slow target as a multiple of those at another.
		load := func(policy slots.Policy) (within, later float64) {
			var sums [2][2]float64
			for victim := range 8 {
				r := fleetReplay{policy: policy, unit: 100 * time.Millisecond, share: 0.4, duration: 20 * time.Second, seed: uint64(victim),
					slowness: func(target int, at time.Duration) float64 {
						if target == victim && at >= slowFrom && at < slowUntil {
							return 2.5
						}
						return 1
					}}.run()
				spans := [][2]time.Duration{{slowFrom, slowUntil}, {slowUntil + 2*time.Second, 19 * time.Second}}
				for i, span := range spans {
					samples := r.samples[span[0]/replaySample : span[1]/replaySample]
					sums[i][0] += meanRequests(samples, func(target int) bool { return target == victim })
					sums[i][1] += meanRequests(samples, func(target int) bool { return target != victim })
				}
			}
			return sums[0][0] / sums[0][1], sums[1][0] / sums[1][1]
		}
		within, later := load(withRates)
		Expect(within).To(BeNumerically("<", 1))
		Expect(later).To(And(BeNumerically(">", 0.75), BeNumerically("<", 1.25)))
		earlier, _ := load(slots.Policy{})
		Expect(earlier).To(BeNumerically(">=", 1), "the replay does not show the fault")
	})

	var l *slots.Ledger
	var now time.Time
	BeforeEach(func() { l, now = ratesLedger(2, perTarget), start })

	granted := func(change ...func(*slots.Request)) (slots.Request, slots.Grant) {
		GinkgoHelper()
		r := request(append([]func(*slots.Request){sized(10)}, change...)...)
		got := l.Grant(now, r, 0)
		Expect(got.Verdict).To(Equal(slots.Granted))
		return r, got
	}
	ended := func(r slots.Request, target string, took time.Duration) {
		l.End(now, r.ID.Holder, []slots.Ended{{Number: r.ID.Number, Target: target, Outcome: routing.Succeeded, Took: took}})
	}
	rate := func(target string) float64 {
		for _, r := range l.SlowestTargets(now, 100) {
			if r.ID == target {
				return r.Rate
			}
		}
		return 1
	}
	// learn lets each target run requests alone, t0 for slow, t1 for a second.
	learn := func(slow time.Duration) {
		for range 40 {
			a, at := granted(without("t1"))
			Expect(at.Target).To(Equal("t0"))
			b, _ := granted(without("t0"))
			ended(a, "t0", slow)
			ended(b, "t1", time.Second)
		}
	}

	It("let a batch item and a request take the target that ends them first", func() {
		learn(3 * time.Second)
		for _, c := range []func(*slots.Request){batch, staying, batch} {
			_, got := granted(c)
			Expect(got.Target).To(Equal("t1"))
		}
		_, got := granted()
		Expect(got.Target).To(Equal("t0"))
	})

	// Failure guarded against: the time that a request spends in a target's queue counts as
	// a slow run, and the target that is used most looks like the slowest.
	It("do not count a request that queued at its target", func() {
		learn(time.Second)
		for range 2 * perTarget {
			granted()
		}
		queued, got := granted()
		Expect(got.Running).To(Equal(perTarget))
		before := rate(got.Target)
		ended(queued, got.Target, time.Minute)
		Expect(rate(got.Target)).To(Equal(before))
	})

	// Failure guarded against: a new leader does not know the size of a request that began
	// before, and takes a long one for a slow target.
	It("do not count a lease that was learned from a report", func() {
		learn(time.Second)
		before := rate("t0")
		l.Report(now, "other", []slots.Running{{Number: 1, Target: "t0"}}, nil)
		now = now.Add(slots.ReportInterval)
		l.Expire(now)
		l.End(now, "other", []slots.Ended{{Number: 1, Target: "t0", Outcome: routing.Succeeded, Took: time.Minute}})
		Expect(rate("t0")).To(Equal(before))
	})

	// Failure guarded against: a target hangs, and gets requests until the first of them
	// times out.
	It("count a request that is still running after three times its expected time", func() {
		learn(time.Second)
		before := rate("t0")
		r, _ := granted(without("t1"))
		report := func(d time.Duration) {
			now = now.Add(d)
			l.Report(now, "h", []slots.Running{{Number: r.ID.Number, Target: "t0"}}, nil)
			l.Expire(now)
		}
		report(2 * time.Second)
		Expect(rate("t0")).To(BeNumerically("<=", before))
		report(1100 * time.Millisecond)
		slow := rate("t0")
		Expect(slow).To(BeNumerically("~", 1.2, 0.05))
		report(900 * time.Millisecond) // longer than three times the time expected now
		Expect(rate("t0")).To(Equal(slow), "one run counts once")
		ended(r, "t0", 4*time.Second)
		Expect(rate("t0")).To(Equal(slow), "one run counts once")
	})

	// Failure guarded against: a daemon dies, its leases remain until they expire, and the
	// targets that served it look slow.
	It("do not count a run whose holder no longer reports it", func() {
		l = ratesLedger(2, perTarget)
		learn(100 * time.Millisecond)
		granted(without("t1"), sized(1))
		now = now.Add(slots.LeaseTTL - time.Millisecond)
		before := rate("t0")
		l.Expire(now)
		Expect(rate("t0")).To(Equal(before))
	})

	It("return to 1 without observations, are kept with the target, and are unknown after a restart", func() {
		learn(5 * time.Second)
		slow := rate("t0")
		Expect(l.RateChanges(now)).To(HaveLen(1))
		Expect(l.RateChanges(now)).To(BeEmpty())
		now = now.Add(11 * time.Second)
		Expect(rate("t0") - 1).To(BeNumerically("~", (slow-1)/2, 0.01))
		targets := []slots.Target{{Start: "t0", Slots: perTarget}, {Start: "t1.2", Slots: perTarget}}
		l.SetTargets(map[string][]slots.Target{"g": targets})
		Expect(rate("t0") - 1).To(BeNumerically("~", (slow-1)/2, 0.01))
		Expect(l.SlowestTargets(now, 10)).To(HaveLen(1))
		now = now.Add(time.Minute)
		Expect(rate("t0")).To(BeNumerically("~", 1, 0.05))
		Expect(l.RateChanges(now)).To(HaveLen(1), "it has returned below the threshold")
	})

	// Failure guarded against: in a zone with more targets than a grant examines, an empty
	// target that is slow is granted at once, although a fast one is free.
	It("let an empty slow target of a large group wait for work while a better one is in the sample", func() {
		const many = 100
		l = ratesLedger(many, perTarget)
		for range 30 {
			for i := range many {
				r := request(sized(10), onlyTarget(many, i))
				Expect(l.Grant(now, r, 0).Target).To(Equal(fmt.Sprint("t", i)))
				took := time.Second
				if i != 5 {
					took = 10 * time.Second
				}
				ended(r, fmt.Sprint("t", i), took)
			}
		}
		for range 3 {
			_, got := granted()
			Expect(got.Target).To(Equal("t5"))
		}
		Expect(l.Counts()).To(HaveKeyWithValue("t5", board.Count{Online: 3}))
	})

	It("learn nothing and change nothing without the policy", func() {
		l = ledger(2)
		learn(5 * time.Second)
		Expect(l.SlowestTargets(now, 10)).To(BeEmpty())
		Expect(l.RateChanges(now)).To(BeEmpty())
	})
})

// ratesLedger returns a ledger of n targets that learns their rates.
func ratesLedger(n, perTarget int) *slots.Ledger {
	l := slots.NewLedgerWith(withRates)
	var targets []slots.Target
	for i := range n {
		targets = append(targets, slots.Target{Start: fmt.Sprint("t", i), Slots: perTarget})
	}
	l.SetTargets(map[string][]slots.Target{"g": targets})
	return l
}

func sized(work float64) func(*slots.Request) { return func(r *slots.Request) { r.Work = work } }

// onlyTarget excludes all but one of n targets.
func onlyTarget(n, target int) func(*slots.Request) {
	return func(r *slots.Request) {
		for i := range n {
			if i != target {
				r.Exclude = append(r.Exclude, fmt.Sprint("t", i))
			}
		}
	}
}
