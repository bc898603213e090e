package routing

import "time"

const (
	// SoftFailures is how many failures in a row take a target out when each of
	// them alone could have been the request's fault (a timeout, a 5xx answer).
	SoftFailures = 3
	// FirstHold is how long a target stays out after its first removal.
	FirstHold = 500 * time.Millisecond
	// MaxHold bounds the doubling of the hold.
	MaxHold = 15 * time.Second
	// fullRamp is the allowance at which a returning target counts as healthy.
	fullRamp = 16
)

// State is a target's condition.
type State int

const (
	// Healthy targets take any load.
	Healthy State = iota
	// HalfOpen targets return slowly: the allowance doubles per success.
	HalfOpen
	// Removed targets get nothing while another is left.
	Removed
)

// String returns the state's name for logs and status pages.
func (s State) String() string {
	return [...]string{"healthy", "half_open", "removed"}[s]
}

// Outcome is how a request at a target ended, as far as it tells of the target.
type Outcome int

const (
	// Succeeded: the whole answer came, or the target refused the content.
	Succeeded Outcome = iota
	// Neutral says nothing of the target: the caller cancelled, or the target
	// was only busy.
	Neutral
	// SoftFailed could be the request's fault: a timeout or a 5xx answer.
	SoftFailed
	// HardFailed is the target's own: connection refused or broken.
	HardFailed
)

// health is a circuit breaker with exponential hold and a slow return.
type health struct {
	failures int
	removals int
	until    time.Time
	// allowance bounds the own requests in flight while half-open; 0 is healthy.
	allowance int
	// doubt is milder than a removal and comes with the first failure.
	doubt Doubt
}

func (h *health) state(now time.Time) State {
	switch {
	case now.Before(h.until):
		return Removed
	case h.allowance > 0:
		return HalfOpen
	default:
		return Healthy
	}
}

// note takes one outcome and tells whether the state changed.
func (h *health) note(now time.Time, o Outcome) bool {
	switch o {
	case Succeeded:
		return h.succeeded(now)
	case SoftFailed:
		h.failures++
		if h.failures < SoftFailures && h.allowance == 0 {
			return false
		}
		return h.remove(now)
	case HardFailed:
		return h.remove(now)
	default:
		return false
	}
}

func (h *health) succeeded(now time.Time) bool {
	h.failures = 0
	h.doubt = Doubt{}
	if h.allowance == 0 || now.Before(h.until) {
		return false
	}
	h.allowance *= 2
	if h.allowance < fullRamp {
		return false
	}
	h.allowance, h.removals = 0, 0
	return true
}

// remove takes the target out. Failures of requests that were sent before the
// removal arrive in a bunch when a target dies; they do not lengthen the hold.
func (h *health) remove(now time.Time) bool {
	if now.Before(h.until) {
		return false
	}
	h.until = now.Add(holdAfter(h.removals))
	h.removals++
	h.failures = 0
	h.allowance = 1
	return true
}

// holdAfter is how long a target is held after it was held so many times in a row:
// FirstHold, doubling up to MaxHold.
func holdAfter(times int) time.Duration {
	const beyondMax = 5 // FirstHold doubled so often is more than MaxHold
	if times >= beyondMax {
		return MaxHold
	}
	return min(MaxHold, FirstHold<<times)
}

// End takes the end of a request that Start counted. It returns the target's
// state and whether this end changed it.
func (t *Table) End(now time.Time, address string, alone bool, o Outcome) (State, bool) {
	e := t.entries[address]
	if e == nil {
		return Healthy, false
	}
	e.own = max(0, e.own-1)
	if alone {
		e.reserved = max(0, e.reserved-1)
	}
	e.ended.add(now)
	changed := e.note(now, o)
	return e.health.state(now), changed
}

// note takes an outcome of the own work and tells whether the state changed.
func (e *entry) note(now time.Time, o Outcome) bool {
	if o == SoftFailed || o == HardFailed {
		e.health.doubt.Failed(now, e.heardDoubt(now))
	}
	return e.health.note(now, o)
}

// Hold returns until when the target stays out.
func (t *Table) Hold(address string) time.Time {
	if e := t.entries[address]; e != nil {
		return e.health.until
	}
	return time.Time{}
}

// Probes returns the removed targets, which are worth a health probe: a real
// request is a poor probe, above all one that may not be repeated.
func (t *Table) Probes(now time.Time) []string {
	var due []string
	for _, address := range t.order {
		e := t.entries[address]
		ends := e.health.until.Sub(now)
		if e.health.allowance > 0 && !e.leaving && ends <= FirstHold {
			due = append(due, address)
		}
	}
	return due
}

// Probed takes a probe's result: a failed one renews the hold of a target that
// has not come back yet.
func (t *Table) Probed(now time.Time, address string, ok bool) {
	e := t.entries[address]
	if e == nil || ok || e.health.allowance == 0 {
		return
	}
	if e.health.until.Sub(now) < FirstHold {
		e.health.until = now.Add(FirstHold)
	}
}
