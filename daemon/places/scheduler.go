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

// defaultSlotTimeout bounds one call for a slot: a request waits no longer than this for
// a leader that is frozen or cut off, a small part of its latency objective.
const defaultSlotTimeout = 40 * time.Millisecond

var (
	errorNamespace = errorx.NewNamespace("places")
	// errNotReady is the error of a leader that knows no targets, steps down or is cut
	// off from the log.
	errNotReady = errorNamespace.NewType("not_ready")
)

// scheduler gets the slots for this daemon's work from the leader of its zone, and does
// the leader's work where this daemon leads.
//
// Failure guarded against: the leader is dead, frozen, cut off in one direction or slow.
// A request then waits slotTimeout at most and goes on with what this daemon knows
// itself. The leader soon stops being used, and another daemon becomes leader; see
// package election.
type scheduler struct {
	self, zone  string
	cores       float64
	caller      peer.Caller
	slotTimeout time.Duration
	logger      *zap.Logger
	set         *metrics.Set
	// incarnation identifies this run of the process.
	incarnation uint64

	mu       sync.Mutex
	election *election.Election
	ledger   *slots.Ledger
	// leads reports whether this daemon leads its zone; leader is the last known leader,
	// "" for none.
	leads  bool
	leader string
	// targetsKnown reports whether the zone's targets are known; stopping that this
	// daemon stops; cutOffFromLog that it does not reach the log while another daemon of
	// the zone does.
	targetsKnown, stopping, cutOffFromLog bool
	// lastHeartbeat is when the last heartbeat was sent, heartbeats counts them.
	lastHeartbeat time.Time
	heartbeats    int
	// ratesLoggedAt is when changes of targets' rates were last logged.
	ratesLoggedAt time.Time
	// lastShareReport is when the shares were last reported to the other zones.
	lastShareReport time.Time
	// holderStates holds the last reported state of each of the zone's daemons,
	// zoneStates that of each other zone's leader.
	holderStates map[string]*holderState
	zoneStates   map[string]*zoneState
	// remoteLeaders are the leaders of the other zones, and roles the roles of the zone's
	// daemons, as the local zone's leader reported at rolesAt.
	remoteLeaders []string
	roles         Roles
	rolesAt       time.Time
	// leaderFleetSize is the size of the fleet as a leader reported it, 0 for unknown.
	leaderFleetSize atomic.Int64
	// partHolders are the daemons that hold the partitions of batch work.
	partHolders map[int]partHolder
	// reserves are the zone's batch reserves by group as last published.
	reserves map[string]int

	leases *localLeases
	policy slots.Policy
	// waits are the requests that wait at a leader; queueLengths are the lengths by group
	// that were last published. overflowLogged is when a request sent
	// to another zone was last logged, by zone and group.
	waits          waits
	queueLengths   map[string]int
	overflowLogged map[[2]string]time.Time
}

// holderState is the state last reported by a daemon of the zone.
type holderState struct {
	incarnation, number uint64
	held                HeldWork
	at                  time.Time
}

// partHolder is a daemon that certainly held a partition at the time at.
type partHolder struct {
	address string
	at      time.Time
}

// zoneState is the state last reported by another zone's leader.
type zoneState struct {
	leader string
	held   map[string]HeldWork
	at     time.Time
}

// newScheduler returns a daemon's scheduler; scheduled reports whether leaders grant
// slots, preempting gets a token when local batch work is preempted.
func newScheduler(o Options, scheduled func() bool, preempting chan<- struct{}) *scheduler {
	s := &scheduler{
		self: o.PeerAddress, zone: o.Zone, cores: o.Cores, caller: o.Peers, slotTimeout: o.SlotTimeout, logger: o.Logger, set: o.Metrics,
		incarnation: rand.Uint64(), election: election.New(o.Zone, o.PeerAddress, time.Now()), ledger: slots.NewLedgerWith(o.Policy),
		holderStates: map[string]*holderState{}, zoneStates: map[string]*zoneState{}, partHolders: map[int]partHolder{}, leases: newLocalLeases(scheduled, preempting, o.Policy.BatchReserve), policy: o.Policy,
		overflowLogged: map[[2]string]time.Time{},
	}
	if o.Policy.TargetRates {
		s.set.RegisterMetricsWriter(s.writeRates)
	}
	if o.Policy.FairShares {
		s.set.RegisterMetricsWriter(s.writeShareMetrics)
	}
	return s
}

// countOutcome counts the outcome of a call for a slot.
func (s *scheduler) countOutcome(outcome string) {
	s.set.GetOrCreateCounter(`tarragonhollow_slots_asked_total{outcome="` + outcome + `"}`).Inc()
}

