package slots

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// spareFar is how many free slots another zone must have had to be sent a
	// request: the last one may have been taken since it was heard of.
	spareFar = 2
	// firstLook is how many targets of a large group are looked at first.
	firstLook = 64
	// RoomLife is how long another zone's word of its free slots counts; its leader
	// tells them several times in that time.
	RoomLife = 400 * time.Millisecond
)

// Ask asks for a slot.
type Ask struct {
	ID    ID
	Group string
	// Batch asks for a batch item: it gets only what online work leaves, less
	// Headroom slots of each target.
	Batch    bool
	Headroom int
	// Exclude holds the starts of targets that are of no use to the asker: tried
	// already, or out for it.
	Exclude []string
	// LastChance tells that nothing may follow a failed attempt.
	LastChance bool
	// Patience is how long the request may queue in front of a target.
	Patience time.Duration
	// Visiting tells that the asker's own zone is full: it gets a free slot or none.
	Visiting bool
	// Stay asks for a slot of this zone whatever room others have.
	Stay bool
}

// Verdict is the answer to an Ask.
type Verdict int

const (
	// None: the zone has nothing for it.
	None Verdict = iota
	// Granted: the lease has begun.
	Granted
	// Elsewhere: another zone has room.
	Elsewhere
	// Overloaded: it would queue for longer than it may.
	Overloaded
)

// String returns the verdict's name for logs.
func (v Verdict) String() string {
	return [...]string{"none", "granted", "elsewhere", "overloaded"}[v]
}

// Grant is what an Ask got.
type Grant struct {
	Verdict Verdict
	// Target is the start of the target that was chosen, At the whole of it, and Running
	// what ran there.
	Target  string
	At      Target
	Running int
	// Zone is the zone to ask, Leader its leader's peer address.
	Zone, Leader string
	// Wait is how long it would queue.
	Wait time.Duration
	// Yield lists batch leases that must give way.
	Yield []ID
}

// Grant gives a slot out. seed makes the choice among equal targets repeatable.
//
// Load pattern answered: steps of load under which nine tenths of the slots are
// taken. A free slot anywhere in the zone is found; then one that batch gives back,
// then another zone's, since bytes between zones are dear; then a short queue; and
// what would queue for longer than it may is refused at once.
//
// In a large group a few targets are looked at first, so that a grant costs the same
// however many there are while most have free slots.
func (l *Ledger) Grant(now time.Time, a Ask, seed uint64) Grant {
	g := l.groups[a.Group]
	if g == nil || len(g.targets) == 0 {
		return l.elsewhere(now, a)
	}
	if len(g.targets) > firstLook {
		trusted, _ := l.candidates(now, g, a, seed, firstLook)
		if c, ok := first(trusted, func(c candidate) bool { return c.empty(a) }); ok {
			return l.lease(now, a, c)
		}
	}
	trusted, doubted := l.candidates(now, g, a, seed, len(g.targets))
	if a.Batch {
		return l.grantBatch(now, a, trusted)
	}
	if c, ok := first(trusted, func(c candidate) bool { return c.taken < c.Slots }); ok {
		return l.lease(now, a, c)
	}
	if a.Visiting {
		return Grant{Verdict: None}
	}
	if c, ok := first(trusted, func(c candidate) bool { return c.online < c.Slots }); ok {
		return l.lease(now, a, c)
	}
	if grant := l.elsewhere(now, a); grant.Verdict == Elsewhere {
		return grant
	}
	return l.queue(now, a, g, append(trusted, doubted...))
}

// grantBatch gives a batch item the emptiest target that leaves the headroom free. A slot
// that another item was told to leave is taken until that one has left it.
func (l *Ledger) grantBatch(now time.Time, a Ask, from []candidate) Grant {
	if c, ok := first(from, func(c candidate) bool { return c.online+c.usage.batch+a.Headroom < c.Slots }); ok {
		return l.lease(now, a, c)
	}
	return l.elsewhere(now, a)
}

// queue gives a request a place in the shortest queue, if it is short enough.
func (l *Ledger) queue(now time.Time, a Ask, g *group, from []candidate) Grant {
	if len(from) == 0 {
		return Grant{Verdict: None}
	}
	best := from[0]
	wait := g.speed.Queue(float64(best.online), best.Slots)
	if wait > a.Patience {
		return Grant{Verdict: Overloaded, Wait: wait}
	}
	return l.lease(now, a, best)
}

// candidate is a target that may be chosen.
type candidate struct {
	Target
	usage *usage
	// online counts the online requests there, taken those and the batch items that
	// were not told to give way.
	online, taken int
}

// empty tells whether nothing runs at the target, so that none is better for the asker.
func (c candidate) empty(a Ask) bool {
	return c.taken == 0 && c.usage.batch == 0 && (c.Slots > a.Headroom || !a.Batch)
}

