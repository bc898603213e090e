package places

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/joomcode/errorx"
	"go.uber.org/zap"

	"tarragonhollow.example/tarragonhollow/core/election"
	"tarragonhollow.example/tarragonhollow/core/slots"
	"tarragonhollow.example/tarragonhollow/peer"
)

// defaultAskTime bounds the asking for one slot: a request waits no longer than that for
// a leader that is frozen or cut off, a small part of its objective.
const defaultAskTime = 40 * time.Millisecond

var (
	errorNamespace = errorx.NewNamespace("places")
	// errNotReady is a leader's answer that knows no targets, or stops.
	errNotReady = errorNamespace.NewType("not_ready")
)

// scheduler gets the slots for this daemon's work from the leader of its zone, and is
// the leader where this daemon is.
//
// Failure guarded against: the leader is dead, frozen, cut off one way or slow. A
// request then waits askTime at most and goes on by what this daemon knows itself. The
// leader is passed over soon, and another one comes forward; see election.
type scheduler struct {
	self, zone string
	cores      float64
	caller     peer.Caller
	askTime    time.Duration
	logger     *zap.Logger
	set        *metrics.Set
	// incarnation names this run of the process.
	incarnation uint64

	mu       sync.Mutex
	election *election.Election
	ledger   *slots.Ledger
	// leads tells whether this daemon leads its zone, leader which one does as last
	// told; "" is none.
	leads  bool
	leader string
	// able tells whether the zone's targets are known; stopping that this daemon leaves;
	// cutOff that it does not reach the log while another daemon of the zone does.
	able, stopping, cutOff bool
	// beaten is when the last heartbeat was sent, beats counts them.
	beaten time.Time
	beats  int
	// holders is what the zone's daemons told, zones what the leaders of others did.
	holders map[string]*holderWord
	zones   map[string]*zoneWord
	// others are the leaders of the other zones, and roles the part that daemons of the
	// zone have, as the own zone's leader told at rolesAt.
	others  []string
	roles   Roles
	rolesAt time.Time
	// daemons is the size of the fleet as a leader told it, 0 for unknown.
	daemons atomic.Int64
	// partHolders are the daemons that hold the partitions of batch work.
	partHolders map[int]partHolder

	own *ownLeases
}

// holderWord is what a daemon of the zone told last.
type holderWord struct {
	incarnation, number uint64
	held                HeldWork
	at                  time.Time
}

// partHolder is a daemon that held a partition for certain at the moment at.
type partHolder struct {
	address string
	at      time.Time
}

// zoneWord is what another zone's leader told last.
type zoneWord struct {
	leader string
	held   map[string]HeldWork
	at     time.Time
}

// newScheduler returns the part of a daemon; scheduled tells whether leaders give slots
// out, yielding gets a token when own batch work has to give way.
func newScheduler(o Options, scheduled func() bool, yielding chan<- struct{}) *scheduler {
	return &scheduler{
		self: o.PeerAddress, zone: o.Zone, cores: o.Cores, caller: o.Peers, askTime: o.AskTime, logger: o.Logger, set: o.Metrics,
		incarnation: rand.Uint64(), election: election.New(o.Zone, o.PeerAddress, time.Now()), ledger: slots.NewLedger(),
		holders: map[string]*holderWord{}, zones: map[string]*zoneWord{}, partHolders: map[int]partHolder{}, own: newOwnLeases(scheduled, yielding),
	}
}

// count counts how askings for a slot end.
func (s *scheduler) count(outcome string) {
	s.set.GetOrCreateCounter(`tarragonhollow_slots_asked_total{outcome="` + outcome + `"}`).Inc()
}

// setTargets takes the zone's targets by group. able tells whether any target is known:
// the leader of a zone that has none still knows which zone has room.
func (s *scheduler) setTargets(targets map[string][]slots.Target, able bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.able = able
	s.ledger.SetTargets(targets)
}

