package returns_test

import (
	"flag"
	"fmt"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"tarragonhollow.example/tarragonhollow/core/returns"
	"tarragonhollow.example/tarragonhollow/core/routing"
)

const (
	// interval is the time between two slots that become free, at 100 requests a second.
	interval  = 10 * time.Millisecond
	queueTime = 250 * time.Millisecond
	patience  = 200 * time.Millisecond
	left      = 5 * time.Second
)

var start = time.Unix(1000, 0)

func init() { _ = flag.Set("rapid.seed", "1") }

// most returns the largest number of returns within any window.
func most(times []time.Time, window time.Duration) int {
	slices.SortFunc(times, time.Time.Compare)
	largest, first := 0, 0
	for i := range times {
		for times[i].Sub(times[first]) >= window {
			first++
		}
		largest = max(largest, i-first+1)
	}
	return largest
}

// returnTimes plays 120 refusals within 60 ms, by the rule given, and returns when the
// callers arrive again.
func returnTimes(retryAfter func(now time.Time, i int) time.Duration) []time.Time {
	var times []time.Time
	for i := range 120 {
		now := start.Add(time.Duration(i/2) * time.Millisecond)
		times = append(times, now.Add(retryAfter(now, i)))
	}
	return times
}

// Guards against refused callers that all return at the same time and are refused again:
// item 6 of the observations in docs/design/0015. Load: a burst of 120 refusals, slots for
// 100 requests a second.
func TestRefusedCallersReturnAtTheRateThatCanBeServed(t *testing.T) {
	g := NewWithT(t)
	const window = 200 * time.Millisecond
	servable := int(window / interval)

	r := returns.New()
	paced := returnTimes(func(now time.Time, i int) time.Duration {
		return r.Refuse(now, returns.Refusal{Group: "g", Content: uint64(i + 1), QueueTime: queueTime, Interval: interval, Left: left})
	})
	g.Expect(most(paced, window)).To(BeNumerically("<=", servable+1))
	g.Expect(slices.MinFunc(paced, time.Time.Compare)).To(Equal(start.Add(queueTime)), "the first slot after the queue is used")

	earlier := returnTimes(func(time.Time, int) time.Duration {
		return time.Duration(routing.TooBusy("g", queueTime, patience).RetryAfterMs) * time.Millisecond
	})
	g.Expect(most(earlier, window)).To(BeNumerically(">", 5*servable), "the earlier rule lets them return together")
}

// Guards against an account that floods and whose returns push back those of others.
func TestCallersBeyondTheirShareReturnBehindTheOthers(t *testing.T) {
	g := NewWithT(t)
	r := returns.New()
	refuse := func(beyond bool) time.Duration {
		return r.Refuse(start, returns.Refusal{Group: "g", BeyondShare: beyond, QueueTime: queueTime, Interval: interval, Left: left})
	}
	for range 20 {
		refuse(false)
	}
	last := refuse(false)
	first := refuse(true)
	g.Expect(first).To(Equal(last + interval))
	g.Expect(refuse(true)).To(Equal(first + interval))
	for range 50 {
		refuse(true)
	}
	g.Expect(refuse(false)).To(Equal(last+interval), "returns beyond a share use no place of the others")
}

// Guards against a caller that returns too early, too late or never was refused and that
// precedes others.
func TestACallerIsRecognisedWhenItReturnsAsTold(t *testing.T) {
	g := NewWithT(t)
	r := returns.New()
	after := r.Refuse(start, returns.Refusal{Group: "g", Content: 7, QueueTime: queueTime, Interval: interval, Left: left})
	due := start.Add(after)
	g.Expect(r.Returning(due.Add(-101*time.Millisecond), 7)).To(BeFalse())
	g.Expect(r.Returning(due.Add(-100*time.Millisecond), 7)).To(BeTrue())
	g.Expect(r.Returning(start.Add(5*time.Second), 7)).To(BeTrue())
	g.Expect(r.Returning(start.Add(5001*time.Millisecond), 7)).To(BeFalse())
	g.Expect(r.Returning(due, 8)).To(BeFalse())
	r.Refuse(start, returns.Refusal{Group: "g", Content: 0, Left: left})
	g.Expect(r.Returning(due, 0)).To(BeFalse(), "unknown content is not remembered")
}

// Guards against callers without a slot in time that push back the return times of those
// that come later.
func TestACallerThatIsToldItsBoundUsesNoPlace(t *testing.T) {
	g := NewWithT(t)
	r := returns.New()
	short := returns.Refusal{Group: "g", QueueTime: queueTime, Interval: interval, Left: 320 * time.Millisecond}
	for range 100 {
		g.Expect(r.Refuse(start, short)).To(Equal(100 * time.Millisecond))
	}
	long := short
	long.Left = left
	g.Expect(r.Refuse(start, long)).To(Equal(queueTime))
}

