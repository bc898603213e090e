package membership

import (
	"slices"
	"time"

	"tarragonhollow.example/tarragonhollow/core/splitmix"
)

const (
	// verifyPerTick is the maximum number of suspects probed in one tick in addition to
	// the regular probe; it lets the loss of a whole zone be verified in a few ticks.
	verifyPerTick = 4
	// indirectProbes is the number of members that probe on behalf of this daemon after a
	// direct probe fails.
	indirectProbes = 2
	// contactEvery is the number of ticks between probes of dead members and of listed
	// hosts that are not members. These probes heal partitions and find joining daemons.
	contactEvery = 4
	// ringEvery is the number of ticks between probes of the neighbour on the ring.
	ringEvery = 2
	// pauseTicks is the number of probe intervals without any input after which this
	// process is taken to have been paused.
	pauseTicks = 4
)

// Options configures a Machine; zero durations take the defaults.
type Options struct {
	// Self is this daemon's own entry: host, zone, addresses and incarnation.
	Self Member
	// Seeds are peer addresses to join through besides the host list.
	Seeds []string
	// ProbeEvery is the interval between ticks; default 300 ms.
	ProbeEvery time.Duration
	// SuspectAfter is how long a suspect has to refute the suspicion; default 1.2 s.
	SuspectAfter time.Duration
	// ForgetAfter is how long a dead member that is not on the host list, or a target
	// that was removed from it, is kept; default 5 minutes.
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

// Machine is the membership state machine of one daemon. It is not safe for concurrent use.
type Machine struct {
	opt        Options
	random     splitmix.Generator
	self       Member
	members    map[string]*entry
	probeOrder []string // hosts still to be probed in this round, shuffled
	ticks      uint64
	synced     bool

	rounds    map[string]*round
	epoch     uint64
	lastInput time.Time // the last input's time

	queue        gossipQueue
	list         hostList
	targets      map[string]*targetEntry
	contactIndex int

	version        uint64
	leaveRequested bool // Leave was called
	declaredDead   uint64
	superseded     bool
}

// entry is a member other than this daemon.
type entry struct {
	member Member
	hash   uint64 // of the host, its position on the ring
	// since is when the member's state last changed in this view, or when the member last
	// answered while it was suspect.
	since time.Time
	// missed reports whether this daemon's own direct and indirect probes have failed
	// since the suspicion began.
	missed bool
	// probedAt is the tick of the last direct probe, 0 if there was none since a peer
	// last reported a newer entry or a suspicion. callFailedAt is the tick of the last
	// probe because of a failed call.
	probedAt, callFailedAt uint64
}

func (e *entry) claim() Claim {
	return Claim{Host: e.member.Host, Incarnation: e.member.Incarnation, FactsVersion: e.member.FactsVersion, State: e.member.State}
}

// New returns a machine whose only member is this daemon.
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
		queue:   newGossipQueue(),
		targets: make(map[string]*targetEntry),
		version: 1,
	}
}

// Version returns a number that rises with every change that is visible in a Snapshot.
func (m *Machine) Version() uint64 { return m.version }

// Self returns this daemon's own entry.
func (m *Machine) Self() Member { return m.self }

// DeclaredDead returns how often this daemon learned that peers had declared it dead. After
// that, peers may have taken over its shards and its other roles.
func (m *Machine) DeclaredDead() uint64 { return m.declaredDead }

// Superseded reports whether a later incarnation of this host is known: this process has
// been replaced and can't refute that.
func (m *Machine) Superseded() bool { return m.superseded }

// SetFacts changes the facts that this daemon publishes about itself. Host, incarnation,
// facts version and state can't be changed by it.
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
	m.bumpVersion()
}

// Leave publishes this daemon's state as Leaving.
func (m *Machine) Leave() {
	m.leaveRequested = true
	m.updateLeaving()
}

// updateLeaving sets this daemon's state from a call of Leave and the host list.
func (m *Machine) updateLeaving() {
	state := Live
	if m.leaveRequested || m.list.leavingHosts[m.self.Host] {
		state = Leaving
	}
	if state == m.self.State {
		return
	}
	m.self.State = state
	m.bumpVersion()
}

// bumpVersion raises the version of this daemon's own entry. The entry isn't queued for
// gossip, because every message carries it.
func (m *Machine) bumpVersion() {
	m.self.FactsVersion++
	m.version++
}

// Tick declares expired suspects dead, removes expired entries and returns the probes to
// send now. Call it every ProbeEvery.
func (m *Machine) Tick(now time.Time) []Probe {
	m.observe(now)
	m.ticks++
	m.expireSuspects(now)
	m.removeExpired(now)
	probes := m.verifySuspects()
	if p, ok := m.regularProbe(); ok {
		probes = append(probes, p)
	}
	if m.alone() || m.ticks%contactEvery == 0 {
		probes = m.appendContact(probes)
	}
	return probes
}

// observe records the time of an input and detects a pause of this process (a stopped
// process, a frozen host). During a pause no input arrives, so all suspicions time out and
// all probes miss although the other members may be healthy. A detected pause therefore
// restarts the suspicions and invalidates the probes in flight, so that no member is
// declared dead because of it.
func (m *Machine) observe(now time.Time) {
	paused := !m.lastInput.IsZero() && now.Sub(m.lastInput) > pauseTicks*m.opt.ProbeEvery
	if now.After(m.lastInput) {
		m.lastInput = now
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

// expireSuspects declares suspects dead that did not refute in time, but only if this
// daemon's own direct and indirect probes missed too: a daemon whose link is cut in one
// direction must not make others declare healthy members dead.
func (m *Machine) expireSuspects(now time.Time) {
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
	m.queue.addMember(e.member.Host)
}

// removeExpired removes members that have been dead for ForgetAfter and are not on the host
// list. A dead member on the list is kept and probed periodically in case it returns.
func (m *Machine) removeExpired(now time.Time) {
	for host, e := range m.members {
		removable := e.member.State == Dead && !m.list.daemons[host]
		if removable && now.Sub(e.since) >= m.opt.ForgetAfter {
			delete(m.members, host)
			delete(m.rounds, host)
			m.queue.dropMember(host)
		}
	}
	m.removeExpiredTargets(now)
}

// alone reports whether every other known member is dead.
func (m *Machine) alone() bool {
	for _, e := range m.members {
		if e.member.State != Dead {
			return false
		}
	}
	return true
}
