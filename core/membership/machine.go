package membership

import (
	"slices"
	"time"

	"tarragonhollow.example/tarragonhollow/core/splitmix"
)

const (
	// verifyPerTick bounds the suspects that are probed in one tick besides the
	// regular probe, so that the loss of a whole zone is verified in a few ticks.
	verifyPerTick = 4
	// indirectProbes is how many others are asked when a direct probe fails.
	indirectProbes = 2
	// contactEvery is the number of ticks between probes of dead members and of
	// listed hosts that are not members: they heal partitions and find joiners.
	contactEvery = 4
	// ringEvery is the number of ticks between probes of the ring's neighbour.
	ringEvery = 2
	// wakeTicks is how many probe intervals without any input mean that this
	// process itself was paused.
	wakeTicks = 4
)

// Options configure a Machine; zero durations take the defaults.
type Options struct {
	// Self is this daemon's own entry: host, zone, addresses and incarnation.
	Self Member
	// Seeds are peer addresses to join through besides the host list.
	Seeds []string
	// ProbeEvery is the interval between ticks; default 300 ms.
	ProbeEvery time.Duration
	// SuspectAfter is how long a suspect may refute; default 1.2 s.
	SuspectAfter time.Duration
	// ForgetAfter is how long a dead member that is not on the host list, or a
	// target that left it, is remembered; default 5 minutes.
	ForgetAfter time.Duration
	// Seed makes the random choices repeatable.
	Seed uint64
}

// Defaults of Options.
const (
	DefaultProbeEvery   = 300 * time.Millisecond
	DefaultSuspectAfter = 1200 * time.Millisecond
	DefaultForgetAfter  = 5 * time.Minute
)

// Machine holds one daemon's view. It is not safe for concurrent use.
type Machine struct {
	opt     Options
	random  splitmix.Generator
	self    Member
	members map[string]*entry
	order   []string // hosts still to be probed in this round, shuffled
	ticks   uint64
	synced  bool

	rounds map[string]*round
	epoch  uint64
	seen   time.Time // the last input's time

	spread  spreader
	list    hostList
	targets map[string]*targetEntry
	contact int

	version      uint64
	requested    bool // Leave was called
	declaredDead uint64
	superseded   bool
}

// entry is a member other than this daemon.
type entry struct {
	member Member
	hash   uint64 // of the host, its place on the ring
	// since is when the member's state last changed here, or when it last gave a
	// sign of life while suspect.
	since time.Time
	// missed says that this daemon's own direct and indirect probes failed since
	// the suspicion began.
	missed bool
	// probedAt is the tick of the last verification, doubtedAt that of the last
	// probe out of turn.
	probedAt, doubtedAt uint64
}

func (e *entry) claim() Claim {
	return Claim{Host: e.member.Host, Incarnation: e.member.Incarnation, FactsVersion: e.member.FactsVersion, State: e.member.State}
}

// New returns a machine that knows only itself.
func New(o Options) *Machine {
	if o.ProbeEvery <= 0 {
		o.ProbeEvery = DefaultProbeEvery
	}
	if o.SuspectAfter <= 0 {
		o.SuspectAfter = DefaultSuspectAfter
	}
	if o.ForgetAfter <= 0 {
		o.ForgetAfter = DefaultForgetAfter
	}
	o.Self.State = Live
	o.Self.FactsVersion = max(o.Self.FactsVersion, 1)
	return &Machine{
		opt:     o,
		random:  splitmix.Generator(o.Seed),
		self:    o.Self,
		members: make(map[string]*entry),
		rounds:  make(map[string]*round),
		spread:  newSpreader(),
		targets: make(map[string]*targetEntry),
		version: 1,
	}
}

// Version rises with every change that a Snapshot would show.
func (m *Machine) Version() uint64 { return m.version }

// Self returns this daemon's own entry.
func (m *Machine) Self() Member { return m.self }