// Guards against an announced return beyond the time for which callers wait, against
// memory without bound, and against state that remains.
func TestReturnsAreBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := returns.New()
		now := start
		for range rapid.IntRange(0, 300).Draw(t, "refusals") {
			now = now.Add(time.Duration(rapid.IntRange(0, 50).Draw(t, "gap")) * time.Millisecond)
			f := returns.Refusal{
				Group:       rapid.SampledFrom([]string{"a", "b"}).Draw(t, "group"),
				Content:     rapid.Uint64().Draw(t, "content"),
				BeyondShare: rapid.Bool().Draw(t, "beyond"),
				QueueTime:   time.Duration(rapid.Int64Range(-1e9, 1e10).Draw(t, "queue")),
				Interval:    time.Duration(rapid.Int64Range(-1e6, 1e9).Draw(t, "interval")),
				Left:        time.Duration(rapid.Int64Range(-1e9, 1e10).Draw(t, "left")),
			}
			after := r.Refuse(now, f)
			if after < 0 || after > max(0, f.Left/3) {
				t.Fatalf("told to return after %v with %v left", after, f.Left)
			}
		}
		r.Expire(now.Add(5*time.Second + time.Millisecond))
		if r.Len() != 0 {
			t.Fatalf("%d schedules and contents remain", r.Len())
		}
	})
}

// Guards against refused contents without end that fill the leader's memory.
func TestMemoryOfRefusedContentsIsBounded(t *testing.T) {
	g := NewWithT(t)
	r := returns.New()
	for i := range uint64(10_000) {
		r.Refuse(start, returns.Refusal{Group: "g", Content: i + 1, QueueTime: queueTime, Interval: interval, Left: left})
	}
	g.Expect(r.Len()).To(BeNumerically("<=", 4096+1))
	g.Expect(r.Returning(start.Add(2*time.Second), 10_000)).To(BeTrue(), "the latest are kept")
}

// Guards against a caller that is refused again and again and precedes new ones for good.
func TestACallerThatIsRefusedAgainKeepsTheTimeOfItsFirstRefusal(t *testing.T) {
	g := NewWithT(t)
	r := returns.New()
	refusal := returns.Refusal{Group: "g", Content: 7, QueueTime: queueTime, Interval: interval, Left: left}
	r.Refuse(start, refusal)
	again := start.Add(3 * time.Second)
	due := again.Add(r.Refuse(again, refusal))
	g.Expect(r.Returning(due.Add(-101*time.Millisecond), 7)).To(BeFalse(), "the second return time counts")
	g.Expect(r.Returning(due, 7)).To(BeTrue())
	g.Expect(r.Returning(start.Add(5001*time.Millisecond), 7)).To(BeFalse())
}

// Guards against names of groups without end that fill the leader's memory.
func TestSchedulesAreBounded(t *testing.T) {
	g := NewWithT(t)
	r := returns.New()
	for i := range 1000 {
		r.Refuse(start, returns.Refusal{Group: fmt.Sprint("g", i), QueueTime: queueTime, Interval: interval, Left: left})
	}
	g.Expect(r.Len()).To(Equal(256))
}

// Guards against the returns of callers within and beyond their share that are announced for
// the same slots. Load: callers within their share are refused every 20 ms, half of the 100
// a second that can be served, and callers of a flood every 5 ms.
func TestReturnsWithinAndBeyondAShareAreServedTogether(t *testing.T) {
	g := NewWithT(t)
	const window, settled = 200 * time.Millisecond, 3 * time.Second
	servable := int(window / interval)
	r := returns.New()
	var all, beyond []time.Time
	for at := time.Duration(0); at < 10*time.Second; at += 5 * time.Millisecond {
		now := start.Add(at)
		if at%(20*time.Millisecond) == 0 {
			due := now.Add(r.Refuse(now, returns.Refusal{Group: "g", QueueTime: queueTime, Interval: interval, Left: left}))
			g.Expect(due).To(Equal(now.Add(queueTime)), "those within their share keep their schedule")
			all = append(all, due)
		}
		// The bound lies between two places, so that a place is never at the bound.
		const left = left + 6*time.Millisecond
		after := r.Refuse(now, returns.Refusal{Group: "g", BeyondShare: true, QueueTime: queueTime, Interval: interval, Left: left})
		if after < (left-20*time.Millisecond)/3 {
			all, beyond = append(all, now.Add(after)), append(beyond, now.Add(after))
		}
	}
	early := func(at time.Time) bool { return at.Before(start.Add(settled)) }
	late := func(at time.Time) bool { return at.After(start.Add(10 * time.Second)) }
	all, beyond = slices.DeleteFunc(slices.DeleteFunc(all, early), late), slices.DeleteFunc(slices.DeleteFunc(beyond, early), late)
	g.Expect(most(all, window)).To(BeNumerically("<=", servable+1))
	g.Expect(len(beyond)).To(BeNumerically(">=", 300), "those beyond it get what remains, 50 a second in 7 s")
}

// Guards against the same in a burst: callers within and beyond their share are refused in
// turn, 60 of each within 60 ms. The schedule of the first takes every place, but until they
// are refused it is not known that they will: those beyond may use half of the places.
func TestABurstOfAlternatingRefusalsIsSpread(t *testing.T) {
	g := NewWithT(t)
	const window = 200 * time.Millisecond
	servable := int(window / interval)
	r := returns.New()
	var within, beyond []time.Time
	for i, at := range returnTimes(func(now time.Time, i int) time.Duration {
		return r.Refuse(now, returns.Refusal{Group: "g", BeyondShare: i%2 == 1, QueueTime: queueTime, Interval: interval, Left: left})
	}) {
		if i%2 == 0 {
			within = append(within, at)
		} else {
			beyond = append(beyond, at)
		}
	}
	for i, at := range within {
		g.Expect(at).To(Equal(start.Add(queueTime + time.Duration(i)*interval)))
	}
	g.Expect(most(beyond, window)).To(BeNumerically("<=", servable/2+1))
	g.Expect(most(slices.Concat(within, beyond), window)).To(BeNumerically("<=", servable*3/2+1))
}
