// Package roster decides which targets may get new work, from the entries that
// targets keep about themselves in a store that is at times away. It is pure.
package roster

import (
	"cmp"
	"slices"
	"time"
)

const (
	// ReturnGrace is how long after the store is heard again a target whose
	// entry vanished meanwhile stays in use: living targets write their entries
	// again within about 2 s of the store's return.
	ReturnGrace = 2200 * time.Millisecond
	// lapsedShare is the part of a group that must have vanished within the grace for
	// its targets to stay in use, whether or not some are back: less than that is what
	// planned work takes away.
	lapsedShare = 0.5
	// AwayAfter is the silence of the store after which entries that vanish are
	// put down to the silence itself. It is above the pace at which the store is
	// asked in calm times.
	AwayAfter = 1500 * time.Millisecond
	// LateFor is how long an entry of an earlier start stands aside. Writes whose
	// answer was lost take effect up to 6 s late, and a living target writes its
	// entry again with its next heartbeat, some 1.2 s later, if another one stands
	// there.
	LateFor = 8 * time.Second
)

// Target is what a target's entry says.
type Target struct {
	// ID names the target. It may start again under its ID; an address may be used
	// again by another target.
	ID string
	// Born is when it started, in Unix milliseconds by its own clock, which need
	// not agree with any other; 0 if its entries don't tell.
	Born int64
	// Start names this start. The roster sets it.
	Start Start
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
	lapsed map[string]waiting
	// vanished holds, by ID, the group of each target whose entry vanished within the
	// last grace, also of those that are back.
	vanished map[string]string
	// aside holds the entries of earlier starts, with the moment at which they
	// count after all.
	aside     map[string]waiting
	heard     time.Time
	graceEnds time.Time
	// sampled tells that the entries are a sample that another daemon chose.
	sampled bool
	// version counts the changes of what Usable returns, other than those by time; due
	// is when the next one by time comes, zero for never.
	version uint64
	due     time.Time
}

// waiting is a target of which something changes at a moment.
type waiting struct {
	target Target
	until  time.Time
}

// New returns an empty roster.
func New() *Roster {
	return &Roster{entries: map[string]Target{}, lapsed: map[string]waiting{}, aside: map[string]waiting{},
		vanished: map[string]string{}}
}

// Heard notes an answer of the store. Call it before Set, Remove, Spoil and
// Replace for what the answer holds.
func (r *Roster) Heard(now time.Time) {
	if !r.heard.IsZero() && now.Sub(r.heard) > AwayAfter {
		r.graceEnds = now.Add(ReturnGrace)
		clear(r.vanished)
		r.version++
	}
	r.heard = now
}

// Set takes an entry.
//
// Failure guarded against: the last write of a target that crashed takes effect
// seconds later, when the target has started again under its ID. Taken as news, it
// would bring back an address that serves others by now, or make a target that
// drains look ready. So the start that was born last stands, and an entry of an
// earlier one counts only if the later start writes nothing more for LateFor: then
// the target's clock has gone back, and the log's order is right.
func (r *Roster) Set(now time.Time, t Target) {
	t.Start = StartOf(t.ID, t.Born)
	known, had := r.entries[t.ID]
	if had && t.Born < known.Born {
		if _, waits := r.aside[t.ID]; !waits {
			r.aside[t.ID] = waiting{t, now.Add(LateFor)}
			r.version++
		}
		return
	}
	_, lapsed := r.lapsed[t.ID]
	_, aside := r.aside[t.ID]
	if had && known == t && !lapsed && !aside {
		return // a heartbeat without news
	}
	r.entries[t.ID] = t
	delete(r.lapsed, t.ID)
	delete(r.aside, t.ID)
	r.version++
}

// Remove takes the end of an entry. Within the grace after a silence of the store
// the target stays in use if most of its group vanish: a store that was away lets
// the entries of living targets lapse, and dropping them all at once would leave
// nowhere to send. Targets that were draining are dropped at once.
//
// Fewer are dropped at once too. Failure guarded against: the store turns this
// daemon away and serves the others, and a target leaves meanwhile. Kept for the
// grace, it would get work from here for longer than it stays up.
func (r *Roster) Remove(now time.Time, id string) {
	delete(r.aside, id)
	t, ok := r.entries[id]
	if !ok {
		return
	}
	delete(r.entries, id)
	r.version++
	if now.Before(r.graceEnds) && !t.Draining {
		r.lapsed[id] = waiting{t, r.graceEnds}
		r.vanished[id] = t.Group
	}
}

