package routing

import (
	"time"

	"tarragonhollow.example/tarragonhollow/core/splitmix"
)

const (
	// AffinityCandidates is how many targets, in rendezvous order, a prompt's
	// prefix is kept to while their load allows.
	AffinityCandidates = 3
	// LoadFactor and LoadSlack bound the load that affinity may build up:
	// LoadFactor x mean + LoadSlack.
	LoadFactor = 1.25
	// LoadSlack is in requests; see LoadFactor.
	LoadSlack = 1.0
	// ZoneMargin is by how many requests a target in another zone must be
	// better before it is taken: crossing a zone costs about 3 ms both ways,
	// less than one more request in an engine's batch.
	ZoneMargin = 1.0
	// HintShare is the share of the prompt that a cached prefix must cover
	// before a cache event counts: every target soon holds a system prompt that
	// all callers share, and following it would only upset the balance.
	HintShare = 0.5
	// choices is how many random targets are compared.
	choices = 2
)

// Request is what the choice depends on.
type Request struct {
	// Affinity names what should stay together, such as the opening of a
	// conversation; empty for none.
	Affinity string
	// Prefixes are the hashes of the prompt's prefixes by cache block, shortest
	// first; empty for services.
	Prefixes []string
	// Zone is the entry host's availability zone.
	Zone string
	// WordAge is how old what PickLeast has heard of the loads may be.
	WordAge time.Duration
	// FarIsStale tells PickLeast that the loads of other zones are heard late, or not at
	// all.
	FarIsStale bool
	// Exclude holds the targets already tried; they are used again only when
	// no other is left.
	Exclude map[string]bool
	// LastChance tells that nothing may follow a failure: the request must not run
	// twice, or its attempts are used up.
	LastChance bool
	// Alone asks for a target where as little else as possible runs, for a
	// suspect; OnlyAlone for one where nothing does.
	Alone, OnlyAlone bool
	// SeedValue makes the random choices repeatable.
	SeedValue uint64
}

// Reason tells why a target was chosen, for logs and metrics.
type Reason string

const (
	// ByHint: a cache event says that the target holds the prefix.
	ByHint Reason = "hint"
	// ByPrefix: the prefix's rendezvous order.
	ByPrefix Reason = "prefix"
	// ByLoad: the better of two random targets.
	ByLoad Reason = "load"
	// ByIsolation: a suspect runs where nothing else does.
	ByIsolation Reason = "isolation"
	// ByLastResort: no healthy untried target is left.
	ByLastResort Reason = "last_resort"
)

// Choice is a picked target.
type Choice struct {
	Address string
	Reason  Reason
}

// Pick chooses a target. It returns false only when the group has no target
// that is not leaving.
func (t *Table) Pick(now time.Time, r Request) (Choice, bool) {
	usable := t.tier(now, r, true)
	if len(usable) == 0 {
		return t.lastResort(now, r)
	}
	if r.Alone || r.OnlyAlone {
		return Choice{t.emptiest(now, usable, r.SeedValue).Address, ByIsolation}, true
	}
	usable = unreserved(usable)
	limit := loadLimit(now, usable)
	if c, ok := byAffinity(now, usable, r, limit); ok {
		return c, true
	}
	return Choice{byLoad(now, usable, r).Address, ByLoad}, true
}

// Ready tells whether starting the request now is better than waiting a little:
// not while every target that stays is out, and not, for a request that must
// run alone, while something runs on every target that it has not tried: a
// second crash of the same one would prove nothing.
func (t *Table) Ready(now time.Time, r Request) bool {
	usable := t.tier(now, r, r.OnlyAlone)
	if !r.OnlyAlone {
		return len(usable) > 0 || !t.anyStays()
	}
	for _, e := range usable {
		if e.reserved == 0 && t.Concurrent(now, e.Address) == 0 {
			return true
		}
	}
	return !t.anyStays()
}

func (t *Table) anyStays() bool {
	for _, e := range t.entries {
		if !e.leaving {
			return true
		}
	}
	return false
}

// tier lists the targets that may take the request: not leaving, not out, with
// room on the ramp and, if untried is set, not tried yet.
func (t *Table) tier(now time.Time, r Request, untried bool) []*entry {
	var usable []*entry
	for _, address := range t.order {
		e := t.entries[address]
		if e.leaving || untried && r.Exclude[address] || !e.open(now) {
			continue
		}
		usable = append(usable, e)
	}
	return usable
}

// open tells whether the breaker lets one more request through.
func (e *entry) open(now time.Time) bool {
	switch e.health.state(now) {
	case Healthy:
		return true
	case HalfOpen:
		return e.own < e.health.allowance
	default:
		return false
	}
}

// lastResort prefers a healthy target that was tried before to one that is
// out, and among those out the one that comes back first. Trying is better
// than refusing: the breaker may be wrong, and the retry budget bounds the cost.
func (t *Table) lastResort(now time.Time, r Request) (Choice, bool) {
	if tried := t.tier(now, r, false); len(tried) > 0 {
		return Choice{byLoad(now, tried, r).Address, ByLastResort}, true
	}
	var best *entry
	for _, address := range t.order {
		e := t.entries[address]
		if e.leaving {
			continue
		}
		if best == nil || worse(best, e, r) {
			best = e
		}
	}
	if best == nil {
		return Choice{}, false
	}
	return Choice{best.Address, ByLastResort}, true
}

