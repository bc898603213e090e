package slots

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// remoteMinFree is how many free slots another zone must have reported before a
	// request is sent there: the last one may have been taken since the report.
	remoteMinFree = 2
	// sampleSize is how many targets of a large group are examined first.
	sampleSize = 64
	// FreeSlotsTTL is how long another zone's report of its free slots is valid; its
	// leader sends several in that time.
	FreeSlotsTTL = 400 * time.Millisecond
)

// Request is a request for a slot.
type Request struct {
	ID    ID
	Group string
	// Batch marks a request for a batch item: it gets only slots that online work leaves
	// free, less Headroom slots of each target.
	Batch    bool
	Headroom int
	// Exclude lists the starts of targets that the holder can't use: already tried, or
	// ejected by it.
	Exclude []string
	// LastChance marks a request that gets no further attempt after a failure.
	LastChance bool
	// Patience is the maximum time for which the request may queue at a target.
	Patience time.Duration
	// Visiting is set if the holder's own zone is full: the request gets a free slot or
	// none.
	Visiting bool
	// Stay requires a slot of this zone, even if other zones have free ones.
	Stay bool
}

// Verdict is the result of a Request.
type Verdict int

const (
	// None: the zone has no slot for the request.
	None Verdict = iota
	// Granted: the lease has begun.
	Granted
	// Elsewhere: another zone has free slots.
	Elsewhere
	// Overloaded: the request would queue for longer than its Patience.
	Overloaded
)

// String returns the verdict's name for logs.
func (v Verdict) String() string {
	return [...]string{"none", "granted", "elsewhere", "overloaded"}[v]
}

// Grant is the answer to a Request.
type Grant struct {
	Verdict Verdict
	// Target is the start of the chosen target, At its full description, and Running the
	// number of requests that ran there.
	Target  string
	At      Target
	Running int
	// Zone is the zone to request a slot from, Leader the peer address of its leader.
	Zone, Leader string
	// Wait is how long the request would queue.
	Wait time.Duration
	// Yield lists the batch leases that must be preempted.
	Yield []ID
}

// Grant assigns a slot. seed makes the choice among equal targets reproducible.
//
// Load pattern: steps of load under which nine tenths of the slots are taken. Grant
// prefers a free slot anywhere in the zone; then a slot from which batch is preempted;
// then another zone, because traffic between zones is expensive; then a short queue. A
// request that would queue for longer than its Patience is refused at once.
//
// In a large group only some targets are examined first, so that the cost of a grant does
// not depend on the group's size while most targets have free slots.
func (l *Ledger) Grant(now time.Time, r Request, seed uint64) Grant {
	g := l.groups[r.Group]
	if g == nil || len(g.targets) == 0 {
		return l.otherZone(now, r)
	}
	if len(g.targets) > sampleSize {
		healthy, _ := l.candidates(now, g, r, seed, sampleSize)
		if c, ok := firstMatch(healthy, func(c candidate) bool { return c.empty(r) }); ok {
			return l.grantLease(now, r, c)
		}
	}
	healthy, degraded := l.candidates(now, g, r, seed, len(g.targets))
	if r.Batch {
		return l.grantBatch(now, r, healthy)
	}
	if c, ok := firstMatch(healthy, func(c candidate) bool { return c.taken < c.Slots }); ok {
		return l.grantLease(now, r, c)
	}
	if r.Visiting {
		return Grant{Verdict: None}
	}
	if c, ok := firstMatch(healthy, func(c candidate) bool { return c.online < c.Slots }); ok {
		return l.grantLease(now, r, c)
	}
	if grant := l.otherZone(now, r); grant.Verdict == Elsewhere {
		return grant
	}
	return l.queue(now, r, g, append(healthy, degraded...))
}

// grantBatch grants a batch item the emptiest target that leaves the headroom free. A
// slot whose item is being preempted counts as taken until that item has ended.
func (l *Ledger) grantBatch(now time.Time, r Request, from []candidate) Grant {
	if c, ok := firstMatch(from, func(c candidate) bool { return c.online+c.usage.batch+r.Headroom < c.Slots }); ok {
		return l.grantLease(now, r, c)
	}
	return l.otherZone(now, r)
}

