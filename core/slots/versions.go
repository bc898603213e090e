package slots

import (
	"maps"
	"math"
	"slices"
	"time"
)

// accepts reports whether the target is of the version that the request requires.
func (r Request) accepts(t *Target) bool { return r.Version == "" || r.Version == t.Version }

// versionIndex holds the positions of a group's targets by version. It is nil if all of
// them are of one version.
type versionIndex map[string][]int

func newVersionIndex(targets []Target) versionIndex {
	if !slices.ContainsFunc(targets, func(t Target) bool { return t.Version != targets[0].Version }) {
		return nil
	}
	index := versionIndex{}
	for i := range targets {
		version := targets[i].Version
		index[version] = append(index[version], i)
	}
	return index
}

// accepted returns how many of the group's targets the request accepts, and their
// positions, nil if it accepts all.
func (g *group) accepted(r Request) (n int, positions []int) {
	switch {
	case len(g.targets) == 0 || r.Version == "":
		return len(g.targets), nil
	case g.versions != nil:
		positions = g.versions[r.Version]
		return len(positions), positions
	case r.accepts(&g.targets[0]):
		return len(g.targets), nil
	default:
		return 0, nil
	}
}

// versionShare returns the share of the slots of healthy targets that are at targets which
// the request accepts.
func (g *group) versionShare(now time.Time, r Request) float64 {
	if r.Version == "" {
		return 1
	}
	accepted, all := 0, 0
	for i := range g.targets {
		t := &g.targets[i]
		if g.usages[i].degraded(now, false) {
			continue
		}
		all += t.Slots
		if r.accepts(t) {
			accepted += t.Slots
		}
	}
	if all == 0 {
		return 0
	}
	return float64(accepted) / float64(all)
}

// freeSlots counts the slots of the group's healthy targets, of any version, that nothing
// takes.
func (g *group) freeSlots(now time.Time) int {
	free := 0
	for i := range g.targets {
		if u := g.usages[i]; !u.degraded(now, false) {
			free += max(0, g.targets[i].Slots-u.online-u.batch)
		}
	}
	return free
}

// demand holds a group's waiting requests by the version that they require.
type demand struct {
	// any counts those that accept any version.
	any int
	// required holds the others by version, in the order of their arrival.
	required map[string][]*entry
}

func newDemand() *demand { return &demand{required: map[string][]*entry{}} }

func (d *demand) add(e *entry) {
	version := e.Value.request.Version
	if version == "" {
		d.any++
		return
	}
	d.required[version] = append(d.required[version], e)
}

func (d *demand) remove(e *entry) {
	version := e.Value.request.Version
	if version == "" {
		d.any--
		return
	}
	left := slices.DeleteFunc(d.required[version], func(other *entry) bool { return other == e })
	if d.required[version] = left; len(left) == 0 {
		delete(d.required, version)
	}
}

// wants reports whether any waiting request accepts targets of the version.
func (d *demand) wants(version string) bool { return d.any > 0 || len(d.required[version]) > 0 }

// competes reports whether a waiting request accepts all targets that r accepts, so that
// nearly all of these have no free slot.
func (d *demand) competes(r Request) bool {
	return d.any > 0 || r.Version != "" && len(d.required[r.Version]) > 0
}

// versions returns the required versions in order, "" first if a request accepts any.
func (d *demand) versions() []string {
	list := slices.Sorted(maps.Keys(d.required))
	if d.any > 0 {
		list = slices.Insert(list, 0, "")
	}
	return list
}

// slotsFor returns how many slots at targets of a version go to same requests that require
// it and to others that accept any: these take their share.
func slotsFor(same, others int, share float64) int {
	return same + int(math.Ceil(share*float64(others)))
}

// aheadOf returns how many slots that a waiting request could use go to others before it. As
// many as possible of those ahead count as requiring its version: requests that require one
// wait longer than others, and so most of them are ahead.
func (g *group) aheadOf(now time.Time, e *entry) int {
	q := &g.line
	ahead, r := q.queue.Ahead(now, e), e.Value.request
	if r.Version == "" {
		return ahead
	}
	same := min(ahead, len(q.demand.required[r.Version])-1)
	others := min(ahead-same, q.demand.any)
	if q.queue.Within(e) {
		others = min(others, q.queue.Above(e.Rank)) // see requiredFirst
	}
	return slotsFor(same, others, g.versionShare(now, r))
}

// requiredFirst returns the request that gets a slot of the target: the first one that can
// use it, or a later one of the same rank that requires the version of the target, if both
// are within their share. Few other slots are of use to that one, and requests that arrive
// later and accept any version would take these before it.
func (g *group) requiredFirst(first *entry, t *Target, usable func(*entry) bool) *entry {
	if first == nil || first.Value.request.Version != "" || !g.line.queue.Within(first) {
		return first
	}
	for _, e := range g.line.demand.required[t.Version] {
		if e.Rank == first.Rank && g.line.queue.Within(e) && usable(e) {
			return e
		}
	}
	return first
}

// withoutHealthy returns the required versions, "" for any, of waiting requests that can use
// no healthy target.
func (g *group) withoutHealthy(now time.Time) []string {
	return slices.DeleteFunc(g.line.demand.versions(), func(version string) bool {
		r := Request{Version: version}
		for i := range g.targets {
			if r.accepts(&g.targets[i]) && !g.usages[i].degraded(now, false) {
				return true
			}
		}
		return false
	})
}

// firstRequiring returns the first waiting request that requires exactly the version, nil
// for none.
func (q *line) firstRequiring(now time.Time, version string) *entry {
	var found *entry
	q.queue.Each(now, func(e *entry) bool {
		if e.Value.request.Version == version {
			found = e
		}
		return found == nil
	})
	return found
}
