// Package roster decides which targets may get new work, from the entries that targets
// keep about themselves in a store that is unavailable at times. It does no I/O and
// reads no clock.
package roster

import (
	"cmp"
	"slices"
	"time"
)

const (
	// ReturnGrace is how long after the store answers again a target whose entry vanished
	// in the meantime stays in use: live targets rewrite their entries within about 2 s
	// of the store's return.
	ReturnGrace = 2200 * time.Millisecond
	// vanishedShare is the share of a group above which its targets stay in use when they
	// vanish within the grace period; targets that are back count as vanished. Planned
	// maintenance removes a smaller share.
	vanishedShare = 0.5
	// OutageThreshold is how long the store must have been silent for vanished entries to
	// be attributed to the outage itself. It is above the interval between queries to the
	// store in quiet times.
	OutageThreshold = 1500 * time.Millisecond
	// LateWriteWindow is how long an entry of an earlier start is deferred. Writes whose
	// answer was lost take effect up to 6 s late, and a live target that finds another
	// entry in place of its own rewrites it with its next heartbeat, some 1.2 s later.
	LateWriteWindow = 8 * time.Second
)

// Target is the content of a target's entry.
type Target struct {
	// ID identifies the target. A target may restart under its ID, and its address may be
	// reused by another target.
	ID string
	// Born is when it started, in Unix milliseconds by its own clock, which need not
	// agree with any other; 0 if its entries lack it.
	Born int64
	// Start identifies this start. The roster sets it.
	Start Start
	// Group is the target group that it serves.
	Group string
	// Address is IP:PORT.
	Address string
	// Zone is the target's availability zone.
	Zone string
	// Version is the version of the target's software, "" if it is not known.
	Version string
	// Slots is how many requests it runs at once.
	Slots int
	// Draining targets get no new work.
	Draining bool
}

// Roster is the view of all targets.
type Roster struct {
	entries map[string]Target
	// expired holds the targets whose entries vanished during an outage of the store,
	// with the moment at which they are dropped.
	expired map[string]pendingChange
	// vanished holds, by ID, the group of each target whose entry vanished within the
	// last grace period, including those that are back.
	vanished map[string]string
	// deferred holds the entries of earlier starts, with the moment at which they are
	// applied after all.
	deferred map[string]pendingChange
	// departures holds, by ID, the targets that drain or were removed, and writtenAfter the time
	// after which each entry was last written.
	departures   map[string]Departure
	writtenAfter map[string]time.Time
	// lastAnswer is when the store last answered, previousAnswer when it had answered before.
	lastAnswer, previousAnswer time.Time
	graceEnds                  time.Time
	// loadedAt is when all entries were last replaced at once.
	loadedAt time.Time
	// seen holds the versions, by group, of all entries that were applied since Versions was
	// last called.
	seen map[string]map[string]bool
	// adopted is set while the entries are those that another daemon uses.
	adopted bool
	// sampled is set while the entries are a sample that another daemon chose.
	sampled bool
	// version counts the changes of what Usable returns, other than those due to time
	// alone; nextChange is when the next one due to time comes, zero for never.
	version    uint64
	nextChange time.Time
}

// pendingChange is a target whose state changes at a set moment.
type pendingChange struct {
	target Target
	until  time.Time
}

// New returns an empty roster.
func New() *Roster {
	return &Roster{entries: map[string]Target{}, expired: map[string]pendingChange{}, deferred: map[string]pendingChange{},
		vanished: map[string]string{}, seen: map[string]map[string]bool{},
		departures: map[string]Departure{}, writtenAfter: map[string]time.Time{}}
}

// StoreAnswered records an answer of the store. Call it before Set, Remove, Invalidate
// and Replace with the content of the answer.
func (r *Roster) StoreAnswered(now time.Time) {
	if !r.lastAnswer.IsZero() && now.Sub(r.lastAnswer) > OutageThreshold {
		r.graceEnds = now.Add(ReturnGrace)
		clear(r.vanished)
		r.version++
	}
	r.previousAnswer, r.lastAnswer = r.lastAnswer, now
}

