package places

import (
	"time"

	"tarragonhollow.example/tarragonhollow/core/roster"
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
	// Fresh reports that the list of targets was confirmed within the last versionsTTL,
	// Throughout that so nothing is missing.
	Fresh, Throughout bool
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
		v.Throughout = v.Fresh && p.readerVersions.throughout && now.Sub(p.readerVersions.at) <= versionsTTL
		return v
	}
	v.Throughout = v.Fresh && p.versions.Covers(now)
	return v
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
