package retry

import (
	"slices"
	"strings"
	"time"
)

const (
	// MergeWindow is the time within which two tellings of a crash of the same
	// target are the same crash, seen by two entry hosts.
	MergeWindow = 2 * time.Second
	// SettleTime is how long after it was first heard of a crash is open: every
	// entry host with a request there sees its own connection break and tells the
	// others. It covers that with room; see Suspects.VerdictAt.
	SettleTime = 150 * time.Millisecond
	// CrashMemory is how long a crash counts.
	CrashMemory = time.Hour
	// MaxCrashes is the bound of crashes kept.
	MaxCrashes = 256
	// MaxRunning is the bound of requests named per crash.
	MaxRunning = 128
)

// Crash is one target's crash as one or more entry hosts saw it.
type Crash struct {
	// Target is the crashed target's address.
	Target string
	// AtMs is when it was seen first, Unix milliseconds.
	AtMs int64
	// Running names the requests, by fingerprint, known to have run there.
	Running []string
	// Cleared names those of them that completed elsewhere since; they are no
	// longer in Running.
	Cleared []string
	// Total estimates how many requests ran there fleet-wide; at least
	// len(Running).
	Total int
}

// Verdict is what may be done with a request.
type Verdict int

const (
	// Clear requests run anywhere.
	Clear Verdict = iota
	// Isolated requests ran on one target as it crashed: they run next where as
	// little else as possible does, so that the next crash, or its absence, tells
	// about them alone.
	Isolated
	// Quarantined requests ran on several targets as they crashed: they run only
	// where nothing else does. One that shared a third crash would cost others
	// their answers and still prove nothing.
	Quarantined
	// Condemned requests are refused.
	Condemned
	// Pending requests wait until the crashes they took part in are settled; it
	// takes SettleTime at most.
	Pending
)

// Suspects tracks which requests ran on targets as they crashed. All verdicts
// follow from the crashes in memory, so daemons that exchange crashes reach the
// same verdicts, and a later telling of the same crash can clear an innocent
// whom an incomplete one made look guilty.
type Suspects struct {
	limit     int
	crashes   []Crash
	condemned map[string]bool
	// heardMs holds when each crash of crashes was first heard of here, by this
	// daemon's clock: others' clocks must not open or settle a crash.
	heardMs []int64
}

// NewSuspects returns a tracker that condemns after limit crashes.
func NewSuspects(limit int) *Suspects {
	return &Suspects{limit: max(1, limit), condemned: map[string]bool{}}
}

// SetLimit changes the limit.
func (s *Suspects) SetLimit(limit int) {
	s.limit = max(1, limit)
	s.judge()
}

// Crashed takes one telling of a crash, heard at the moment it tells of.
func (s *Suspects) Crashed(c Crash) bool { return s.Hear(c.AtMs, c) }

// Hear takes one telling of a crash, heard now, and tells whether anything was
// new.
func (s *Suspects) Hear(nowMs int64, c Crash) bool {
	c = c.bounded()
	if len(c.Running)+len(c.Cleared) == 0 {
		return false
	}
	i := slices.IndexFunc(s.crashes, func(k Crash) bool { return sameCrash(k, c) })
	changed := true
	if i < 0 {
		s.crashes = append(s.crashes, c)
		s.heardMs = append(s.heardMs, nowMs)
	} else {
		changed = merge(&s.crashes[i], c)
	}
	if len(s.crashes) > MaxCrashes {
		s.crashes, s.heardMs = s.crashes[1:], s.heardMs[1:]
	}
	s.judge()
	return changed
}

// bounded returns a copy that keeps to the memory's bounds.
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

// merge adds what the second telling knows more. Once cleared is cleared, in
// whichever order the tellings come.
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

// clear moves a request from Running to Cleared and tells whether it was not
// there before.
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

