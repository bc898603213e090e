package admission

import "time"

const (
	// UrgentWindow is the slack below which an item's weight begins to rise.
	UrgentWindow = 15 * time.Minute
	// UrgentWeight is the weight of an item without slack, if its profile's own weight is
	// lower. It is a half so that late work takes at most half of the slots that online
	// work leaves free.
	UrgentWeight = 0.5
)

// ForecastFinish returns when a backlog of items will be finished at a rate in items per
// second. It returns false if the rate is not known.
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

// EffectiveWeight raises a profile's batch weight as the due time approaches. The slack is
// due − max(now, forecast). The weight is base at a slack of UrgentWindow or more, rises
// linearly as the slack shrinks, and is UrgentWeight at no slack. It is never below base.
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

// rateHalfLife is the half-life with which Rate discounts past items.
const rateHalfLife = 30 * time.Second

// Rate estimates the finished items per second over about the last minute. The zero value
// is ready to use.
type Rate struct {
	since time.Time
	last  time.Time
	// items and seconds decay together, so that their quotient is a rate from the first
	// item on.
	items   float64
	seconds float64
}

// Observe adds n finished items.
func (r *Rate) Observe(now time.Time, n int) {
	r.advance(now)
	r.items += float64(n)
}

// PerSecond returns the estimate at now; 0 before the first observation.
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
