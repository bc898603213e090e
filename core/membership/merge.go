package membership

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// AnswerProbe steps in a probe request and returns the reply.
func (m *Machine) AnswerProbe(now time.Time, req ProbeRequest) ProbeReply {
	m.observe(now)
	m.heardFrom(now, req.From, req.About)
	m.mergeGossip(now, req.Gossip)
	return ProbeReply{From: m.self, About: m.about(req.From.Host), Gossip: m.gossip()}
}

// AnswerSync steps in a joining request and returns all that is known.
func (m *Machine) AnswerSync(now time.Time, req ProbeRequest) SyncReply {
	m.observe(now)
	m.heardFrom(now, req.From, req.About)
	m.mergeGossip(now, req.Gossip)
	reply := SyncReply{From: m.self, About: m.about(req.From.Host)}
	for _, host := range m.hosts(func(e *entry) bool { return e.member.State != Dead }) {
		reply.Members = append(reply.Members, m.members[host].member)
	}
	reply.Targets = m.leavingNotices()
	return reply
}

// StartVia steps in a request to probe another daemon for the sender and returns
// the request to send there.
func (m *Machine) StartVia(now time.Time, req ViaRequest) ProbeRequest {
	m.observe(now)
	m.heardFrom(now, req.Probe.From, req.Probe.About)
	m.mergeGossip(now, req.Probe.Gossip)
	return m.RequestTo(req.Host)
}

// FinishVia steps in the probed daemon's reply, nil if it gave none, and returns
// the answer for the one who asked.
func (m *Machine) FinishVia(now time.Time, reply *ProbeReply) ViaReply {
	m.observe(now)
	if reply == nil {
		return ViaReply{Gossip: m.gossip()}
	}
	m.answeredBy(now, reply.From, reply.About)
	m.mergeGossip(now, reply.Gossip)
	return ViaReply{Acked: true, Target: reply.From, Gossip: m.gossip()}
}

// about returns the claim held about a host; zero if it isn't known.
func (m *Machine) about(host string) Claim {
	if e := m.members[host]; e != nil {
		return e.claim()
	}
	return Claim{}
}

func (m *Machine) aboutAddress(address string) Claim {
	for _, e := range m.members {
		if e.member.PeerAddress == address {
			return e.claim()
		}
	}
	return Claim{}
}

// heardFrom merges the entry of a daemon that spoke itself, and looks whether
// that daemon's claim about this one must be refuted. A request is no answer to
// a probe: a daemon that sends but can't be reached must not stay a member on
// the strength of its own requests.
func (m *Machine) heardFrom(now time.Time, from Member, about Claim) {
	m.refute(about)
	if from.Host == m.self.Host {
		m.mergeSelf(from)
		return
	}
	m.merge(now, from)
}

// answeredBy is heardFrom for an answer to a probe, which proves that the member
// can be reached.
func (m *Machine) answeredBy(now time.Time, from Member, about Claim) {
	m.heardFrom(now, from, about)
	e := m.members[from.Host]
	if e == nil || e.member.Incarnation != from.Incarnation {
		return
	}
	delete(m.rounds, from.Host)
	if e.member.State == Suspect {
		// The member lives, but only its own higher version may say so to all; it
		// gets its time to refute anew.
		e.since, e.missed = now, false
	}
}

func (m *Machine) mergeGossip(now time.Time, g Gossip) {
	for _, u := range g.Members {
		if u.Host == m.self.Host {
			m.mergeSelf(u)
			continue
		}
		m.merge(now, u)
	}
	m.mergeTargets(now, g.Targets)
}

// merge applies one entry about another host. The rules:
//   - the higher (Incarnation, FactsVersion) wins, because only the owner raises
//     them: what it said last is true about it, and it said it while alive;
//   - at equal versions a suspicion wins, so that it isn't undone by an echo of
//     the older word and the owner must refute it by a higher version;
//   - Dead heard from others counts only as a suspicion until this daemon's own
//     probes have missed too.
func (m *Machine) merge(now time.Time, u Member) {
	e := m.members[u.Host]
	if e == nil {
		m.add(now, u)
		return
	}
	switch order := compareVersions(u, e.member); {
	case order < 0:
		return
	case order > 0:
		m.replace(now, e, u)
	case gravity(u.State) > gravity(e.member.State):
		m.worsen(now, e, u.State)
	}
}

// add takes in a member not known yet. A dead one is not worth knowing, and so
// a forgotten one isn't brought back by those who still remember.
func (m *Machine) add(now time.Time, u Member) {
	if u.State == Dead || u.Host == "" {
		return
	}
	m.members[u.Host] = &entry{member: u, hash: xxhash.Sum64String(u.Host), since: now}
	m.version++
	m.spread.addMember(u.Host)
	// A random place in the running order: a joiner waits half a round on average
	// for its first probe instead of a whole one.
	m.order = slices.Insert(m.order, m.random.Below(len(m.order)+1), u.Host)
}

// replace takes newer word about a known member. It is a sign of life later than
// any probe that missed before, so the evidence gathered so far is void.
func (m *Machine) replace(now time.Time, e *entry, u Member) {
	if u.State == Dead {
		u.State = Suspect
	}
	e.member = u
	e.since, e.missed, e.probedAt = now, false, 0
	m.version++
	m.spread.addMember(u.Host)
}

// worsen takes a graver state heard from others at the same version.
func (m *Machine) worsen(now time.Time, e *entry, s State) {
	switch {
	case e.member.State != Suspect:
		e.missed, e.probedAt = false, 0
		m.setState(e, Suspect, now)
	case s == Dead && e.missed:
		m.setState(e, Dead, now)
	}
}

// refute answers a claim that this incarnation is suspect or dead by raising the
// own version above the claim's: nobody else can, so it ends the matter.
func (m *Machine) refute(c Claim) {
	if c.Host != m.self.Host {
		return
	}
	if c.Incarnation != m.self.Incarnation {
		m.superseded = m.superseded || c.Incarnation > m.self.Incarnation
		return
	}
	accused := c.State == Suspect || c.State == Dead
	if c.FactsVersion < m.self.FactsVersion || (!accused && c.FactsVersion == m.self.FactsVersion) {
		return
	}
	if c.State == Dead {
		m.declaredDead++
	}
	m.self.FactsVersion = c.FactsVersion
	m.raise()
}

func (m *Machine) mergeSelf(u Member) {
	m.refute(Claim{Host: u.Host, Incarnation: u.Incarnation, FactsVersion: u.FactsVersion, State: u.State})
}

func compareVersions(a, b Member) int {
	switch {
	case a.Incarnation != b.Incarnation:
		return sign(a.Incarnation > b.Incarnation)
	case a.FactsVersion != b.FactsVersion:
		return sign(a.FactsVersion > b.FactsVersion)
	default:
		return 0
	}
}

func sign(above bool) int {
	if above {
		return 1
	}
	return -1
}

// gravity orders the states at one version. Live and leaving are the owner's own
// word, which changes only with the version, so they weigh the same.
func gravity(s State) int {
	switch s {
	case Suspect:
		return 1
	case Dead:
		return 2
	default:
		return 0
	}
}

func sameFacts(a, b Member) bool {
	shards := slices.Equal(a.Shards, b.Shards)
	a.Shards, b.Shards = nil, nil
	return shards && a.Zone == b.Zone && a.PeerAddress == b.PeerAddress && a.HTTPAddress == b.HTTPAddress &&
		a.ConfigVersion == b.ConfigVersion && a.LogOK == b.LogOK && a.Ready == b.Ready
}