// Completed clears a request: it ran to its end somewhere, so it is not the one
// that crashes every target that runs it. It returns the crashes that changed.
func (s *Suspects) Completed(fingerprint string) []Crash {
	var changed []Crash
	for i := range s.crashes {
		c := &s.crashes[i]
		if slices.Contains(c.Running, fingerprint) && c.clear(fingerprint) {
			changed = append(changed, c.bounded())
		}
	}
	if len(changed) > 0 {
		s.judge()
	}
	return changed
}

// Verdict returns what may be done with the request.
func (s *Suspects) Verdict(fingerprint string) Verdict {
	if s.condemned[fingerprint] {
		return Condemned
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
		return Isolated
	default:
		return Quarantined
	}
}

// VerdictAt is Verdict once others' tellings had a moment to come in. Whoever
// took part in as many crashes as condemn is Pending while one of them is open.
//
// An entry host first knows only its own requests on a crashed target: an
// innocent that was alone there of all its requests looks alone altogether. On
// two targets that was enough to refuse it, until the tellings of the entry host
// that ran the crasher came. And the crasher would have run a further time in
// the meantime. Fewer crashes condemn nobody, so everybody else goes on at once.
func (s *Suspects) VerdictAt(nowMs int64, fingerprint string) Verdict {
	targets := map[string]bool{}
	open := false
	for i, c := range s.crashes {
		if !slices.Contains(c.Running, fingerprint) {
			continue
		}
		targets[c.Target] = true
		since := nowMs - s.heardMs[i]
		open = open || 0 <= since && since < SettleTime.Milliseconds()
	}
	if open && len(targets) >= s.limit {
		return Pending
	}
	return s.Verdict(fingerprint)
}

// Expire forgets crashes older than CrashMemory.
func (s *Suspects) Expire(nowMs int64) {
	kept := 0
	for i, c := range s.crashes {
		if nowMs-c.AtMs <= CrashMemory.Milliseconds() {
			s.crashes[kept], s.heardMs[kept] = c, s.heardMs[i]
			kept++
		}
	}
	if kept == len(s.crashes) {
		return
	}
	clear(s.crashes[kept:])
	s.crashes, s.heardMs = s.crashes[:kept], s.heardMs[:kept]
	s.judge()
}

// Crashes returns a copy of what is known, for a daemon that has just started.
func (s *Suspects) Crashes() []Crash {
	out := make([]Crash, len(s.crashes))
	for i, c := range s.crashes {
		out[i] = c.bounded()
	}
	return out
}

// judge works out who is condemned. A request that stays condemned explains
// its crashes, so that those who only shared them are not counted against them.
// Only requests that took part in limit crashes can be guilty; that leaves few
// to weigh even when the memory is full.
func (s *Suspects) judge() {
	part := map[string][]int{}
	for i, c := range s.crashes {
		for _, f := range c.Running {
			part[f] = append(part[f], i)
		}
	}
	var names []string
	for f, crashes := range part {
		if len(crashes) >= s.limit {
			names = append(names, f)
		}
	}
	previous := s.condemned
	s.condemned = map[string]bool{}
	slices.SortFunc(names, func(a, b string) int { return compareGuilt(previous, a, b) })
	for _, f := range names {
		if s.guilty(f, part[f]) {
			s.condemned[f] = true
		}
	}
}

// compareGuilt orders those condemned before first, so that a verdict stands
// as long as its own evidence does; the rest by name, so that all daemons weigh
// in the same order.
func compareGuilt(condemned map[string]bool, a, b string) int {
	switch {
	case condemned[a] == condemned[b]:
		return strings.Compare(a, b)
	case condemned[a]:
		return -1
	default:
		return 1
	}
}

// guilty weighs the crashes at different targets (one bad target that crashes
// over and over counts once) that no condemned request explains. The request
// is condemned if its shares of the blame, 1/Total each, add up to the limit,
// or if it took part in limit crashes and is the only one that can have taken
// part in all of them.
func (s *Suspects) guilty(fingerprint string, crashes []int) bool {
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

// explained tells whether another request is condemned that ran there too.
func (s *Suspects) explained(c Crash, fingerprint string) bool {
	for _, f := range c.Running {
		if f != fingerprint && s.condemned[f] {
			return true
		}
	}
	return false
}
