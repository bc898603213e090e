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

// pokeRing bounds the wishes for an early decision; a lost one costs decideEvery.
const pokeRing = 256

// Steward runs batch items at the targets that are this daemon's.
//
// Locks: mu guards the held items and queues; each targetState has its own lock
// for the admission state. mu may be held when a target's lock is taken, never
// the other way, and OnSignal takes only the target's.
type Steward struct {
	opts  Options
	log   *zap.Logger
	meter *meter
	group *duty.Group
	pokes *duty.Ring[*targetState]
	ends  *duty.Ring[endedItem]
	// targets is replaced whole, so that signals are looked up without a lock.
	targets atomic.Pointer[map[string]*targetState]

	mu       sync.Mutex
	held     map[itemKey]*heldItem
	queued   map[string][]*heldItem
	suspects map[string]*targetState
	jobs     map[string]*jobForecast
	rates    map[string]*admission.Rate
	owners   map[string]*ownerState
	pulls    map[*pullCall]bool
	pullSeq  int
	// pullNo numbers the pulls towards owners; endsLost is set once an end was
	// dropped.
	pullNo   uint64
	endsLost bool
	// terms are the highest terms that owners have told of, by shard. Items from
	// owners of earlier ones are dropped: the later owner may have given them to
	// others, since this steward doesn't list them.
	terms      map[int]uint64
	lastIdle   time.Time
	lastLook   time.Time
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
		opts:     opts,
		log:      opts.Logger,
		pokes:    duty.NewRing[*targetState](pokeRing),
		ends:     duty.NewRing[endedItem](maxUndelivered),
		held:     make(map[itemKey]*heldItem),
		queued:   make(map[string][]*heldItem),
		suspects: make(map[string]*targetState),
		jobs:     make(map[string]*jobForecast),
		rates:    make(map[string]*admission.Rate),
		owners:   make(map[string]*ownerState),
		pulls:    make(map[*pullCall]bool),
		revoked:  make(map[string]time.Time),
		terms:    make(map[int]uint64),
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

// Run starts the duties; they end with the group.
func (s *Steward) Run(g *duty.Group) {
	s.group = g
	g.Go(s.assignLoop)
	g.Go(s.decideLoop)
	g.Go(s.pullLoop)
	g.Go(s.reportLoop)
	g.Go(s.loadLoop)
	g.Go(s.forecastLoop)
}

// atRest tells that no batch work is held here or known to wait at an owner.
func (s *Steward) atRest() bool {
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

// pace is the period of a duty that is busy only while there is batch work.
func (s *Steward) pace(busy time.Duration) time.Duration {
	if s.atRest() {
		return restEvery
	}
	return busy
}

// every runs step at once and then each period until ctx is done.
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

func (s *Steward) ownTargets() map[string]*targetState { return *s.targets.Load() }

func (s *Steward) selfID() string { return s.opts.View.Self().ID() }

// profile returns the item's profile; an unknown one is taken as not
// repeatable and weightless, which is the careful reading.
func (s *Steward) profile(name string) config.Profile {
	if c := s.opts.Config(); c != nil && c.Profiles[name] != nil {
		return *c.Profiles[name]
	}
	return config.Profile{Name: name, Urgency: config.Batch}
}

// Drain stops pulling and starting, cancels what can be resumed elsewhere,
// hands everything back with its progress, and returns once the owners have
// taken it over. Streams that cannot be resumed are waited for.
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
			it.run.stop(errHandBack)
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
		left := len(s.held)
		s.mu.Unlock()
		if left == 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			return StopError.Wrap(ctx.Err(), "%d batch items not handed back", left)
		case <-ticker.C:
		}
	}
}
