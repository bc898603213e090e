package slots

import (
	"cmp"
	"slices"
	"time"
)

// candidate is a target that may be chosen.
type candidate struct {
	*Target
	usage *usage
	// online counts the online requests there; taken counts those and the batch items
	// that are not being preempted.
	online, taken int
	// rate is the target's learned rate, 1 if rates are not in use.
	rate float64
}

// cost is proportional to when one more request would end at the target.
func (c *candidate) cost() float64 { return float64(c.taken+1) * c.rate }

func (c *candidate) free() bool { return c.taken < c.Slots }

// empty reports whether nothing runs at the target, so that no other is better for r.
func (c *candidate) empty(r Request) bool {
	return c.taken == 0 && c.usage.batch == 0 && (c.Slots > r.Headroom || !r.Batch)
}

// fits reports whether the target has a slot for r that needs no preemption.
func (c *candidate) fits(r Request) bool {
	if r.Batch {
		return c.online+c.usage.batch+r.Headroom < c.Slots
	}
	return c.free()
}

// candidateAt returns the present state of a target.
func (l *Ledger) candidateAt(now time.Time, t *Target) candidate {
	return l.candidateOf(now, t, l.usageOf(t.Start))
}

func (l *Ledger) candidateOf(now time.Time, t *Target, u *usage) candidate {
	c := candidate{Target: t, usage: u, online: u.online, taken: u.online, rate: l.rateOf(now, u)}
	if u.batch > 0 {
		c.taken += u.notPreempted(now)
	}
	return c
}

// candidates examines sample targets of those that the request accepts, beginning at a
// position in the list that seed determines. It returns those that the request can use, in the order given by seed: the
// healthy ones, and the degraded ones, these ordered by preference (see order). Targets
// that the request excludes come last among the degraded ones, for use if there is no
// better one. The healthy ones are valid until the next call.
func (l *Ledger) candidates(now time.Time, g *group, r Request, seed uint64, sample int) (healthy, degraded []candidate) {
	var excluded []candidate
	healthy = l.scratch[:0]
	n, positions := g.accepted(r)
	if n == 0 {
		return nil, nil
	}
	for i := range min(sample, n) {
		at := (int(seed%uint64(n)) + i) % n
		if positions != nil {
			at = positions[at]
		}
		t := &g.targets[at]
		c := l.candidateOf(now, t, g.usages[at])
		switch {
		case slices.Contains(r.Exclude, t.Start):
			excluded = append(excluded, c)
		case c.usage.degraded(now, r.LastChance):
			degraded = append(degraded, c)
		default:
			healthy = append(healthy, c)
		}
	}
	l.scratch = healthy
	return healthy, append(l.order(degraded), l.order(excluded)...)
}

// order returns the candidates in the order of preference, equal ones in their given order:
// the least taken first, or with TargetRates those with a free slot first, and among these
// the one that would end one more request first (weighted least connections).
func (l *Ledger) order(list []candidate) []candidate {
	if len(list) < 2 {
		return list
	}
	keys := make([]costKey, len(list))
	for i := range list {
		keys[i] = l.costKey(list, i)
	}
	slices.SortFunc(keys, costKey.compare)
	ordered := make([]candidate, len(list))
	for i, k := range keys {
		ordered[i] = list[k.index]
	}
	return ordered
}

// costKey determines a candidate's position in the order by cost. In a group of 2,000
// targets, sorting keys takes about half the time of sorting candidates, which are large.
type costKey struct {
	full          bool
	cost          float64
	taken, online int
	index         int
}

func (a costKey) compare(b costKey) int {
	switch {
	case a.full != b.full && b.full:
		return -1
	case a.full != b.full:
		return 1
	default:
		return cmp.Or(cmp.Compare(a.cost, b.cost), a.taken-b.taken, a.online-b.online, a.index-b.index)
	}
}

// costKey returns the key of a candidate of the list. With rates, those without a free slot
// are compared by the number of their requests: the wait there is estimated from the
// group's mean time and not from rates.
func (l *Ledger) costKey(list []candidate, i int) costKey {
	c := &list[i]
	key := costKey{taken: c.taken, online: c.online, index: i}
	if !l.policy.TargetRates {
		return key
	}
	if key.full = !c.free(); !key.full {
		key.cost = c.cost()
	}
	return key
}

// choiceFromSample returns the choice among a sample of healthy candidates if that needs
// no further search: an empty target, or one of the sample that is preferred to it.
func (l *Ledger) choiceFromSample(r Request, healthy []candidate) (candidate, bool) {
	empty, found := l.preferred(healthy, func(c *candidate) bool { return c.empty(r) })
	if !found || !l.policy.TargetRates {
		return empty, found
	}
	if c, ok := l.preferred(healthy, func(c *candidate) bool { return c.fits(r) }); ok && c.cost() < empty.cost() {
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

// preferred returns the candidate that fits and comes first by preference (see order). Most
// grants need no more than this one, and so the list is not sorted.
func (l *Ledger) preferred(list []candidate, fits func(*candidate) bool) (candidate, bool) {
	best := -1
	var bestKey costKey
	for i := range list {
		if !fits(&list[i]) {
			continue
		}
		if key := l.costKey(list, i); best < 0 || key.compare(bestKey) < 0 {
			best, bestKey = i, key
		}
	}
	if best < 0 {
		return candidate{}, false
	}
	return list[best], true
}