// grantHere gives a slot out of this daemon's own ledger.
func (s *scheduler) grantHere(now time.Time, a slots.Ask) (slots.Grant, error) {
	s.mu.Lock()
	if !s.able || s.stopping || s.cutOff {
		s.mu.Unlock()
		return slots.Grant{}, errNotReady.New("%s gives out no slots", s.self)
	}
	if !s.leads {
		s.ledger.Expire(now) // asked in error: a leader does so at each heartbeat
	}
	grant := s.ledger.Grant(now, a, rand.Uint64())
	s.mu.Unlock()
	s.tellYields(grant.Yield)
	return grant, nil
}

// tellYields tells the holders of batch leases that these must give way.
func (s *scheduler) tellYields(leases []slots.ID) {
	byHolder := map[string][]uint64{}
	for _, id := range leases {
		byHolder[id.Holder] = append(byHolder[id.Holder], id.Number)
	}
	for holder, numbers := range byHolder {
		if holder == s.self {
			s.own.yield(numbers)
			continue
		}
		s.caller.Notify(holder, yieldMethod, Yield{numbers})
	}
}

// slot asks for a slot: the own zone's leader, another zone's if that one says so, and
// the own zone's again if there is nothing either. by is the leader that answered;
// false tells that none did.
func (s *scheduler) slot(ctx context.Context, a slots.Ask) (grant slots.Grant, by string, answered bool) {
	leader, found := s.currentLeader(time.Now())
	if !found {
		s.count("no_leader")
		return slots.Grant{}, "", false
	}
	grant, answered = s.ask(ctx, leader, a)
	if !answered || grant.Verdict != slots.Elsewhere {
		return grant, leader, answered
	}
	visit := a
	visit.Visiting = true
	far, ok := s.ask(ctx, grant.Leader, visit)
	if ok && far.Verdict == slots.Granted {
		return far, grant.Leader, true
	}
	if a.Batch {
		return slots.Grant{}, leader, true
	}
	a.Stay = true
	grant, answered = s.ask(ctx, leader, a)
	return grant, leader, answered
}

// ask asks one leader.
func (s *scheduler) ask(ctx context.Context, leader string, a slots.Ask) (slots.Grant, bool) {
	var grant slots.Grant
	var err error
	if leader == s.self {
		grant, err = s.grantHere(time.Now(), a)
	} else {
		callCtx, cancel := context.WithTimeout(ctx, s.askTime)
		err = s.caller.Call(callCtx, leader, grantMethod, a, &grant)
		late := errors.Is(callCtx.Err(), context.DeadlineExceeded)
		cancel()
		// A caller that left says nothing of the leader.
		if ctx.Err() == nil {
			s.noteCall(leader, err, late)
		}
	}
	if err != nil {
		s.count("unanswered")
		s.logger.Info("slot_not_answered", zap.String("leader", leader), zap.String("group", a.Group), zap.Error(err))
		// It may have been granted all the same.
		s.own.abandon(a.ID.Number, leader)
		return slots.Grant{}, false
	}
	s.count(grant.Verdict.String())
	return grant, true
}

// noteCall tells the election how a call to a leader ended.
func (s *scheduler) noteCall(leader string, err error, late bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err == nil {
		s.election.Answered(leader)
		return
	}
	s.election.Failed(time.Now(), leader, !late)
	s.noteLeader(time.Now(), "it did not answer")
}

func (s *scheduler) currentLeader(now time.Time) (string, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.election.Leader(now)
}

// noteLeader tells of a change of the leader. s.mu is held.
func (s *scheduler) noteLeader(now time.Time, cause string) {
	leader, _ := s.election.Leader(now)
	if leader == s.leader {
		return
	}
	s.logger.Info("zone_leader", zap.String("zone", s.zone), zap.String("leader", leader), zap.String("before", s.leader),
		zap.String("cause", cause))
	s.leader = leader
	// A new leader knows nothing of what runs.
	s.own.wake()
}
