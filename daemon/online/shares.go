package online

import (
	"context"
	"sync"
	"time"

	"tarragonhollow.example/tarragonhollow/api"
	"tarragonhollow.example/tarragonhollow/core/limits"
	"tarragonhollow.example/tarragonhollow/core/outcome"
	"tarragonhollow.example/tarragonhollow/daemon/duty"
)

const (
	// LimitsService is the net/rpc service name of the arbiters of caller limits.
	LimitsService = "Limits"
	askMethod     = LimitsService + ".Ask"

	// shareEvery is how often shares are renewed.
	shareEvery = 200 * time.Millisecond
	// shareTimeout bounds one call to an arbiter, and so how long a request waits for
	// its share.
	shareTimeout = 100 * time.Millisecond
	// expireEvery is how often the arbiter removes daemons that stopped asking.
	expireEvery = 5 * time.Second
)

// LimitAsk carries a daemon's batched asks to one arbiter.
type LimitAsk struct {
	// Daemon is the id of the asking daemon's incarnation.
	Daemon string
	Asks   []limits.Ask
}

// LimitGrants is the reply to a LimitAsk.
type LimitGrants struct {
	Grants []limits.Grant
}

// shares holds this daemon's shares of the fleet-wide caller limits, and the arbiter of
// the limits that are assigned to this daemon.
type shares struct {
	opt     Options
	wake    chan struct{}
	mu      sync.Mutex
	local   *limits.Local
	arbiter *limits.Arbiter
	// round is closed when the next round of asks has been answered.
	round chan struct{}
}

func newShares(o Options) (*shares, error) {
	s := &shares{
		opt: o, wake: make(chan struct{}, 1), round: make(chan struct{}),
		local: limits.NewLocal(), arbiter: limits.NewArbiter(),
	}
	return s, o.Registrar.Register(LimitsService, &limitsService{s})
}

// limitsService is the net/rpc handler of the arbiter.
type limitsService struct {
	shares *shares
}

// Ask returns the asking daemon's shares.
func (l *limitsService) Ask(a *LimitAsk, reply *LimitGrants) error {
	reply.Grants = l.shares.grant(a)
	return nil
}

func (s *shares) grant(a *LimitAsk) []limits.Grant {
	now := s.opt.Clock()
	s.mu.Lock()
	defer s.mu.Unlock()
	grants := make([]limits.Grant, 0, len(a.Asks))
	for _, ask := range a.Asks {
		grants = append(grants, s.arbiter.Allocate(now, a.Daemon, ask))
	}
	return grants
}

// acquire admits a call under its profile's caller limits and returns the function that
// releases it. Profiles without such limits skip the check.
func (s *shares) acquire(ctx context.Context, call api.Call) (func(), *outcome.Refusal) {
	limit := limits.Limit{InFlight: call.Profile.MaxInFlightPerCaller, Rate: call.Profile.RatePerCaller}
	if limit.None() {
		return func() {}, nil
	}
	key := limits.Key{Profile: call.Profile.Name, Caller: call.Caller}
	verdict := s.tryAcquire(key, limit, false)
	if verdict == limits.ShareNeeded {
		s.awaitRound(ctx)
		verdict = s.tryAcquire(key, limit, true)
	}
	if verdict != limits.Admitted {
		return nil, outcome.Refuse(outcome.CallerLimit, "the caller is over its limit in profile %s", key.Profile).
			After(limits.RetryAfterMs)
	}
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.local.Release(s.opt.Clock(), key)
	}, nil
}

func (s *shares) tryAcquire(key limits.Key, limit limits.Limit, last bool) limits.Verdict {
	daemons := len(s.opt.View.Members())
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.local.Acquire(s.opt.Clock(), key, limit, daemons, last)
}

// awaitRound waits until the next round of asks is answered. All waiting requests share
// the round, so a burst costs one message instead of one per request.
func (s *shares) awaitRound(ctx context.Context) {
	s.mu.Lock()
	round := s.round
	s.mu.Unlock()
	duty.Wake(s.wake)
	timer := time.NewTimer(shareTimeout)
	defer timer.Stop()
	select {
	case <-round:
	case <-timer.C:
	case <-ctx.Done():
	}
}

func (s *shares) loop(ctx context.Context) {
	tick := time.NewTicker(shareEvery)
	defer tick.Stop()
	expire := time.NewTicker(expireEvery)
	defer expire.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-expire.C:
			s.mu.Lock()
			s.arbiter.Expire(s.opt.Clock())
			s.mu.Unlock()
		case <-tick.C:
			s.requestShares(ctx)
		case <-s.wake:
			s.requestShares(ctx)
		}
	}
}

// requestShares sends one batched LimitAsk to each arbiter and ends the round.
func (s *shares) requestShares(ctx context.Context) {
	sentAt := s.opt.Clock()
	s.mu.Lock()
	asks := s.local.Asks(sentAt)
	round := s.round
	s.round = make(chan struct{})
	s.mu.Unlock()
	var all sync.WaitGroup
	for address, group := range s.groupByArbiter(asks) {
		all.Go(func() { s.requestFrom(ctx, sentAt, address, group) })
	}
	all.Wait()
	close(round)
}

// groupByArbiter groups the asks by the peer address of their arbiter: the first usable
// daemon in rendezvous order of the caller and profile.
func (s *shares) groupByArbiter(asks []limits.Ask) map[string]*LimitAsk {
	self := s.opt.View.Self().ID()
	groups := map[string]*LimitAsk{}
	for _, ask := range asks {
		arbiter, ok := s.opt.View.First("limits/" + ask.Key.Profile + "/" + ask.Key.Caller)
		if !ok {
			continue
		}
		address := arbiter.PeerAddress
		if groups[address] == nil {
			groups[address] = &LimitAsk{Daemon: self}
		}
		groups[address].Asks = append(groups[address].Asks, ask)
	}
	return groups
}

func (s *shares) requestFrom(ctx context.Context, sentAt time.Time, address string, a *LimitAsk) {
	var reply LimitGrants
	if address == s.opt.View.Self().PeerAddress {
		reply.Grants = s.grant(a)
	} else {
		call, cancel := context.WithTimeout(ctx, shareTimeout)
		defer cancel()
		if s.opt.Peer.Call(call, address, askMethod, a, &reply) != nil {
			return
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, g := range reply.Grants {
		s.local.ApplyGrant(sentAt, g)
	}
}
