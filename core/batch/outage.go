package batch

import "time"

const (
	// minOutagePause and maxOutagePause bound the pause before a refused submission should
	// return. The age of the outage lies between them: an outage that has lasted for some
	// time is likely to last as long again.
	minOutagePause = 500 * time.Millisecond
	maxOutagePause = 2 * time.Second
	// outagePauseSpread is how far a pause is spread to either side, as a part of it, so
	// that callers refused together do not return together.
	outagePauseSpread = 0.25
	// outagePausePart is the part of the caller's time left that the pause may take:
	// callers wait no longer.
	outagePausePart = 3
	// maxOutageGap is the longest time between two failures of one outage. A daemon that
	// does not read the log itself sees failures only when jobs are submitted to it, and
	// may have missed the end of an outage.
	maxOutageGap = 5 * time.Second
)

// Outage is what a daemon knows of an outage of the log that accepts jobs. The zero value
// has none.
type Outage struct {
	since, failedAt time.Time
}

// Failed records that the log gave no answer.
func (o *Outage) Failed(now time.Time) {
	if o.since.IsZero() || now.Sub(o.failedAt) > maxOutageGap {
		o.since = now
	}
	o.failedAt = now
}

// Succeeded records that the log answered.
func (o *Outage) Succeeded() { *o = Outage{} }

// Age returns for how long the log has failed without a success between.
func (o *Outage) Age(now time.Time) time.Duration {
	if o.since.IsZero() || now.Sub(o.failedAt) > maxOutageGap {
		return 0
	}
	return now.Sub(o.since)
}

// OutagePause returns when a caller should submit a job again that was refused because of
// an outage of the given age. left is the time until the caller's deadline, 0 for unknown;
// random is a random number of [0, 1).
//
// Load pattern: the log is out for seconds. A constant pause that is short enough for a
// short outage makes each job return many times in a long one.
func OutagePause(age, left time.Duration, random float64) time.Duration {
	pause := min(max(age, minOutagePause), maxOutagePause)
	pause += time.Duration(float64(pause) * outagePauseSpread * (2*random - 1))
	if left > 0 {
		pause = min(pause, left/outagePausePart)
	}
	return pause
}
