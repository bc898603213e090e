package crashparts

import (
	"slices"
	"time"
)

const (
	// A request with a refused part runs again, as a probe, after firstProbe if answers with the
	// part were seen before the crashes, else after firstProbeUnanswered; the time grows by
	// probeGrowth with each probe that crashed its target, up to Retention. A part that was
	// wrongly refused is so free again after seconds, and one that crashes targets costs two
	// more of them in the first minutes, or one.
	firstProbe           = 2 * time.Second
	firstProbeUnanswered = time.Minute
	probeGrowth          = 10
	// probeGap is the time between two crashes from which on the second one is taken for that of a
	// probe.
	probeGap = time.Second
)

// Probe reports whether a request that is refused because of the part may run to find out whether
// the part still crashes targets. At most one may per time and daemon. delay is how much later than
// the first daemon this one may try, so that they don't all try at once.
func (e *Evidence) Probe(nowMs int64, part string, delay time.Duration) bool {
	s := e.suspects[part]
	if s == nil {
		return false
	}
	wait := e.probeWait(part, s.crashes)
	due := s.lastReceivedMs + (wait + delay).Milliseconds()
	if last, probed := e.probes[part]; probed {
		due = max(due, last+wait.Milliseconds())
	}
	if nowMs < due {
		return false
	}
	e.probes[part] = nowMs
	return true
}

// CancelProbe records that a probe reached no target.
func (e *Evidence) CancelProbe(part string) { delete(e.probes, part) }

// probeWait returns the time from the last crash to the next probe.
func (e *Evidence) probeWait(part string, crashes crashSet) time.Duration {
	wait := firstProbeUnanswered
	if e.wasAnswered(part) {
		wait = firstProbe
	}
	for range e.failedProbes(crashes) {
		wait = min(wait*probeGrowth, Retention)
	}
	return wait
}

// failedProbes returns how many of the crashes came after the part was refused, some time after the
// crash before.
func (e *Evidence) failedProbes(crashes crashSet) int {
	var at []int64
	for i, r := range e.crashes {
		if crashes.has(i) {
			at = append(at, r.AtMs)
		}
	}
	slices.Sort(at)
	failed := 0
	for i := refusedCrashes; i < len(at); i++ {
		if at[i]-at[i-1] >= probeGap.Milliseconds() {
			failed++
		}
	}
	return failed
}
