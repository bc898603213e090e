package slots_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"tarragonhollow.example/tarragonhollow/core/routing"
	"tarragonhollow.example/tarragonhollow/core/slots"
)

// waitZone is a ledger with a queue, and n targets.
type waitZone struct {
	*WithT
	ledger *slots.Ledger
	now    time.Time
}

func newWaitZone(t *testing.T, n int) *waitZone {
	z := &waitZone{WithT: NewWithT(t), ledger: slots.NewLedgerWith(slots.Policy{Queue: true}), now: start}
	z.setTargets(n)
	return z
}

func (z *waitZone) setTargets(n int) {
	targets := map[string][]slots.Target{}
	for i := range n {
		targets["g"] = append(targets["g"], slots.Target{Start: fmt.Sprint("t", i), Slots: perTarget})
	}
	z.ledger.SetTargets(targets)
}

func mayWait(r *slots.Request) {
	r.MayWait, r.ObjectiveLeft, r.DeadlineLeft = true, 300*time.Millisecond, 5*time.Second
}

func ranked(rank int) func(*slots.Request) { return func(r *slots.Request) { r.Rank = rank } }

func (z *waitZone) ask(change ...func(*slots.Request)) (slots.Request, slots.Grant) {
	r := request(append([]func(*slots.Request){mayWait}, change...)...)
	return r, z.ledger.Grant(z.now, r, r.ID.Number)
}

// fill takes all slots and returns the requests that have them, by target.
func (z *waitZone) fill(targets int) map[string][]slots.Request {
	taken := map[string][]slots.Request{}
	for range targets * perTarget {
		r, grant := z.ask()
		z.Expect(grant.Verdict).To(Equal(slots.Granted))
		taken[grant.Target] = append(taken[grant.Target], r)
	}
	return taken
}

// end ends a request at a target.
func (z *waitZone) end(r slots.Request, target string, took time.Duration) []slots.Delivery {
	z.ledger.End(z.now, r.ID.Holder, []slots.Ended{{Number: r.ID.Number, Target: target, Outcome: routing.Succeeded, Took: took}})
	return z.ledger.Dispatch(z.now)
}

// queued puts a request into the queue.
func (z *waitZone) queued(change ...func(*slots.Request)) slots.Request {
	r, grant := z.ask(change...)
	z.Expect(grant.Verdict).To(Equal(slots.Waiting))
	return r
}

// Guards against a freed slot that goes to a request whose holder has died, and stays taken
// until the lease expires.
func TestFreedSlotDoesNotGoToARequestThatWasNotRenewed(t *testing.T) {
	z := newWaitZone(t, 1)
	taken := z.fill(1)
	z.queued(func(r *slots.Request) { r.Patience = 2 * time.Second })
	z.now = z.now.Add(400 * time.Millisecond) // longer than the 300 ms of a place in the queue
	z.Expect(z.end(taken["t0"][0], "t0", time.Second)).To(BeEmpty())
	_, grant := z.ask()
	z.Expect(grant.Verdict).To(Equal(slots.Granted))
}

// Guards against a freed slot that goes to a target's queue, or to a less urgent request.
func TestFreedSlotGoesToTheFirstWaitingRequest(t *testing.T) {
	z := newWaitZone(t, 2)
	taken := z.fill(2)
	z.queued(ranked(1))
	second := z.queued(func(r *slots.Request) { r.ObjectiveLeft = 200 * time.Millisecond })
	first := z.queued(func(r *slots.Request) { r.ObjectiveLeft = 100 * time.Millisecond })
	excluding := z.queued(func(r *slots.Request) { r.ObjectiveLeft, r.Exclude = 50*time.Millisecond, []string{"t0"} })
	got := z.end(taken["t0"][0], "t0", time.Second)
	z.Expect(got).To(HaveLen(1))
	z.Expect(got[0].ID).To(Equal(first.ID))
	z.Expect(got[0].Grant.Target).To(Equal("t0"))
	z.Expect(z.end(taken["t1"][0], "t1", time.Second)[0].ID).To(Equal(excluding.ID))
	z.Expect(z.end(taken["t1"][1], "t1", time.Second)[0].ID).To(Equal(second.ID))
	z.Expect(z.ledger.Waiting()).To(Equal(map[string]int{"g": 1}))
}

