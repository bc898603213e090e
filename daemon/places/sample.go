package places

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"tarragonhollow.example/tarragonhollow/core/feed"
	"tarragonhollow.example/tarragonhollow/core/roster"
	"tarragonhollow.example/tarragonhollow/daemon/duty"
)

// A daemon of a large zone gets its targets from the zone's leader, request by request.
// For the time without a leader it holds a sample of the targets, so that what it holds
// does not grow with the fleet. All daemons of a zone together hold every target.
const (
	// localSampleSize and remoteSampleSize are how many targets of each group a sample
	// holds, of the local zone and of all other zones.
	localSampleSize  = 32
	remoteSampleSize = 8
	// maxRemoteTargets bounds the targets of other zones from which samples of a group
	// are drawn.
	maxRemoteTargets = 256
	// versionSampleSize is how many targets of each version of a group a sample holds, of at
	// most maxSampledVersions versions: without a leader a stream can go on only at those.
	versionSampleSize  = 4
	maxSampledVersions = 8
)

// pool holds all usable targets, from which samples are drawn.
type pool struct {
	groups map[string]*poolGroup
	total  int
}

// poolGroup is one target group, the targets of the local zone apart from the others.
type poolGroup struct {
	local, remote hashedTargets
	// versions holds the targets by version, nil if all are of one version.
	versions map[string]*poolGroup
}

func (g *poolGroup) add(t roster.Target, hash uint64, local bool) {
	if local {
		g.local.add(t, hash)
	} else {
		g.remote.add(t, hash)
	}
}

// addVersions adds targets to a sample of the group that has few of a version.
func (g *poolGroup) addVersions(list []roster.Target, holder uint64) []roster.Target {
	versions := slices.Sorted(maps.Keys(g.versions))
	for _, version := range versions[:min(maxSampledVersions, len(versions))] {
		held := map[string]bool{}
		for _, t := range list {
			if t.Version == version {
				held[t.ID] = true
			}
		}
		of := g.versions[version]
		for _, t := range append(of.local.sample(holder, versionSampleSize), of.remote.sample(holder, versionSampleSize)...) {
			if len(held) < versionSampleSize && !held[t.ID] {
				held[t.ID] = true
				list = append(list, t)
			}
		}
	}
	return list
}

// hashedTargets are targets with the hashes of their starts.
type hashedTargets struct {
	targets []roster.Target
	hashes  []uint64
}

func (h *hashedTargets) add(t roster.Target, hash uint64) {
	h.targets = append(h.targets, t)
	h.hashes = append(h.hashes, hash)
}

func (h *hashedTargets) sample(holder uint64, n int) []roster.Target {
	var list []roster.Target
	for _, i := range feed.Sample(holder, h.hashes, n) {
		list = append(list, h.targets[i])
	}
	return list
}

func newPool(zone string, usable []roster.Target) *pool {
	p := &pool{groups: map[string]*poolGroup{}, total: len(usable)}
	for _, t := range usable {
		g := p.groups[t.Group]
		if g == nil {
			g = &poolGroup{}
			p.groups[t.Group] = g
		}
		g.add(t, feed.Hash(string(t.Start)), t.Zone == zone)
	}
	for _, g := range p.groups {
		g.divide()
		g.remote = g.remote.subset(maxRemoteTargets)
	}
	return p
}

// divide sets the group's targets by version.
func (g *poolGroup) divide() {
	versions := map[string]*poolGroup{}
	for _, from := range []*hashedTargets{&g.local, &g.remote} {
		for i, t := range from.targets {
			if versions[t.Version] == nil {
				versions[t.Version] = &poolGroup{}
			}
			versions[t.Version].add(t, from.hashes[i], from == &g.local)
		}
	}
	if len(versions) < 2 {
		return
	}
	for _, of := range versions {
		of.remote = of.remote.subset(maxRemoteTargets)
	}
	g.versions = versions
}

// subset returns at most n of the targets, the same ones on all daemons.
func (h *hashedTargets) subset(n int) hashedTargets {
	var subset hashedTargets
	for _, i := range feed.Sample(0, h.hashes, n) {
		subset.add(h.targets[i], h.hashes[i])
	}
	return subset
}

