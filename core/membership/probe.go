package membership

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// round is the probing of one member: a direct probe and, if that misses, some
// indirect ones.
type round struct {
	claim       Claim
	outstanding int
	// refused tells that the member's host answered the direct probe: nobody
	// listens there. witnessed tells that another daemon answered and could not
	// reach the member either.
	refused, witnessed bool
	// asked tells that others were asked.
	asked bool
}

// gone tells whether the member's process has certainly ended, as far as probes
// can tell: its host refused the connection, and if there is another daemon, one
// has confirmed that the member can't be reached. A paused or slow process still
// has its listener, so it isn't refused; and a daemon whose own way out is closed
// gets no witness.
func (r *round) gone() bool { return r.refused && (r.witnessed || !r.asked) }

// regularProbe picks the one member probed in this tick, so that the cost of a
// daemon doesn't depend on the fleet's size. Every other tick it is the next one
// on the ring: each member has one prober that comes back every two ticks, which
// bounds the time until a loss is noticed. In between it is the next of a
// shuffled order, which finds losses of neighbours on the ring and carries
// changes across it.
func (m *Machine) regularProbe() (Probe, bool) {
	if m.ticks%ringEvery == 0 {
		if e := m.ringNeighbour(); e != nil && m.rounds[e.member.Host] == nil {
			return m.directProbe(e), true
		}
	}
	if len(m.order) == 0 {
		m.order = m.hosts(func(e *entry) bool { return e.member.State != Dead })
		shuffle(&m.random, m.order)
	}
	for len(m.order) > 0 {
		host := m.order[len(m.order)-1]
		m.order = m.order[:len(m.order)-1]
		e := m.members[host]
		if e != nil && e.member.State != Dead && m.rounds[host] == nil {
			return m.directProbe(e), true
		}
	}
	return Probe{}, false
}

// ringNeighbour returns the member that follows this daemon on the ring of the
// hosts' hashes, nil if there is no other member. A suspect does not count: it
// is verified anyway, and the one behind it must not go unwatched meanwhile.
func (m *Machine) ringNeighbour() *entry {
	own := xxhash.Sum64String(m.self.Host)
	var best *entry
	distance := uint64(0)
	for _, e := range m.members {
		if e.member.State == Dead || e.member.State == Suspect {
			continue
		}
		// The subtraction wraps round, as the ring does.
		if d := e.hash - own; best == nil || d < distance {
			best, distance = e, d
		}
	}
	return best
}

// verifySuspects probes suspects out of turn: those this daemon knows only from
// others, and those whose last probe is two ticks ago, so that a wrongly
// suspected member hears of it in time to refute.
func (m *Machine) verifySuspects() []Probe {
	due := m.hosts(func(e *entry) bool {
		return e.member.State == Suspect && m.rounds[e.member.Host] == nil && (e.probedAt == 0 || m.ticks-e.probedAt >= 2)
	})
	slices.SortStableFunc(due, func(a, b string) int {
		return int(m.members[a].probedAt) - int(m.members[b].probedAt)
	})
	var probes []Probe
	for _, host := range due[:min(len(due), verifyPerTick)] {
		probes = append(probes, m.directProbe(m.members[host]))
	}
	return probes
}

func (m *Machine) directProbe(e *entry) Probe {
	e.probedAt = m.ticks
	m.rounds[e.member.Host] = &round{claim: e.claim()}
	return Probe{
		Kind:    ProbeDirect,
		Host:    e.member.Host,
		Address: e.member.PeerAddress,
		Request: m.RequestTo(e.member.Host),
		claim:   e.claim(),
		epoch:   m.epoch,
	}
}

// RequestTo builds a probe request to a host; a middle daemon uses it to probe
// for another one.
func (m *Machine) RequestTo(host string) ProbeRequest {
	return ProbeRequest{From: m.self, About: m.about(host), Gossip: m.gossip()}
}

// appendContact adds a probe of an address outside the membership. The first
// answered contact brings everything the other side knows.
func (m *Machine) appendContact(probes []Probe) []Probe {
	addresses := m.contactAddresses()
	if len(addresses) == 0 {
		return probes
	}
	m.contact++
	kind := ProbeContact
	if !m.synced || m.alone() {
		kind = ProbeSync
	}
	address := addresses[m.contact%len(addresses)]
	request := ProbeRequest{From: m.self, About: m.aboutAddress(address), Gossip: m.gossip()}
	return append(probes, Probe{Kind: kind, Address: address, Request: request, epoch: m.epoch})
}

// contactAddresses lists the seeds, the listed daemons and the dead, less the
// members and this daemon itself, sorted.
func (m *Machine) contactAddresses() []string {
	taken := map[string]bool{m.self.PeerAddress: true, "": true}
	for _, e := range m.members {
		if e.member.State != Dead {
			taken[e.member.PeerAddress] = true
		}
	}
	var out []string
	add := func(address string) {
		if !taken[address] {
			taken[address] = true
			out = append(out, address)
		}
	}
	for _, address := range m.opt.Seeds {
		add(address)
	}
	for _, address := range m.list.daemonAddresses {
		add(address)
	}
	for _, host := range m.hosts(func(e *entry) bool { return e.member.State == Dead }) {
		add(m.members[host].member.PeerAddress)
	}
	slices.Sort(out)
	return out
}