// Guards against a slot that is taken twice because a holder did not receive its delivery.
func TestRenewalReturnsTheGrantMadeMeanwhile(t *testing.T) {
	z := newWaitZone(t, 1)
	taken := z.fill(1)
	r := z.queued()
	z.Expect(z.ledger.Grant(z.now, r, 1).Verdict).To(Equal(slots.Waiting))
	z.Expect(z.ledger.Waiting()["g"]).To(Equal(1))
	lost := z.end(taken["t0"][0], "t0", time.Second)
	z.Expect(lost).To(HaveLen(1))
	for range 2 {
		again := z.ledger.Grant(z.now, r, 2)
		z.Expect(again.Verdict).To(Equal(slots.Granted))
		z.Expect(again.Target).To(Equal(lost[0].Grant.Target))
	}
	z.Expect(z.ledger.Counts()["t0"].Online).To(Equal(perTarget))
}

// Guards against a renewal that prolongs a wait, and against a wait that goes on after the
// time that the holder states.
func TestRenewalOnlyShortensTheWait(t *testing.T) {
	z := newWaitZone(t, 1)
	z.fill(1)
	longer := z.queued(func(r *slots.Request) { r.Patience = 200 * time.Millisecond })
	shorter := z.queued(func(r *slots.Request) { r.Patience = time.Second })
	longer.Patience, shorter.Patience = time.Second, 100*time.Millisecond
	z.Expect(z.ledger.Grant(z.now, longer, 1).Verdict).To(Equal(slots.Waiting))
	z.Expect(z.ledger.Grant(z.now, shorter, 1).Verdict).To(Equal(slots.Waiting))
	for _, r := range []slots.Request{shorter, longer} {
		z.now = z.now.Add(100 * time.Millisecond)
		ended := z.ledger.Dispatch(z.now)
		z.Expect(ended).To(HaveLen(1))
		z.Expect(ended[0].ID).To(Equal(r.ID))
		z.Expect(ended[0].Grant.Verdict).To(Equal(slots.Overloaded))
	}
}

// Guards against requests that stay in the queue after their holder died, or wait for
// longer than their maximum wait.
func TestWaitsEnd(t *testing.T) {
	z := newWaitZone(t, 1)
	z.fill(1)
	lost, patient := z.queued(), z.queued(func(r *slots.Request) { r.Patience = 250 * time.Millisecond })
	left := z.queued()
	z.ledger.End(z.now, "h", []slots.Ended{{Number: left.ID.Number}})
	z.Expect(z.ledger.Waiting()["g"]).To(Equal(2))
	z.now = z.now.Add(250 * time.Millisecond)
	ended := z.ledger.Dispatch(z.now)
	z.Expect(ended).To(HaveLen(1))
	z.Expect(ended[0].ID).To(Equal(patient.ID))
	z.Expect(ended[0].Grant.Verdict).To(Equal(slots.Overloaded))
	z.now = z.now.Add(50 * time.Millisecond)
	z.Expect(z.ledger.Dispatch(z.now)).To(BeEmpty())
	z.Expect(z.ledger.Waiting()["g"]).To(BeZero(), "%v was not renewed for 300 ms", lost.ID)
}

// Guards against a queue that grows without bound, and against refusals for a wait that
// would have been short enough: 4 slots of 500 ms become free 8 times a second.
func TestQueueIsBounded(t *testing.T) {
	z := newWaitZone(t, 1)
	taken := z.fill(1)
	z.end(taken["t0"][0], "t0", 500*time.Millisecond)
	z.ask()
	// 8 requests ahead take 1 s, the maximum wait.
	for range 9 {
		z.queued()
	}
	_, refused := z.ask()
	z.Expect(refused.Verdict).To(Equal(slots.Overloaded))
	z.Expect(refused.Wait).To(BeNumerically(">", time.Second))
	// A more urgent one waits for less. The least urgent one is refused for it once the
	// queue is full, at 16.
	for range 7 {
		z.queued(func(r *slots.Request) { r.Patience = 2 * time.Second })
	}
	z.queued(ranked(-1))
	z.Expect(z.ledger.Waiting()["g"]).To(Equal(16))
	ended := z.ledger.Dispatch(z.now)
	z.Expect(ended).To(HaveLen(1))
	z.Expect(ended[0].Grant.Verdict).To(Equal(slots.Overloaded))
}

