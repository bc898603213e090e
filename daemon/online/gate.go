package online

import (
	"context"
	"sync"

	"tarragonhollow.example/tarragonhollow/api"
	"tarragonhollow.example/tarragonhollow/core/config"
	"tarragonhollow.example/tarragonhollow/core/limits"
	"tarragonhollow.example/tarragonhollow/core/outcome"
)

// gate counts the requests in flight and holds the limits.
type gate struct {
	opt     Options
	shares  *shares
	mu      sync.Mutex
	total   int
	callers map[string]int
}

func newGate(o Options) (*gate, error) {
	s, err := newShares(o)
	if err != nil {
		return nil, err
	}
	return &gate{opt: o, shares: s, callers: map[string]int{}}, nil
}

func (g *gate) inFlight() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.total
}

// shareLoop keeps this daemon's shares of the callers' limits current.
func (g *gate) shareLoop(ctx context.Context) { g.shares.loop(ctx) }

// enter counts a request in flight or refuses it, before anything else is done
// for it. The returned context ends at the request's deadline.
func (o *Online) enter(ctx context.Context, call api.Call, c *config.Config) (context.Context, func(), *outcome.Refusal) {
	if o.draining.Load() {
		return ctx, nil, outcome.Refuse(outcome.Draining, "this daemon is stopping").After(drainRetryMs)
	}
	if call.Key == "" && !call.Profile.Repeatable {
		return ctx, nil, outcome.Refuse(outcome.KeyRequired,
			"profile %s is not repeatable: send an Idempotency-Key", call.Profile.Name)
	}
	if !o.opt.Clock().Before(call.Deadline) {
		return ctx, nil, outcome.Refuse(outcome.DeadlineExceeded, "the deadline passed before the start")
	}
	if refusal := o.gate.enter(call.Caller, c.Limits); refusal != nil {
		return ctx, nil, refusal
	}
	ctx, cancel := context.WithDeadline(ctx, call.Deadline)
	releaseShare, refusal := o.gate.shares.acquire(ctx, call)
	if refusal != nil {
		cancel()
		o.gate.leave(call.Caller)
		return ctx, nil, refusal
	}
	return ctx, func() {
		cancel()
		releaseShare()
		o.gate.leave(call.Caller)
	}, nil
}

// enter holds this daemon's own bounds.
func (g *gate) enter(caller string, l config.Limits) *outcome.Refusal {
	g.mu.Lock()
	defer g.mu.Unlock()
	if l.InFlight > 0 && g.total >= l.InFlight {
		return outcome.Refuse(outcome.Overloaded, "this daemon runs its limit of %d requests", l.InFlight).
			After(limits.RetryAfterMs)
	}
	if l.InFlightPerCaller > 0 && g.callers[caller] >= l.InFlightPerCaller {
		return outcome.Refuse(outcome.CallerLimit, "%d requests of this caller run here, the limit", l.InFlightPerCaller).
			After(limits.RetryAfterMs)
	}
	g.total++
	g.callers[caller]++
	return nil
}

func (g *gate) leave(caller string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.total--
	g.callers[caller]--
	if g.callers[caller] <= 0 {
		delete(g.callers, caller)
	}
}