// Set applies an entry.
//
// Failure guarded against: the last write of a target that crashed takes effect seconds
// later, when the target has restarted under its ID. Applied as new, it would bring back
// an address that may serve another target by now, or make a draining target look ready.
// So the entry of the start with the latest Born is kept, and an entry of an earlier
// start is applied only if the later start writes nothing more for LateWriteWindow: then
// the target's clock has gone back, and the log's order is right.
func (r *Roster) Set(now time.Time, t Target) {
	t.Start = StartOf(t.ID, t.Born)
	known, had := r.entries[t.ID]
	if had && t.Born < known.Born {
		if _, isDeferred := r.deferred[t.ID]; !isDeferred {
			r.deferred[t.ID] = pendingChange{t, now.Add(LateWriteWindow)}
			r.version++
		}
		return
	}
	r.noteEntry(t)
	_, expired := r.expired[t.ID]
	_, deferred := r.deferred[t.ID]
	if had && known == t && !expired && !deferred {
		return // a heartbeat without changes
	}
	r.entries[t.ID] = t
	delete(r.expired, t.ID)
	delete(r.deferred, t.ID)
	r.version++
	addVersion(r.seen, t)
}

// Remove applies the removal of an entry. Within the grace period after an outage of the
// store the target stays in use if most of its group vanished: a store that was
// unavailable lets the entries of live targets expire, and dropping them all at once
// would leave no target to send to. Draining targets are dropped at once.
//
// If fewer vanished, they are dropped at once too. Failure guarded against: the store
// rejects this daemon's requests and serves the others, and a target leaves meanwhile. If
// it were kept for the grace period, this daemon would send it work for longer than it
// stays up.
func (r *Roster) Remove(now time.Time, id string) {
	delete(r.deferred, id)
	t, ok := r.entries[id]
	if !ok {
		return
	}
	delete(r.entries, id)
	r.noteRemoval(now, t)
	r.version++
	if now.Before(r.graceEnds) && !t.Draining {
		r.expired[id] = pendingChange{t, r.graceEnds}
		r.vanished[id] = t.Group
	}
}

// Invalidate applies an entry that names no usable target. The entry that it replaced is
// dropped without a grace period: something else has written there, and the target, if it
// is alive, rewrites its own entry with its next heartbeat.
func (r *Roster) Invalidate(id string) {
	r.version++
	delete(r.entries, id)
	delete(r.expired, id)
	delete(r.deferred, id)
	delete(r.departures, id)
	delete(r.writtenAfter, id)
}

