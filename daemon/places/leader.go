package places

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"tarragonhollow.example/tarragonhollow/core/board"
	"tarragonhollow.example/tarragonhollow/core/election"
	"tarragonhollow.example/tarragonhollow/core/slots"
	"tarragonhollow.example/tarragonhollow/daemon/duty"
)

const (
	// zoneReportEvery is the interval at which leaders report their free slots to each
	// other: some 30 messages a round in a fleet of six zones.
	zoneReportEvery = 50 * time.Millisecond
	// smallFleetCheckEvery is the interval at which a daemon of a small fleet checks
	// whether the fleet has grown.
	smallFleetCheckEvery = 500 * time.Millisecond
	// startupElectionEvery is the election's interval while a daemon that has just
	// started knows no leader, for at most startupElectionTime: where all daemons start
	// together, requests wait for a leader.
	startupElectionEvery = 25 * time.Millisecond
	startupElectionTime  = time.Second
	// partHolderTTL is how long a daemon counts as the holder of a partition without a
	// further report. A wrong holder costs one call.
	partHolderTTL = 3 * time.Second
	// zoneReportTTL is how long a report of another zone's leader counts.
	zoneReportTTL = 1500 * time.Millisecond
	// unknownLeaderFanout is the number of daemons that get a zone report where the
	// leader of their zone is not known; they forward it.
	unknownLeaderFanout = 2
	// membersPerBriefHeartbeat is the number of a zone's daemons for each of which one
	// more heartbeat in a row is brief, so that the volume that a daemon receives hardly
	// grows with its zone.
	membersPerBriefHeartbeat = 64
	// maxHeartbeatCounts bounds the targets whose counts a heartbeat carries.
	maxHeartbeatCounts = 64
)

// Lead takes part in the election of the zone's leader, and does the leader's work while
// this daemon leads, until ctx is done.
func (p *Places) Lead(ctx context.Context, peers func() []Peer) {
	started := time.Now()
	interval := startupElectionEvery
	for duty.Pause(ctx, interval) {
		interval = election.HeartbeatInterval
		switch {
		case time.Since(started) < startupElectionTime && !p.knowsLeader():
			interval = startupElectionEvery
		case !p.needsLeaders():
			interval = smallFleetCheckEvery
		}
		if p.needsLeaders() && p.leadOnce(time.Now(), peers()) {
			interval = min(interval, zoneReportEvery)
		}
	}
}

// needsLeaders reports whether zones need leaders.
func (p *Places) needsLeaders() bool { return p.Scheduled() || p.quotasInUse() }

// knowsLeader reports whether a leader is known.
func (p *Places) knowsLeader() bool {
	_, known := p.Leader()
	return known
}

// StepDown withdraws this daemon from the election.
func (p *Places) StepDown() {
	s := p.scheduler
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopping = true
}

// leadOnce runs one round of the election and of the leader's work. It reports whether
// this daemon leads.
func (p *Places) leadOnce(now time.Time, peers []Peer) bool {
	s := p.scheduler
	s.mu.Lock()
	led := s.leads
	s.election.SetMembers(now, s.members(peers))
	s.leads = s.election.Lead(now, s.targetsKnown && !s.stopping && !s.cutOffFromLog)
	s.updateLeader(now, "election")
	leads := s.leads
	var report ZoneReport
	var heartbeat *Heartbeat
	if leads {
		s.ledger.Expire(now)
		s.logRates(now)
		s.logShareChanges(now)
		report = ZoneReport{Zone: s.zone, Leader: s.self, Free: s.ledger.FreeSlots(now), Load: s.ledger.Load(now), Held: s.heldInZone(now),
			Reserved: s.ledger.Reserves(now), Shares: s.shareReports(now)}
		if now.Sub(s.lastHeartbeat) >= election.HeartbeatInterval {
			s.lastHeartbeat = now
			heartbeat = s.newHeartbeat(now)
		}
	}
	s.publishReserves(report.Reserved)
	s.publishLengths()
	// A daemon that no longer leads still ends the waits in its queue.
	notify := s.dispatch(now)
	s.mu.Unlock()
	notify()
	switch {
	case leads:
		s.repeatPreemptions(now)
		s.sendZoneReport(now, report, peers)
		if heartbeat != nil {
			p.recordHeartbeat(now, *heartbeat)
			s.notifyZone(*heartbeat, peers)
		}
	case led:
		s.notifyZone(Heartbeat{From: s.self, Resigned: true}, peers)
	}
	return leads
}

// members lists the daemons of the local zone, this one included.
func (s *scheduler) members(peers []Peer) []election.Member {
	list := []election.Member{{Address: s.self, Capacity: s.cores}}
	for _, other := range peers {
		if other.Zone == s.zone {
			list = append(list, election.Member{Address: other.Address, Capacity: other.Cores})
		}
	}
	return list
}

