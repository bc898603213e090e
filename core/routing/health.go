package routing

import "time"

const (
	// SoftFailureThreshold is how many consecutive failures eject a target when each of
	// them alone could have been the request's fault (a timeout, a 5xx answer).
	SoftFailureThreshold = 3
	// BaseEjectionTime is how long a target's first ejection lasts.
	BaseEjectionTime = 500 * time.Millisecond
	// MaxEjectionTime bounds the doubling of the ejection time.
	MaxEjectionTime = 15 * time.Second
	// healthyAllowance is the allowance at which a returning target counts as healthy.
	healthyAllowance = 16
)

// State is the health state of a target.
type State int

const (
	// Healthy targets get requests without a limit.
	Healthy State = iota
	// HalfOpen targets return gradually: the allowance doubles with each success.
	HalfOpen
	// Ejected targets get no requests while another target is available.
	Ejected
)

// String returns the state's name for logs and status pages.
func (s State) String() string {
	return [...]string{"healthy", "half_open", "removed"}[s]
}

// Outcome is how a request at a target ended, as far as it concerns the target's health.
type Outcome int

const (
	// Succeeded: the complete response arrived, or the target rejected the request's
	// content.
	Succeeded Outcome = iota
	// Neutral says nothing about the target's health: the caller cancelled, or the target
	// was only busy.
	Neutral
	// SoftFailed may be the request's fault: a timeout or a 5xx answer.
	SoftFailed
	// HardFailed is the target's fault: the connection was refused or broken.
	HardFailed
)

// health is a circuit breaker with exponential ejection times and a gradual return.
type health struct {
	failures     int
	ejections    int
	ejectedUntil time.Time
	// allowance bounds this daemon's requests in flight while half-open; 0 means healthy.
	allowance int
	// degradation is milder than an ejection and begins with the first failure.
	degradation Degradation
}

func (h *health) state(now time.Time) State {
	switch {
	case now.Before(h.ejectedUntil):
		return Ejected
	case h.allowance > 0:
		return HalfOpen
	default:
		return Healthy
	}
}

// record applies an outcome and reports whether the state changed.
func (h *health) record(now time.Time, o Outcome) bool {
	switch o {
	case Succeeded:
		return h.succeeded(now)
	case SoftFailed:
		h.failures++
		if h.failures < SoftFailureThreshold && h.allowance == 0 {
			return false
		}
		return h.eject(now)
	case HardFailed:
		return h.eject(now)
	default:
		return false
	}
}

func (h *health) succeeded(now time.Time) bool {
	h.failures = 0
	h.degradation = Degradation{}
	if h.allowance == 0 || now.Before(h.ejectedUntil) {
		return false
	}
	h.allowance *= 2
	if h.allowance < healthyAllowance {
		return false
	}
	h.allowance, h.ejections = 0, 0
	return true
}

// eject starts an ejection. When a target dies, failures of requests that were sent
// before the ejection arrive together; they do not lengthen it.
func (h *health) eject(now time.Time) bool {
	if now.Before(h.ejectedUntil) {
		return false
	}
	h.ejectedUntil = now.Add(ejectionTime(h.ejections))
	h.ejections++
	h.failures = 0
	h.allowance = 1
	return true
}

// ejectionTime returns how long a target is ejected after previous consecutive ejections:
// BaseEjectionTime, doubling up to MaxEjectionTime.
func ejectionTime(previous int) time.Duration {
	const beyondMax = 5 // BaseEjectionTime doubled five times exceeds MaxEjectionTime
	if previous >= beyondMax {
		return MaxEjectionTime
	}
	return min(MaxEjectionTime, BaseEjectionTime<<previous)
}

// End records the end of a request that Start counted. It returns the target's state and
// whether this end changed it.
func (t *Table) End(now time.Time, address string, alone bool, o Outcome) (State, bool) {
	e := t.entries[address]
	if e == nil {
		return Healthy, false
	}
	e.localRequests = max(0, e.localRequests-1)
	if alone {
		e.reserved = max(0, e.reserved-1)
	}
	e.ended.add(now)
	changed := e.recordOutcome(now, o)
	return e.health.state(now), changed
}

// recordOutcome applies the outcome of one of this daemon's requests and reports whether
// the state changed.
func (e *entry) recordOutcome(now time.Time, o Outcome) bool {
	if o == SoftFailed || o == HardFailed {
		e.health.degradation.RecordFailure(now, e.peerFailures(now))
	}
	return e.health.record(now, o)
}

// EjectedUntil returns the end of the target's ejection.
func (t *Table) EjectedUntil(address string) time.Time {
	if e := t.entries[address]; e != nil {
		return e.health.ejectedUntil
	}
	return time.Time{}
}

// Probes returns the targets that are due for a health probe: half-open ones, and ejected
// ones whose ejection ends within BaseEjectionTime. A real request makes a poor probe,
// above all one that may not be repeated.
func (t *Table) Probes(now time.Time) []string {
	var due []string
	for _, address := range t.order {
		e := t.entries[address]
		ends := e.health.ejectedUntil.Sub(now)
		if e.health.allowance > 0 && !e.leaving && ends <= BaseEjectionTime {
			due = append(due, address)
		}
	}
	return due
}

// RecordProbe records a probe's result: a failed probe extends the ejection of a target
// that has not returned yet.
func (t *Table) RecordProbe(now time.Time, address string, ok bool) {
	e := t.entries[address]
	if e == nil || ok || e.health.allowance == 0 {
		return
	}
	if e.health.ejectedUntil.Sub(now) < BaseEjectionTime {
		e.health.ejectedUntil = now.Add(BaseEjectionTime)
	}
}
