package online

import (
	"context"
	"sync"
	"time"

	"tarragonhollow.example/tarragonhollow/core/config"
	"tarragonhollow.example/tarragonhollow/daemon/duty"
)

const (
	// probeEvery is how often ejected targets are probed.
	probeEvery = 250 * time.Millisecond
	// probeTimeout bounds one probe.
	probeTimeout = 500 * time.Millisecond
)

// healthChecker is implemented by service clients that can probe a target. If the client
// cannot, the first request after the ejection is the probe.
type healthChecker interface {
	Health(ctx context.Context, address string) error
}

// checker returns the client that can probe the group's targets, or nil.
func (o *Online) checker(g *group) healthChecker {
	if g.kind == config.KindEngine {
		return o.opt.Engine
	}
	checker, _ := o.opt.Service.(healthChecker)
	return checker
}

// probeLoop probes ejected targets shortly before their ejection ends, so that no caller's
// request is spent on a dead target.
func (o *Online) probeLoop(ctx context.Context) {
	for duty.Pause(ctx, probeEvery) {
		o.mu.RLock()
		groups := make([]*group, 0, len(o.groups))
		for _, g := range o.groups {
			groups = append(groups, g)
		}
		o.mu.RUnlock()
		var all sync.WaitGroup
		for _, g := range groups {
			checker := o.checker(g)
			if checker == nil {
				continue
			}
			for _, address := range g.probes() {
				all.Go(func() { o.probe(ctx, g, checker, address) })
			}
		}
		all.Wait()
	}
}

func (g *group) probes() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.table.Probes(g.clock())
}

func (o *Online) probe(ctx context.Context, g *group, checker healthChecker, address string) {
	call, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	err := checker.Health(call, address)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.table.RecordProbe(g.clock(), address, err == nil)
}
