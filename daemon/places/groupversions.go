package places

import (
	"time"
)

// versionsTTL is how long what a reader said of versions counts: some three polls.
const versionsTTL = 3 * time.Second

// GroupVersions is what a daemon knows of the software versions that a group's targets have
// had within streamversion.Memory.
type GroupVersions struct {
	// Known lists them, as far as known here; "" stands for an unknown one.
	Known []string
	// Several reports that there were several, also if not all are listed.
	Several bool
	// Throughout reports that nothing is missing.
	Throughout bool
}

// Single returns the only version that the targets have had throughout; ok is false if there
// were several, or that is not known.
func (v GroupVersions) Single() (version string, ok bool) {
	if !v.Throughout || v.Several || len(v.Known) != 1 || v.Known[0] == "" {
		return "", false
	}
	return v.Known[0], true
}

// Versions returns what is known of the versions of a group's targets.
func (p *Places) Versions(group string) GroupVersions {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	v := GroupVersions{Known: p.versions.Versions(now, group)}
	v.Several = len(v.Known) > 1
	if p.roster.Adopted() {
		v.Several = v.Several || p.readerVersions.several[group]
		v.Throughout = p.readerVersions.throughout && now.Sub(p.readerVersions.at) <= versionsTTL
		return v
	}
	v.Throughout = p.versions.Covers(now)
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

// VersionNow returns the version in the target's current entry; ok is false if it has none.
func (p *Places) VersionNow(id string) (version string, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	t, known := p.roster.Entry(id)
	return t.Version, known
}

// TargetsFresh reports whether the list of targets was confirmed within the last
// versionsTTL.
func (p *Places) TargetsFresh() bool {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.roster.Known() && p.roster.Age(now) <= versionsTTL
}
