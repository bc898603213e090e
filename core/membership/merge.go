package membership

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// AnswerProbe handles a probe request and returns the reply.
func (m *Machine) AnswerProbe(now time.Time, req ProbeRequest) ProbeReply {
	m.observe(now)
	m.mergeSender(now, req.From, req.About)
	m.mergeGossip(now, req.Gossip)
	return ProbeReply{From: m.self, About: m.claimAbout(req.From.Host), Gossip: m.gossip()}
}

// AnswerSync handles the request of a joining daemon and returns all members that are not
// dead and all leaving targets.
func (m *Machine) AnswerSync(now time.Time, req ProbeRequest) SyncReply {
	m.observe(now)
	m.mergeSender(now, req.From, req.About)
	m.mergeGossip(now, req.Gossip)
	reply := SyncReply{From: m.self, About: m.claimAbout(req.From.Host)}
	for _, host := range m.hosts(func(e *entry) bool { return e.member.State != Dead }) {
		reply.Members = append(reply.Members, m.members[host].member)
	}
	reply.Targets = m.leavingNotices()
	return reply
}

// StartVia handles a request to probe another daemon on behalf of the sender and returns
// the request to send to that daemon.
func (m *Machine) StartVia(now time.Time, req ViaRequest) ProbeRequest {
	m.observe(now)
	m.mergeSender(now, req.Probe.From, req.Probe.About)
	m.mergeGossip(now, req.Probe.Gossip)
	return m.RequestTo(req.Host)
}

// FinishVia handles the reply of the probed daemon, nil if there was none, and returns the
// reply to the daemon that requested the indirect probe.
func (m *Machine) FinishVia(now time.Time, reply *ProbeReply) ViaReply {
	m.observe(now)
	if reply == nil {
		return ViaReply{Gossip: m.gossip()}
	}
	m.mergeResponder(now, reply.From, reply.About)
	m.mergeGossip(now, reply.Gossip)
	return ViaReply{Acked: true, Target: reply.From, Gossip: m.gossip()}
}

// claimAbout returns the local claim about a host; zero if the host isn't known.
func (m *Machine) claimAbout(host string) Claim {
	if e := m.members[host]; e != nil {
		return e.claim()
	}
	return Claim{}
}

func (m *Machine) claimAboutAddress(address string) Claim {
	for _, e := range m.members {
		if e.member.PeerAddress == address {
			return e.claim()
		}
	}
	return Claim{}
}

// mergeSender merges the sender's own entry and refutes the sender's claim about this daemon
// if necessary. Receiving a request does not prove that the sender can be reached: a daemon
// that sends but can't be reached must not stay a member because of its own requests.
func (m *Machine) mergeSender(now time.Time, from Member, about Claim) {
	m.refute(about)
	if from.Host == m.self.Host {
		m.mergeSelf(from)
		return
	}
	m.merge(now, from)
}

// mergeResponder is mergeSender for the reply to a probe, which proves that the member can
// be reached.
func (m *Machine) mergeResponder(now time.Time, from Member, about Claim) {
	m.mergeSender(now, from, about)
	e := m.members[from.Host]
	if e == nil || e.member.Incarnation != from.Incarnation {
		return
	}
	delete(m.rounds, from.Host)
	if e.member.State == Suspect {
		// The member is alive, but peers accept that only from its own entry with a
		// higher version, so its time to refute restarts.
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
//     them: its latest entry is authoritative and was sent while it was alive;
//   - at equal versions a suspicion wins, so that a delayed copy of the earlier
//     entry can't undo it and the owner must refute it with a higher version;
//   - Dead received from peers counts only as a suspicion until this daemon's own
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
	case severity(u.State) > severity(e.member.State):
		m.escalate(now, e, u.State)
	}
}

// add adds an unknown member. Dead members are not added, so that a removed member isn't
// restored by peers that have not removed it yet.
func (m *Machine) add(now time.Time, u Member) {
	if u.State == Dead || u.Host == "" {
		return
	}
	m.members[u.Host] = &entry{member: u, hash: xxhash.Sum64String(u.Host), since: now}
	m.version++
	m.queue.addMember(u.Host)
	// A random position in the probe order: a joining member waits half a round on
	// average for its first probe instead of a whole one.
	m.probeOrder = slices.Insert(m.probeOrder, m.random.Below(len(m.probeOrder)+1), u.Host)
}

// replace applies a newer entry of a known member. The entry proves that the member was
// alive after any earlier missed probe, so the results of earlier probes are discarded.
func (m *Machine) replace(now time.Time, e *entry, u Member) {
	if u.State == Dead {
		u.State = Suspect
	}
	e.member = u
	e.since, e.missed, e.probedAt = now, false, 0
	m.version++
	m.queue.addMember(u.Host)
}

// escalate applies a more severe state that peers report at the same version.
func (m *Machine) escalate(now time.Time, e *entry, s State) {
	switch {
	case e.member.State != Suspect:
		e.missed, e.probedAt = false, 0
		m.setState(e, Suspect, now)
	case s == Dead && e.missed:
		m.setState(e, Dead, now)
	}
}

// refute answers a claim that this incarnation is suspect or dead by raising this daemon's
// facts version above the claim's. Only the owner can raise it, so all peers accept it.
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
	m.bumpVersion()
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

// severity orders the states at one version. Live and Leaving are set by the owner, which
// changes them only with a new version, so they are equal.
func severity(s State) int {
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