// queue grants the target with the shortest queue if that is short enough.
func (l *Ledger) queue(now time.Time, r Request, g *group, from []candidate) Grant {
	if len(from) == 0 {
		return Grant{Verdict: None}
	}
	best := from[0]
	wait := g.serviceTime.Wait(float64(best.online), best.Slots)
	if wait > r.Patience {
		return Grant{Verdict: Overloaded, Wait: wait}
	}
	return l.grantLease(now, r, best)
}

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

// notPreempted counts the batch items that are not being preempted.
func (u *usage) notPreempted(now time.Time) int {
	n := u.batch
	for le := range u.leases {
		if le.batch && now.Before(le.preemptUntil) {
			n--
		}
	}
	return n
}

func firstMatch(list []candidate, fits func(candidate) bool) (candidate, bool) {
	for _, c := range list {
		if fits(c) {
			return c, true
		}
	}
	return candidate{}, false
}

// grantLease begins a lease at the target and preempts as many batch items there as then
// exceed its slots.
func (l *Ledger) grantLease(now time.Time, r Request, c candidate) Grant {
	le := l.add(now, r.ID, Running{Number: r.ID.Number, Target: c.Start, Batch: r.Batch})
	le.group = r.Group
	grant := Grant{Verdict: Granted, Target: c.Start, At: c.Target, Running: c.taken}
	if !r.Batch {
		grant.Yield = c.usage.preempt(now, c.taken+1-c.Slots)
	}
	return grant
}

// preempt marks n batch items for preemption, the last ones to begin first: they lose the
// least work.
func (u *usage) preempt(now time.Time, n int) []ID {
	if n <= 0 {
		return nil
	}
	var running []*lease
	for le := range u.leases {
		if le.batch && !now.Before(le.preemptUntil) {
			running = append(running, le)
		}
	}
	slices.SortFunc(running, func(a, b *lease) int {
		return cmp.Or(b.granted.Compare(a.granted), cmp.Compare(a.id.Holder, b.id.Holder), cmp.Compare(a.id.Number, b.id.Number))
	})
	var preempted []ID
	for _, le := range running[:min(n, len(running))] {
		le.preemptUntil = now.Add(preemptTime)
		preempted = append(preempted, le.id)
	}
	return preempted
}

// remoteFree is another zone's report of its free slots.
type remoteFree struct {
	leader string
	free   map[string]int
	at     time.Time
}

// FreeSlots counts the free slots of the zone's healthy targets, by group.
func (l *Ledger) FreeSlots(now time.Time) map[string]int {
	free := map[string]int{}
	for name, g := range l.groups {
		for _, t := range g.targets {
			u := l.usageOf(t.Start)
			if !u.degraded(now, false) {
				free[name] += max(0, t.Slots-u.online-u.notPreempted(now))
			}
		}
	}
	return free
}

// ApplyRemoteFree records the free slots that the leader of another zone reports.
func (l *Ledger) ApplyRemoteFree(now time.Time, zone, leader string, free map[string]int) {
	l.remote[zone] = &remoteFree{leader: leader, free: maps.Clone(free), at: now}
}

// otherZone chooses the zone with the most free slots. Requests sent there are subtracted
// until that zone reports again, so that the requests that this zone sends between two
// reports do not compete for the same slots.
func (l *Ledger) otherZone(now time.Time, r Request) Grant {
	if r.Visiting || r.Stay {
		return Grant{Verdict: None}
	}
	name, most := "", remoteMinFree-1
	for zone, report := range l.remote {
		if now.Sub(report.at) > FreeSlotsTTL {
			continue
		}
		free := report.free[r.Group]
		if free > most || free == most && name != "" && zone < name {
			name, most = zone, free
		}
	}
	if name == "" {
		return Grant{Verdict: None}
	}
	to := l.remote[name]
	to.free[r.Group]--
	return Grant{Verdict: Elsewhere, Zone: name, Leader: to.leader}
}