// newHeartbeat returns the next heartbeat for the zone's daemons. s.mu is held.
func (s *scheduler) newHeartbeat(now time.Time) *Heartbeat {
	h := &Heartbeat{From: s.self, Leaders: s.otherLeaders(now), Roles: s.roles}
	s.heartbeats++
	if h.Brief = s.heartbeats%(1+len(s.election.Ordered())/membersPerBriefHeartbeat) != 0; h.Brief {
		return h
	}
	h.Counts, h.Doubts, h.Held = s.ledger.Fullest(maxHeartbeatCounts), s.ledger.DegradedTargets(now), s.heldInZone(now)
	for _, z := range s.zoneStates {
		if now.Sub(z.at) > zoneReportTTL {
			continue
		}
		for holder, work := range z.held {
			h.Held[holder] = work
		}
	}
	return h
}

// otherLeaders lists the leaders of the other zones whose reports this daemon, a leader,
// receives. s.mu is held.
func (s *scheduler) otherLeaders(now time.Time) []string {
	var list []string
	for _, z := range s.zoneStates {
		if now.Sub(z.at) <= election.LeaderTimeout {
			list = append(list, z.leader)
		}
	}
	return list
}

// Leader returns the peer address of the local zone's leader, which may be this daemon.
func (p *Places) Leader() (address string, found bool) {
	return p.scheduler.currentLeader(time.Now())
}

// OtherLeaders returns the leaders of the other zones: on a leader those that report to
// it, on another daemon those that its leader named within zoneReportTTL.
func (p *Places) OtherLeaders() []string {
	s := p.scheduler
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leads {
		return s.otherLeaders(now)
	}
	if now.Sub(s.rolesAt) > zoneReportTTL {
		return nil
	}
	return slices.Clone(s.remoteLeaders)
}

// RecordCall records how a call to the local zone's leader ended, whatever its purpose;
// late reports that it ran out of time.
func (p *Places) RecordCall(leader string, err error, late bool) {
	p.scheduler.recordCall(leader, err, late)
}

// heldInZone returns the held work of the zone's daemons by holder. s.mu is held.
func (s *scheduler) heldInZone(now time.Time) map[string]HeldWork {
	held := map[string]HeldWork{}
	for holder, last := range s.holderStates {
		switch {
		case now.Sub(last.at) > slots.LeaseTTL:
			delete(s.holderStates, holder)
		case !last.held.empty():
			held[holder] = last.held
		}
	}
	return held
}

func (s *scheduler) notifyZone(heartbeat Heartbeat, peers []Peer) {
	for _, other := range peers {
		if other.Zone == s.zone {
			s.caller.Notify(other.Address, heartbeatMethod, heartbeat)
		}
	}
}

// sendZoneReport sends the free slots to the leaders of the other zones, or to some
// daemons of a zone whose leader is not known.
func (s *scheduler) sendZoneReport(now time.Time, r ZoneReport, peers []Peer) {
	zones := map[string][]string{}
	for _, other := range peers {
		if other.Zone != s.zone {
			zones[other.Zone] = append(zones[other.Zone], other.Address)
		}
	}
	for zone, members := range zones {
		if leader, known := s.leaderOf(now, zone); known {
			s.caller.Notify(leader, zoneReportMethod, r)
			continue
		}
		for range unknownLeaderFanout {
			s.caller.Notify(members[rand.IntN(len(members))], zoneReportMethod, r)
		}
	}
}

// leaderOf returns the leader of another zone.
func (s *scheduler) leaderOf(now time.Time, zone string) (string, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	z := s.zoneStates[zone]
	if z == nil || now.Sub(z.at) > election.LeaderTimeout {
		return "", false
	}
	return z.leader, true
}

// applyZoneReport records another zone's report, or forwards it to the leader.
func (s *scheduler) applyZoneReport(now time.Time, r ZoneReport) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.Zone == s.zone {
		return
	}
	if s.leads {
		s.zoneStates[r.Zone] = &zoneState{leader: r.Leader, held: r.Held, at: now}
		s.ledger.ApplyRemoteLoad(now, r.Zone, r.Leader, r.Free, r.Load)
		s.ledger.ApplyShareReports(now, r.Leader, r.Shares)
		s.ledger.ApplyRemoteReserves(r.Zone, r.Reserved)
		return
	}
	if leader, found := s.election.Leader(now); found && !r.Forwarded {
		r.Forwarded = true
		s.caller.Notify(leader, zoneReportMethod, r)
	}
}

