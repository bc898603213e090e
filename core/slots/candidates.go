package slots

import (
	"cmp"
	"slices"
	"time"
)

// candidate is a target that may be chosen.
type candidate struct {
	Target
	usage *usage
	// online counts the online requests there; taken counts those and the batch items
	// that are not being preempted.
	online, taken int
}

// empty reports whether nothing runs at the target, so that no other is better for r.
func (c candidate) empty(r Request) bool {
	return c.taken == 0 && c.usage.batch == 0 && (c.Slots > r.Headroom || !r.Batch)
}

// candidates examines sample targets, beginning at a position in the list that seed
// determines. It returns those that the request can use, the least taken first and equal
// ones in the order given by seed: the healthy ones, and the degraded ones. Targets that
// the request excludes come last among the degraded ones, for use if there is no better
// one.
func (l *Ledger) candidates(now time.Time, g *group, r Request, seed uint64, sample int) (healthy, degraded []candidate) {
	var excluded []candidate
	n := len(g.targets)
	for i := range sample {
		t := g.targets[(int(seed%uint64(n))+i)%n]
		u := l.usageOf(t.Start)
		c := candidate{Target: t, usage: u, online: u.online, taken: u.online + u.notPreempted(now)}
		switch {
		case slices.Contains(r.Exclude, t.Start):
			excluded = append(excluded, c)
		case u.degraded(now, r.LastChance):
			degraded = append(degraded, c)
		default:
			healthy = append(healthy, c)
		}
	}
	byTaken(healthy)
	byTaken(degraded)
	byTaken(excluded)
	return healthy, append(degraded, excluded...)
}

func byTaken(list []candidate) {
	slices.SortStableFunc(list, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.taken, b.taken), cmp.Compare(a.online, b.online))
	})
}

// degraded reports whether requests avoid the target. A target whose degradation time has
// passed gets one request at a time until it answers one: it may accept connections and
// fail every request, and would look like the emptiest target.
func (u *usage) degraded(now time.Time, lastChance bool) bool {
	switch {
	case u.degradation.Failures() == 0:
		return false
	case lastChance || u.degradation.Active(now):
		return true
	default:
		return u.online+u.batch > 0
	}
}

// freeSlots counts the slots that nothing takes.
func freeSlots(list []candidate) int {
	free := 0
	for _, c := range list {
		free += max(0, c.Slots-c.online-c.usage.batch)
	}
	return free
}

func firstMatch(list []candidate, fits func(candidate) bool) (candidate, bool) {
	for _, c := range list {
		if fits(c) {
			return c, true
		}
	}
	return candidate{}, false
}
