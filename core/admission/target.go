package admission

import (
	"math"
	"time"
)

func halfLifeDecay(d time.Duration) float64 {
	return math.Exp2(-float64(d) / float64(rateHalfLife))
}

// Target is the state of one target machine. It is not safe for concurrent use.
type Target struct {
	slots   int
	policy  Policy
	online  onlineCounts
	running map[StreamID]*Stream
	report  report
	peaks   peaks

	noOnlineSince time.Time
	leaving       bool
	failures      int
	blockedUntil  time.Time
}

// NewTarget returns the state of a target that is taken over at now.
func NewTarget(policy Policy, slots int, now time.Time) *Target {
	return &Target{
		slots:         slots,
		policy:        policy,
		online:        newOnlineCounts(now),
		running:       make(map[StreamID]*Stream),
		noOnlineSince: now,
	}
}

// SetPolicy changes the policy for the following steps.
func (t *Target) SetPolicy(p Policy) { t.policy = p }

// PolicyName returns the name of the current policy.
func (t *Target) PolicyName() string { return t.policy.Name() }

// SetSlots changes the number of slots.
func (t *Target) SetSlots(n int) { t.slots = n }

// SetLeaving sets whether the target is leaving the fleet.
func (t *Target) SetLeaving(leaving bool) { t.leaving = leaving }

// SetEntries sets which entry hosts are live. Counts of other hosts are dropped, and live
// hosts whose signals are missing count as unknown load.
func (t *Target) SetEntries(live []string) { t.online.setLive(live) }

// Signal applies an entry host's absolute counts: its online requests at the target now,
// and all that it ever started there. A sequence number older than the last one is
// ignored. It reports whether online requests began.
func (t *Target) Signal(now time.Time, entry string, seq uint64, online int, started uint64) bool {
	before := t.online.total(now)
	t.peaks.add(now, len(t.running), before)
	began := t.online.apply(entry, entryCount{seq: seq, online: max(online, 0), started: started, receivedAt: now})
	after := t.online.total(now)
	t.peaks.add(now, len(t.running), after)
	// Requests that begin and end between two signals leave the count at zero; only the
	// rising number of starts shows that the burst continues.
	if began || after > 0 || before > 0 {
		t.noOnlineSince = now
	}
	return began || after > before
}

// ApplyReport applies a load report that arrived at now and states that it is lag old.
// The target's clock may be wrong, so the lag only widens, within bounds, the window in
// which this daemon's own streams can explain the report.
func (t *Target) ApplyReport(now time.Time, lag time.Duration, running, waiting int) {
	window := min(ReportLag+max(lag, 0), ReportLagMax)
	t.report = report{at: now, window: window, running: running, waiting: waiting}
}

// Admitted records that a stream was started.
func (t *Target) Admitted(now time.Time, s Stream) {
	s.Admitted = now
	t.running[s.ID] = &s
	t.peaks.add(now, len(t.running), t.online.total(now))
}

// Progress records how many tokens a stream has delivered.
func (t *Target) Progress(id StreamID, tokens int) {
	if s := t.running[id]; s != nil {
		s.Tokens = tokens
	}
}

// SetForecast sets when the stream's job is expected to finish.
func (t *Target) SetForecast(id StreamID, finish time.Time) {
	if s := t.running[id]; s != nil {
		s.Forecast = finish
	}
}

// Ended records that a stream no longer runs.
func (t *Target) Ended(now time.Time, id StreamID) {
	t.peaks.add(now, len(t.running), t.online.total(now))
	delete(t.running, id)
	t.peaks.add(now, len(t.running), t.online.total(now))
}

// Failed records that the target refused a request, crashed or could not be reached.
// Nothing is admitted for a pause that doubles with each consecutive failure.
func (t *Target) Failed(now time.Time) {
	if now.Before(t.blockedUntil) {
		return // one crash ends many streams at once but counts only once
	}
	pause := FailureBackoffMin << min(t.failures, 10)
	t.failures++
	t.blockedUntil = now.Add(min(pause, FailureBackoffMax))
}

