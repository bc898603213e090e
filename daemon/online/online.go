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
	// refreshEvery is how often the membership is checked for leaving targets: a
	// leaving target must get no new work after a few seconds.
	refreshEvery = 100 * time.Millisecond
	// grantedKeys bounds the number of remembered keys that ran here.
	grantedKeys = 16384
	// drainPoll is how often Drain checks whether any request still runs.
	drainPoll = 10 * time.Millisecond
	// drainRetryMs is the retry-after time, in milliseconds, of requests that arrive
	// while the daemon drains; by then the load balancer sends them elsewhere.
	drainRetryMs = 100
)

// Online is the online path of one daemon.
type Online struct {
	opt      Options
	limiter  *limiter
	finish   *finisher
	cancels  *canceller
	meters   *meters
	draining atomic.Bool
	// granted holds the keys of non-repeatable requests that ran here.
	granted *lru.Cache[string, struct{}]

	mu     sync.RWMutex
	config *config.Config
	groups map[string]*group
}

// New returns an online path without groups; the groups are created from the
// configuration.
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
	on.limiter, err = newLimiter(o)
	if err != nil {
		return nil, err
	}
	o.Signals.OnTargetReports(on.applyReports)
	o.Metrics.GetOrCreateGauge("tarragonhollow_online_in_flight", func() float64 { return float64(on.InFlight()) })
	return on, nil
}

// Run starts the background loops.
func (o *Online) Run(g *duty.Group) {
	g.Go(o.refreshLoop)
	g.Go(o.probeLoop)
	g.Go(o.eventsLoop)
	g.Go(o.finish.finishLoop)
	g.Go(o.cancels.cancelLoop)
	g.Go(o.limiter.shareLoop)
}

// InFlight returns the number of running requests.
func (o *Online) InFlight() int { return o.limiter.inFlight() }

// Drain refuses new requests with run state not_run. It returns when no request runs and
// every keyed result is durable, or when ctx is done.
func (o *Online) Drain(ctx context.Context) {
	o.draining.Store(true)
	for o.InFlight() > 0 || o.finish.pending() > 0 {
		if !duty.Pause(ctx, drainPoll) {
			return
		}
	}
}

// refreshLoop updates the groups from the configuration and marks leaving targets.
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

// apply updates the groups to a configuration unless a newer one is in force: a request
// may still hold the previous version. Groups that remain keep their state; requests that
// run in a removed group complete there.
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
	groups := make(map[string]*group, len(c.Groups))
	for name, groupConfig := range c.Groups {
		g := o.groups[name]
		if g == nil {
			g = newGroup(o, groupConfig)
		}
		g.update(groupConfig, c.Limits.RetryShare)
		g.markLeaving(o.opt.View.TargetLeaving)
		groups[name] = g
	}
	o.groups = groups
	o.opt.Signals.Watch(addressesOf(c))
}

// current reports whether the configuration, or a newer one, is in force.
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

// groupOf returns the group of a configuration, which it applies first if it is newer. It
// returns nil if the configuration in force no longer has the group.
func (o *Online) groupOf(c *config.Config, groupConfig *config.TargetGroup) *group {
	o.apply(c)
	o.mu.RLock()
	defer o.mu.RUnlock()
	return o.groups[groupConfig.Name]
}

// applyReports applies the stewards' target reports to all groups.
func (o *Online) applyReports(reports []signal.TargetReport) {
	now := o.opt.Clock()
	o.mu.RLock()
	defer o.mu.RUnlock()
	for _, r := range reports {
		for _, g := range o.groups {
			g.applyReport(now, r)
		}
	}
}

// Status is the state of the online path as shown to operators.
type Status struct {
	InFlight   int                     `json:"in_flight"`
	NotDurable int                     `json:"answers_not_durable_yet"`
	Groups     map[string][]TargetLoad `json:"groups"`
}

// TargetLoad is the load and state of one target.
type TargetLoad struct {
	Address  string  `json:"address"`
	Zone     string  `json:"zone"`
	InFlight int     `json:"in_flight"`
	Estimate float64 `json:"estimated_load"`
	State    string  `json:"state"`
}

// Status returns the current state for operators.
func (o *Online) Status() Status {
	s := Status{InFlight: o.InFlight(), NotDurable: o.finish.pending(), Groups: map[string][]TargetLoad{}}
	now := o.opt.Clock()
	o.mu.RLock()
	defer o.mu.RUnlock()
	for name, g := range o.groups {
		s.Groups[name] = g.loads(now)
	}
	return s
}
