package feed

import "time"

const (
	// readerTimeout is how long a daemon goes without an answer from a reader before it
	// reads the log itself. The next leader has taken over by then.
	readerTimeout = time.Second
	// configurationPause and targetPause are the pauses between two daemons of a zone
	// that start to read the configuration, or the targets, themselves. targetPause is
	// per target: the length of the list grows with the number of targets, and all zones
	// together must not request more than a part of what the log can serve.
	configurationPause = 25 * time.Millisecond
	targetPause        = 50 * time.Microsecond
	// minTargetPause applies while the number of targets is unknown.
	minTargetPause = 250 * time.Millisecond
	// attemptTimeout is how long a daemon tries to reach the log before it leaves that to
	// other daemons.
	attemptTimeout = 1500 * time.Millisecond
)

// Fallback decides when a daemon that no reader serves reads the log itself.
//
// Failure guarded against: all readers of a zone die, or a network partition separates
// this daemon from them, while the log can be reached. The daemons of a zone start to
// read one after the other, and one that gets no answer from the log stops again, so that
// the whole fleet does not query a log that is unavailable.
type Fallback struct {
	// firstTurn is when the first turn begins, unless a reader answers before.
	firstTurn              time.Time
	configuration, targets attempts
}

// attempts are the attempts to read one list.
type attempts struct {
	// due is when the next attempt begins, zero if none is planned; until is when the
	// running one ends unless the log has answered.
	due, until time.Time
}

// NewFallback returns the fallback of a daemon that starts now. Its whole zone may have
// started at the same time, so the turns begin at once.
func NewFallback(now time.Time) *Fallback { return &Fallback{firstTurn: now} }

// ReaderAnswered records an answer of a reader.
func (f *Fallback) ReaderAnswered(now time.Time) {
	f.firstTurn = now.Add(readerTimeout)
	f.configuration, f.targets = attempts{}, attempts{}
}

// Situation is the input of a decision.
type Situation struct {
	// Position is this daemon's index among the zone's members, from 0; Members is their
	// number.
	Position, Members int
	// Targets is the last known number of targets, 0 if it is unknown.
	Targets int
	// ConfigurationAge and TargetsAge are the time since the log last answered this
	// daemon's own reads, Never if it has not.
	ConfigurationAge, TargetsAge time.Duration
}

// Decide reports whether the daemon reads the configuration, and the targets, itself.
func (f *Fallback) Decide(now time.Time, s Situation) (configuration, targets bool) {
	perTarget := max(minTargetPause, time.Duration(s.Targets)*targetPause)
	configuration = f.configuration.running(now, f.firstTurn, configurationPause, s, s.ConfigurationAge)
	targets = f.targets.running(now, f.firstTurn, perTarget, s, s.TargetsAge)
	return configuration, targets
}

// running reports whether an attempt is in progress. The daemons of a zone take turns,
// one pause after the other, and start over once all of them had theirs.
func (a *attempts) running(now, start time.Time, pause time.Duration, s Situation, age time.Duration) bool {
	switch {
	case now.Before(start):
		return false
	case a.due.IsZero():
		a.due = start.Add(time.Duration(s.Position) * pause)
	}
	if now.Before(a.due) {
		return false
	}
	if a.until.IsZero() || fresh(age) {
		a.until = now.Add(attemptTimeout)
	}
	if now.After(a.until) {
		a.due = now.Add(time.Duration(max(1, s.Members)) * pause)
		a.until = time.Time{}
		return false
	}
	return true
}
