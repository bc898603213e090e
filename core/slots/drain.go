package slots

import "time"

const (
	// drainWindow is the time over which slots that become free are counted, in steps of
	// drainStep.
	drainWindow = time.Second
	drainSteps  = 20
	drainStep   = drainWindow / drainSteps
)

// drain counts the slots that have become free in the last second. The zero value has
// observed nothing.
type drain struct {
	// since is when the observation began.
	since time.Time
	// steps counts by time, modulo the window; last is the step counted last.
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
	d.advance(now)
	if now.Sub(d.since) < drainWindow {
		return 0, false
	}
	sum := 0
	for _, n := range d.steps {
		sum += n
	}
	// The current step has only begun.
	span := drainWindow - drainStep + time.Duration(now.UnixNano()%int64(drainStep))
	return float64(sum) / span.Seconds(), true
}

// advance clears the steps that have left the window.
func (d *drain) advance(now time.Time) {
	if d.since.IsZero() {
		d.since = now
	}
	step := now.UnixNano() / int64(drainStep)
	for at := max(d.last+1, step-drainSteps+1); at <= step; at++ {
		d.steps[at%drainSteps] = 0
	}
	d.last = max(d.last, step)
}