// Replace applies all entries at once, as read after a gap in the changes. invalid lists
// the IDs whose entry names no usable target.
func (r *Roster) Replace(now time.Time, all []Target, invalid ...string) {
	r.loadedAt, r.adopted = now, false
	if r.sampled {
		r.sampled = false
		r.version++
	}
	next := make(map[string]bool, len(all))
	for _, t := range all {
		next[t.ID] = true
	}
	for _, id := range invalid {
		r.Invalidate(id)
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

// Adopt replaces the entries by targets that another daemon uses, as of the moment at:
// all that matter here if complete is set, otherwise a sample of them. That daemon has
// already handled expired entries, so nothing else is kept.
func (r *Roster) Adopt(at time.Time, list []Target, complete bool) {
	r.entries = make(map[string]Target, len(list))
	for _, t := range list {
		t.Start = StartOf(t.ID, t.Born)
		r.entries[t.ID] = t
	}
	clear(r.expired)
	clear(r.deferred)
	clear(r.vanished)
	clear(r.writtenAfter)
	r.lastAnswer, r.loadedAt, r.adopted = at, at, true
	r.sampled = !complete
	r.version++
}

// Confirm records that what was adopted was still accurate at the moment at.
func (r *Roster) Confirm(at time.Time) {
	if at.After(r.lastAnswer) {
		r.lastAnswer = at
	}
}

// Known reports whether anything has been received from the store, directly or through
// another daemon.
func (r *Roster) Known() bool { return !r.lastAnswer.IsZero() }

// Age returns the time since the store's last answer; it is meaningless before the first.
func (r *Roster) Age(now time.Time) time.Duration { return now.Sub(r.lastAnswer) }

// Complete reports whether all targets that matter here are known, and not only a sample.
func (r *Roster) Complete() bool { return r.Known() && !r.sampled }

// Adopted reports whether the entries are those that another daemon uses.
func (r *Roster) Adopted() bool { return r.adopted }

// LoadedAt returns when all entries were last replaced at once. What came and went before is
// not known.
func (r *Roster) LoadedAt() time.Time { return r.loadedAt }

// Versions returns the software versions, by group, in all entries, including those of targets
// that get no new work and those that came and went since it was last called.
func (r *Roster) Versions() map[string]map[string]bool {
	versions := r.seen
	r.seen = map[string]map[string]bool{}
	for _, t := range r.entries {
		addVersion(versions, t)
	}
	for _, pending := range []map[string]pendingChange{r.expired, r.deferred} {
		for _, c := range pending {
			addVersion(versions, c.target)
		}
	}
	return versions
}

func addVersion(versions map[string]map[string]bool, t Target) {
	if versions[t.Group] == nil {
		versions[t.Group] = map[string]bool{}
	}
	versions[t.Group][t.Version] = true
}

// Len returns the number of entries.
func (r *Roster) Len() int { return len(r.entries) }

// Entry returns a target's entry.
func (r *Roster) Entry(id string) (Target, bool) {
	t, known := r.entries[id]
	return t, known
}

// Version returns a number that changes whenever the result of Usable may have changed;
// now is the current time.
func (r *Roster) Version(now time.Time) uint64 {
	if !r.nextChange.IsZero() && !now.Before(r.nextChange) {
		r.version++
		r.nextChange = time.Time{}
	}
	return r.version
}

// CurrentStart returns the target's current start, "" if none is known.
func (r *Roster) CurrentStart(id string) Start { return r.entries[id].Start }

// Usable returns the targets that may get new work, sorted by ID, and when the result
// next changes due to time alone (zero: never).
func (r *Roster) Usable(now time.Time) ([]Target, time.Time) {
	until := r.applyDue(now)
	r.nextChange = until
	list := make([]Target, 0, len(r.entries)+len(r.expired))
	for _, t := range r.entries {
		if !t.Draining {
			list = append(list, t)
		}
	}
	list = append(list, r.retained()...)
	slices.SortFunc(list, func(a, b Target) int { return cmp.Compare(a.ID, b.ID) })
	return list, until
}

// retained lists the expired targets of the groups of which most have vanished.
func (r *Roster) retained() []Target {
	if len(r.expired) == 0 {
		return nil
	}
	sizes, vanished := map[string]int{}, map[string]int{}
	for id, t := range r.entries {
		if _, was := r.vanished[id]; !was {
			sizes[t.Group]++
		}
	}
	for _, group := range r.vanished {
		sizes[group]++
		vanished[group]++
	}
	var list []Target
	for _, l := range r.expired {
		group := l.target.Group
		if float64(vanished[group]) > vanishedShare*float64(sizes[group]) {
			list = append(list, l.target)
		}
	}
	return list
}

// applyDue applies the changes that are due, and returns when the next one is (zero:
// never).
func (r *Roster) applyDue(now time.Time) time.Time {
	var next time.Time
	due := func(c pendingChange) bool {
		if !now.Before(c.until) {
			return true
		}
		if next.IsZero() || c.until.Before(next) {
			next = c.until
		}
		return false
	}
	for id, c := range r.deferred {
		if due(c) {
			delete(r.deferred, id)
			r.entries[id] = c.target
		}
	}
	for id, c := range r.expired {
		if due(c) {
			delete(r.expired, id)
		}
	}
	return next
}
