// Package roster decides which targets may get new work, from the entries that
// targets keep about themselves in a store that is at times away. It is pure.
package roster

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// ReturnGrace is how long after the store is heard again a target whose
	// entry vanished meanwhile stays in use: living targets write their entries
	// again within about 2 s of the store's return.
	ReturnGrace = 2200 * time.Millisecond
	// AwayAfter is the silence of the store after which entries that vanish are
	// put down to the silence itself. It is above the pace at which the store is
	// asked in calm times.
	AwayAfter = 1500 * time.Millisecond
)

// Target is what a target's entry says.
type Target struct {
	// ID names one start of the target; it is never used again, while an
	// address may be.
	ID string
	// Group is the target group that it serves.
	Group string
	// Address is IP:PORT.
	Address string
	// Zone is the target's availability zone.
	Zone string
	// Slots is how many requests it runs at once.
	Slots int
	// Draining targets get no new work.
	Draining bool
}

// Roster is the view of all targets.
type Roster struct {
	entries map[string]Target
	// lapsed holds the targets whose entries vanished while the store was away,
	// with the moment at which they count as gone.
	lapsed    map[string]lapse
	heard     time.Time
	graceEnds time.Time
}

type lapse struct {
	target Target
	ends   time.Time
}

// New returns an empty roster.
func New() *Roster {
	return &Roster{entries: map[string]Target{}, lapsed: map[string]lapse{}}
}

// Heard notes an answer of the store. Call it before Set, Remove and Replace
// for what the answer holds.
func (r *Roster) Heard(now time.Time) {
	if !r.heard.IsZero() && now.Sub(r.heard) > AwayAfter {
		r.graceEnds = now.Add(ReturnGrace)
	}
	r.heard = now
}

// Set takes an entry.
func (r *Roster) Set(t Target) {
	r.entries[t.ID] = t
	delete(r.lapsed, t.ID)
}

// Remove takes the end of an entry. Within the grace after a silence of the
// store the target stays in use: a store that was away lets entries of living
// targets lapse, and dropping them all at once would leave nowhere to send.
// Targets that were draining are dropped at once.
func (r *Roster) Remove(now time.Time, id string) {
	t, ok := r.entries[id]
	if !ok {
		return
	}
	delete(r.entries, id)
	if now.Before(r.graceEnds) && !t.Draining {
		r.lapsed[id] = lapse{t, r.graceEnds}
	}
}

// Replace takes all entries at once, as read after a gap in the changes.
func (r *Roster) Replace(now time.Time, all []Target) {
	next := make(map[string]bool, len(all))
	for _, t := range all {
		next[t.ID] = true
	}
	for id := range r.entries {
		if !next[id] {
			r.Remove(now, id)
		}
	}
	for _, t := range all {
		r.Set(t)
	}
}

// Known tells whether the store was heard at all.
func (r *Roster) Known() bool { return !r.heard.IsZero() }

// Usable returns the targets that may get new work, sorted by ID, and when the
// answer changes by time alone (zero: never).
func (r *Roster) Usable(now time.Time) ([]Target, time.Time) {
	list := make([]Target, 0, len(r.entries))
	for _, t := range r.entries {
		if !t.Draining {
			list = append(list, t)
		}
	}
	var until time.Time
	for id, l := range maps.Clone(r.lapsed) {
		if !now.Before(l.ends) {
			delete(r.lapsed, id)
			continue
		}
		list = append(list, l.target)
		if until.IsZero() || l.ends.Before(until) {
			until = l.ends
		}
	}
	slices.SortFunc(list, func(a, b Target) int { return cmp.Compare(a.ID, b.ID) })
	return list, until
}
