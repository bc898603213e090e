// Package load sends open-loop load to a running fleet and measures what
// callers see: the time to the first token, the time between tokens, and the
// batch items that finish meanwhile. Arrivals are drawn from a fixed seed, so
// that two policies meet the same requests at the same moments.
package load

import (
	"math/rand/v2"
	"time"
)

// Shape describes open-loop arrivals: a base rate with bursts on top.
type Shape struct {
	// Rate is the base rate in requests a second.
	Rate float64
	// BurstRate is the rate during a burst; 0 means no bursts.
	BurstRate float64
	// BurstEvery is the time from one burst's start to the next one's.
	BurstEvery time.Duration
	// BurstLength is how long a burst lasts.
	BurstLength time.Duration
}

// at returns the rate at an instant of the round.
func (s Shape) at(t time.Duration) float64 {
	if s.BurstRate <= 0 || s.BurstEvery <= 0 {
		return s.Rate
	}
	// The first burst comes half a period in, so that a round starts calm.
	phase := (t + s.BurstEvery/2) % s.BurstEvery
	if phase < s.BurstLength {
		return s.BurstRate
	}
	return s.Rate
}

// Arrivals returns the instants within the round at which requests are sent,
// in order: a Poisson process of the shape's rate, by thinning.
func Arrivals(s Shape, round time.Duration, seed uint64) []time.Duration {
	rng := rand.New(rand.NewPCG(seed, seed^0x9e3779b97f4a7c15))
	peak := max(s.Rate, s.BurstRate)
	if peak <= 0 {
		return nil
	}
	var out []time.Duration
	t := time.Duration(0)
	for {
		t += time.Duration(rng.ExpFloat64() / peak * float64(time.Second))
		if t >= round {
			return out
		}
		if rng.Float64()*peak < s.at(t) {
			out = append(out, t)
		}
	}
}