// worse tells whether b should replace a among targets that are out.
func worse(a, b *entry, r Request) bool {
	triedA, triedB := r.Exclude[a.Address], r.Exclude[b.Address]
	if triedA != triedB {
		return triedA
	}
	return b.health.until.Before(a.health.until)
}

// emptiest returns the target for a suspect: the one with the fewest other
// suspects, then with the least of everything. Suspects of one crash that met
// again on the next target would stay indistinguishable. Entry hosts decide at
// the same moment without each other's word, so equal targets are taken in a
// random order: by the list's order all hosts would take the same one.
func (t *Table) emptiest(now time.Time, usable []*entry, seed uint64) *entry {
	first := int(seed % uint64(len(usable)))
	best := usable[first]
	for i := 1; i < len(usable); i++ {
		e := usable[(first+i)%len(usable)]
		if e.reserved != best.reserved {
			if e.reserved < best.reserved {
				best = e
			}
			continue
		}
		if t.Concurrent(now, e.Address) < t.Concurrent(now, best.Address) {
			best = e
		}
	}
	return best
}

// unreserved drops the targets on which a suspect runs alone, while others are
// left: an innocent request there would share the next crash.
func unreserved(usable []*entry) []*entry {
	free := make([]*entry, 0, len(usable))
	for _, e := range usable {
		if e.reserved == 0 {
			free = append(free, e)
		}
	}
	if len(free) == 0 {
		return usable
	}
	return free
}

// loadLimit is the bound up to which affinity may load a target, with this
// request counted in.
func loadLimit(now time.Time, usable []*entry) float64 {
	total := 1.0
	for _, e := range usable {
		total += e.load(now)
	}
	return LoadFactor*total/float64(len(usable)) + LoadSlack
}

// byAffinity takes the first target in the prefix's order whose load stays in
// the bound: first those that cache events name, then by rendezvous.
func byAffinity(now time.Time, usable []*entry, r Request, limit float64) (Choice, bool) {
	if e := hinted(now, usable, r.Prefixes, limit); e != nil {
		return Choice{e.Address, ByHint}, true
	}
	if r.Affinity == "" {
		return Choice{}, false
	}
	for _, e := range rendezvous(usable, hashString(r.Affinity), AffinityCandidates) {
		if e.load(now)+1 <= limit {
			return Choice{e.Address, ByPrefix}, true
		}
	}
	return Choice{}, false
}

// hinted returns the target, within the bound, that is known to hold the longest
// prefix of at least HintShare of the prompt; of several the least loaded one.
func hinted(now time.Time, usable []*entry, prefixes []string, limit float64) *entry {
	shortest := int(HintShare * float64(len(prefixes)))
	keys := make([]uint64, 0, len(prefixes)-shortest)
	for _, prefix := range prefixes[shortest:] {
		keys = append(keys, hashString(prefix))
	}
	var best *entry
	longest, lightest := 0, 0.0
	for _, e := range usable {
		held := e.prefixes.longest(keys)
		if held == 0 || held < longest {
			continue
		}
		load := e.load(now)
		if load+1 > limit || held == longest && load >= lightest {
			continue
		}
		best, longest, lightest = e, held, load
	}
	return best
}

// byLoad is the choice of two, made in the own zone and over all zones; the
// own zone's winner is kept unless it is worse by more than ZoneMargin.
func byLoad(now time.Time, usable []*entry, r Request) *entry {
	random := splitmix.Generator(r.SeedValue)
	anywhere := lighter(now, usable, &random)
	var near []*entry
	for _, e := range usable {
		if e.Zone == r.Zone {
			near = append(near, e)
		}
	}
	if len(near) == 0 {
		return anywhere
	}
	own := lighter(now, near, &random)
	if own.load(now) > anywhere.load(now)+ZoneMargin {
		return anywhere
	}
	return own
}

// lighter compares two different random targets.
func lighter(now time.Time, from []*entry, random *splitmix.Generator) *entry {
	first := random.Below(len(from))
	if len(from) < choices {
		return from[first]
	}
	second := (first + 1 + random.Below(len(from)-1)) % len(from)
	a, b := from[first], from[second]
	if b.load(now) < a.load(now) {
		return b
	}
	return a
}

// rendezvous returns the n targets with the highest weights for the key.
func rendezvous(from []*entry, key uint64, n int) []*entry {
	var best []*entry
	var weights []uint64
	for _, e := range from {
		w := splitmix.Mix(e.hash ^ key)
		at := len(best)
		for at > 0 && weights[at-1] < w {
			at--
		}
		best = append(best[:at], append([]*entry{e}, best[at:]...)...)
		weights = append(weights[:at], append([]uint64{w}, weights[at:]...)...)
		if len(best) > n {
			best, weights = best[:n], weights[:n]
		}
	}
	return best
}
