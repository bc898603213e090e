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
	// rate is the target's learned rate, 1 if rates are not in use.
	rate float64
}

// cost is proportional to when one more request would end at the target.
func (c candidate) cost() float64 { return float64(c.taken+1) * c.rate }

func (c candidate) free() bool { return c.taken < c.Slots }

// empty reports whether nothing runs at the target, so that no other is better for r.
func (c candidate) empty(r Request) bool {
	return c.taken == 0 && c.usage.batch == 0 && (c.Slots > r.Headroom || !r.Batch)
}

// fits reports whether the target has a slot for r that needs no preemption.
func (c candidate) fits(r Request) bool {
	if r.Batch {
		return c.online+c.usage.batch+r.Headroom < c.Slots
	}
	return c.free()
}

// candidates examines sample targets, beginning at a position in the list that seed
// determines. It returns those that the request can use, the preferred ones first (see
// order) and equal ones in the order given by seed: the healthy ones, and the degraded ones. Targets that
// the request excludes come last among the degraded ones, for use if there is no better
// one.
func (l *Ledger) candidates(now time.Time, g *group, r Request, seed uint64, sample int) (healthy, degraded []candidate) {
	var excluded []candidate
	n := len(g.targets)
	for i := range sample {
		t := g.targets[(int(seed%uint64(n))+i)%n]
		u := l.usageOf(t.Start)
		c := candidate{Target: t, usage: u, online: u.online, taken: u.online + u.notPreempted(now), rate: l.rateOf(now, u)}
		switch {
		case slices.Contains(r.Exclude, t.Start):
			excluded = append(excluded, c)
		case u.degraded(now, r.LastChance):
			degraded = append(degraded, c)
		default:
			healthy = append(healthy, c)
		}
	}
	l.order(healthy)
	l.order(degraded)
	l.order(excluded)
	return healthy, append(degraded, excluded...)
}

// order sorts candidates, the preferred ones first: the least taken, or with TargetRates
// those with a free slot, and among these the one that would end one more request first
// (weighted least connections). Targets without a free slot are always compared by what
// they have: the wait there is estimated from the group's mean time and not from rates.
func (l *Ledger) order(list []candidate) {
	if l.policy.TargetRates {
		slices.SortStableFunc(list, byCost)
		return
	}
	slices.SortStableFunc(list, byTaken)
}

func byTaken(a, b candidate) int {
	return cmp.Or(cmp.Compare(a.taken, b.taken), cmp.Compare(a.online, b.online))
}

func byCost(a, b candidate) int {
	switch {
	case a.free() && b.free():
		return cmp.Or(cmp.Compare(a.cost(), b.cost()), byTaken(a, b))
	case a.free():
		return -1
	case b.free():
		return 1
	default:
		return byTaken(a, b)
	}
}

// choiceFromSample returns the choice among a sample of healthy candidates if that needs
// no further search: an empty target, or one of the sample that is preferred to it.
func (l *Ledger) choiceFromSample(r Request, healthy []candidate) (candidate, bool) {
	empty, found := firstMatch(healthy, func(c candidate) bool { return c.empty(r) })
	if !found || !l.policy.TargetRates {
		return empty, found
	}
	if c, ok := firstMatch(healthy, func(c candidate) bool { return c.fits(r) }); ok && c.cost() < empty.cost() {
		return c, true
	}
	return empty, true
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
