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
	// roomEvery is the pace at which leaders tell each other of their free slots: some
	// 30 messages a round in a fleet of six zones.
	roomEvery = 50 * time.Millisecond
	// smallFleetPace is the pace at which a daemon of a small fleet looks whether it has
	// grown.
	smallFleetPace = 500 * time.Millisecond
	// startPace is the pace of the election while a daemon that has just started, for at
	// most startFor, knows no leader: where all start together, requests wait for one.
	startPace = 25 * time.Millisecond
	startFor  = time.Second
	// partHolderLife is how long a daemon counts as the holder of a partition without being
	// told again. A wrong one costs a call.
	partHolderLife = 3 * time.Second
	// zoneLife is how long what another zone's leader told counts.
	zoneLife = 1500 * time.Millisecond
	// strangers is how many daemons of a zone are told where its leader is not known;
	// they pass it on.
	strangers = 2
	// wholeFor is the number of a zone's daemons for which each further heartbeat tells
	// nothing of work: what a daemon receives then hardly grows with its zone.
	wholeFor = 64
	// mostCounts bounds the targets whose counts a heartbeat tells.
	mostCounts = 64
)

// Lead takes part in the election of the zone's leader, and does a leader's work while
// this daemon leads, until ctx is done.
func (p *Places) Lead(ctx context.Context, peers func() []Peer) {
	started := time.Now()
	pace := startPace
	for duty.Pause(ctx, pace) {
		pace = election.HeartbeatEvery
		switch {
		case time.Since(started) < startFor && !p.follows():
			pace = startPace
		case !p.led():
			pace = smallFleetPace
		}
		if p.led() && p.leadOnce(time.Now(), peers()) {
			pace = min(pace, roomEvery)
		}
	}
}

// led tells whether zones need leaders.
func (p *Places) led() bool { return p.Scheduled() || p.counted() }

// follows tells whether a leader is known.
func (p *Places) follows() bool {
	_, known := p.Leader()
	return known
}

// StepDown ends this daemon's part in the election.
func (p *Places) StepDown() {
	s := p.scheduler
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopping = true
}

// leadOnce tells whether this daemon leads.
func (p *Places) leadOnce(now time.Time, peers []Peer) bool {
	s := p.scheduler
	s.mu.Lock()
	led := s.leads
	s.election.SetMembers(now, s.members(peers))
	s.leads = s.election.Lead(now, s.able && !s.stopping && !s.cutOff)
	s.noteLeader(now, "the election")
	leads := s.leads
	var room Room
	var beat *Beat
	if leads {
		s.ledger.Expire(now)
		room = Room{Zone: s.zone, Leader: s.self, Free: s.ledger.Free(now), Held: s.heldInZone(now)}
		if now.Sub(s.beaten) >= election.HeartbeatEvery {
			s.beaten = now
			beat = s.beat(now)
		}
	}
	s.mu.Unlock()
	switch {
	case leads:
		s.tellRoom(now, room, peers)
		if beat != nil {
			p.takeBeat(now, *beat)
			s.tellZone(*beat, peers)
		}
	case led:
		s.tellZone(Beat{From: s.self, Resigned: true}, peers)
	}
	return leads
}

// members lists the daemons of the own zone, this one too.
func (s *scheduler) members(peers []Peer) []election.Member {
	list := []election.Member{{Address: s.self, Room: s.cores}}
	for _, other := range peers {
		if other.Zone == s.zone {
			list = append(list, election.Member{Address: other.Address, Room: other.Cores})
		}
	}
	return list
}

// beat gathers what the zone's daemons are told. s.mu is held.
func (s *scheduler) beat(now time.Time) *Beat {
	b := &Beat{From: s.self, Leaders: s.otherLeaders(now), Roles: s.roles}
	s.beats++
	if b.Brief = s.beats%(1+len(s.election.Ordered())/wholeFor) != 0; b.Brief {
		return b
	}
	b.Counts, b.Doubts, b.Held = s.ledger.Fullest(mostCounts), s.ledger.Doubts(now), s.heldInZone(now)
	for _, z := range s.zones {
		if now.Sub(z.at) > zoneLife {
			continue
		}
		for holder, work := range z.held {
			b.Held[holder] = work
		}
	}
	return b
}