// Answered steps in the reply to a direct or contact probe and returns what is
// to be probed next, if anything.
func (m *Machine) Answered(now time.Time, p Probe, reply ProbeReply) []Probe {
	m.observe(now)
	m.answeredBy(now, reply.From, reply.About)
	m.mergeGossip(now, reply.Gossip)
	if p.Kind == ProbeDirect && reply.From.Host != p.Host {
		// Another daemon took over the address: the probed one did not answer.
		return m.Missed(now, p)
	}
	return nil
}

// AnsweredVia steps in the reply to an indirect probe.
func (m *Machine) AnsweredVia(now time.Time, p Probe, reply ViaReply) {
	m.observe(now)
	m.mergeGossip(now, reply.Gossip)
	if !reply.Acked || reply.Target.Host != p.Host {
		if r := m.rounds[p.Host]; r != nil && p.epoch == m.epoch && r.claim == p.claim {
			r.witnessed = true
		}
		m.Missed(now, p)
		return
	}
	m.answeredBy(now, reply.Target, Claim{})
}

// AnsweredSync steps in the reply to a joining contact.
func (m *Machine) AnsweredSync(now time.Time, reply SyncReply) {
	m.observe(now)
	m.answeredBy(now, reply.From, reply.About)
	m.mergeGossip(now, Gossip{Members: reply.Members, Targets: reply.Targets})
	m.synced = true
}

// Missed steps in that a probe got no answer in time. After a direct miss it
// returns indirect probes: if the two hosts alone can't reach each other, others
// can, and nobody is suspected.
func (m *Machine) Missed(now time.Time, p Probe) []Probe {
	m.observe(now)
	r := m.rounds[p.Host]
	if p.epoch != m.epoch || r == nil || r.claim != p.claim {
		return nil
	}
	if p.Kind == ProbeDirect {
		if probes := m.indirect(p); len(probes) > 0 {
			r.outstanding, r.asked = len(probes), true
			return probes
		}
	} else if r.outstanding--; r.outstanding > 0 {
		return nil
	}
	delete(m.rounds, p.Host)
	m.accuse(now, p, r.gone())
	return nil
}

// Refused steps in that a direct probe was refused: the member's host is there
// and nobody listens at the address. It goes on as after a miss, but if others
// confirm it, the member isn't given the time to refute: a process that has
// ended can't.
func (m *Machine) Refused(now time.Time, p Probe) []Probe {
	if r := m.rounds[p.Host]; r != nil && p.Kind == ProbeDirect && p.epoch == m.epoch && r.claim == p.claim {
		r.refused = true
	}
	return m.Missed(now, p)
}

// Doubt steps in that a call to the member at the address failed, and returns a
// probe out of turn, at most one a tick. Calls fail at once when a process ends,
// the next probe in turn may be some intervals away.
func (m *Machine) Doubt(now time.Time, address string) []Probe {
	m.observe(now)
	for _, e := range m.members {
		if e.member.PeerAddress != address || e.member.State == Dead {
			continue
		}
		if e.doubtedAt == m.ticks || m.rounds[e.member.Host] != nil {
			return nil
		}
		e.doubtedAt = m.ticks
		return []Probe{m.directProbe(e)}
	}
	return nil
}

func (m *Machine) indirect(p Probe) []Probe {
	others := m.hosts(func(e *entry) bool {
		return e.member.Host != p.Host && (e.member.State == Live || e.member.State == Leaving)
	})
	shuffle(&m.random, others)
	var probes []Probe
	for _, host := range others[:min(len(others), indirectProbes)] {
		address := m.members[host].member.PeerAddress
		via := ViaRequest{Probe: m.RequestTo(host), Host: p.Host, Address: p.Address}
		probes = append(probes, Probe{Kind: ProbeIndirect, Host: p.Host, Address: address, Via: via, claim: p.claim, epoch: p.epoch})
	}
	return probes
}

// accuse makes a member suspect after direct and indirect probes missed, or dead
// if it is gone, unless the member has given a newer sign of life since the
// probing began.
func (m *Machine) accuse(now time.Time, p Probe, gone bool) {
	e := m.members[p.Host]
	if e == nil || e.member.Incarnation != p.claim.Incarnation || e.member.FactsVersion != p.claim.FactsVersion {
		return
	}
	switch e.member.State {
	case Live, Leaving:
		e.missed = true
		m.setState(e, Suspect, now)
	case Suspect:
		e.missed = true
	}
	if gone && e.member.State == Suspect {
		m.setState(e, Dead, now)
	}
}

// hosts returns the sorted names of the members that keep wants.
func (m *Machine) hosts(keep func(*entry) bool) []string {
	out := make([]string, 0, len(m.members))
	for host, e := range m.members {
		if keep(e) {
			out = append(out, host)
		}
	}
	slices.Sort(out)
	return out
}
