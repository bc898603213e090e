package online

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"

	"tarragonhollow.example/tarragonhollow/core/config"
	"tarragonhollow.example/tarragonhollow/daemon/duty"
	"tarragonhollow.example/tarragonhollow/daemon/signal"
)

const (
	// refreshEvery is how often leaving marks are read from the membership: a
	// leaving target must get no new work after a few seconds.
	refreshEvery = 100 * time.Millisecond
	// grantedKeys bounds the memory of keys that ran here.
	grantedKeys = 16384
	// drainPoll is how often Drain looks whether anything still runs.
	drainPoll = 10 * time.Millisecond
	// drainRetryMs is told to callers that come while the daemon drains: the
	// balancer will have moved on by then.
	drainRetryMs = 100
)

// Online is the online path of one daemon.
type Online struct {
	opt      Options
	gate     *gate
	finish   *finisher
	cancels  *canceller
	meters   *meters
	draining atomic.Bool
	// granted remembers the keys of non-repeatable requests that ran here.
	granted *lru.Cache[string, struct{}]

	mu     sync.RWMutex
	config *config.Config
	groups map[string]*group
}

// New returns an online path without groups; they follow from the configuration.
func New(o Options) (*Online, error) {
	o, err := o.checked()
	if err != nil {
		return nil, err
	}
	on := &Online{
		opt: o, groups: map[string]*group{}, meters: newMeters(o.Metrics),
	}
	if on.granted, err = lru.New[string, struct{}](grantedKeys); err != nil {
		return nil, err
	}
	on.finish = newFinisher(o)
	on.cancels = newCanceller(o)
	on.gate, err = newGate(o)
	if err != nil {
		return nil, err
	}
	o.Signals.OnWords(on.hear)
	o.Metrics.GetOrCreateGauge("tarragonhollow_online_in_flight", func() float64 { return float64(on.InFlight()) })
	return on, nil
}

// Run starts the duties.
func (o *Online) Run(g *duty.Group) {
	g.Go(o.refreshLoop)
	g.Go(o.probeLoop)
	g.Go(o.eventsLoop)
	g.Go(o.finish.finishLoop)
	g.Go(o.cancels.cancelLoop)
	g.Go(o.gate.shareLoop)
}

// InFlight returns how many requests run.
func (o *Online) InFlight() int { return o.gate.inFlight() }

// Drain refuses new requests, not run, and returns when none runs any more and
// every kept answer is durable, or when ctx is done.
func (o *Online) Drain(ctx context.Context) {
	o.draining.Store(true)
	for o.InFlight() > 0 || o.finish.pending() > 0 {
		if !duty.Pause(ctx, drainPoll) {
			return
		}
	}
}

// refreshLoop keeps the groups in step with the configuration and the targets'
// leaving marks.
func (o *Online) refreshLoop(ctx context.Context) {
	for {
		o.refresh()
		if !duty.Pause(ctx, refreshEvery) {
			return
		}
	}
}

func (o *Online) refresh() {
	o.apply(o.opt.Config())
	o.mu.RLock()
	defer o.mu.RUnlock()
	for _, g := range o.groups {
		g.markLeaving(o.opt.View.TargetLeaving)
	}
}

// apply makes the groups follow a configuration, never an older one: a request
// may still hold the version before. Groups that stay keep what
// they know; requests that run in a removed one end there.
func (o *Online) apply(c *config.Config) {
	if c == nil || o.current(c) {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.config != nil && c.Version <= o.config.Version {
		return
	}
	o.config = c
	kept := make(map[string]*group, len(c.Groups))
	for name, described := range c.Groups {
		g := o.groups[name]
		if g == nil {
			g = newGroup(o, described)
		}
		g.update(described, c.Limits.RetryShare)
		g.markLeaving(o.opt.View.TargetLeaving)
		kept[name] = g
	}
	o.groups = kept
	o.opt.Signals.Watch(addressesOf(c))
}

// current tells whether the configuration, or a newer one, is in force.
func (o *Online) current(c *config.Config) bool {
	o.mu.RLock()
	defer o.mu.RUnlock()
	return o.config != nil && c.Version <= o.config.Version
}

func addressesOf(c *config.Config) []string {
	var addresses []string
	for _, g := range c.Groups {
		for _, t := range g.Targets {
			addresses = append(addresses, t.Address)
		}
	}
	return addresses
}

// groupOf returns the described group, following a newer configuration at once;
// nil if the one in force has dropped it.
func (o *Online) groupOf(c *config.Config, described *config.TargetGroup) *group {
	o.apply(c)
	o.mu.RLock()
	defer o.mu.RUnlock()
	return o.groups[described.Name]
}

// hear takes the stewards' words.
func (o *Online) hear(words []signal.Word) {
	now := o.opt.Clock()
	o.mu.RLock()
	defer o.mu.RUnlock()
	for _, w := range words {
		for _, g := range o.groups {
			g.hear(now, w)
		}
	}
}

// Status is the operators' view of the online path.
type Status struct {
	InFlight int                     `json:"in_flight"`
	Unkept   int                     `json:"answers_not_durable_yet"`
	Groups   map[string][]TargetLoad `json:"groups"`
}

// TargetLoad is one target's figures.
type TargetLoad struct {
	Address  string  `json:"address"`
	Zone     string  `json:"zone"`
	InFlight int     `json:"in_flight"`
	Estimate float64 `json:"estimated_load"`
	State    string  `json:"state"`
}

// Status returns the operators' view.
func (o *Online) Status() Status {
	s := Status{InFlight: o.InFlight(), Unkept: o.finish.pending(), Groups: map[string][]TargetLoad{}}
	now := o.opt.Clock()
	o.mu.RLock()
	defer o.mu.RUnlock()
	for name, g := range o.groups {
		s.Groups[name] = g.loads(now)
	}
	return s
}
