package places

import (
	"cmp"
	"slices"
	"time"

	"tarragonhollow.example/tarragonhollow/core/feed"
	"tarragonhollow.example/tarragonhollow/core/roster"
	"tarragonhollow.example/tarragonhollow/daemon/duty"
)

// A daemon of a large zone gets its targets from the zone's leader, request by request.
// For the time without a leader it holds a sample of them, so that what it holds does
// not grow with the fleet. All daemons of a zone together hold every target.
const (
	// sampleNear and sampleFar are how many targets of each group a sample holds, of the
	// own zone and of all others.
	sampleNear = 32
	sampleFar  = 8
	// mostFar bounds the targets of other zones from which samples of a group are taken.
	mostFar = 256
)

// pool holds all usable targets, as samples are taken from them.
type pool struct {
	groups map[string]*poolGroup
	total  int
}

// poolGroup is one target group, the targets of the own zone apart from the others.
type poolGroup struct{ near, far hashedTargets }

// hashedTargets are targets with the hashes of their starts.
type hashedTargets struct {
	targets []roster.Target
	hashes  []uint64
}

func (h *hashedTargets) add(t roster.Target) {
	h.targets = append(h.targets, t)
	h.hashes = append(h.hashes, feed.Hash(string(t.Start)))
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
		if t.Zone == zone {
			g.near.add(t)
		} else {
			g.far.add(t)
		}
	}
	for _, g := range p.groups {
		g.far = g.far.part(mostFar)
	}
	return p
}

// part returns at most n of the targets, the same ones at all daemons.
func (h *hashedTargets) part(n int) hashedTargets {
	var part hashedTargets
	for _, i := range feed.Sample(0, h.hashes, n) {
		part.add(h.targets[i])
	}
	return part
}

// whole returns all targets of the zone, and a sample of the others.
func (p *pool) whole(holder string) []roster.Target {
	var list []roster.Target
	for _, g := range p.groups {
		list = append(list, g.near.targets...)
		list = append(list, g.far.sample(feed.Hash(holder), sampleFar+max(0, sampleNear-len(g.near.targets)))...)
	}
	sortByID(list)
	return list
}

// sample returns the targets that a daemon holds, sorted by ID. A group that the zone
// has few targets of is filled up from other zones.
func (p *pool) sample(holder string) []roster.Target {
	hash := feed.Hash(holder)
	var list []roster.Target
	for _, g := range p.groups {
		near := g.near.sample(hash, sampleNear)
		list = append(list, near...)
		list = append(list, g.far.sample(hash, sampleFar+sampleNear-len(near))...)
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
	// Started gives the present starts of the targets that were asked about, by ID.
	Started map[string]roster.Start
	// Total is the number of usable targets.
	Total int
	// Age is how old the log's last word about the targets is.
	Age time.Duration
}

// Sample returns the targets that the daemon called holder is to hold, whole all of the
// zone, and what is known of the targets with the given IDs. False tells that not all
// targets are known here.
func (p *Places) Sample(holder string, whole bool, about []string) (Sample, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.pool == nil {
		return Sample{}, false
	}
	choose := p.pool.sample
	if whole {
		choose = p.pool.whole
	}
	s := Sample{Targets: choose(holder), Started: map[string]roster.Start{}, Total: p.pool.total, Age: p.roster.Age(time.Now())}
	for _, id := range about {
		if start := p.roster.Current(id); start != "" {
			s.Started[id] = start
		}
	}
	return s, true
}

// Listed returns a channel that the next change of the targets closes.
func (p *Places) Listed() <-chan struct{} { return p.listed.Next() }

// Adopt takes the targets that another daemon chose for this one, true as of the moment
// at: a sample, or whole all of the zone.
func (p *Places) Adopt(at time.Time, targets []roster.Target, whole bool) {
	p.Update(func(_ time.Time, r *roster.Roster) { r.Adopt(at, targets, whole) })
}

// Confirm notes that what was adopted still held at the moment at, and which starts
// the targets have at which own work runs.
func (p *Places) Confirm(at time.Time, started map[string]roster.Start) {
	p.mu.Lock()
	p.roster.Confirm(at)
	replaced := p.starts.replaced(func(id string) roster.Start { return started[id] })
	p.mu.Unlock()
	p.endReplaced(replaced)
}

// Working lists the IDs of the targets at which own work runs.
func (p *Places) Working() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var ids []string
	for _, at := range p.starts {
		ids = append(ids, at.id)
	}
	slices.Sort(ids)
	return slices.Compact(ids)
}

// TargetsAge is how old the last word about the targets is, feed.Never before the first;
// complete tells whether all targets are known.
func (p *Places) TargetsAge(now time.Time) (age time.Duration, complete bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.roster.Known() {
		return feed.Never, false
	}
	return p.roster.Age(now), p.roster.Complete()
}

// Rebuild works the groups out anew, after the zone has become large or small.
func (p *Places) Rebuild() {
	p.mu.Lock()
	p.built = neverBuilt
	p.mu.Unlock()
	p.Update(func(time.Time, *roster.Roster) {})
	duty.Wake(p.changed)
}
