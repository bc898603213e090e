package slots_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"tarragonhollow.example/tarragonhollow/core/routing"
	"tarragonhollow.example/tarragonhollow/core/slots"
)

// randomZone drives a ledger with random requests and ends.
type randomZone struct {
	t       *rapid.T
	ledger  *slots.Ledger
	now     time.Time
	number  uint64
	targets int
	running []slots.Ended
	batch   map[uint64]bool
	// count holds the number of requests at each target.
	count map[string]int
	// onEnd, if set, gets each end.
	onEnd func(slots.Ended)
}

func newRandomZone(t *rapid.T, policy slots.Policy) *randomZone {
	z := &randomZone{t: t, ledger: slots.NewLedgerWith(policy), now: start, targets: rapid.IntRange(1, 90).Draw(t, "targets"), batch: map[uint64]bool{}, count: map[string]int{}}
	var list []slots.Target
	for i := range z.targets {
		list = append(list, slots.Target{Start: fmt.Sprint("t", i), Slots: perTarget})
	}
	z.ledger.SetTargets(map[string][]slots.Target{"g": list})
	return z
}

// draw returns a random request.
func (z *randomZone) draw() (slots.Request, uint64) {
	z.number++
	r := slots.Request{ID: slots.ID{Holder: "h", Number: z.number}, Group: "g", Stay: true, Patience: time.Hour,
		Work: rapid.Float64Range(0, 1000).Draw(z.t, "work"), Batch: rapid.IntRange(0, 3).Draw(z.t, "batch") == 0}
	return r, rapid.Uint64().Draw(z.t, "seed")
}

func (z *randomZone) grant(r slots.Request, seed uint64) slots.Grant {
	got := z.ledger.Grant(z.now, r, seed)
	if got.Verdict == slots.Granted {
		z.count[got.Target]++
		z.batch[r.ID.Number] = r.Batch
		z.running = append(z.running, slots.Ended{Number: r.ID.Number, Target: got.Target, Outcome: routing.Succeeded})
	}
	// A preempted item ends at once: its slot counts as free, and would not be while it
	// still ran.
	for _, id := range got.Yield {
		z.endAt(slices.IndexFunc(z.running, func(e slots.Ended) bool { return e.Number == id.Number }), nil)
	}
	return got
}

// end ends a random request; took draws its time.
func (z *randomZone) end(took func() time.Duration) {
	if len(z.running) == 0 {
		return
	}
	z.endAt(rapid.IntRange(0, len(z.running)-1).Draw(z.t, "which"), took)
}

func (z *randomZone) endAt(i int, took func() time.Duration) {
	e := z.running[i]
	z.running = append(z.running[:i], z.running[i+1:]...)
	z.count[e.Target]--
	if !z.batch[e.Number] {
		e.Took = took()
	}
	z.ledger.End(z.now, "h", []slots.Ended{e})
	if z.onEnd != nil {
		z.onEnd(e)
	}
}

func (z *randomZone) anyTime() time.Duration {
	return time.Duration(rapid.Int64Range(1, int64(time.Hour)).Draw(z.t, "took"))
}

// Guards against a choice by rates that queues a request at a fast target while another
// one has a free slot.
func TestRatesNeverPreferAFullTarget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		z := newRandomZone(t, withRates)
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			z.now = z.now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "pause")) * time.Millisecond)
			if rapid.IntRange(0, 2).Draw(t, "what") == 0 {
				z.end(z.anyTime)
				continue
			}
			free := false
			for i := range z.targets {
				free = free || z.count[fmt.Sprint("t", i)] < perTarget
			}
			got := z.grant(z.draw())
			if free && (got.Verdict != slots.Granted || z.count[got.Target] > perTarget) {
				t.Fatalf("%v at %s with %d requests, while another target has a free slot", got.Verdict, got.Target, z.count[got.Target])
			}
		}
	})
}

// Guards against a rate that keeps all work from a target, or draws all work to it.
func TestRatesStayWithinBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		z := newRandomZone(t, withRates)
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			z.now = z.now.Add(time.Duration(rapid.IntRange(0, 5000).Draw(t, "pause")) * time.Millisecond)
			if rapid.Bool().Draw(t, "ends") {
				z.end(z.anyTime)
			} else {
				z.grant(z.draw())
			}
			z.ledger.Expire(z.now)
			for _, r := range z.ledger.SlowestTargets(z.now, z.targets) {
				if !(r.Rate >= 1.0/8 && r.Rate <= 8) {
					t.Fatalf("the rate of %s is %v", r.ID, r.Rate)
				}
			}
		}
	})
}

// Guards against a change of placement where targets do not differ.
func TestRatesOfEqualTargetsChooseByCounts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		z := newRandomZone(t, withRates)
		byCounts := slots.NewLedger()
		var list []slots.Target
		for i := range z.targets {
			list = append(list, slots.Target{Start: fmt.Sprint("t", i), Slots: perTarget})
		}
		byCounts.SetTargets(map[string][]slots.Target{"g": list})
		z.onEnd = func(e slots.Ended) { byCounts.End(z.now, "h", []slots.Ended{e}) }
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			z.now = z.now.Add(time.Duration(rapid.IntRange(0, 20).Draw(t, "pause")) * time.Millisecond)
			if rapid.IntRange(0, 2).Draw(t, "what") == 0 {
				z.end(func() time.Duration { return time.Second })
				continue
			}
			r, seed := z.draw()
			r.Work = 100
			want := byCounts.Grant(z.now, r, seed)
			if got := z.grant(r, seed); got.Target != want.Target || got.Verdict != want.Verdict {
				t.Fatalf("%v at %q by rates, %v at %q by counts", got.Verdict, got.Target, want.Verdict, want.Target)
			}
		}
	})
}
