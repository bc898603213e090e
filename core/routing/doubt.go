package routing

import "time"

// A target in doubt has failed a request a moment ago and answered none since,
// here or at another daemon of the own zone. It is not out: it counts as one that
// is full, so that requests go to others while these have places.
//
// Failure guarded against: a target that takes connections and fails each
// request at once always looks like the emptiest one, so it draws the requests
// of every daemon until each of them has seen it fail often enough by itself. A
// fleet loses daemons x SoftFailures requests at every such target, and those
// that must not run twice are lost for good. With doubt told within the zone one
// failure turns the whole zone away, and the zone as a whole waits longer after
// each that follows. Doubt stays within its zone, since a target may fail the
// callers of one zone and serve the others.

const (
	// trialTime is how long others are still told of a doubt after it has ended
	// here, so that one daemon tries the target and not all of them at once.
	trialTime = 250 * time.Millisecond
	// maxDoubtShare is the largest part of a group that a daemon may have in doubt
	// and still tell others of it. One that fails at more has most likely lost its
	// own way to them, and its word would drive its whole zone to other zones.
	maxDoubtShare = 0.25
)

// Doubt is what failures without a success since say of a target. It lasts as long
// as a removal after as many failures holds a target. The zero value is no doubt; a
// success brings it back.
type Doubt struct {
	// failures in a row, those that the zone told of included.
	failures int
	until    time.Time
}

// Failed takes a failure. heard is how many failures others have told of.
// Failures of requests that were sent before the doubt arrive in a bunch; they
// count as one.
func (d *Doubt) Failed(now time.Time, heard int) {
	if now.Before(d.until) {
		return
	}
	d.failures = max(d.failures, heard) + 1
	d.until = now.Add(holdAfter(d.failures - 1))
}

// Failures counts the failures in a row.
func (d *Doubt) Failures() int { return d.failures }

// Lasts tells whether the target is still held back.
func (d *Doubt) Lasts(now time.Time) bool { return now.Before(d.until) }

// heardDoubt returns how many failures in a row the zone's others tell of.
func (e *entry) heardDoubt(now time.Time) int {
	if !e.heard.fresh(now) {
		return 0
	}
	return e.heard.word.Doubt
}

// doubtful tells whether the target is in doubt for a request. Others' word counts
// if they tell of more failures than are known here: a daemon whose own doubt has
// ended tries the target although the others go on doubting. That is for requests
// that may be repeated; for others the doubt lasts until the target answers.
func (e *entry) doubtful(now time.Time, r Request) bool {
	d := e.health.doubt
	if e.heardDoubt(now) > d.failures || d.Lasts(now) {
		return true
	}
	return r.LastChance && (d.failures > 0 || e.heardDoubt(now) > 0 || e.health.state(now) == HalfOpen)
}

// Doubtful tells whether the target is in doubt for work that may be repeated.
func (t *Table) Doubtful(now time.Time, address string) bool {
	e := t.entries[address]
	return e != nil && e.doubtful(now, Request{})
}

// Suspect has the target doubted although no request there has ended.
func (t *Table) Suspect(now time.Time, address string) {
	if e := t.entries[address]; e != nil {
		e.health.doubt.Failed(now, e.heardDoubt(now))
	}
}

// Doubts gives the failures in a row of the targets that the own requests put in
// doubt, for the other daemons of the zone; none if they are too many to be the
// targets' own fault.
func (t *Table) Doubts(now time.Time) map[string]int {
	doubts := map[string]int{}
	for _, address := range t.order {
		if d := t.entries[address].health.doubt; now.Before(d.until.Add(trialTime)) {
			doubts[address] = d.failures
		}
	}
	if len(doubts) > max(1, int(maxDoubtShare*float64(len(t.order)))) {
		return nil
	}
	return doubts
}