// applyHeartbeat applies a leader's heartbeat.
func (p *Places) applyHeartbeat(now time.Time, heartbeat Heartbeat) {
	s := p.scheduler
	s.mu.Lock()
	if heartbeat.Resigned {
		s.election.Resigned(now, heartbeat.From)
		s.updateLeader(now, "resigned")
		s.mu.Unlock()
		return
	}
	s.election.ReceiveHeartbeat(now, heartbeat.From)
	s.updateLeader(now, "heartbeat")
	follows := s.leader == heartbeat.From
	if follows {
		s.remoteLeaders, s.roles, s.rolesAt = heartbeat.Leaders, heartbeat.Roles, now
		s.recordFleetSize(heartbeat.Daemons)
	}
	s.mu.Unlock()
	if follows {
		p.recordHeartbeat(now, heartbeat)
	}
}

// Zone is what a daemon knows of the daemons of its zone.
type Zone struct {
	// Leads reports that this daemon leads the zone; Leader is the leader's peer address,
	// "" for none.
	Leads  bool
	Leader string
	// Roles are those that the leader assigned, as received at ReceivedAt.
	Roles
	ReceivedAt time.Time
	// Members are the zone's daemons, in the order in which they would lead.
	Members []string
}

// LocalZone returns what is known of the local zone.
func (p *Places) LocalZone() Zone {
	s := p.scheduler
	s.mu.Lock()
	defer s.mu.Unlock()
	leader, _ := s.election.Leader(time.Now())
	return Zone{Leads: s.leads, Leader: leader, Roles: s.roles, ReceivedAt: s.rolesAt, Members: s.election.Ordered()}
}

// SetRoles sets the roles that this daemon assigns; it does nothing unless this daemon
// leads.
func (p *Places) SetRoles(r Roles) {
	s := p.scheduler
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leads {
		s.roles, s.rolesAt = r, time.Now()
		s.recordFleetSize(r.Daemons)
	}
}

// recordFleetSize records the size of the fleet. A new leader does not know it yet.
func (s *scheduler) recordFleetSize(n int) {
	if n > 0 {
		s.leaderFleetSize.Store(int64(n))
	}
}

// LeaderFleetSize returns the size of the fleet as reported by a leader of the zone, 0
// for unknown.
func (p *Places) LeaderFleetSize() int { return int(p.scheduler.leaderFleetSize.Load()) }

// SetCutOffFromLog sets whether this daemon does not reach the log while another daemon
// of its zone does. This daemon then leaves the leadership to that one.
//
// Failure guarded against: the leader goes on granting slots at targets that have been
// removed, since their entries no longer reach it.
func (p *Places) SetCutOffFromLog(cutOff bool) {
	s := p.scheduler
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cutOffFromLog = cutOff
}

// PartHolder returns the peer address of the daemon, possibly this one, that certainly
// held a partition of batch work within the last partHolderTTL.
func (p *Places) PartHolder(part int) (string, bool) {
	s := p.scheduler
	s.mu.Lock()
	defer s.mu.Unlock()
	h, known := s.partHolders[part]
	return h.address, known && time.Since(h.at) < partHolderTTL
}

// PartHolders lists the daemons that held any partition within the last partHolderTTL.
func (p *Places) PartHolders() []string {
	s := p.scheduler
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []string
	for _, h := range s.partHolders {
		if time.Since(h.at) < partHolderTTL && !slices.Contains(list, h.address) {
			list = append(list, h.address)
		}
	}
	return list
}

// recordPartHolders records the holders of partitions. s.mu is held.
func (s *scheduler) recordPartHolders(now time.Time, held map[string]HeldWork) {
	for holder, work := range held {
		for _, part := range work.Parts {
			s.partHolders[part] = partHolder{holder, now}
		}
	}
}

// recordHeartbeat keeps the state of work that the leader reports, for the time when the
// leader can't be reached. In a small fleet the daemons report that to each other.
func (p *Places) recordHeartbeat(now time.Time, heartbeat Heartbeat) {
	if !p.Scheduled() || heartbeat.Brief {
		return
	}
	p.scheduler.mu.Lock()
	p.scheduler.recordPartHolders(now, heartbeat.Held)
	p.scheduler.mu.Unlock()
	report := board.LoadReport{From: "zone " + p.zone, Zone: p.zone, Doubts: heartbeat.Doubts}
	for holder, work := range heartbeat.Held {
		if holder != p.self {
			report.Held = append(report.Held, work.Items...)
			report.Parts = append(report.Parts, work.Parts...)
		}
	}
	p.mu.Lock()
	p.heartbeats++
	report.Number = p.heartbeats
	report.Counts = p.board.WithoutLocal(heartbeat.Counts)
	p.board.ApplyReport(now, report)
	p.mu.Unlock()
	duty.Wake(p.changed)
}
