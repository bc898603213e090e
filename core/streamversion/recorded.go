package streamversion

import (
	"maps"
	"slices"
	"time"
)

const (
	// RefreshEvery is the time after which the record of a version that still has targets is
	// written again.
	RefreshEvery = Memory / 2
	// clockSlack is by how much clocks of daemons may differ, with the time that a write takes.
	clockSlack = 10 * time.Second
	// recordSlack is by how much a record's time may lag behind the last stream that began at its
	// version.
	recordSlack = RefreshEvery + clockSlack
)

// Seen is a version of which a group has had targets, until Last or longer.
type Seen struct {
	Group, Version string
	Last           time.Time
	// Observed reports that Last is from an observation of this daemon, not from a record.
	Observed bool
}

// Recorded is a Seen as it is kept outside of the daemons, for those that start later.
type Recorded struct {
	Group   string `json:"group"`
	Version string `json:"version"`
	// At is Last in milliseconds since the epoch, by the clock of the daemon that wrote it.
	At int64 `json:"at"`
}

// name identifies a record.
type name struct{ group, version string }

// Records decides which versions are to be recorded. The zero value is ready to use.
type Records struct {
	// at is the newest At of each record that is known to be kept.
	at map[name]int64
}

// Due returns what is to be recorded of the versions that were seen.
func (r *Records) Due(seen []Seen) []Recorded {
	var due []Recorded
	for _, s := range seen {
		last := s.Last.UnixMilli()
		if at, kept := r.at[name{s.Group, s.Version}]; !kept || s.Observed && last-at >= RefreshEvery.Milliseconds() {
			due = append(due, Recorded{Group: s.Group, Version: s.Version, At: last})
		}
	}
	return due
}

// Kept notes that records are kept.
func (r *Records) Kept(records ...Recorded) {
	if r.at == nil {
		r.at = map[name]int64{}
	}
	for _, k := range records {
		n := name{k.Group, k.Version}
		r.at[n] = max(r.at[n], k.At)
	}
	oldest := int64(0)
	for _, at := range r.at {
		oldest = max(oldest, at)
	}
	oldest -= 2 * (Memory + recordSlack).Milliseconds()
	maps.DeleteFunc(r.at, func(_ name, at int64) bool { return at < oldest })
}

// Seen returns what the record shows at the time now: the version may have had targets until
// recordSlack after it was written. ok is false if that is too long ago to matter.
func (k Recorded) Seen(now time.Time) (s Seen, ok bool) {
	age := now.Sub(time.UnixMilli(k.At)) - recordSlack
	last := now.Add(-max(0, age))
	return Seen{Group: k.Group, Version: k.Version, Last: last}, age <= Memory
}

// RecordedSince returns since when versions are recorded, at the time now, by a record in
// milliseconds since the epoch.
func RecordedSince(now time.Time, at int64) time.Time {
	return now.Add(clockSlack - now.Sub(time.UnixMilli(at)))
}

// Seen returns the versions that the groups' targets have had within Memory, in order.
func (h *History) Seen(now time.Time) []Seen {
	var list []Seen
	for _, group := range slices.Sorted(maps.Keys(h.groups)) {
		for _, version := range h.Versions(now, group) {
			s := Seen{Group: group, Version: version, Last: now, Observed: true}
			if p := h.groups[group][version]; !p.now {
				s.Last, s.Observed = p.last, false
			}
			list = append(list, s)
		}
	}
	return list
}

// Restore adds versions that other daemons, or an earlier run of this one, have seen. Nothing but
// these and what this record has itself was seen by any daemon from since on.
func (h *History) Restore(since time.Time, seen []Seen) {
	for _, s := range seen {
		h.Note(s.Last, s.Group, s.Version)
	}
	if since.Before(h.since) {
		h.since = since
	}
}
