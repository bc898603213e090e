package callerconns

import (
	"math"
	"runtime"
	"time"
)

const (
	// admissionWindow is the least time between two measurements of the process's saturation.
	admissionWindow = 100 * time.Millisecond
	// saturatedAfter is how long the process must have been saturated before connections are refused:
	// a process that was suspended, or that collects garbage, is saturated for a moment.
	saturatedAfter = 300 * time.Millisecond
	// relievedAfter is how long the process must not have been saturated, and no connection refused,
	// before the limit is lifted.
	relievedAfter = time.Second
	// longWait is the time that a new goroutine waits for a processor in a saturated process, at the
	// least in a window; in others one waits for microseconds.
	longWait = 10 * time.Millisecond
	// probeInterval is the least time between two measurements of that wait.
	probeInterval = 10 * time.Millisecond
	// firstShare is the first limit's share of the rate at which connections arrived, slowing and
	// growth change the limit after each window with and without saturation.
	firstShare = 0.5
	slowing    = 0.8
	growth     = 1.1
	// minAdmittedRate is the least limit, in connections a second. It admits less than a host of a
	// fifth of a processor finishes, and enough to notice that the saturation has ended.
	minAdmittedRate = 20
	// admittedBurst is the time for which unused admissions are kept, leastBurst the least number
	// that is kept: the work of that many requests makes no difference.
	admittedBurst = 0.1 // seconds
	leastBurst    = 8
)

// admission limits the rate of new connections while the process is saturated: goroutines wait
// for a processor, since requests are read faster than they can be finished. It is not limited
// otherwise.
type admission struct {
	// wait measures how long a new goroutine waits for a processor.
	wait func() time.Duration

	// leastWait is the shortest wait since measuredAt, probedAt is when the last one ended.
	leastWait  time.Duration
	probedAt   time.Time
	measuredAt time.Time
	// saturatedSince is when the saturation began, zero without one, relievedSince when it had ended
	// and the last connection was refused, zero before that.
	saturatedSince, relievedSince time.Time
	// rate is the limit in connections a second, 0 for none, credit the connections that may be
	// admitted at creditAt.
	rate, credit float64
	creditAt     time.Time
	// arrived counts the connections since measuredAt.
	arrived int
}

// admit reports whether a connection that arrives now is admitted.
func (a *admission) admit(now time.Time) bool {
	a.arrived++
	if now.Sub(a.probedAt) >= probeInterval {
		waited := a.wait()
		now = now.Add(waited)
		a.probedAt, a.leastWait = now, min(a.leastWait, waited)
	}
	if elapsed := now.Sub(a.measuredAt); elapsed >= admissionWindow {
		a.adjust(now, elapsed, a.leastWait >= longWait)
		a.measuredAt, a.arrived, a.leastWait = now, 0, math.MaxInt64
	}
	if a.rate == 0 {
		return true
	}
	a.credit = min(a.credit+a.rate*now.Sub(a.creditAt).Seconds(), max(leastBurst, a.rate*admittedBurst))
	a.creditAt = now
	if a.credit < 1 {
		a.relievedSince = time.Time{}
		return false
	}
	a.credit--
	return true
}

// adjust changes the limit after a window.
func (a *admission) adjust(now time.Time, elapsed time.Duration, saturated bool) {
	if !saturated {
		a.saturatedSince = time.Time{}
		if a.relievedSince.IsZero() {
			a.relievedSince = now
		}
		a.rate *= growth
		if now.Sub(a.relievedSince) >= relievedAfter {
			a.rate = 0
		}
		return
	}
	a.relievedSince = time.Time{}
	if a.saturatedSince.IsZero() {
		a.saturatedSince = now
	}
	if now.Sub(a.saturatedSince) < saturatedAfter {
		return
	}
	if a.rate == 0 {
		a.rate, a.credit, a.creditAt = firstShare*float64(a.arrived)/elapsed.Seconds(), leastBurst, now
	}
	a.rate = max(minAdmittedRate, a.rate*slowing)
}

// processorWait measures how long a goroutine waits for a processor, behind those of this processor
// and behind those of all.
func processorWait() time.Duration {
	began := time.Now()
	ran := make(chan struct{})
	go func() { close(ran) }()
	// The newest goroutine runs ahead of those that wait; this one takes that place.
	go func() {}()
	runtime.Gosched()
	<-ran
	return time.Since(began)
}
