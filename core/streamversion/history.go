// Package streamversion keeps what a daemon knows of the software versions that sent the
// first events of streams: targets of several versions may serve one group side by side, and
// a stream may go on only at the version that began it. It does no I/O and reads no clock.
package streamversion

import (
	"maps"
	"slices"
	"time"
)

// Memory is how long after a stream's first event its caller may resume it: well above the
// deadlines of callers.
const Memory = time.Minute

// History records which software versions the targets of each group have had. The zero value
// is empty and ready to use.
type History struct {
	// since is when the uninterrupted record began, zero before that.
	since time.Time
	// interrupted is the time of the latest interruption.
	interrupted time.Time
	groups      map[string]map[string]presence
}

// presence is whether a version has targets, and until when it had some.
type presence struct {
	now  bool
	last time.Time
}

// Interrupted records that versions may have come and gone unseen before the time at.
func (h *History) Interrupted(at time.Time) {
	if !at.After(h.interrupted) {
		return
	}
	h.interrupted = at
	if at.After(h.since) {
		h.since = at
	}
}

// Observe sets the versions that targets have now, by group. "" stands for targets whose
// version is not known.
func (h *History) Observe(now time.Time, present map[string]map[string]bool) {
	if h.since.IsZero() {
		h.since = now
	}
	if h.groups == nil {
		h.groups = map[string]map[string]presence{}
	}
	for group, versions := range h.groups {
		for version, p := range versions {
			if p.now && !present[group][version] {
				versions[version] = presence{last: now}
			}
		}
		maps.DeleteFunc(versions, func(_ string, p presence) bool { return !p.now && now.Sub(p.last) > Memory })
		if len(versions) == 0 {
			delete(h.groups, group)
		}
	}
	for group, versions := range present {
		if h.groups[group] == nil {
			h.groups[group] = map[string]presence{}
		}
		for version := range versions {
			h.groups[group][version] = presence{now: true}
		}
	}
}

// Note records a version of which the group had a target at the time now.
func (h *History) Note(now time.Time, group, version string) {
	if h.groups == nil {
		h.groups = map[string]map[string]presence{}
	}
	if h.groups[group] == nil {
		h.groups[group] = map[string]presence{}
	}
	if p := h.groups[group][version]; !p.now && now.After(p.last) {
		h.groups[group][version] = presence{last: now}
	}
}

// Versions returns the versions that the group's targets have had within Memory, as far as
// they were observed, in order.
func (h *History) Versions(now time.Time, group string) []string {
	var list []string
	for version, p := range h.groups[group] {
		if p.now || now.Sub(p.last) <= Memory {
			list = append(list, version)
		}
	}
	slices.Sort(list)
	return list
}

// Covers reports whether the record covers Memory without interruption.
func (h *History) Covers(now time.Time) bool {
	return !h.since.IsZero() && now.Sub(h.since) >= Memory
}

// Single returns the only version that the group's targets have had throughout Memory. ok is
// false if there were several, or it isn't known that there were not.
func (h *History) Single(now time.Time, group string) (version string, ok bool) {
	if !h.Covers(now) {
		return "", false
	}
	versions := h.Versions(now, group)
	if len(versions) != 1 || versions[0] == "" {
		return "", false
	}
	return versions[0], true
}
