package roster

import (
	"maps"
	"time"
)

const (
	// expiryIntervals is the number of heartbeat intervals of silence after which the store removes
	// an entry by itself.
	expiryIntervals = 3
	// departureRetention is how long a removed target is remembered: longer than a target serves on
	// after it has announced its leave.
	departureRetention = 2 * time.Minute
)

// Departure is what is known of a target that drains or whose entry was removed.
type Departure struct {
	// Start is the start of the target that leaves.
	Start Start
	// Since is the earliest time at which it may have announced its leave: the last time at which
	// the store was known to hold an entry that didn't.
	Since time.Time
	// Silence is the longest time for which the target may have written nothing before its entry
	// was removed, 0 for a target that reported that it drains.
	Silence time.Duration
	// removedAt is when the entry was removed, zero while it exists.
	removedAt time.Time
}

// Announced reports whether the target itself announced its leave: the entry of one that crashed
// is removed too, after expiryIntervals heartbeat intervals of silence.
func (d Departure) Announced(heartbeat time.Duration) bool {
	return d.Silence < expiryIntervals*heartbeat
}

// Departure returns what is known of the leave of a target's start.
func (r *Roster) Departure(id string, start Start) (Departure, bool) {
	d, known := r.departures[id]
	return d, known && d.Start == start
}

// DepartureOf returns what is known of the leave of a target, whatever its start.
func (r *Roster) DepartureOf(id string) (Departure, bool) {
	d, known := r.departures[id]
	return d, known
}

// AdoptDepartures replaces the departures by those that another daemon knows.
func (r *Roster) AdoptDepartures(all map[string]Departure) { r.departures = maps.Clone(all) }

// noteEntry records whether the target of an entry drains.
func (r *Roster) noteEntry(t Target) {
	r.writtenAfter[t.ID] = r.previousAnswer
	if !t.Draining {
		delete(r.departures, t.ID)
		return
	}
	if d, known := r.departures[t.ID]; !known || d.Start != t.Start {
		r.departures[t.ID] = Departure{Start: t.Start, Since: r.previousAnswer}
	}
}

// noteRemoval records that the target's entry was removed, and drops the departures of targets that
// were removed long ago.
func (r *Roster) noteRemoval(now time.Time, t Target) {
	d, known := r.departures[t.ID]
	if !known || d.Start != t.Start {
		d = Departure{Start: t.Start, Since: r.previousAnswer, Silence: now.Sub(r.writtenAfter[t.ID])}
	}
	d.removedAt = now
	r.departures[t.ID] = d
	delete(r.writtenAfter, t.ID)
	maps.DeleteFunc(r.departures, func(_ string, d Departure) bool {
		return !d.removedAt.IsZero() && now.Sub(d.removedAt) > departureRetention
	})
}