// wholeZone returns all targets of the zone and a sample of the others, sorted by ID.
func (p *pool) wholeZone(holder string) []roster.Target {
	var list []roster.Target
	hash := feed.Hash(holder)
	for _, g := range p.groups {
		whole := slices.Clone(g.local.targets)
		whole = append(whole, g.remote.sample(hash, remoteSampleSize+max(0, localSampleSize-len(g.local.targets)))...)
		list = append(list, g.addVersions(whole, hash)...)
	}
	sortByID(list)
	return list
}

// sample returns the targets that a daemon holds, sorted by ID. A group with few targets
// in the zone is filled up with targets of other zones, and one of several versions with those
// of which it would have few.
func (p *pool) sample(holder string) []roster.Target {
	hash := feed.Hash(holder)
	var list []roster.Target
	for _, g := range p.groups {
		sample := g.local.sample(hash, localSampleSize)
		sample = append(sample, g.remote.sample(hash, remoteSampleSize+localSampleSize-len(sample))...)
		list = append(list, g.addVersions(sample, hash)...)
	}
	sortByID(list)
	return list
}

func sortByID(list []roster.Target) {
	slices.SortFunc(list, func(a, b roster.Target) int { return cmp.Compare(a.ID, b.ID) })
}

// Sample is what a daemon that knows all targets passes on to another one.
type Sample struct {
	Targets []roster.Target
	// Started holds the current starts of the requested targets, by ID.
	Started map[string]roster.Start
	// Departures holds the announced leaves of the requested targets, by ID.
	Departures map[string]SampledDeparture
	// Total is the number of usable targets.
	Total int
	// Age is the time since the log last confirmed the targets.
	Age time.Duration
	// Several lists the groups whose targets have had several versions, and VersionsKnown
	// reports that all such groups are known; see GroupVersions.
	Several       []string
	VersionsKnown bool
}

// Sample returns the targets that the daemon named holder should hold, with wholeZone all
// of the zone, and the current starts of the targets with the given IDs. It returns false
// if not all targets are known here.
func (p *Places) Sample(holder string, wholeZone bool, ids []string) (Sample, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.pool == nil {
		return Sample{}, false
	}
	choose := p.pool.sample
	if wholeZone {
		choose = p.pool.wholeZone
	}
	now := time.Now()
	s := Sample{Targets: choose(holder), Started: map[string]roster.Start{}, Total: p.pool.total, Age: p.roster.Age(now)}
	s.Several, s.VersionsKnown = p.severalVersions(now)
	s.Departures = p.departures(now, ids)
	for _, id := range ids {
		if start := p.roster.CurrentStart(id); start != "" {
			s.Started[id] = start
		}
	}
	return s, true
}

// TargetsChanged returns a channel that is closed at the next change of the targets.
func (p *Places) TargetsChanged() <-chan struct{} { return p.targetsChanged.Next() }

// Adopt sets the targets that another daemon chose for this one, as of the time at: a
// sample, or with wholeZone all targets of the zone.
func (p *Places) Adopt(at time.Time, targets []roster.Target, wholeZone bool) {
	p.Update(func(_ time.Time, r *roster.Roster) { r.Adopt(at, targets, wholeZone) })
}

// Confirm records that the adopted targets were still valid at the time at, and the
// current starts of the targets at which this daemon's work runs. Work at earlier starts
// is cancelled.
func (p *Places) Confirm(at time.Time, current map[string]roster.Start) {
	p.mu.Lock()
	p.roster.Confirm(at)
	replaced := p.starts.replaced(func(id string) roster.Start { return current[id] })
	p.mu.Unlock()
	p.endReplaced(replaced)
}

// BusyTargets returns the sorted IDs of the targets at which this daemon's work runs.
func (p *Places) BusyTargets() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var ids []string
	for _, at := range p.starts {
		ids = append(ids, at.id)
	}
	slices.Sort(ids)
	return slices.Compact(ids)
}

// TargetsAge returns the time since the targets were last confirmed, feed.Never before
// the first list; complete reports whether all targets are known.
func (p *Places) TargetsAge(now time.Time) (age time.Duration, complete bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.roster.Known() {
		return feed.Never, false
	}
	return p.roster.Age(now), p.roster.Complete()
}

// Rebuild rebuilds the groups after the zone has become large or small.
func (p *Places) Rebuild() {
	p.mu.Lock()
	p.builtVersion = noVersion
	p.mu.Unlock()
	p.Update(func(time.Time, *roster.Roster) {})
	duty.Wake(p.changed)
}