// DeclaredDead counts how often this daemon learnt that others held it dead:
// after a pause, what it owned may have been taken over.
func (m *Machine) DeclaredDead() uint64 { return m.declaredDead }

// Superseded tells whether a later incarnation of this host was heard of: this
// process has been replaced and can't refute that.
func (m *Machine) Superseded() bool { return m.superseded }

// SetFacts changes the facts this daemon tells about itself. Name, incarnation,
// facts version and state stay as they are.
func (m *Machine) SetFacts(change func(*Member)) {
	next := m.self
	next.Shards = slices.Clone(m.self.Shards)
	change(&next)
	next.Host, next.Incarnation = m.self.Host, m.self.Incarnation
	next.FactsVersion, next.State = m.self.FactsVersion, m.self.State
	if sameFacts(next, m.self) {
		return
	}
	m.self = next
	m.raise()
}

// Leave makes this daemon known as leaving.
func (m *Machine) Leave() {
	m.requested = true
	m.decideLeaving()
}

// decideLeaving sets the own state from the operator's wish and the host list.
func (m *Machine) decideLeaving() {
	state := Live
	if m.requested || m.list.leavingHosts[m.self.Host] {
		state = Leaving
	}
	if state == m.self.State {
		return
	}
	m.self.State = state
	m.raise()
}

// raise publishes the own entry anew. It needs no place in the spreading queue:
// the own entry rides on every message.
func (m *Machine) raise() {
	m.self.FactsVersion++
	m.version++
}

// Tick lets time pass: suspects run out, and the next probes are returned. It is
// to be called every ProbeEvery.
func (m *Machine) Tick(now time.Time) []Probe {
	m.observe(now)
	m.ticks++
	m.buryExpired(now)
	m.forget(now)
	probes := m.verifySuspects()
	if p, ok := m.regularProbe(); ok {
		probes = append(probes, p)
	}
	if m.alone() || m.ticks%contactEvery == 0 {
		probes = m.appendContact(probes)
	}
	return probes
}

// observe guards against this process's own pause (a stopped process, a frozen
// host). It shows as a long time without any input, in which all suspicions run
// out and all probes miss, though the others may be well. So a pause restarts
// the suspicions and voids the probes that were under way: nobody is declared
// dead from evidence gathered asleep.
func (m *Machine) observe(now time.Time) {
	paused := !m.seen.IsZero() && now.Sub(m.seen) > wakeTicks*m.opt.ProbeEvery
	if now.After(m.seen) {
		m.seen = now
	}
	if !paused {
		return
	}
	m.epoch++
	clear(m.rounds)
	for _, e := range m.members {
		if e.member.State == Suspect {
			e.since, e.missed = now, false
		}
	}
}

// buryExpired declares dead the suspects whose time to refute is over, but only
// those that this daemon's own probes missed, direct and through others: a
// daemon whose own link is cut one way must not make others bury the healthy.
func (m *Machine) buryExpired(now time.Time) {
	expired := m.hosts(func(e *entry) bool {
		return e.member.State == Suspect && e.missed && now.Sub(e.since) >= m.opt.SuspectAfter
	})
	for _, host := range expired {
		m.setState(m.members[host], Dead, now)
	}
}

func (m *Machine) setState(e *entry, s State, now time.Time) {
	e.member.State = s
	e.since = now
	m.version++
	m.spread.addMember(e.member.Host)
}

// forget drops the dead that the host list doesn't hold any more. A dead member
// on the list is kept: it is probed now and then in case it returns.
func (m *Machine) forget(now time.Time) {
	for host, e := range m.members {
		gone := e.member.State == Dead && !m.list.daemons[host]
		if gone && now.Sub(e.since) >= m.opt.ForgetAfter {
			delete(m.members, host)
			delete(m.rounds, host)
			m.spread.dropMember(host)
		}
	}
	m.forgetTargets(now)
}

// alone tells whether no other member is known to be there.
func (m *Machine) alone() bool {
	for _, e := range m.members {
		if e.member.State != Dead {
			return false
		}
	}
	return true
}