// candidates looks at so many targets from a place in the list that the seed gives. It
// lists those that the asker can use, the least taken first and equal ones in the order
// of the seed: those that are trusted, and those in doubt. Targets that it can't use
// come last among these, for want of a better one.
func (l *Ledger) candidates(now time.Time, g *group, a Ask, seed uint64, look int) (trusted, doubted []candidate) {
	var excluded []candidate
	n := len(g.targets)
	for i := range look {
		t := g.targets[(int(seed%uint64(n))+i)%n]
		u := l.of(t.Start)
		c := candidate{Target: t, usage: u, online: u.online, taken: u.online + u.standing(now)}
		switch {
		case slices.Contains(a.Exclude, t.Start):
			excluded = append(excluded, c)
		case u.doubtful(now, a.LastChance):
			doubted = append(doubted, c)
		default:
			trusted = append(trusted, c)
		}
	}
	byTaken(trusted)
	byTaken(doubted)
	byTaken(excluded)
	return trusted, append(doubted, excluded...)
}

func byTaken(list []candidate) {
	slices.SortStableFunc(list, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.taken, b.taken), cmp.Compare(a.online, b.online))
	})
}

// doubtful tells whether the target is held back. One whose time is over gets one
// request at a time until it answers one: it may take connections and fail every
// request, and would look like the emptiest.
func (u *usage) doubtful(now time.Time, lastChance bool) bool {
	switch {
	case u.doubt.Failures() == 0:
		return false
	case lastChance || u.doubt.Lasts(now):
		return true
	default:
		return u.online+u.batch > 0
	}
}

// standing counts the batch items that were not told to give way.
func (u *usage) standing(now time.Time) int {
	n := u.batch
	for le := range u.leases {
		if le.batch && now.Before(le.yields) {
			n--
		}
	}
	return n
}

func first(list []candidate, fits func(candidate) bool) (candidate, bool) {
	for _, c := range list {
		if fits(c) {
			return c, true
		}
	}
	return candidate{}, false
}

// lease begins the lease, and has as many batch items give way as there are too many
// at the target then.
func (l *Ledger) lease(now time.Time, a Ask, c candidate) Grant {
	le := l.add(now, a.ID, Running{Number: a.ID.Number, Target: c.Start, Batch: a.Batch})
	le.group = a.Group
	grant := Grant{Verdict: Granted, Target: c.Start, At: c.Target, Running: c.taken}
	if !a.Batch {
		grant.Yield = c.usage.yield(now, c.taken+1-c.Slots)
	}
	return grant
}

// yield tells n batch items to give way, those that began last: they have the least
// to lose.
func (u *usage) yield(now time.Time, n int) []ID {
	if n <= 0 {
		return nil
	}
	var standing []*lease
	for le := range u.leases {
		if le.batch && !now.Before(le.yields) {
			standing = append(standing, le)
		}
	}
	slices.SortFunc(standing, func(a, b *lease) int {
		return cmp.Or(b.granted.Compare(a.granted), cmp.Compare(a.id.Holder, b.id.Holder), cmp.Compare(a.id.Number, b.id.Number))
	})
	var told []ID
	for _, le := range standing[:min(n, len(standing))] {
		le.yields = now.Add(yieldTime)
		told = append(told, le.id)
	}
	return told
}

// room is what another zone told of its free slots.
type room struct {
	leader string
	free   map[string]int
	at     time.Time
}

// Free counts the free slots of the zone's trusted targets, by group.
func (l *Ledger) Free(now time.Time) map[string]int {
	free := map[string]int{}
	for name, g := range l.groups {
		for _, t := range g.targets {
			u := l.of(t.Start)
			if !u.doubtful(now, false) {
				free[name] += max(0, t.Slots-u.online-u.standing(now))
			}
		}
	}
	return free
}

// HearRoom takes what the leader of another zone tells of its free slots.
func (l *Ledger) HearRoom(now time.Time, zone, leader string, free map[string]int) {
	l.others[zone] = &room{leader: leader, free: maps.Clone(free), at: now}
}

// elsewhere names the zone with the most room. What is sent there is counted until
// that zone is heard again, so that what this zone sends between two words does not
// meet at the same slots.
func (l *Ledger) elsewhere(now time.Time, a Ask) Grant {
	if a.Visiting || a.Stay {
		return Grant{Verdict: None}
	}
	name, most := "", spareFar-1
	for zone, r := range l.others {
		if now.Sub(r.at) > RoomLife {
			continue
		}
		free := r.free[a.Group]
		if free > most || free == most && name != "" && zone < name {
			name, most = zone, free
		}
	}
	if name == "" {
		return Grant{Verdict: None}
	}
	to := l.others[name]
	to.free[a.Group]--
	return Grant{Verdict: Elsewhere, Zone: name, Leader: to.leader}
}
