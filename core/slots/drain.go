package slots

import "time"

const (
	// drainWindow is the time over which slots that become free are counted, in steps of
	// drainStep.
	drainWindow = time.Second
	drainSteps  = 20
	drainStep   = drainWindow / drainSteps
	// minObserved is the shortest observation from which a rate is estimated.
	minObserved = 200 * time.Millisecond
)

// drain counts the slots that have become free in the last second. The zero value has
// observed nothing.
type drain struct {
	// since is when the observation began.
	since time.Time
	// steps counts by time since then, modulo the window; last is the current step.
	steps [drainSteps]int
	last  int64
}

// add counts n slots that have become free.
func (d *drain) add(now time.Time, n int) {
	d.advance(now)
	d.steps[d.last%drainSteps] += n
}

// perSecond returns how many slots became free in the last second. known is false until a
// full second has been observed.
func (d *drain) perSecond(now time.Time) (rate float64, known bool) {
	elapsed := d.advance(now)
	if elapsed < drainWindow {
		return 0, false
	}
	// The current step has only begun.
	span := drainWindow - drainStep + elapsed%drainStep
	return float64(d.sum()) / span.Seconds(), true
}

// soFar is perSecond, but from minObserved on it uses the time observed so far.
func (d *drain) soFar(now time.Time) float64 {
	if rate, known := d.perSecond(now); known {
		return rate
	}
	if elapsed := d.advance(now); elapsed >= minObserved {
		return float64(d.sum()) / elapsed.Seconds()
	}
	return 0
}

func (d *drain) sum() int {
	sum := 0
	for _, n := range d.steps {
		sum += n
	}
	return sum
}

// advance clears the steps that have left the window and returns the time since the
// observation began. Steps are numbered by that time, not by the wall clock, which may be
// set back: one step would then collect all counts until the clock has caught up. If now
// itself goes back by more than concurrent calls explain, the observation begins anew.
func (d *drain) advance(now time.Time) time.Duration {
	elapsed := now.Sub(d.since)
	if d.since.IsZero() || elapsed < time.Duration(d.last-drainSteps)*drainStep {
		*d = drain{since: now}
		return 0
	}
	elapsed = max(elapsed, time.Duration(d.last)*drainStep)
	step := int64(elapsed / drainStep)
	for at := max(d.last+1, step-drainSteps+1); at <= step; at++ {
		d.steps[at%drainSteps] = 0
	}
	d.last = step
	return elapsed
}