// Guards against requests that wait although the zone has lost its last healthy target, or
// all targets.
func TestRequestsDoNotWaitForTargetsThatAreDown(t *testing.T) {
	z := newWaitZone(t, 2)
	z.fill(2)
	first, second := z.queued(), z.queued()
	for _, target := range []string{"t0", "t1"} {
		z.ledger.End(z.now, "h", []slots.Ended{{Target: target, Outcome: routing.HardFailed}})
	}
	z.now = z.now.Add(200 * time.Millisecond)
	z.Expect(z.ledger.Dispatch(z.now)).To(HaveLen(2))
	z.Expect(z.ledger.Waiting()["g"]).To(BeZero())
	_, grant := z.ask()
	z.Expect(grant.Verdict).To(Equal(slots.Granted), "without a healthy target, requests queue at the others")

	z = newWaitZone(t, 1)
	z.fill(1)
	z.ledger.Grant(z.now, first, 1)
	z.ledger.Grant(z.now, second, 1)
	z.setTargets(0)
	ended := z.ledger.Dispatch(z.now)
	z.Expect(ended).To(HaveLen(2))
	z.Expect(ended[0].Grant.Verdict).To(Equal(slots.None))
}

// Guards against targets of short requests that idle while a slot is handed over, and
// against queues at all others.
func TestOnlyTargetsOfShortRequestsHoldOneMore(t *testing.T) {
	for took, want := range map[time.Duration]slots.Verdict{199 * time.Millisecond: slots.Granted, 200 * time.Millisecond: slots.Waiting} {
		z := newWaitZone(t, 1)
		taken := z.fill(1)
		z.end(taken["t0"][0], "t0", took)
		z.ask()
		_, grant := z.ask()
		z.Expect(grant.Verdict).To(Equal(want), "%s", took)
		z.queued()
	}
}

// Guards against a request that gets room beyond the slots of a target, where it would wait
// past its maximum wait: 4 slots of 160 ms become free every 40 ms.
func TestRoomBeyondTheSlotsGoesToRequestsThatCanWait(t *testing.T) {
	z := newWaitZone(t, 1)
	taken := z.fill(1)
	z.end(taken["t0"][0], "t0", 160*time.Millisecond)
	z.ask()
	z.ask()
	z.queued(func(r *slots.Request) { r.Patience = 39 * time.Millisecond })
	patient := z.queued(ranked(1))
	got := z.end(taken["t0"][1], "t0", 160*time.Millisecond)
	z.Expect(got).To(HaveLen(1))
	z.Expect(got[0].ID).To(Equal(patient.ID))
}

// Guards against requests that wait here while another zone has free slots, and against
// daemons of the previous build, or the old behaviour, being given the new verdict.
func TestOthersDoNotWait(t *testing.T) {
	z := newWaitZone(t, 1)
	z.fill(1)
	waiting := z.queued()
	old, grant := z.ask(func(r *slots.Request) { r.MayWait = false })
	z.Expect(grant.Verdict).To(Equal(slots.Granted))
	z.Expect(z.ledger.Counts()["t0"].Online).To(Equal(perTarget+1), "%v queues at the target", old.ID)
	_, grant = z.ask(visiting)
	z.Expect(grant.Verdict).To(Equal(slots.None))
	_, grant = z.ask(batch)
	z.Expect(grant.Verdict).To(Equal(slots.None))
	z.ledger.ApplyRemoteFree(z.now, "y", "leader", map[string]int{"g": 8})
	z.Expect(z.ledger.Grant(z.now, waiting, 1).Verdict).To(Equal(slots.Elsewhere))
	off := slots.NewLedger()
	off.SetTargets(map[string][]slots.Target{"g": {{Start: "t0", Slots: 1}}})
	for range 5 {
		z.Expect(off.Grant(start, request(mayWait), 1).Verdict).To(Equal(slots.Granted))
	}
}

