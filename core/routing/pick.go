package routing

import (
	"time"

	"tarragonhollow.example/tarragonhollow/core/splitmix"
)

const (
	// AffinityCandidates is the number of targets, in rendezvous order, to which the
	// requests of one prompt prefix go while the load permits.
	AffinityCandidates = 3
	// LoadFactor and LoadSlack bound the load that affinity may cause: LoadFactor x mean
	// + LoadSlack.
	LoadFactor = 1.25
	// LoadSlack is a number of requests; see LoadFactor.
	LoadSlack = 1.0
	// ZoneMargin is by how many requests a target in another zone must be less loaded to
	// be preferred: crossing a zone costs about 3 ms for the round trip, less than one
	// more request in an engine's batch.
	ZoneMargin = 1.0
	// HintShare is the minimum share of the prompt that a cached prefix must cover for a
	// cache event to count. Every target soon holds a system prompt that all callers
	// share, and following it would only unbalance the load.
	HintShare = 0.5
	// choices is how many random targets are compared.
	choices = 2
)

// Request describes the request for which a target is chosen.
type Request struct {
	// Affinity is a key shared by requests that should go to the same target, such as the
	// beginning of a conversation; empty for none.
	Affinity string
	// Prefixes are the hashes of the prompt's prefixes by cache block, shortest first;
	// empty for services.
	Prefixes []string
	// Zone is the entry host's availability zone.
	Zone string
	// LoadReportAge is the maximum age of the load reports that PickLeastLoaded uses.
	LoadReportAge time.Duration
	// RemoteStale reports that the loads of other zones, which PickLeastLoaded uses, arrive
	// late or not at all.
	RemoteStale bool
	// Exclude holds the targets already tried; they are used again only when no other
	// target is left.
	Exclude map[string]bool
	// Version requires a target of this version, "" for any. No target of another or of
	// unknown version is used, not even as a last resort.
	Version string
	// LastChance marks a request that gets no further attempt after a failure: it must
	// not run twice, or its attempts are used up.
	LastChance bool
	// Alone requests a target with as little other work as possible, for a suspect;
	// OnlyAlone requires one with no other work.
	Alone, OnlyAlone bool
	// SeedValue makes the random choices reproducible.
	SeedValue uint64
}

// Reason is why a target was chosen, for logs and metrics.
type Reason string

