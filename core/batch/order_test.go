package batch_test

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"tarragonhollow.example/tarragonhollow/core/batch"
)

// replayOverload simulates items that arrive faster than the slots can run them and returns
// how many of them finish on time.
func replayOverload(choose func(works []batch.Work) int) (inTime, all int) {
	const slots, step, due = 6, 100 * time.Millisecond, 18 * time.Second
	type item struct{ due, left time.Duration }
	random := rand.New(rand.NewPCG(1, 2))
	var waiting, running []item
	for now := time.Duration(0); now < 2*time.Minute; now += step {
		if now%time.Second == 0 && now < time.Minute {
			for range 2 {
				waiting = append(waiting, item{now + due, 2*time.Second + time.Duration(random.Int64N(int64(4*time.Second)))})
				all++
			}
		}
		for len(running) < slots && len(waiting) > 0 {
			works := make([]batch.Work, len(waiting))
			for i, w := range waiting {
				works[i] = batch.Work{Due: w.due - now, Left: w.left}
			}
			i := choose(works)
			running = append(running, waiting[i])
			waiting = slices.Delete(waiting, i, i+1)
		}
		for i := range running {
			running[i].left -= step
		}
		running = slices.DeleteFunc(running, func(r item) bool {
			if r.left <= 0 && now <= r.due {
				inTime++
			}
			return r.left <= 0
		})
	}
	return inTime, all
}

func earliest(works []batch.Work, among func(int) bool) int {
	best := -1
	for i, w := range works {
		if among(i) && (best < 0 || cmp.Less(w.Due, works[best].Due)) {
			best = i
		}
	}
	return best
}

// For a minute, a third more items arrive than can run. Ordered by due time alone, each of
// them waits behind late ones; the items that can finish on time must run first.
func TestOrderUnderOverloadAgainstDueTimes(t *testing.T) {
	naive, all := replayOverload(func(works []batch.Work) int {
		return earliest(works, func(int) bool { return true })
	})
	ordered, _ := replayOverload(func(works []batch.Work) int {
		first := batch.OnTime(works, 6)
		if i := earliest(works, func(i int) bool { return first[i] }); i >= 0 {
			return i
		}
		return earliest(works, func(int) bool { return true })
	})
	if ordered < naive*3/2 {
		t.Fatalf("%d of %d in time, %d by due times", ordered, all, naive)
	}
}

// All selected items fit the slots and finish on time, and if all items can finish on time,
// all are selected.
func TestOnTimeKeepsWhatFits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(0, 20).Draw(t, "items")
		slots := rapid.Float64Range(1, 8).Draw(t, "slots")
		works := make([]batch.Work, n)
		for i := range works {
			works[i] = batch.Work{
				Due:  time.Duration(rapid.IntRange(-5, 20).Draw(t, "due")) * time.Second,
				Left: time.Duration(rapid.IntRange(0, 9).Draw(t, "left")) * time.Second,
			}
		}
		fits := func(among func(int) bool) bool {
			order := []int{}
			for i := range works {
				if among(i) {
					order = append(order, i)
				}
			}
			slices.SortFunc(order, func(a, b int) int { return cmp.Compare(works[a].Due, works[b].Due) })
			sum := time.Duration(0)
			for _, i := range order {
				sum += works[i].Left
				if works[i].Left > works[i].Due || float64(sum) > slots*float64(works[i].Due) {
					return false
				}
			}
			return true
		}
		onTime := batch.OnTime(works, slots)
		if !fits(func(i int) bool { return onTime[i] }) {
			t.Fatalf("%v do not fit %v slots: %v", works, slots, onTime)
		}
		if fits(func(int) bool { return true }) && slices.Contains(onTime, false) {
			t.Fatalf("%v fit %v slots, selected %v", works, slots, onTime)
		}
	})
}

func TestEstimatorLearns(t *testing.T) {
	var e batch.Estimator
	if e.Remaining(1000, 0) != 0 {
		t.Fatal("estimate is not 0 before the first observation")
	}
	for range 50 {
		e.ObserveRun(100, 3*time.Second)
		e.ObserveFinished(200, 1000)
	}
	if got := e.Remaining(1000, 150); got < 1400*time.Millisecond || got > 1600*time.Millisecond {
		t.Fatalf("50 events of 30 ms are %v", got)
	}
	now := time.Unix(1000, 0)
	for i := range 200 {
		e.ObserveSlots(now.Add(time.Duration(i)*100*time.Millisecond), 10*(i%2))
	}
	if slots, known := e.Slots(); !known || slots < 4 || slots > 6 {
		t.Fatalf("%v slots, known: %v", slots, known)
	}
}
