package slots

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// rateWeight is the weight of an observation in a target's rate.
	rateWeight = 0.1
	// minRate and maxRate bound a rate, so that a target always gets some work and its
	// rate can be corrected.
	minRate, maxRate = 1.0 / 8, 8.0
	// rateHalfLife is the time in which the distance of a rate from 1 halves while nothing
	// is observed, so that a target that was slow is tried again. It begins rateFresh after
	// the last observation: if it began at once, every rate would be drawn towards 1
	// between two observations.
	rateHalfLife = 10 * time.Second
	rateFresh    = time.Second
	// slowRunFactor times its expected time is when a request that is still running counts
	// as an observation.
	slowRunFactor = 3
	// minSlowRun is the shortest time of such a run: the end of a request reaches the
	// ledger some 10 ms later, which is long compared with the run of a short one.
	minSlowRun = 100 * time.Millisecond
	// slowRunInterval is the interval at which the runs are examined. It takes some 0.4 ms
	// with 14,400 runs.
	slowRunInterval = 100 * time.Millisecond
	// maxUnreported is how old the last report of a run may be. An older one says that its
	// holder is lost, and nothing about the target.
	maxUnreported = ReportInterval + maxGrantDelay
	// notableRate is the rate above which a target is reported as slow.
	notableRate = 1.5
)

// targetRate is how long a target takes for a unit of work, as a multiple of its group's
// mean. The zero value is the rate of an unknown target, 1.
type targetRate struct {
	value    float64
	observed time.Time
	// notable reports whether the rate was above notableRate at the last RateChanges.
	notable bool
}

// at returns the rate at the given time.
func (r *targetRate) at(now time.Time) float64 {
	if r.observed.IsZero() {
		return 1
	}
	idle := now.Sub(r.observed) - rateFresh
	if idle <= 0 {
		return r.value
	}
	return 1 + (r.value-1)*math.Exp2(-float64(idle)/float64(rateHalfLife))
}

// observe adds an observation of the rate.
func (r *targetRate) observe(now time.Time, observed float64) {
	before := r.at(now)
	r.value = before + rateWeight*(min(max(observed, minRate), maxRate)-before)
	r.observed = now
}

// pace is the mean work of a group's requests and the mean time, in seconds, that its
// targets take for a unit of work. The zero value has no observation.
type pace struct {
	work, secondsPerWork float64
	observations         int
}

// observe adds a request that one of the given number of targets has run. The average
// covers as many requests of each target as the target's own rate does.
func (p *pace) observe(work, seconds float64, targets int) {
	p.observations++
	weight := max(1/float64(p.observations), rateWeight/float64(max(1, targets)))
	p.work += weight * (work - p.work)
	p.secondsPerWork += weight * (seconds/work - p.secondsPerWork)
}

// workOf returns the work of a lease: that of its request, or the mean if its size is not
// known.
func (p *pace) workOf(le *lease) float64 {
	switch {
	case le.work > 0:
		return le.work
	case p.work > 0:
		return p.work
	default:
		return 1
	}
}

// observeRate records the service time of an online request that a target answered. The
// time of a request that queued at the target is not counted, nor that of a lease learned
// from a report, whose size and queueing are not known.
func (l *Ledger) observeRate(now time.Time, le *lease, took time.Duration) {
	g := l.groups[le.group]
	if !l.policy.TargetRates || !le.timed || g == nil {
		return
	}
	work := g.pace.workOf(le)
	// A run that was counted while it was running does not count twice.
	if g.pace.secondsPerWork > 0 && !le.slow {
		l.usageOf(le.target).rate.observe(now, took.Seconds()/work/g.pace.secondsPerWork)
	}
	g.pace.observe(work, took.Seconds(), len(g.targets))
}

// observeSlowRuns counts the requests that are still running after slowRunFactor times
// their expected time as observations of that time.
//
// Failure guarded against: a target becomes slow or hangs. Its requests end late or never,
// and it would get its usual load until they time out.
func (l *Ledger) observeSlowRuns(now time.Time) {
	if !l.policy.TargetRates || now.Sub(l.slowRunsAt) < slowRunInterval {
		return
	}
	l.slowRunsAt = now
	for _, u := range l.usage {
		rate := u.rate.at(now)
		for le := range u.leases {
			if l.isSlow(now, le, rate) {
				le.slow = true
				u.rate.observe(now, slowRunFactor*rate)
			}
		}
	}
}

// isSlow reports whether a lease at a target of the given rate has become a slow run.
func (l *Ledger) isSlow(now time.Time, le *lease, rate float64) bool {
	g := l.groups[le.group]
	if !le.timed || le.slow || g == nil || now.Sub(le.renewed) > maxUnreported {
		return false
	}
	seconds := slowRunFactor * rate * g.pace.workOf(le) * g.pace.secondsPerWork
	return seconds > 0 && now.Sub(le.granted).Seconds() >= max(seconds, minSlowRun.Seconds())
}

// rateOf returns the rate by which the target is chosen.
func (l *Ledger) rateOf(now time.Time, u *usage) float64 {
	if !l.policy.TargetRates {
		return 1
	}
	return u.rate.at(now)
}

// TargetRate is the learned rate of a target.
type TargetRate struct {
	Group string
	// ID is the target's ID, or its start if it has none.
	ID   string
	Rate float64
}

// RateChanges returns the targets whose rates have risen above notableRate, or returned to
// it, since the last call.
func (l *Ledger) RateChanges(now time.Time) []TargetRate {
	var list []TargetRate
	l.eachRate(now, func(r TargetRate, u *usage) {
		if notable := r.Rate > notableRate; notable != u.rate.notable {
			u.rate.notable = notable
			list = append(list, r)
		}
	})
	slices.SortFunc(list, bySlowness)
	return list
}

// SlowestTargets returns the targets with the highest rates among those that have been
// observed, at most as many as given.
func (l *Ledger) SlowestTargets(now time.Time, most int) []TargetRate {
	var list []TargetRate
	l.eachRate(now, func(r TargetRate, _ *usage) { list = append(list, r) })
	slices.SortFunc(list, bySlowness)
	return list[:min(most, len(list))]
}

// eachRate calls f for each target of the zone whose rate has been observed.
func (l *Ledger) eachRate(now time.Time, f func(TargetRate, *usage)) {
	if !l.policy.TargetRates {
		return
	}
	for name, g := range l.groups {
		for _, t := range g.targets {
			if u := l.usage[t.Start]; u != nil && !u.rate.observed.IsZero() {
				f(TargetRate{Group: name, ID: cmp.Or(t.ID, t.Start), Rate: u.rate.at(now)}, u)
			}
		}
	}
}

func bySlowness(a, b TargetRate) int {
	return cmp.Or(cmp.Compare(b.Rate, a.Rate), cmp.Compare(a.Group, b.Group), cmp.Compare(a.ID, b.ID))
}
