package retry

import (
	"slices"
	"strings"
	"time"
)

const (
	// MergeWindow is the time within which two reports of a crash of the same target
	// count as one crash, seen by two entry hosts.
	MergeWindow = 2 * time.Second
	// ReportWindow is how long after its first report a crash stays open: every entry
	// host with a request there sees its own connection break and reports to the others.
	// It covers that with a margin; see Suspects.VerdictAt.
	ReportWindow = 150 * time.Millisecond
	// CrashRetention is how long a crash counts.
	CrashRetention = time.Hour
	// MaxCrashes is the maximum number of crashes kept.
	MaxCrashes = 256
	// MaxRunning is the maximum number of requests named per crash.
	MaxRunning = 128
)

// Crash is one target's crash as one or more entry hosts saw it.
type Crash struct {
	// Target is the crashed target's address.
	Target string
	// AtMs is when it was seen first, in Unix milliseconds.
	AtMs int64
	// Running names the requests, by fingerprint, known to have run there.
	Running []string
	// Cleared names those of them that have completed elsewhere since; they are no longer
	// in Running.
	Cleared []string
	// Total estimates how many requests ran there fleet-wide; at least
	// len(Running).
	Total int
}

// Verdict is how a request may be run.
type Verdict int

const (
	// Clear requests may run anywhere.
	Clear Verdict = iota
	// PreferAlone requests ran on one target when it crashed: they run next where as few
	// other requests as possible do, so that the next crash, or its absence, is evidence
	// about them alone.
	PreferAlone
	// RunAlone requests ran on several targets when they crashed: they run only where
	// nothing else does. If one shared a third crash, that would cost others their
	// answers and still prove nothing.
	RunAlone
	// Quarantined requests are refused.
	Quarantined
	// Pending requests wait until the crashes that they took part in are no longer open,
	// at most ReportWindow.
	Pending
)

// Suspects tracks which requests ran on targets when they crashed. All verdicts are
// derived from the crashes kept, so daemons that exchange crashes reach the same
// verdicts, and a later report of the same crash can clear a harmless request that an
// incomplete report implicated.
type Suspects struct {
	limit       int
	crashes     []Crash
	quarantined map[string]bool
	// receivedMs holds when each crash of crashes was first received here, by this
	// daemon's clock: others' clocks must not open or close a crash.
	receivedMs []int64
}

// NewSuspects returns a tracker that quarantines a request after limit crashes.
func NewSuspects(limit int) *Suspects {
	return &Suspects{limit: max(1, limit), quarantined: map[string]bool{}}
}

// SetLimit changes the limit.
func (s *Suspects) SetLimit(limit int) {
	s.limit = max(1, limit)
	s.evaluate()
}

// Crashed applies a report of a crash, received at the time of the crash.
func (s *Suspects) Crashed(c Crash) bool { return s.Apply(c.AtMs, c) }

// Apply applies a report of a crash, received now, and reports whether anything in it was
// new.
func (s *Suspects) Apply(nowMs int64, c Crash) bool {
	c = c.bounded()
	if len(c.Running)+len(c.Cleared) == 0 {
		return false
	}
	i := slices.IndexFunc(s.crashes, func(k Crash) bool { return sameCrash(k, c) })
	changed := true
	if i < 0 {
		s.crashes = append(s.crashes, c)
		s.receivedMs = append(s.receivedMs, nowMs)
	} else {
		changed = merge(&s.crashes[i], c)
	}
	if len(s.crashes) > MaxCrashes {
		s.crashes, s.receivedMs = s.crashes[1:], s.receivedMs[1:]
	}
	s.evaluate()
	return changed
}

// bounded returns a copy that names at most MaxRunning requests of each kind.
func (c Crash) bounded() Crash {
	c.Running = slices.Clone(c.Running[:min(len(c.Running), MaxRunning)])
	c.Cleared = slices.Clone(c.Cleared[:min(len(c.Cleared), MaxRunning)])
	c.Total = max(c.Total, len(c.Running))
	return c
}

func sameCrash(a, b Crash) bool {
	apart := a.AtMs - b.AtMs
	return a.Target == b.Target && max(apart, -apart) <= MergeWindow.Milliseconds()
}

// merge adds what the second report has beyond the first. A request that was cleared once
// stays cleared, in whichever order the reports arrive.
func merge(into *Crash, c Crash) bool {
	changed := false
	for _, f := range c.Cleared {
		changed = into.clear(f) || changed
	}
	for _, f := range c.Running {
		known := slices.Contains(into.Running, f) || slices.Contains(into.Cleared, f)
		if !known && len(into.Running) < MaxRunning {
			into.Running = append(into.Running, f)
			changed = true
		}
	}
	total := max(into.Total, c.Total-len(into.Cleared), len(into.Running))
	changed = changed || total != into.Total
	into.Total = total
	return changed
}

// clear moves a request from Running to Cleared and reports whether it was not there
// before.
func (c *Crash) clear(fingerprint string) bool {
	if slices.Contains(c.Cleared, fingerprint) || len(c.Cleared) >= MaxRunning {
		return false
	}
	c.Cleared = append(c.Cleared, fingerprint)
	if at := slices.Index(c.Running, fingerprint); at >= 0 {
		c.Running = slices.Delete(c.Running, at, at+1)
		c.Total = max(c.Total-1, len(c.Running))
	}
	return true
}