// Guards against slots granted twice at the same time, requests that wait past their
// bound or overtake more urgent ones, and state that a drained queue leaves behind,
// whatever is requested, renewed, ended, reported and lost.
func TestQueueKeepsItsBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const targets = 3
		l := slots.NewLedgerWith(slots.Policy{Queue: true})
		var list []slots.Target
		for i := range targets {
			list = append(list, slots.Target{Start: fmt.Sprint("t", i), Slots: 2})
		}
		l.SetTargets(map[string][]slots.Target{"g": list})
		now := start
		running, waiting := map[uint64]string{}, map[uint64]slots.Request{}
		until := map[uint64]time.Time{}
		next := uint64(0)
		atTarget := func(target string) int {
			n := 0
			for _, at := range running {
				if at == target {
					n++
				}
			}
			return n
		}
		apply := func(number uint64, grant slots.Grant) {
			switch grant.Verdict {
			case slots.Waiting:
				return
			case slots.Granted:
				r := waiting[number]
				// The room beyond the slots is of no use to a request that would wait there
				// for longer than it can: at most 200 ms for a target's 2 slots.
				usable := now
				if atTarget(grant.Target) >= 2 {
					usable = now.Add(100 * time.Millisecond)
				}
				for other, w := range waiting {
					if other != number && w.Rank < r.Rank && len(w.Exclude) == 0 && until[other].After(usable) {
						t.Fatalf("%d of rank %d overtook %d of rank %d", number, r.Rank, other, w.Rank)
					}
				}
				if until[number].Before(now) {
					t.Fatalf("%d waited past its bound", number)
				}
				running[number] = grant.Target
			}
			delete(waiting, number)
		}
		dispatch := func() {
			for _, d := range l.Dispatch(now) {
				if _, waits := waiting[d.ID.Number]; !waits {
					t.Fatalf("delivery for %d, which does not wait", d.ID.Number)
				}
				apply(d.ID.Number, d.Grant)
			}
			counts := map[string]int{}
			for _, target := range running {
				counts[target]++
			}
			for _, target := range list {
				// One beyond the slots at targets of short requests.
				if n := l.Counts()[target.Start].Online; n > target.Slots+1 || n != counts[target.Start] {
					t.Fatalf("%d leases at %s, %d run", n, target.Start, counts[target.Start])
				}
			}
			for number := range waiting {
				if !until[number].After(now) {
					t.Fatalf("%d still waits past its bound", number)
				}
			}
			if n := l.Waiting()["g"]; n != len(waiting) {
				t.Fatalf("%d wait, want %d", n, len(waiting))
			}
		}
		anyOf := func(name string, number func(uint64) bool) (uint64, bool) {
			var all []uint64
			for n := range next {
				if number(n + 1) {
					all = append(all, n+1)
				}
			}
			if len(all) == 0 {
				return 0, false
			}
			return rapid.SampledFrom(all).Draw(t, name), true
		}
		runs := func(n uint64) bool { return running[n] != "" }
		waits := func(n uint64) bool { return waiting[n].Group != "" }
		renew := func(n uint64) {
			r := waiting[n]
			r.Patience = until[n].Sub(now)
			apply(n, l.Grant(now, r, n))
		}
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 90).Draw(t, "ms")) * time.Millisecond)
			dispatch()
			for n := range next {
				if waits(n + 1) {
					renew(n + 1)
				}
			}
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0, 1, 2:
				next++
				r := slots.Request{ID: slots.ID{Holder: "h", Number: next}, Group: "g", MayWait: true, Rank: rapid.IntRange(0, 2).Draw(t, "rank"),
					Patience:      time.Duration(rapid.IntRange(0, 1000).Draw(t, "patience")) * time.Millisecond,
					ObjectiveLeft: time.Duration(rapid.IntRange(-100, 300).Draw(t, "objective")) * time.Millisecond, DeadlineLeft: 2 * time.Second}
				if rapid.Bool().Draw(t, "retry") {
					r.Exclude = []string{"t0"}
				}
				waiting[next], until[next] = r, now.Add(r.Patience)
				apply(next, l.Grant(now, r, next))
			case 3:
				if n, found := anyOf("ended", runs); found {
					target := running[n]
					delete(running, n)
					l.End(now, "h", []slots.Ended{{Number: n, Target: target, Outcome: routing.Succeeded,
						Took: time.Duration(rapid.IntRange(50, 600).Draw(t, "took")) * time.Millisecond}})
				}
			case 4:
				if n, found := anyOf("left", waits); found {
					delete(waiting, n)
					l.End(now, "h", []slots.Ended{{Number: n}})
				}
			}
			var report []slots.Running
			for n, target := range running {
				report = append(report, slots.Running{Number: n, Target: target})
			}
			l.Report(now, "h", report, nil)
			dispatch()
		}
		for n := range next {
			l.End(now, "h", []slots.Ended{{Number: n + 1}})
		}
		if len(l.Counts()) > 0 || l.Waiting()["g"] != 0 || len(l.Dispatch(now)) > 0 {
			t.Fatal("the drained queue keeps state")
		}
	})
}