const (
	// ByHint: a cache event showed that the target holds the prefix.
	ByHint Reason = "hint"
	// ByPrefix: by the prefix's rendezvous order.
	ByPrefix Reason = "prefix"
	// ByLoad: the less loaded of two random targets.
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

// accepts reports whether the target is of the version that the request requires.
func (r Request) accepts(e *entry) bool { return r.Version == "" || r.Version == e.Version }

// Pick chooses a target. It returns false only if every target of the group that the
// request accepts is leaving.
func (t *Table) Pick(now time.Time, r Request) (Choice, bool) {
	usable := t.usableTargets(now, r, true)
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

// Ready reports whether the request should start now rather than wait a little. It
// returns false while every target that is not leaving is ejected. For a request that
// must run alone, it also returns false while every target that the request has not tried
// runs something: a second crash of the same target would prove nothing.
func (t *Table) Ready(now time.Time, r Request) bool {
	usable := t.usableTargets(now, r, r.OnlyAlone)
	if !r.OnlyAlone {
		return len(usable) > 0 || !t.anyNotLeaving(r)
	}
	for _, e := range usable {
		if e.reserved == 0 && t.Concurrent(now, e.Address) == 0 {
			return true
		}
	}
	return !t.anyNotLeaving(r)
}

func (t *Table) anyNotLeaving(r Request) bool {
	for _, e := range t.entries {
		if !e.leaving && r.accepts(e) {
			return true
		}
	}
	return false
}

// usableTargets returns the targets that may take the request: accepted by it, not leaving,
// not ejected, below their allowance if half-open, and, if untried is set, not tried yet.
func (t *Table) usableTargets(now time.Time, r Request, untried bool) []*entry {
	var usable []*entry
	for _, address := range t.order {
		e := t.entries[address]
		if e.leaving || !r.accepts(e) || untried && r.Exclude[address] || !e.available(now) {
			continue
		}
		usable = append(usable, e)
	}
	return usable
}

// available reports whether the circuit breaker permits one more request.
func (e *entry) available(now time.Time) bool {
	switch e.health.state(now) {
	case Healthy:
		return true
	case HalfOpen:
		return e.localRequests < e.health.allowance
	default:
		return false
	}
}

// lastResort prefers a target that was tried before to an ejected one, and among ejected
// targets an untried one, then the one whose ejection ends first. Trying is better than
// refusing: the circuit breaker may be wrong, and the retry budget bounds the cost.
func (t *Table) lastResort(now time.Time, r Request) (Choice, bool) {
	if tried := t.usableTargets(now, r, false); len(tried) > 0 {
		return Choice{byLoad(now, tried, r).Address, ByLastResort}, true
	}
	var best *entry
	for _, address := range t.order {
		e := t.entries[address]
		if e.leaving || !r.accepts(e) {
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

// worse reports whether b should be preferred to a, both being ejected.
func worse(a, b *entry, r Request) bool {
	triedA, triedB := r.Exclude[a.Address], r.Exclude[b.Address]
	if triedA != triedB {
		return triedA
	}
	return b.health.ejectedUntil.Before(a.health.ejectedUntil)
}

// emptiest returns the target for a suspect: the one with the fewest other suspects, then
// with the fewest requests. Suspects of one crash that met again on the next target would
// remain indistinguishable. Entry hosts decide at the same time without knowing of each
// other's choice, so ties are broken at random: in list order all hosts would choose the
// same target.
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

// unreserved drops the targets on which a suspect runs alone, unless there are no others:
// another request there would be lost in the suspect's next crash.
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

// loadLimit returns the load up to which affinity may load a target, including this
// request.
func loadLimit(now time.Time, usable []*entry) float64 {
	total := 1.0
	for _, e := range usable {
		total += e.load(now)
	}
	return LoadFactor*total/float64(len(usable)) + LoadSlack
}

// byAffinity chooses the first target in the prefix's order whose load stays within
// limit: first the targets named by cache events, then those in rendezvous order.
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

// hinted returns the target within limit that is known to hold the longest prefix of at
// least HintShare of the prompt, and among equals the least loaded one.
func hinted(now time.Time, usable []*entry, prefixes []string, limit float64) *entry {
	shortest := int(HintShare * float64(len(prefixes)))
	keys := make([]uint64, 0, len(prefixes)-shortest)
	for _, prefix := range prefixes[shortest:] {
		keys = append(keys, hashString(prefix))
	}
	var best *entry
	longest, lowest := 0, 0.0
	for _, e := range usable {
		held := e.prefixes.longest(keys)
		if held == 0 || held < longest {
			continue
		}
		load := e.load(now)
		if load+1 > limit || held == longest && load >= lowest {
			continue
		}
		best, longest, lowest = e, held, load
	}
	return best
}

// byLoad picks the less loaded of two random targets in the local zone and again in all
// zones. The local zone's target wins unless its load is higher by more than ZoneMargin.
func byLoad(now time.Time, usable []*entry, r Request) *entry {
	random := splitmix.Generator(r.SeedValue)
	anywhere := lessLoaded(now, usable, &random)
	var localZone []*entry
	for _, e := range usable {
		if e.Zone == r.Zone {
			localZone = append(localZone, e)
		}
	}
	if len(localZone) == 0 {
		return anywhere
	}
	local := lessLoaded(now, localZone, &random)
	if local.load(now) > anywhere.load(now)+ZoneMargin {
		return anywhere
	}
	return local
}

// lessLoaded picks two different targets at random and returns the less loaded one.
func lessLoaded(now time.Time, from []*entry, random *splitmix.Generator) *entry {
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

// rendezvous returns the n targets with the highest rendezvous weights for the key.
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
