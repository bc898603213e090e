package steward

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"tarragonhollow.example/tarragonhollow/core/admission"
	"tarragonhollow.example/tarragonhollow/core/config"
	"tarragonhollow.example/tarragonhollow/daemon/duty"
	"tarragonhollow.example/tarragonhollow/daemon/signal"
)

// decideQueueSize bounds the queued requests for an immediate decision. A request that is
// dropped because the queue is full delays the decision by at most decideEvery.
const decideQueueSize = 256

// Steward runs batch items at the targets assigned to this daemon.
//
// Locks: mu guards the held items and queues; each targetState has its own lock for the
// admission state. A target's lock may be acquired while mu is held, never the reverse.
// OnSignal acquires only the target's lock.
type Steward struct {
	opts        Options
	log         *zap.Logger
	meter       *meter
	group       *duty.Group
	decideQueue *duty.Queue[*targetState]
	ends        *duty.Queue[endedItem]
	// targets is replaced as a whole, so that OnSignal can look up targets without a lock.
	targets atomic.Pointer[map[string]*targetState]

	mu             sync.Mutex
	held           map[itemKey]*heldItem
	queued         map[string][]*heldItem
	suspectTargets map[string]*targetState
	jobs           map[string]*jobForecast
	rates          map[string]*admission.Rate
	owners         map[string]*ownerState
	pulls          map[*pullCall]bool
	ownerPicks     int
	// lastPullSeq is the sequence number of the last pull; endsLost is set once an end was
	// dropped.
	lastPullSeq uint64
	endsLost    bool
	// terms holds the highest term reported by owners, by shard. Items from owners with an
	// earlier term are dropped: the later owner may have leased them to other stewards,
	// since this one does not list them.
	terms      map[int]uint64
	lastIdle   time.Time
	lastQuery  time.Time
	revoked    map[string]time.Time
	maxLease   time.Duration
	draining   bool
	nextStream admission.StreamID
}

var _ signal.Receiver = (*Steward)(nil)

// New validates the options and registers the Steward service.
func New(opts Options) (*Steward, error) {
	if err := opts.validate(); err != nil {
		return nil, err
	}
	s := &Steward{
		opts:           opts,
		log:            opts.Logger,
		decideQueue:    duty.NewQueue[*targetState](decideQueueSize),
		ends:           duty.NewQueue[endedItem](maxUndelivered),
		held:           make(map[itemKey]*heldItem),
		queued:         make(map[string][]*heldItem),
		suspectTargets: make(map[string]*targetState),
		jobs:           make(map[string]*jobForecast),
		rates:          make(map[string]*admission.Rate),
		owners:         make(map[string]*ownerState),
		pulls:          make(map[*pullCall]bool),
		revoked:        make(map[string]time.Time),
		terms:          make(map[int]uint64),
	}
	s.targets.Store(&map[string]*targetState{})
	s.meter = newMeter(opts.Metrics, s)
	if opts.Registrar != nil {
		if err := opts.Registrar.Register(ServiceName, &rpcService{s}); err != nil {
			return nil, OptionsError.Wrap(err, "registering the steward service")
		}
	}
	return s, nil
}

// Run starts the background loops; they end with the group.
func (s *Steward) Run(g *duty.Group) {
	s.group = g
	g.Go(s.assignLoop)
	g.Go(s.decideLoop)
	g.Go(s.pullLoop)
	g.Go(s.reportLoop)
	g.Go(s.loadLoop)
	g.Go(s.forecastLoop)
}

// idle reports whether no batch work is held here or known to wait at an owner.
func (s *Steward) idle() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.held) > 0 {
		return false
	}
	for _, o := range s.owners {
		for _, g := range o.groups {
			if g.backlog > 0 {
				return false
			}
		}
	}
	return true
}

// interval returns the period of a loop: idleEvery while there is no batch work, and busy
// otherwise.
func (s *Steward) interval(busy time.Duration) time.Duration {
	if s.idle() {
		return idleEvery
	}
	return busy
}

// every runs step immediately and then once per period until ctx is done.
func every(ctx context.Context, period time.Duration, step func(ctx context.Context)) {
	ticker := time.NewTicker(period)
	defer ticker.Stop()
	for {
		step(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (s *Steward) assignedTargets() map[string]*targetState { return *s.targets.Load() }

func (s *Steward) selfID() string { return s.opts.View.Self().ID() }

// profile returns the named profile. An unknown one is treated as not repeatable and with
// weight 0, which is the conservative choice.
func (s *Steward) profile(name string) config.Profile {
	if c := s.opts.Config(); c != nil && c.Profiles[name] != nil {
		return *c.Profiles[name]
	}
	return config.Profile{Name: name, Urgency: config.Batch}
}

// Drain stops pulling and starting items, cancels the streams that can be resumed
// elsewhere, hands all items back with their progress, and returns once the owners have
// accepted them. It waits for streams that cannot be resumed. If ctx ends first, Drain
// returns a StopError.
func (s *Steward) Drain(ctx context.Context) error {
	s.mu.Lock()
	s.draining = true
	for group := range s.queued {
		for _, it := range s.queued[group] {
			s.handBackLocked(it)
		}
		delete(s.queued, group)
	}
	for _, it := range s.held {
		if it.run != nil && !it.pinned {
			it.run.stop(errDraining)
		}
	}
	s.mu.Unlock()
	return s.waitEmpty(ctx)
}

func (s *Steward) waitEmpty(ctx context.Context) error {
	ticker := time.NewTicker(decideEvery)
	defer ticker.Stop()
	for {
		s.mu.Lock()
		remaining := len(s.held)
		s.mu.Unlock()
		if remaining == 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			return StopError.Wrap(ctx.Err(), "%d batch items not handed back", remaining)
		case <-ticker.C:
		}
	}
}