// setTargets sets the zone's targets by group, and the versions that other zones serve. known reports whether any target of the
// fleet is known: the leader of a zone without targets still knows which zones have free
// slots.
func (s *scheduler) setTargets(targets map[string][]slots.Target, remoteVersions map[slots.ZoneGroup]bool, known bool) {
	s.mu.Lock()
	s.targetsKnown = known
	s.ledger.SetTargets(targets)
	s.ledger.SetRemoteVersions(remoteVersions)
	notify := s.dispatch(time.Now())
	s.mu.Unlock()
	notify()
}

// grantLocally grants a slot from this daemon's ledger.
func (s *scheduler) grantLocally(now time.Time, request slots.Request) (slots.Grant, error) {
	s.mu.Lock()
	if !s.targetsKnown || s.stopping || s.cutOffFromLog {
		s.mu.Unlock()
		return slots.Grant{}, errNotReady.New("%s grants no slots", s.self)
	}
	if !s.leads {
		s.ledger.Expire(now) // not the leader, which does this at each heartbeat
	}
	grant := s.ledger.Grant(now, request, rand.Uint64())
	s.logOverflow(now, request, grant)
	notify := s.dispatch(now)
	s.mu.Unlock()
	notify()
	s.notifyPreempted(grant.Yield)
	return grant, nil
}

// notifyPreempted notifies the holders of batch leases that these are preempted.
func (s *scheduler) notifyPreempted(leases []slots.ID) {
	byHolder := map[string][]uint64{}
	for _, id := range leases {
		byHolder[id.Holder] = append(byHolder[id.Holder], id.Number)
	}
	for holder, numbers := range byHolder {
		if holder == s.self {
			s.leases.preempt(numbers)
			continue
		}
		s.caller.Notify(holder, preemptionMethod, PreemptionNotice{numbers})
	}
}

// requestSlot requests a slot from the local zone's leader, from another zone's leader if
// the first one refers to it, and from the local zone's leader again if that one grants none
// either. by is the leader that answered; answered is false if none did.
func (s *scheduler) requestSlot(ctx context.Context, request slots.Request) (grant slots.Grant, by string, answered bool) {
	leader, found := s.currentLeader(time.Now())
	if !found {
		s.countOutcome("no_leader")
		return slots.Grant{}, "", false
	}
	request.Preempts = s.policy.ZoneBalance && !request.Batch
	grant, answered = s.callLeader(ctx, leader, request)
	if !answered || grant.Verdict != slots.Elsewhere {
		return grant, leader, answered
	}
	return s.overflow(ctx, leader, request, grant)
}

// callLeader requests a slot from one leader.
func (s *scheduler) callLeader(ctx context.Context, leader string, request slots.Request) (slots.Grant, bool) {
	var grant slots.Grant
	var err error
	if leader == s.self {
		grant, err = s.grantLocally(time.Now(), request)
	} else {
		callCtx, cancel := context.WithTimeout(ctx, s.slotTimeout)
		err = s.caller.Call(callCtx, leader, grantMethod, request, &grant)
		late := errors.Is(callCtx.Err(), context.DeadlineExceeded)
		cancel()
		// A cancelled request says nothing about the leader.
		if ctx.Err() == nil {
			s.recordCall(leader, err, late)
		}
	}
	if err != nil {
		s.countOutcome("unanswered")
		s.logger.Info("slot_not_answered", zap.String("leader", leader), zap.String("group", request.Group), zap.Error(err))
		if !s.waits.record(request.ID.Number, leader, false, slots.None) || !s.isLocal(leader) {
			// The slot may have been granted all the same.
			s.leases.abandon(request.ID.Number, leader)
		}
		return slots.Grant{}, false
	}
	s.waits.record(request.ID.Number, leader, true, grant.Verdict)
	s.countOutcome(grant.Verdict.String())
	return grant, true
}

// recordCall records in the election how a call to a leader ended.
func (s *scheduler) recordCall(leader string, err error, late bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err == nil {
		s.election.CallAnswered(leader)
		return
	}
	s.election.CallFailed(time.Now(), leader, !late)
	s.updateLeader(time.Now(), "call failed")
}

func (s *scheduler) currentLeader(now time.Time) (string, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.election.Leader(now)
}

// updateLeader records and logs a change of the leader. s.mu is held.
func (s *scheduler) updateLeader(now time.Time, cause string) {
	leader, _ := s.election.Leader(now)
	if leader == s.leader {
		return
	}
	s.logger.Info("zone_leader", zap.String("zone", s.zone), zap.String("leader", leader), zap.String("before", s.leader),
		zap.String("cause", cause))
	s.leader = leader
	// A new leader does not know yet what runs.
	s.leases.wake()
}