// Spoil takes an entry that names no usable target. What it replaced no longer
// counts, without any grace: somebody else has written there, and the target, if it
// lives, writes its own entry again with its next heartbeat.
func (r *Roster) Spoil(id string) {
	r.version++
	delete(r.entries, id)
	delete(r.lapsed, id)
	delete(r.aside, id)
}

// Replace takes all entries at once, as read after a gap in the changes. spoiled
// lists the IDs whose entry names no usable target.
func (r *Roster) Replace(now time.Time, all []Target, spoiled ...string) {
	if r.sampled {
		r.sampled = false
		r.version++
	}
	next := make(map[string]bool, len(all))
	for _, t := range all {
		next[t.ID] = true
	}
	for _, id := range spoiled {
		r.Spoil(id)
	}
	for id := range r.entries {
		if !next[id] {
			r.Remove(now, id)
		}
	}
	for _, t := range all {
		r.Set(now, t)
	}
}

// Adopt takes targets that another daemon uses, true as of the moment at: a sample of
// them, or whole all that matter here. That daemon has judged what lapsed, so nothing is
// kept beside them.
func (r *Roster) Adopt(at time.Time, list []Target, whole bool) {
	r.entries = make(map[string]Target, len(list))
	for _, t := range list {
		t.Start = StartOf(t.ID, t.Born)
		r.entries[t.ID] = t
	}
	clear(r.lapsed)
	clear(r.aside)
	clear(r.vanished)
	r.heard = at
	r.sampled = !whole
	r.version++
}

// Confirm notes that what was adopted was still true at the moment at.
func (r *Roster) Confirm(at time.Time) {
	if at.After(r.heard) {
		r.heard = at
	}
}

// Known tells whether the store was heard at all.
func (r *Roster) Known() bool { return !r.heard.IsZero() }

// Age is how old the last word of the store is; it is meaningless before the first.
func (r *Roster) Age(now time.Time) time.Duration { return now.Sub(r.heard) }

// Complete tells whether all targets that matter here are known, and not only a sample.
func (r *Roster) Complete() bool { return r.Known() && !r.sampled }

// Len returns the number of entries.
func (r *Roster) Len() int { return len(r.entries) }

// Entry returns a target's entry.
func (r *Roster) Entry(id string) (Target, bool) {
	t, known := r.entries[id]
	return t, known
}

// Version changes whenever what Usable returns may have changed; now is the present.
func (r *Roster) Version(now time.Time) uint64 {
	if !r.due.IsZero() && !now.Before(r.due) {
		r.version++
		r.due = time.Time{}
	}
	return r.version
}

// Current returns the start that the target has now, "" if none is known.
func (r *Roster) Current(id string) Start { return r.entries[id].Start }

// Usable returns the targets that may get new work, sorted by ID, and when the
// answer changes by time alone (zero: never).
func (r *Roster) Usable(now time.Time) ([]Target, time.Time) {
	until := r.pass(now)
	r.due = until
	list := make([]Target, 0, len(r.entries)+len(r.lapsed))
	for _, t := range r.entries {
		if !t.Draining {
			list = append(list, t)
		}
	}
	list = append(list, r.kept()...)
	slices.SortFunc(list, func(a, b Target) int { return cmp.Compare(a.ID, b.ID) })
	return list, until
}

// kept lists the lapsed targets of the groups of which most have vanished.
func (r *Roster) kept() []Target {
	if len(r.lapsed) == 0 {
		return nil
	}
	all, vanished := map[string]int{}, map[string]int{}
	for id, t := range r.entries {
		if _, was := r.vanished[id]; !was {
			all[t.Group]++
		}
	}
	for _, group := range r.vanished {
		all[group]++
		vanished[group]++
	}
	var list []Target
	for _, l := range r.lapsed {
		group := l.target.Group
		if float64(vanished[group]) > lapsedShare*float64(all[group]) {
			list = append(list, l.target)
		}
	}
	return list
}

// pass takes the changes that time alone has brought, and returns when the next
// one comes (zero: never).
func (r *Roster) pass(now time.Time) time.Time {
	var next time.Time
	due := func(w waiting) bool {
		if !now.Before(w.until) {
			return true
		}
		if next.IsZero() || w.until.Before(next) {
			next = w.until
		}
		return false
	}
	for id, w := range r.aside {
		if due(w) {
			delete(r.aside, id)
			r.entries[id] = w.target
		}
	}
	for id, w := range r.lapsed {
		if due(w) {
			delete(r.lapsed, id)
		}
	}
	return next
}
