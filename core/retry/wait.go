package retry

import "time"

const (
	// LongestWait is the maximum wait for a target about which nothing is learned yet, or
	// where the request may have to queue. Callers abandon a stream that is silent for
	// 2 s, and a queue of this length would have been refused on arrival.
	LongestWait = 1200 * time.Millisecond
	// ShortestWait keeps a brief stall of a host or target from causing a second run:
	// targets answer within some 120 ms, 99 times in 100, where a slot was free.
	ShortestWait = 200 * time.Millisecond
	// minAnswers is how many answers must be observed before the maximum wait follows
	// them.
	minAnswers = 16
	// gain is the weight of a new measurement.
	gain = 1.0 / 8
	// deviations is by how many mean deviations an answer may exceed the mean.
	deviations = 6
	// timeoutFactor is what a timeout counts as, in multiples of the wait: the answer may
	// have been about to arrive.
	timeoutFactor = 2
	// usualDeviations is by how many mean deviations nearly all answers exceed the mean at
	// most.
	usualDeviations = 2
)

// WaitEstimator learns how long targets take to the first sign of an answer, and returns
// the wait after which a request with a slot of its own is better retried elsewhere.
//
// Load pattern: targets stop answering with connections open, a sixth of them at once.
// Each is sent a request for each of its slots, and without an estimate all of these would
// wait for LongestWait, several times the objective, before they are retried.
//
// Failure guarded against: all targets become slow together. A maximum wait that only
// followed the answers that came in time would give up every request and double the load.
// So a timeout counts as an answer that took longer, and a few timeouts raise the maximum
// wait above what the targets now take.
type WaitEstimator struct {
	mean, deviation float64 // seconds
	answers         int
}

// Answered records the time to the first sign of an answer.
func (e *WaitEstimator) Answered(took time.Duration) {
	seconds := took.Seconds()
	if e.answers == 0 {
		e.mean, e.deviation = seconds, seconds/2
	} else {
		difference := seconds - e.mean
		e.mean += gain * difference
		e.deviation += gain * (max(difference, -difference) - e.deviation)
	}
	e.answers++
}

// TimedOut records a request that was given up after the wait.
func (e *WaitEstimator) TimedOut(wait time.Duration) { e.Answered(timeoutFactor * wait) }

// Usual returns the time within which nearly all answers begin, 0 if nothing is learned
// yet.
func (e *WaitEstimator) Usual() time.Duration {
	usual := time.Duration((e.mean + usualDeviations*e.deviation) * float64(time.Second))
	return min(usual, LongestWait)
}

// MaxWait returns how long to wait for the first sign of an answer where the request has
// a slot of its own.
func (e *WaitEstimator) MaxWait() time.Duration {
	if e.answers < minAnswers {
		return LongestWait
	}
	learned := time.Duration((e.mean + deviations*e.deviation) * float64(time.Second))
	return min(max(learned, ShortestWait), LongestWait)
}