// Succeeded resets the number of consecutive failures.
func (t *Target) Succeeded() { t.failures = 0 }

// Running returns the number of batch streams.
func (t *Target) Running() int { return len(t.running) }

// BatchShare returns the share of the slots that batch streams take.
func (t *Target) BatchShare() float64 {
	if t.slots <= 0 {
		return 0
	}
	return float64(len(t.running)) / float64(t.slots)
}

// Online returns the estimated number of online requests at the target.
func (t *Target) Online(now time.Time) int {
	return t.online.total(now) + t.unexplained(now)
}

// Alone reports whether stream id is the only request at the target, as far as is known.
func (t *Target) Alone(now time.Time, id StreamID) bool {
	return t.running[id] != nil && len(t.running) == 1 && t.Online(now) == 0
}

// unexplained returns how many requests the last report shows beyond all that this batch
// dispatcher and the signalling entry hosts can have caused while the report was made.
// They are online requests whose signals are missing, or another dispatcher's batch; both
// must reduce the batch admitted here.
func (t *Target) unexplained(now time.Time) int {
	if t.report.at.IsZero() || now.Sub(t.report.at) > ReportTTL {
		return 0
	}
	batch, online := t.peaks.within(t.report.at.Add(-t.report.window), t.report.at, len(t.running), t.online.total(now))
	return max(t.report.running+t.report.waiting-batch-online, 0)
}

// BatchLimit returns how many batch streams of the given weight the policy allows now. It
// bounds how many items are worth fetching.
func (t *Target) BatchLimit(now time.Time, weight float64) int {
	s := t.snapshot(now, Queue{Waiting: t.slots, Weight: weight})
	if t.blockedBy(now, s, Queue{}) != ReasonNone {
		return 0
	}
	return t.policy.Limit(s)
}

// Step decides what to do now.
func (t *Target) Step(now time.Time, q Queue) Action {
	s := t.snapshot(now, q)
	a := t.policy.Decide(s)
	a.Admit = min(a.Admit, q.Waiting)
	if why := t.blockedBy(now, s, q); why != ReasonNone {
		a.Admit, a.Reason = 0, why
	} else if q.Suspect {
		a.Admit = min(a.Admit, 1)
	}
	return a
}

// blockedBy returns the rule that blocks admission under every policy, or ReasonNone. A
// suspect may crash the target, so it starts only if nothing else runs there, and nothing
// starts while it runs.
func (t *Target) blockedBy(now time.Time, s Snapshot, q Queue) Reason {
	if t.leaving {
		return ReasonLeaving
	}
	if now.Before(t.blockedUntil) {
		return ReasonFailing
	}
	for _, r := range s.Running {
		if r.Suspect {
			return ReasonSuspect
		}
	}
	if q.Suspect && len(s.Running)+s.Online > 0 {
		return ReasonSuspect
	}
	return ReasonNone
}

func (t *Target) snapshot(now time.Time, q Queue) Snapshot {
	online := t.Online(now)
	if online > 0 {
		t.noOnlineSince = now
	}
	s := Snapshot{
		Now:          now,
		Slots:        t.slots,
		Online:       online,
		SinceOnline:  now.Sub(t.noOnlineSince),
		Silent:       t.online.silent(now),
		Running:      make([]Stream, 0, len(t.running)),
		Waiting:      q.Waiting,
		SmallPrefill: q.SmallPrefill,
		Weight:       EffectiveWeight(q.Weight, now, q.NextDue, q.Forecast),
	}
	for _, r := range t.running {
		c := *r
		c.Weight = EffectiveWeight(r.Base, now, r.Due, r.Forecast)
		s.Running = append(s.Running, c)
	}
	sortKeepFirst(s.Running)
	return s
}