// otherLeaders lists the leaders of the other zones that this one, a leader, hears.
// s.mu is held.
func (s *scheduler) otherLeaders(now time.Time) []string {
	var list []string
	for _, z := range s.zones {
		if now.Sub(z.at) <= election.Silence {
			list = append(list, z.leader)
		}
	}
	return list
}

// Leader returns the peer address of the own zone's leader, perhaps this daemon's.
func (p *Places) Leader() (address string, found bool) {
	return p.scheduler.currentLeader(time.Now())
}

// OtherLeaders returns the leaders of the other zones: those that this daemon hears as a
// leader, or those that its leader told of lately.
func (p *Places) OtherLeaders() []string {
	s := p.scheduler
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leads {
		return s.otherLeaders(now)
	}
	if now.Sub(s.rolesAt) > zoneLife {
		return nil
	}
	return slices.Clone(s.others)
}

// NoteCall tells how a call to the own zone's leader ended, about whatever it was; late:
// it ran out of time.
func (p *Places) NoteCall(leader string, err error, late bool) {
	p.scheduler.noteCall(leader, err, late)
}

// heldInZone gathers the held work of the zone's daemons. s.mu is held.
func (s *scheduler) heldInZone(now time.Time) map[string]HeldWork {
	held := map[string]HeldWork{}
	for holder, w := range s.holders {
		switch {
		case now.Sub(w.at) > slots.LeaseLife:
			delete(s.holders, holder)
		case !w.held.empty():
			held[holder] = w.held
		}
	}
	return held
}

func (s *scheduler) tellZone(b Beat, peers []Peer) {
	for _, other := range peers {
		if other.Zone == s.zone {
			s.caller.Notify(other.Address, beatMethod, b)
		}
	}
}

// tellRoom tells the leaders of the other zones of the free slots, or some daemons of
// a zone whose leader is not known.
func (s *scheduler) tellRoom(now time.Time, r Room, peers []Peer) {
	zones := map[string][]string{}
	for _, other := range peers {
		if other.Zone != s.zone {
			zones[other.Zone] = append(zones[other.Zone], other.Address)
		}
	}
	for zone, members := range zones {
		if leader, known := s.leaderOf(now, zone); known {
			s.caller.Notify(leader, roomMethod, r)
			continue
		}
		for range strangers {
			s.caller.Notify(members[rand.IntN(len(members))], roomMethod, r)
		}
	}
}

// leaderOf returns the leader of another zone.
func (s *scheduler) leaderOf(now time.Time, zone string) (string, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	z := s.zones[zone]
	if z == nil || now.Sub(z.at) > election.Silence {
		return "", false
	}
	return z.leader, true
}

// hearRoom takes another zone's word, or passes it on to the leader.
func (s *scheduler) hearRoom(now time.Time, r Room) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.Zone == s.zone {
		return
	}
	if s.leads {
		s.zones[r.Zone] = &zoneWord{leader: r.Leader, held: r.Held, at: now}
		s.ledger.HearRoom(now, r.Zone, r.Leader, r.Free)
		return
	}
	if leader, found := s.election.Leader(now); found && !r.Forwarded {
		r.Forwarded = true
		s.caller.Notify(leader, roomMethod, r)
	}
}

// hearReport takes a daemon's leases.
func (s *scheduler) hearReport(now time.Time, r Report) {
	s.mu.Lock()
	defer s.mu.Unlock()
	w := s.holders[r.Holder]
	if w == nil || w.incarnation != r.Incarnation {
		w = &holderWord{incarnation: r.Incarnation}
		s.holders[r.Holder] = w
	}
	if r.Number < w.number {
		// A later report was taken before: only the ends are news.
		s.ledger.End(now, r.Holder, r.Ended)
		return
	}
	w.number, w.held, w.at = r.Number, r.Held, now
	s.ledger.Report(now, r.Holder, r.Running, r.Ended)
}

