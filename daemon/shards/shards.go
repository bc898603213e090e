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
	// tickInterval is how often owners handle their timeouts and claims are considered.
	tickInterval = 50 * time.Millisecond
	// budgetBurst is the largest burst of appends within the budget.
	budgetBurst = 8
	// claimBudget is the rate, in appends per second, at which a daemon without shards can
	// append its claims.
	claimBudget = 1
	// maxGranted bounds the granted runs that are kept until their end. A daemon
	// has at most half as many requests in flight.
	maxGranted = 1 << 13
)

// Shards is this daemon's part of the ledger.
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
	// granted holds, by nonce, the requests on which runs of this daemon were granted.
	granted *lru.Cache[string, ledger.BeginRequest]
	// logReads merges concurrent calls of LookupOnLog for one shard, logReadSlots limits the
	// number of concurrent reads.
	logReads     singleflight.Group
	logReadSlots chan struct{}
	// relaying tracks the daemons that could not be reached lately.
	relaying relaying
	// lastRebalance is when a shard was last released for balance, or last had no usable
	// holder. Only claimLoop uses it.
	lastRebalance time.Time
}

var _ ledger.Client = (*Shards)(nil)

// slot is this daemon's state of one shard: its owner while this daemon holds or claims the
// shard, and the calls that wait for the owner's reply.
type slot struct {
	id     int
	stream string
	wake   chan struct{}

	mu          sync.Mutex
	owner       *ledger.Owner // nil unless claiming or holding
	busy        bool          // hold runs
	readAt      time.Time     // when the owner last read the stream, or failed to
	isSuccessor bool          // the last holder named this daemon its successor
	unheldSince time.Time     // when the last usable holder was lost, zero if there is one
	stagger     time.Duration // additional delay of the claim, see claimStagger
	cause       string        // why the shard has no usable holder, for the log
	// knownTerm is the highest term known to be claimed by other daemons. graceUntil is the
	// end of the grace time of the last claim that was new to this daemon; see claimGrace.
	knownTerm  uint64
	graceUntil time.Time
	calls      map[ledger.CallID]chan ledger.Reply
	lastCall   ledger.CallID
	pastStats  ledger.Stats // of earlier owners
}

// New validates the options and registers the rpc service.
func New(opt Options) (*Shards, error) {
	if err := opt.validate(); err != nil {
		return nil, err
	}
	s := &Shards{opt: opt, budget: rate.NewLimiter(rate.Limit(opt.AppendBudget), budgetBurst)}
	s.granted, _ = lru.New[string, ledger.BeginRequest](maxGranted) // fails for a size below 1 only
	s.logReadSlots = make(chan struct{}, maxLogReads)
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

// Run starts the background loops in g.
func (s *Shards) Run(g *duty.Group) {
	s.group = g
	s.started = s.opt.Clock()
	g.Go(s.claimLoop)
	g.Go(s.tickLoop)
	g.Go(s.probeLoop)
}

// Holds returns the shards that this daemon holds, for its entry in the membership.
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

// LogOK reports whether the log has responded lately.
func (s *Shards) LogOK() bool { return s.logOK.Load() }

// holding reports whether this daemon holds the shard. The caller holds sl.mu.
func (sl *slot) holding() bool { return sl.owner != nil && sl.owner.Holding() }

func (sl *slot) notify() { duty.Wake(sl.wake) }

func (s *Shards) nowMs() int64 { return s.opt.Clock().UnixMilli() }

func (s *Shards) slotOf(name string) *slot { return s.slots[shard.Of(name, len(s.slots))] }

// deliver sends the owner's replies to the waiting calls and starts the revocations that
// the owner requests. The caller holds sl.mu. Reply channels have a buffer for their one
// reply.
func (s *Shards) deliver(sl *slot) {
	for _, r := range sl.owner.TakeReplies() {
		if ch := sl.calls[r.Call]; ch != nil {
			delete(sl.calls, r.Call)
			ch <- r
		}
	}
	for _, job := range sl.owner.TakeRevocations() {
		s.group.Go(func(ctx context.Context) { s.revoke(ctx, sl, job) })
	}
}

// tickLoop makes the owners expire waits and leases, and keeps this daemon's part of the
// append budget in proportion to the shards that it holds. An equal part per daemon would
// starve the owners of a large fleet, in which most daemons hold no shard.
func (s *Shards) tickLoop(ctx context.Context) {
	every(ctx, tickInterval, func() {
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
	sl.notify()
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

// ownerConfig returns the configuration of an owner on this daemon.
func (s *Shards) ownerConfig(id int) ledger.OwnerConfig {
	return ledger.OwnerConfig{
		Shard: id, Self: s.opt.View.Self().ID(),
		Live: s.opt.View.LiveID, GroupOf: s.opt.GroupOf, Limits: s.limits,
		LeaseMs: s.opt.Lease.Milliseconds(), AppendIntervalMs: s.opt.AppendInterval.Milliseconds(),
		UrgentIntervalMs: s.opt.UrgentInterval.Milliseconds(), RetentionMs: s.opt.Retention.Milliseconds(),
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
