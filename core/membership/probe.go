package membership

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// round is a probe round of one member: a direct probe and, if it misses, indirect probes.
type round struct {
	claim       Claim
	outstanding int
	// refused reports whether the member's host refused the connection of the direct
	// probe because no process listens there. confirmed reports whether another daemon
	// answered that it could not reach the member either.
	refused, confirmed bool
	// indirect reports whether indirect probes were sent.
	indirect bool
}

// ended reports whether the probes show that the member's process has ended: its host
// refused the connection and, if there are other daemons, one of them confirmed that the
// member can't be reached. A paused or slow process still has its listener, so its host
// does not refuse, and a daemon whose own outgoing link is blocked gets no confirmation.
func (r *round) ended() bool { return r.refused && (r.confirmed || !r.indirect) }

// regularProbe selects the one member to probe in this tick, so that a daemon's cost
// doesn't depend on the fleet's size. Every other tick it selects the next member on the
// ring: each member is thus probed by its ring predecessor every two ticks, which bounds
// the time until its loss is detected. In the other ticks it selects the next member of a
// shuffled order, which detects the loss of adjacent members on the ring and spreads
// changes across it.
func (m *Machine) regularProbe() (Probe, bool) {
	if m.ticks%ringEvery == 0 {
		if e := m.ringNeighbour(); e != nil && m.rounds[e.member.Host] == nil {
			return m.directProbe(e), true
		}
	}
	if len(m.probeOrder) == 0 {
		m.probeOrder = m.hosts(func(e *entry) bool { return e.member.State != Dead })
		shuffle(&m.random, m.probeOrder)
	}
	for len(m.probeOrder) > 0 {
		host := m.probeOrder[len(m.probeOrder)-1]
		m.probeOrder = m.probeOrder[:len(m.probeOrder)-1]
		e := m.members[host]
		if e != nil && e.member.State != Dead && m.rounds[host] == nil {
			return m.directProbe(e), true
		}
	}
	return Probe{}, false
}

// ringNeighbour returns the member that follows this daemon on the ring of the hosts'
// hashes, nil if there is none. Suspects are skipped: they are verified anyway, and the
// member after a suspect must still be probed meanwhile.
func (m *Machine) ringNeighbour() *entry {
	own := xxhash.Sum64String(m.self.Host)
	var best *entry
	distance := uint64(0)
	for _, e := range m.members {
		if e.member.State == Dead || e.member.State == Suspect {
			continue
		}
		// The subtraction wraps around like the ring.
		if d := e.hash - own; best == nil || d < distance {
			best, distance = e, d
		}
	}
	return best
}

// verifySuspects returns additional probes of suspects: of those that this daemon has not
// probed since the suspicion began, and of those whose last probe was at least two ticks
// ago, so that a wrongly suspected member is notified in time to refute.
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

// RequestTo returns a probe request to a host, for direct probes and for those on behalf of
// another daemon.
func (m *Machine) RequestTo(host string) ProbeRequest {
	return ProbeRequest{From: m.self, About: m.claimAbout(host), Gossip: m.gossip()}
}

// appendContact appends a probe of an address outside the membership. Until the first sync
// succeeds, and while no other member is known to be alive, it requests the whole view.
func (m *Machine) appendContact(probes []Probe) []Probe {
	addresses := m.contactAddresses()
	if len(addresses) == 0 {
		return probes
	}
	m.contactIndex++
	kind := ProbeContact
	if !m.synced || m.alone() {
		kind = ProbeSync
	}
	address := addresses[m.contactIndex%len(addresses)]
	request := ProbeRequest{From: m.self, About: m.claimAboutAddress(address), Gossip: m.gossip()}
	return append(probes, Probe{Kind: kind, Address: address, Request: request, epoch: m.epoch})
}

// contactAddresses returns the sorted addresses of the seeds, the listed daemons and the
// dead members, without those of this daemon and of members that are not dead.
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

// Answered handles the reply to a direct or contact probe and returns the probes to send
// next, if any.
func (m *Machine) Answered(now time.Time, p Probe, reply ProbeReply) []Probe {
	m.observe(now)
	m.mergeResponder(now, reply.From, reply.About)
	m.mergeGossip(now, reply.Gossip)
	if p.Kind == ProbeDirect && reply.From.Host != p.Host {
		// Another daemon has taken over the address: the probed one did not answer.
		return m.Missed(now, p)
	}
	return nil
}

// AnsweredVia handles the reply to an indirect probe.
func (m *Machine) AnsweredVia(now time.Time, p Probe, reply ViaReply) {
	m.observe(now)
	m.mergeGossip(now, reply.Gossip)
	if !reply.Acked || reply.Target.Host != p.Host {
		if r := m.rounds[p.Host]; r != nil && p.epoch == m.epoch && r.claim == p.claim {
			r.confirmed = true
		}
		m.Missed(now, p)
		return
	}
	m.mergeResponder(now, reply.Target, Claim{})
}

// AnsweredSync handles the reply to a ProbeSync.
func (m *Machine) AnsweredSync(now time.Time, reply SyncReply) {
	m.observe(now)
	m.mergeResponder(now, reply.From, reply.About)
	m.mergeGossip(now, Gossip{Members: reply.Members, Targets: reply.Targets})
	m.synced = true
}

// Missed handles a probe that was not answered in time. After a direct probe it returns
// indirect probes: if only the link between the two hosts has failed, other daemons still
// reach the member and it does not become suspect.
func (m *Machine) Missed(now time.Time, p Probe) []Probe {
	m.observe(now)
	r := m.rounds[p.Host]
	if p.epoch != m.epoch || r == nil || r.claim != p.claim {
		return nil
	}
	if p.Kind == ProbeDirect {
		if probes := m.indirect(p); len(probes) > 0 {
			r.outstanding, r.indirect = len(probes), true
			return probes
		}
	} else if r.outstanding--; r.outstanding > 0 {
		return nil
	}
	delete(m.rounds, p.Host)
	m.markMissed(now, p, r.ended())
	return nil
}

// Refused handles a direct probe whose connection was refused: the member's host is up and
// no process listens at the address. It continues like Missed, but if another daemon
// confirms the failure, the member is declared dead without time to refute, because a
// process that has ended can't refute.
func (m *Machine) Refused(now time.Time, p Probe) []Probe {
	if r := m.rounds[p.Host]; r != nil && p.Kind == ProbeDirect && p.epoch == m.epoch && r.claim == p.claim {
		r.refused = true
	}
	return m.Missed(now, p)
}

// CallFailed handles a failed call to the member at the address and returns an additional
// probe of it, at most one per tick. Calls fail as soon as a process ends, while its next
// regular probe may be several intervals away.
func (m *Machine) CallFailed(now time.Time, address string) []Probe {
	m.observe(now)
	for _, e := range m.members {
		if e.member.PeerAddress != address || e.member.State == Dead {
			continue
		}
		if e.callFailedAt == m.ticks || m.rounds[e.member.Host] != nil {
			return nil
		}
		e.callFailedAt = m.ticks
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

// markMissed makes a member suspect after its direct and indirect probes missed, or dead if
// its process has ended, unless the member's version has changed since the round began.
func (m *Machine) markMissed(now time.Time, p Probe, ended bool) {
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
	if ended && e.member.State == Suspect {
		m.setState(e, Dead, now)
	}
}

// hosts returns the sorted host names of the members for which keep returns true.
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
