package admission

import "time"

const (
	// UrgentWindow is the slack below which an item's weight begins to rise.
	UrgentWindow = 15 * time.Minute
	// UrgentWeight is the weight that an item without any slack reaches, if its
	// profile's own weight is lower. It stays at a half: work that is late takes
	// at most half of the slots that online leaves over.
	UrgentWeight = 0.5
)

// ForecastFinish tells when a backlog of items is finished at a rate of items a
// second; false when the rate is not known.
func ForecastFinish(now time.Time, backlog int, rate float64) (time.Time, bool) {
	if backlog <= 0 {
		return now, true
	}
	if rate <= 0 {
		return time.Time{}, false
	}
	seconds := float64(backlog) / rate
	const horizon = 365 * 24 * time.Hour
	if seconds > horizon.Seconds() {
		return now.Add(horizon), true
	}
	return now.Add(time.Duration(seconds * float64(time.Second))), true
}

// EffectiveWeight raises a profile's batch weight as the due time comes near:
// with slack = due − max(now, forecast), the weight stays base at a slack of
// UrgentWindow or more, rises in a straight line, and is UrgentWeight at no
// slack. It never falls below base.
func EffectiveWeight(base float64, now, due, forecast time.Time) float64 {
	if due.IsZero() || base >= UrgentWeight {
		return base
	}
	from := now
	if forecast.After(from) {
		from = forecast
	}
	slack := due.Sub(from)
	if slack >= UrgentWindow {
		return base
	}
	urgency := 1 - max(float64(slack), 0)/float64(UrgentWindow)
	return base + (UrgentWeight-base)*urgency
}

// rateHalfLife is how fast the estimate of Rate forgets.
const rateHalfLife = 30 * time.Second

// Rate estimates finished items a second over about the last minute. The zero
// value is ready.
type Rate struct {
	since time.Time
	last  time.Time
	// weight and time decay together, so that their quotient is a rate from
	// the first item on.
	items   float64
	seconds float64
}

// Observe adds n finished items.
func (r *Rate) Observe(now time.Time, n int) {
	r.advance(now)
	r.items += float64(n)
}

// PerSecond returns the estimate at now; 0 before anything was observed.
func (r *Rate) PerSecond(now time.Time) float64 {
	r.advance(now)
	if r.seconds <= 0 {
		return 0
	}
	return r.items / r.seconds
}

func (r *Rate) advance(now time.Time) {
	if r.since.IsZero() {
		r.since, r.last = now, now
		return
	}
	d := now.Sub(r.last)
	if d <= 0 {
		return
	}
	decay := halfLifeDecay(d)
	r.items *= decay
	r.seconds = r.seconds*decay + d.Seconds()
	r.last = now
}
