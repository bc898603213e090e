package retry

import "time"

const (
	// LongestSilence is the patience with a target of which nothing is learned, or
	// where the request may have to queue. Callers leave a stream that is silent for
	// 2 s, and a queue of this length would have been refused on arrival.
	LongestSilence = 1200 * time.Millisecond
	// ShortestSilence keeps a hiccup of host or target from costing a second run:
	// engines answer within some 120 ms, 99 times in 100, where a slot was free.
	ShortestSilence = 200 * time.Millisecond
	// learnedAfter is how many answers have to be seen before the patience follows
	// them.
	learnedAfter = 16
	// silenceGain is the weight of a new measurement.
	silenceGain = 1.0 / 8
	// deviations is how many mean deviations beyond the mean an answer may take.
	deviations = 6
	// giveUpFactor is what a silence that was given up counts as, in patiences: the
	// answer may have been about to come.
	giveUpFactor = 2
)

// Silence learns how long targets take to the first sign of an answer, and tells
// after what silence a request with a slot of its own is better tried elsewhere.
//
// Load pattern answered: engines go dark with connections open, a sixth of them at
// once. Each draws a request for each of its slots, and all of these wait for the
// longest patience before they go on, several times the objective.
//
// Failure guarded against: all targets become slow together. A patience that only
// followed the answers that came in time would give up every request and double the
// load. So a silence that was given up counts as an answer that took longer, and a
// few of them lengthen the patience beyond what the targets now take.
type Silence struct {
	mean, deviation float64 // seconds
	answers         int
}

// Answered takes the time to the first sign of an answer.
func (s *Silence) Answered(took time.Duration) {
	seconds := took.Seconds()
	if s.answers == 0 {
		s.mean, s.deviation = seconds, seconds/2
	} else {
		off := seconds - s.mean
		s.mean += silenceGain * off
		s.deviation += silenceGain * (max(off, -off) - s.deviation)
	}
	s.answers++
}

// GaveUp takes a silence that was given up after patience.
func (s *Silence) GaveUp(patience time.Duration) { s.Answered(giveUpFactor * patience) }

// Patience returns the silence after which a target is given up where the request has
// a slot of its own.
func (s *Silence) Patience() time.Duration {
	if s.answers < learnedAfter {
		return LongestSilence
	}
	learned := time.Duration((s.mean + deviations*s.deviation) * float64(time.Second))
	return min(max(learned, ShortestSilence), LongestSilence)
}
