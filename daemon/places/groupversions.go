package places

import (
	"time"

	"tarragonhollow.example/tarragonhollow/core/roster"
	"tarragonhollow.example/tarragonhollow/core/streamversion"
)

// versionsTTL is how long a list of targets, and what a reader said of versions, counts: some
// three polls.
const versionsTTL = 3 * time.Second

// GroupVersions is what a daemon knows of the software versions that a group's targets have
// had within streamversion.Memory.
type GroupVersions struct {
	// Known lists them, as far as known here; "" stands for an unknown one.
	Known []string
	// Several reports that there were several, also if not all are listed.
	Several bool
	// Covered reports that all versions were known throughout the memory, up to the list of targets,
	// which may be old. Fresh reports that the list was confirmed within the last versionsTTL,
	// Throughout both, so that nothing is missing.
	Covered, Fresh, Throughout bool
}

// Single returns the only version that the targets have had throughout; ok is false if there
// were several, or that is not known.
func (v GroupVersions) Single() (version string, ok bool) {
	version = v.Sole()
	return version, v.Throughout && version != ""
}

// Sole returns the only version that the targets are known to have had, which need not be all,
// "" if there are several or none.
func (v GroupVersions) Sole() string {
	if v.Several || len(v.Known) != 1 {
		return ""
	}
	return v.Known[0]
}

// Contradicts reports whether targets have had another version than the given one.
func (v GroupVersions) Contradicts(version string) bool {
	return v.Several || len(v.Known) == 1 && v.Known[0] != version
}

// Versions returns what is known of the versions of a group's targets.
func (p *Places) Versions(group string) GroupVersions {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	v := GroupVersions{Known: p.versions.Versions(now, group)}
	v.Several = len(v.Known) > 1
	v.Fresh = p.roster.Known() && p.roster.Age(now) <= versionsTTL
	if p.roster.Adopted() {
		v.Several = v.Several || p.readerVersions.several[group]
		v.Covered = p.readerVersions.throughout
		v.Throughout = v.Fresh && v.Covered && now.Sub(p.readerVersions.at) <= versionsTTL
		return v
	}
	v.Covered = p.versions.Covers(now)
	v.Throughout = v.Fresh && v.Covered
	return v
}

// SeenVersions returns the versions that targets have had within streamversion.Memory, and when the
// list of targets was loaded. ok is false where this daemon does not read that list itself.
func (p *Places) SeenVersions() (seen []streamversion.Seen, loadedAt time.Time, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.roster.Adopted() || !p.roster.Complete() {
		return nil, time.Time{}, false
	}
	return p.versions.Seen(time.Now()), p.roster.LoadedAt(), true
}

// RestoreVersions adds versions that were recorded before the list of targets was loaded; see
// streamversion.History.Restore. It returns false if the list was loaded again since loadedAt.
func (p *Places) RestoreVersions(loadedAt, since time.Time, seen []streamversion.Seen) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.roster.Adopted() || !p.roster.LoadedAt().Equal(loadedAt) {
		return false
	}
	p.versions.Restore(since, seen)
	return true
}

// readerVersions is what a reader said of versions: the groups whose targets have had several,
// and whether it would know of all such groups.
type readerVersions struct {
	at         time.Time
	several    map[string]bool
	throughout bool
}

// AdoptVersions records what a reader knew of versions at the time at.
func (p *Places) AdoptVersions(at time.Time, several []string, throughout bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.readerVersions = readerVersions{at: at, several: map[string]bool{}, throughout: throughout}
	for _, group := range several {
		p.readerVersions.several[group] = true
	}
}

// severalVersions lists the groups whose targets have had several versions within the memory,
// and whether all such groups are known. p.mu is held.
func (p *Places) severalVersions(now time.Time) (groups []string, throughout bool) {
	for name := range p.groups {
		if len(p.versions.Versions(now, name)) > 1 {
			groups = append(groups, name)
		}
	}
	return groups, p.versions.Covers(now) && !p.roster.Adopted()
}

// SoleVersion returns GroupVersions.Sole of a group.
func (p *Places) SoleVersion(group string) string { return p.Versions(group).Sole() }

// Entry returns the current entry of a target, usable or draining, if it is known here.
func (p *Places) Entry(id string) (roster.Target, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.roster.Entry(id)
}
