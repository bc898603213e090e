package routing

import "time"

// A degraded target has recently failed a request and has not answered one since, here or
// at another daemon of the local zone. It is not ejected: it counts as a full target, so
// requests go to other targets while those have free slots.
//
// Failure guarded against: a target that accepts connections and fails every request at
// once always looks like the emptiest one, so it attracts the requests of every daemon
// until each of them has seen enough failures of its own. A fleet loses daemons x
// SoftFailureThreshold requests at every such target, and those that must not run twice
// are lost for good. Because daemons report degraded targets to the others of their zone,
// a single failure diverts the whole zone, and the zone waits longer after each further
// failure. The state is not shared between zones, since a target may fail the callers of
// one zone and serve the others.

const (
	// reportGrace is how long a target is still reported to the other daemons after its
	// degradation has ended here, so that one daemon tries the target first and not all
	// of them at once.
	reportGrace = 250 * time.Millisecond
	// maxDegradedShare is the largest share of a group that a daemon may have degraded
	// and still report to others. A daemon that fails at more targets has most likely
	// lost its own connection to them, and its reports would drive its whole zone to
	// other zones.
	maxDegradedShare = 0.25
)

// Degradation is the state of a target after failures with no success since. It lasts as
// long as an ejection after the same number of failures. The zero value is a target that
// is not degraded; a success resets to it.
type Degradation struct {
	// failures counts consecutive failures, including those that the zone reported.
	failures int
	until    time.Time
}

// RecordFailure records a failure. peerFailures is how many consecutive failures other
// daemons have reported. Failures of requests that were sent before the degradation began
// arrive together; they count as one.
func (d *Degradation) RecordFailure(now time.Time, peerFailures int) {
	if now.Before(d.until) {
		return
	}
	d.failures = max(d.failures, peerFailures) + 1
	d.until = now.Add(ejectionTime(d.failures - 1))
}

// Failures returns the number of consecutive failures.
func (d *Degradation) Failures() int { return d.failures }

// Active reports whether requests still avoid the target.
func (d *Degradation) Active(now time.Time) bool { return now.Before(d.until) }

// peerFailures returns how many consecutive failures the zone's other daemons report.
func (e *entry) peerFailures(now time.Time) int {
	if !e.received.fresh(now) {
		return 0
	}
	return e.received.report.PeerFailures
}

// degraded reports whether the target is degraded for a request. Peers' reports count if
// they name more failures than are known here: a daemon whose own degradation has ended
// tries the target although its peers still report it. This applies to requests that may
// be repeated; for others the degradation lasts until the target answers a request.
func (e *entry) degraded(now time.Time, r Request) bool {
	d := e.health.degradation
	if e.peerFailures(now) > d.failures || d.Active(now) {
		return true
	}
	return r.LastChance && (d.failures > 0 || e.peerFailures(now) > 0 || e.health.state(now) == HalfOpen)
}

// Degraded reports whether the target is degraded for requests that may be repeated.
func (t *Table) Degraded(now time.Time, address string) bool {
	e := t.entries[address]
	return e != nil && e.degraded(now, Request{})
}

// MarkDegraded records a failure of the target although no request has ended there.
func (t *Table) MarkDegraded(now time.Time, address string) {
	if e := t.entries[address]; e != nil {
		e.health.degradation.RecordFailure(now, e.peerFailures(now))
	}
}

// DegradedTargets returns the number of consecutive failures of each target that this
// daemon's own requests degraded, to be reported to the other daemons of the zone. It
// returns nil if there are too many of them to be the targets' own fault.
func (t *Table) DegradedTargets(now time.Time) map[string]int {
	degraded := map[string]int{}
	for _, address := range t.order {
		if d := t.entries[address].health.degradation; now.Before(d.until.Add(reportGrace)) {
			degraded[address] = d.failures
		}
	}
	if len(degraded) > max(1, int(maxDegradedShare*float64(len(t.order)))) {
		return nil
	}
	return degraded
}
