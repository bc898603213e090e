package shards

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
	"golang.org/x/sync/singleflight"
	"golang.org/x/time/rate"

	"tarragonhollow.example/tarragonhollow/core/config"
	"tarragonhollow.example/tarragonhollow/core/ledger"
	"tarragonhollow.example/tarragonhollow/core/membership"
	"tarragonhollow.example/tarragonhollow/core/shard"
	"tarragonhollow.example/tarragonhollow/daemon/duty"
)

const (
	// tickEvery is how often owners look at their clocks and claims are weighed.
	tickEvery = 50 * time.Millisecond
	// budgetBurst is how many appends may be made at once within the budget.
	budgetBurst = 8
	// claimBudget lets a daemon without shards append its claims.
	claimBudget = 1
	// grantedKept is how many granted runs are remembered until their end; a
	// daemon has at most half as many requests in flight.
	grantedKept = 1 << 13
)

// Shards is this daemon's part in the ledger.
type Shards struct {
	opt      Options
	slots    []*slot
	budget   *rate.Limiter
	meter    *meter
	started  time.Time
	group    *duty.Group
	draining atomic.Bool
	logOK    atomic.Bool
	pulls    atomic.Uint64
	// granted remembers by nonce what runs of this daemon were granted on.
	granted *lru.Cache[string, ledger.BeginRequest]
	// looks joins calls of OnLog, looking bounds the readings.
	looks   singleflight.Group
	looking chan struct{}
	// relaying knows the daemons that could not be reached lately.
	relaying relaying
	// lastMove is when a shard was last released for balance, or was without a
	// holder; claimLoop's own.
	lastMove time.Time
}

var _ ledger.Client = (*Shards)(nil)

// slot is one shard as seen from here: its owner while this daemon holds it or
// claims it, and the calls that wait for the owner's word.
type slot struct {
	id     int
	stream string
	wake   chan struct{}

	mu     sync.Mutex
	owner  *ledger.Owner // nil unless claiming or holding
	busy   bool          // a hold duty runs
	named  bool          // the last holder named this daemon
	unheld time.Time     // since when no usable holder is known
	pace   time.Duration // how much longer it waits as others are unheld too
	cause  string        // why it is unheld, for the log
	// known is the highest term that others are known to have claimed, standsUntil
	// until when the last of them that came as news is let stand; see standTime.
	known       uint64
	standsUntil time.Time
	calls       map[ledger.CallID]chan ledger.Reply
	lastCall    ledger.CallID
	figures     ledger.Figures // of earlier owners
}

// New validates the options and registers the rpc service.
func New(opt Options) (*Shards, error) {
	if err := opt.validate(); err != nil {
		return nil, err
	}
	s := &Shards{opt: opt, budget: rate.NewLimiter(rate.Limit(opt.AppendBudget), budgetBurst)}
	s.granted, _ = lru.New[string, ledger.BeginRequest](grantedKept) // fails for a size below 1 only
	s.looking = make(chan struct{}, looksAtOnce)
	s.logOK.Store(true)
	for i := 0; i < opt.Shards; i++ {
		s.slots = append(s.slots, &slot{
			id: i, stream: shard.Stream(i), wake: make(chan struct{}, 1),
			calls: map[ledger.CallID]chan ledger.Reply{},
		})
	}
	s.meter = newMeter(s)
	if err := opt.Registrar.Register(ServiceName, &service{s}); err != nil {
		return nil, err
	}
	return s, nil
}

// Run starts the duties.
func (s *Shards) Run(g *duty.Group) {
	s.group = g
	s.started = s.opt.Clock()
	g.Go(s.claimLoop)
	g.Go(s.tickLoop)
	g.Go(s.probeLoop)
}

// Holds lists the shards this daemon holds, for the facts it tells about itself.
func (s *Shards) Holds() []membership.ShardHold {
	var holds []membership.ShardHold
	for _, sl := range s.slots {
		sl.mu.Lock()
		if sl.holding() {
			holds = append(holds, membership.ShardHold{Shard: sl.id, Term: sl.owner.Term()})
		}
		sl.mu.Unlock()
	}
	return holds
}

// LogOK tells whether the log has answered lately.
func (s *Shards) LogOK() bool { return s.logOK.Load() }

// holding tells whether the owner decides; the lock is held.
func (sl *slot) holding() bool { return sl.owner != nil && sl.owner.Holding() }

func (sl *slot) poke() { duty.Wake(sl.wake) }

func (s *Shards) nowMs() int64 { return s.opt.Clock().UnixMilli() }

func (s *Shards) slotOf(name string) *slot { return s.slots[shard.Of(name, len(s.slots))] }

// deliver hands replies to the calls that wait and takes up what the owner wants
// done; the lock is held. Reply channels have room for their one reply.
func (s *Shards) deliver(sl *slot) {
	for _, r := range sl.owner.Replies() {
		if ch := sl.calls[r.Call]; ch != nil {
			delete(sl.calls, r.Call)
			ch <- r
		}
	}
	for _, job := range sl.owner.Revokes() {
		s.group.Go(func(ctx context.Context) { s.revoke(ctx, sl, job) })
	}
}

// tickLoop lets the owners end waits and leases, and keeps this daemon's part of
// the append budget in step with the shards it holds. A part by daemons would
// starve the owners of a large fleet, most of which hold no shard.
func (s *Shards) tickLoop(ctx context.Context) {
	every(ctx, tickEvery, func() {
		part := s.opt.AppendBudget * float64(len(s.Holds())) / float64(len(s.slots))
		s.budget.SetLimit(rate.Limit(part + claimBudget))
		for _, sl := range s.slots {
			s.tick(sl)
		}
	})
}

func (s *Shards) tick(sl *slot) {
	sl.mu.Lock()
	defer sl.mu.Unlock()
	if sl.owner == nil {
		return
	}
	sl.owner.Tick(s.nowMs())
	s.deliver(sl)
	sl.poke()
}

func every(ctx context.Context, period time.Duration, do func()) {
	ticker := time.NewTicker(period)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			do()
		}
	}
}

// ownerConfig is what an owner on this daemon is told.
func (s *Shards) ownerConfig(id int) ledger.OwnerConfig {
	return ledger.OwnerConfig{
		Shard: id, Self: s.opt.View.Self().ID(),
		Live: s.opt.View.LiveID, GroupOf: s.opt.GroupOf, Limits: s.limits,
		LeaseMs: s.opt.Lease.Milliseconds(), PaceMs: s.opt.AppendPace.Milliseconds(),
		UrgentMs: s.opt.UrgentPace.Milliseconds(), RetentionMs: s.opt.Retention.Milliseconds(),
	}
}

func (s *Shards) limits() ledger.Limits {
	l := config.DefaultLimits()
	if c := s.opt.Config(); c != nil && c.Version > 0 {
		l = c.Limits
	}
	return ledger.Limits{
		KeptAnswersMs: l.KeptAnswers.Milliseconds(), KeptResultsMs: l.KeptResults.Milliseconds(),
		CrashLimit: l.CrashLimit,
	}
}
