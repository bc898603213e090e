package batch

import "time"

const (
	// maxGoneVersionWait bounds the wait for a software version that no target has. Targets
	// whose entries expired while the store was unavailable are back within 2.2 s of its return.
	maxGoneVersionWait = 2500 * time.Millisecond
	// defaultPerEvent is the time per event before any run was observed.
	defaultPerEvent = 40 * time.Millisecond
)

// RunTime estimates how long a run takes for a number of events.
func (e *Estimator) RunTime(events int64) time.Duration {
	each := e.perEvent
	if each == 0 {
		each = defaultPerEvent
	}
	return time.Duration(events) * each
}

// VersionWait returns how long an item waits for a slot at a target of the software version
// that sent its first event, before it may start over at another one. redo is the run time of
// the events that it would lose, slack how much of its time it would have left if it started
// over now, and served reports whether any usable target has the version.
//
// It waits no longer than what it loses by starting over took, so that it takes at most twice
// as long as with the better choice, and not beyond the moment at which it could still start
// over and be on time.
func VersionWait(redo, slack time.Duration, served bool) time.Duration {
	wait := redo
	if !served {
		wait = min(wait, maxGoneVersionWait)
	}
	if slack > 0 {
		wait = min(wait, slack)
	}
	return wait
}