// Completed clears a request: it ran to completion somewhere, so it is not the one that
// crashes every target that runs it. It returns the crashes that changed.
func (s *Suspects) Completed(fingerprint string) []Crash {
	var changed []Crash
	for i := range s.crashes {
		c := &s.crashes[i]
		if slices.Contains(c.Running, fingerprint) && c.clear(fingerprint) {
			changed = append(changed, c.bounded())
		}
	}
	if len(changed) > 0 {
		s.evaluate()
	}
	return changed
}

// Verdict returns how the request may be run.
func (s *Suspects) Verdict(fingerprint string) Verdict {
	if s.quarantined[fingerprint] {
		return Quarantined
	}
	targets := map[string]bool{}
	for _, c := range s.crashes {
		if slices.Contains(c.Running, fingerprint) && !s.explained(c, fingerprint) {
			targets[c.Target] = true
		}
	}
	switch len(targets) {
	case 0:
		return Clear
	case 1:
		return PreferAlone
	default:
		return RunAlone
	}
}

// VerdictAt is Verdict once the reports of other daemons had time to arrive. A request
// that took part in as many crashes as quarantine it is Pending while one of them is
// open.
//
// An entry host at first knows only its own requests on a crashed target: a harmless
// request that was alone there among this host's requests seems to have been alone on the
// target. On two targets that would be enough to refuse it until the reports of the entry
// host that ran the crashing request arrived, and the crashing request would run once
// more in the meantime. Fewer crashes quarantine nothing, so all other requests continue
// at once.
func (s *Suspects) VerdictAt(nowMs int64, fingerprint string) Verdict {
	targets := map[string]bool{}
	open := false
	for i, c := range s.crashes {
		if !slices.Contains(c.Running, fingerprint) {
			continue
		}
		targets[c.Target] = true
		since := nowMs - s.receivedMs[i]
		open = open || 0 <= since && since < ReportWindow.Milliseconds()
	}
	if open && len(targets) >= s.limit {
		return Pending
	}
	return s.Verdict(fingerprint)
}

// Expire deletes crashes older than CrashRetention.
func (s *Suspects) Expire(nowMs int64) {
	kept := 0
	for i, c := range s.crashes {
		if nowMs-c.AtMs <= CrashRetention.Milliseconds() {
			s.crashes[kept], s.receivedMs[kept] = c, s.receivedMs[i]
			kept++
		}
	}
	if kept == len(s.crashes) {
		return
	}
	clear(s.crashes[kept:])
	s.crashes, s.receivedMs = s.crashes[:kept], s.receivedMs[:kept]
	s.evaluate()
}

// Crashes returns a copy of the crashes kept, for a daemon that has just started.
func (s *Suspects) Crashes() []Crash {
	out := make([]Crash, len(s.crashes))
	for i, c := range s.crashes {
		out[i] = c.bounded()
	}
	return out
}

// evaluate determines which requests are quarantined. A request that stays quarantined
// explains its crashes, so that they do not count against the requests that only shared
// them. Only requests that took part in limit crashes can be the cause; that leaves few
// to check even when MaxCrashes crashes are kept.
func (s *Suspects) evaluate() {
	crashesOf := map[string][]int{}
	for i, c := range s.crashes {
		for _, f := range c.Running {
			crashesOf[f] = append(crashesOf[f], i)
		}
	}
	var candidates []string
	for f, crashes := range crashesOf {
		if len(crashes) >= s.limit {
			candidates = append(candidates, f)
		}
	}
	previous := s.quarantined
	s.quarantined = map[string]bool{}
	slices.SortFunc(candidates, func(a, b string) int { return compareCandidates(previous, a, b) })
	for _, f := range candidates {
		if s.isCause(f, crashesOf[f]) {
			s.quarantined[f] = true
		}
	}
}

// compareCandidates orders requests that are already quarantined first, so that a verdict
// stands as long as its own evidence does; the rest by name, so that all daemons check
// them in the same order.
func compareCandidates(quarantined map[string]bool, a, b string) int {
	switch {
	case quarantined[a] == quarantined[b]:
		return strings.Compare(a, b)
	case quarantined[a]:
		return -1
	default:
		return 1
	}
}

// isCause weighs the crashes of different targets (a faulty target that crashes
// repeatedly counts once) that no other quarantined request explains. The request is
// quarantined if its shares of the blame, 1/Total each, add up to the limit, or if it
// took part in limit crashes and is the only one that can have taken part in all of them.
func (s *Suspects) isCause(fingerprint string, crashes []int) bool {
	blame, count := 0.0, 0
	targets := map[string]bool{}
	var common []string
	known := false
	for _, i := range crashes {
		c := s.crashes[i]
		if s.explained(c, fingerprint) {
			continue
		}
		if !targets[c.Target] {
			targets[c.Target] = true
			count++
			blame += 1 / float64(c.Total)
		}
		if c.Total > len(c.Running) {
			continue
		}
		common = intersect(common, c.Running, known)
		known = true
	}
	if blame >= float64(s.limit) {
		return true
	}
	return count >= s.limit && known && len(common) == 1
}

// intersect narrows the common set by a crash whose requests are all known.
func intersect(common, running []string, known bool) []string {
	if !known {
		return running
	}
	var both []string
	for _, f := range common {
		if slices.Contains(running, f) {
			both = append(both, f)
		}
	}
	return both
}

// explained reports whether another request that ran there is quarantined.
func (s *Suspects) explained(c Crash, fingerprint string) bool {
	for _, f := range c.Running {
		if f != fingerprint && s.quarantined[f] {
			return true
		}
	}
	return false
}
