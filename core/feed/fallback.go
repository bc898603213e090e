package feed

import "time"

const (
	// unservedFor is how long a daemon does without a reader before it reads the log
	// itself. The next leader has come forward by then.
	unservedFor = time.Second
	// configurationPause and targetPause are the pauses between two daemons of a zone
	// that begin to read the configuration, or the targets, themselves. targetPause is
	// for each target: the list is as long as there are targets, and all zones together
	// must not ask for more than a part of what the log can read.
	configurationPause = 25 * time.Millisecond
	targetPause        = 50 * time.Microsecond
	// leastTargetPause holds while the number of targets is not known.
	leastTargetPause = 250 * time.Millisecond
	// tryFor is how long a daemon tries to reach the log before it leaves it to others.
	tryFor = 1500 * time.Millisecond
)

// Fallback decides when a daemon that no reader serves reads the log itself.
//
// Failure guarded against: all readers of a zone die, or the network parts this daemon
// from them, while the log can be reached. The daemons of a zone begin one after the
// other, and one that the log does not answer stops again, so that a log that is out is
// not asked by the whole fleet.
type Fallback struct {
	// from is when the first turn comes, unless a reader answers before.
	from                   time.Time
	configuration, targets attempts
}

// attempts are the tries to read one list.
type attempts struct {
	// due is when the next try begins, zero if none is planned; until is when the running
	// one ends unless the log has answered.
	due, until time.Time
}

// NewFallback returns the fallback of a daemon that starts now. Its zone may have started
// with it, so the turns begin at once.
func NewFallback(now time.Time) *Fallback { return &Fallback{from: now} }

// Served notes an answer of a reader.
func (f *Fallback) Served(now time.Time) {
	f.from = now.Add(unservedFor)
	f.configuration, f.targets = attempts{}, attempts{}
}

// Situation is what the decision depends on.
type Situation struct {
	// Turn is this daemon's place among the zone's, from 0 on, and Members their number.
	Turn, Members int
	// Targets is the number of targets as last known, 0 for unknown.
	Targets int
	// ConfigurationAge and TargetsAge are how long ago the log last answered this
	// daemon's own readings, Never if it did not.
	ConfigurationAge, TargetsAge time.Duration
}

// Decide tells whether the daemon reads the configuration, and the targets, itself.
func (f *Fallback) Decide(now time.Time, s Situation) (configuration, targets bool) {
	perTarget := max(leastTargetPause, time.Duration(s.Targets)*targetPause)
	configuration = f.configuration.running(now, f.from, configurationPause, s, s.ConfigurationAge)
	targets = f.targets.running(now, f.from, perTarget, s, s.TargetsAge)
	return configuration, targets
}

// running tells whether a try is under way. The turns of a zone's daemons come one pause
// after the other, and begin again once all had theirs.
func (a *attempts) running(now, start time.Time, pause time.Duration, s Situation, age time.Duration) bool {
	switch {
	case now.Before(start):
		return false
	case a.due.IsZero():
		a.due = start.Add(time.Duration(s.Turn) * pause)
	}
	if now.Before(a.due) {
		return false
	}
	if a.until.IsZero() || fresh(age) {
		a.until = now.Add(tryFor)
	}
	if now.After(a.until) {
		a.due = now.Add(time.Duration(max(1, s.Members)) * pause)
		a.until = time.Time{}
		return false
	}
	return true
}