// hearBeat takes a leader's heartbeat.
func (p *Places) hearBeat(now time.Time, b Beat) {
	s := p.scheduler
	s.mu.Lock()
	if b.Resigned {
		s.election.Resigned(now, b.From)
		s.noteLeader(now, "it resigned")
		s.mu.Unlock()
		return
	}
	s.election.Heard(now, b.From)
	s.noteLeader(now, "its heartbeat")
	follows := s.leader == b.From
	if follows {
		s.others, s.roles, s.rolesAt = b.Leaders, b.Roles, now
		s.noteDaemons(b.Daemons)
	}
	s.mu.Unlock()
	if follows {
		p.takeBeat(now, b)
	}
}

// Zone is what a daemon knows of the daemons of its zone.
type Zone struct {
	// Leads tells that this daemon leads it; Leader is who does, "" for nobody.
	Leads  bool
	Leader string
	// Roles are as the leader gave them at ReceivedAt.
	Roles
	ReceivedAt time.Time
	// Members are the zone's daemons, those that lead before others first.
	Members []string
}

// OwnZone returns what is known of the own zone.
func (p *Places) OwnZone() Zone {
	s := p.scheduler
	s.mu.Lock()
	defer s.mu.Unlock()
	leader, _ := s.election.Leader(time.Now())
	return Zone{Leads: s.leads, Leader: leader, Roles: s.roles, ReceivedAt: s.rolesAt, Members: s.election.Ordered()}
}

// SetRoles takes the roles that this daemon, as the leader, gives.
func (p *Places) SetRoles(r Roles) {
	s := p.scheduler
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leads {
		s.roles, s.rolesAt = r, time.Now()
		s.noteDaemons(r.Daemons)
	}
}

// noteDaemons takes the size of the fleet. A leader that has just come forward does not
// know it yet.
func (s *scheduler) noteDaemons(n int) {
	if n > 0 {
		s.daemons.Store(int64(n))
	}
}

// Daemons returns the size of the fleet as a leader of the zone told it, 0 for unknown.
func (p *Places) Daemons() int { return int(p.scheduler.daemons.Load()) }

// SetCutOff tells whether this daemon does not reach the log while another daemon of its
// zone does. It leaves the lead to that one.
//
// Failure guarded against: the leader goes on to give out targets that have left, since
// their entries no longer reach it.
func (p *Places) SetCutOff(cutOff bool) {
	s := p.scheduler
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cutOff = cutOff
}

// PartHolder returns the peer address of the daemon that held a partition of batch work
// for certain a moment ago, this one perhaps.
func (p *Places) PartHolder(part int) (string, bool) {
	s := p.scheduler
	s.mu.Lock()
	defer s.mu.Unlock()
	h, known := s.partHolders[part]
	return h.address, known && time.Since(h.at) < partHolderLife
}

// PartHolders lists the daemons that held any partition a moment ago.
func (p *Places) PartHolders() []string {
	s := p.scheduler
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []string
	for _, h := range s.partHolders {
		if time.Since(h.at) < partHolderLife && !slices.Contains(list, h.address) {
			list = append(list, h.address)
		}
	}
	return list
}

// noteHolders takes who holds which partitions. s.mu is held.
func (s *scheduler) noteHolders(now time.Time, held map[string]HeldWork) {
	for holder, work := range held {
		for _, part := range work.Parts {
			s.partHolders[part] = partHolder{holder, now}
		}
	}
}

// takeBeat keeps what the leader tells of work, for when it can't be asked. In a small
// fleet the daemons tell each other of that.
func (p *Places) takeBeat(now time.Time, b Beat) {
	if !p.Scheduled() || b.Brief {
		return
	}
	p.scheduler.mu.Lock()
	p.scheduler.noteHolders(now, b.Held)
	p.scheduler.mu.Unlock()
	word := board.Word{From: "zone " + p.zone, Zone: p.zone, Doubts: b.Doubts}
	for holder, work := range b.Held {
		if holder != p.self {
			word.Held = append(word.Held, work.Items...)
			word.Parts = append(word.Parts, work.Parts...)
		}
	}
	p.mu.Lock()
	p.beats++
	word.Number = p.beats
	word.Counts = p.board.Less(b.Counts)
	p.board.Hear(now, word)
	p.mu.Unlock()
	duty.Wake(p.changed)
}
