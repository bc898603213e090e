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
	entries entries
	running map[StreamID]*Stream
	report  report
	peaks   peaks

	quietSince   time.Time
	leaving      bool
	failures     int
	blockedUntil time.Time
}

// NewTarget returns the state for a target taken over at now.
func NewTarget(policy Policy, slots int, now time.Time) *Target {
	return &Target{
		slots:      slots,
		policy:     policy,
		entries:    newEntries(now),
		running:    make(map[StreamID]*Stream),
		quietSince: now,
	}
}

// SetPolicy changes the policy from the next step on.
func (t *Target) SetPolicy(p Policy) { t.policy = p }

// PolicyName names the policy in force.
func (t *Target) PolicyName() string { return t.policy.Name() }

// SetSlots changes the number of slots.
func (t *Target) SetSlots(n int) { t.slots = n }

// SetLeaving tells whether the target leaves the fleet.
func (t *Target) SetLeaving(leaving bool) { t.leaving = leaving }

// SetEntries tells which entry hosts are live: counts of others are dropped,
// and those that should be heard but are not count as unknown.
func (t *Target) SetEntries(live []string) { t.entries.setLive(live) }

// Signal takes an entry host's absolute word: its online requests at the target
// now, and how many it ever started there. A sequence number older than the last
// one is ignored. It tells whether online requests began.
func (t *Target) Signal(now time.Time, entry string, seq uint64, online int, started uint64) bool {
	before := t.entries.total(now)
	t.peaks.add(now, len(t.running), before)
	began := t.entries.set(entry, entryCount{seq: seq, online: max(online, 0), started: started, heard: now})
	after := t.entries.total(now)
	t.peaks.add(now, len(t.running), after)
	// Requests that begin and end between two signals leave the count at zero;
	// only the rising number of starts shows that the burst goes on.
	if began || after > 0 || before > 0 {
		t.quietSince = now
	}
	return began || after > before
}

// Load takes a load report that arrived at now and says that it is lag old. The
// target's clock may be off, so the lag only widens the window of our own
// streams that explain the report, within bounds.
func (t *Target) Load(now time.Time, lag time.Duration, running, waiting int) {
	window := min(ReportLag+max(lag, 0), ReportLagMax)
	t.report = report{at: now, window: window, running: running, waiting: waiting}
}

// Admitted tells that a stream was started.
func (t *Target) Admitted(now time.Time, s Stream) {
	s.Admitted = now
	t.running[s.ID] = &s
	t.peaks.add(now, len(t.running), t.entries.total(now))
}

// Progress tells how many tokens a stream has delivered.
func (t *Target) Progress(id StreamID, tokens int) {
	if s := t.running[id]; s != nil {
		s.Tokens = tokens
	}
}

// SetForecast tells when the stream's job is now expected to finish.
func (t *Target) SetForecast(id StreamID, finish time.Time) {
	if s := t.running[id]; s != nil {
		s.Forecast = finish
	}
}

// Ended tells that a stream no longer runs.
func (t *Target) Ended(now time.Time, id StreamID) {
	t.peaks.add(now, len(t.running), t.entries.total(now))
	delete(t.running, id)
	t.peaks.add(now, len(t.running), t.entries.total(now))
}

// Failed tells that the target refused, crashed or could not be reached: it is
// left alone for a time that doubles with each failure in a row.
func (t *Target) Failed(now time.Time) {
	if now.Before(t.blockedUntil) {
		return // one crash ends many streams at once and counts once
	}
	pause := FailureBackoffMin << min(t.failures, 10)
	t.failures++
	t.blockedUntil = now.Add(min(pause, FailureBackoffMax))
}

// Succeeded ends the row of failures.
func (t *Target) Succeeded() { t.failures = 0 }

// Running returns the number of batch streams.
func (t *Target) Running() int { return len(t.running) }

// Share returns the part of the slots that batch streams take.
func (t *Target) Share() float64 {
	if t.slots <= 0 {
		return 0
	}
	return float64(len(t.running)) / float64(t.slots)
}

// Online returns the number of online requests believed to be at the target.
func (t *Target) Online(now time.Time) int {
	return t.entries.total(now) + t.unexplained(now)
}

// Alone tells whether stream id is the only request believed to be at the target.
func (t *Target) Alone(now time.Time, id StreamID) bool {
	return t.running[id] != nil && len(t.running) == 1 && t.Online(now) == 0
}

// unexplained is how many requests the last report shows beyond all that could
// have come from this steward and the signalling entry hosts while the report
// was made. They are online requests not heard of, or another steward's batch;
// both must count against our own.
func (t *Target) unexplained(now time.Time) int {
	if t.report.at.IsZero() || now.Sub(t.report.at) > ReportValid {
		return 0
	}
	batch, online := t.peaks.within(t.report.at.Add(-t.report.window), t.report.at, len(t.running), t.entries.total(now))
	return max(t.report.running+t.report.waiting-batch-online, 0)
}

// Room is how many batch streams the policy lets run now, for work of the given
// weight: it bounds how much is worth fetching.
func (t *Target) Room(now time.Time, weight float64) int {
	s := t.snapshot(now, Queue{Waiting: t.slots, Weight: weight})
	if t.barred(now, s, Queue{}) != ReasonNone {
		return 0
	}
	return t.policy.Limit(s)
}

// Step decides what to do now.
func (t *Target) Step(now time.Time, q Queue) Action {
	s := t.snapshot(now, q)
	a := t.policy.Decide(s)
	a.Admit = min(a.Admit, q.Waiting)
	if why := t.barred(now, s, q); why != ReasonNone {
		a.Admit, a.Why = 0, why
	} else if q.Suspect {
		a.Admit = min(a.Admit, 1)
	}
	return a
}

// barred holds under every policy. A suspect may crash the target, so it starts
// only where nothing else would be taken down, and nothing starts beside it.
func (t *Target) barred(now time.Time, s Snapshot, q Queue) Reason {
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
		t.quietSince = now
	}
	s := Snapshot{
		Now:     now,
		Slots:   t.slots,
		Online:  online,
		Quiet:   now.Sub(t.quietSince),
		Silent:  t.entries.silent(now),
		Running: make([]Stream, 0, len(t.running)),
		Waiting: q.Waiting,
		Small:   q.Small,
		Weight:  EffectiveWeight(q.Weight, now, q.NextDue, q.Forecast),
	}
	for _, r := range t.running {
		c := *r
		c.Weight = EffectiveWeight(r.Base, now, r.Due, r.Forecast)
		s.Running = append(s.Running, c)
	}
	sortKeepFirst(s.Running)
	return s
}
