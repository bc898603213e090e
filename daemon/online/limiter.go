package online

import (
	"context"
	"sync"

	"tarragonhollow.example/tarragonhollow/api"
	"tarragonhollow.example/tarragonhollow/core/config"
	"tarragonhollow.example/tarragonhollow/core/limits"
	"tarragonhollow.example/tarragonhollow/core/outcome"
)

// limiter counts the requests in flight and enforces the configured limits.
type limiter struct {
	opt     Options
	shares  *shares
	mu      sync.Mutex
	total   int
	callers map[string]int
}

func newLimiter(o Options) (*limiter, error) {
	s, err := newShares(o)
	if err != nil {
		return nil, err
	}
	return &limiter{opt: o, shares: s, callers: map[string]int{}}, nil
}

func (l *limiter) inFlight() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.total
}

// shareLoop keeps this daemon's shares of the caller limits up to date.
func (l *limiter) shareLoop(ctx context.Context) { l.shares.loop(ctx) }

// admit counts a request as in flight or refuses it, before any other work is done for
// it. The returned context ends at the request's deadline; the returned function releases
// the request's slot.
func (o *Online) admit(ctx context.Context, call api.Call, c *config.Config) (context.Context, func(), *outcome.Refusal) {
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
	if refusal := o.limiter.acquire(call.Caller, c.Limits); refusal != nil {
		return ctx, nil, refusal
	}
	ctx, cancel := context.WithDeadline(ctx, call.Deadline)
	releaseShare, refusal := o.limiter.shares.acquire(ctx, call)
	if refusal != nil {
		cancel()
		o.limiter.release(call.Caller)
		return ctx, nil, refusal
	}
	return ctx, func() {
		cancel()
		releaseShare()
		o.limiter.release(call.Caller)
	}, nil
}

// acquire enforces this daemon's local limits, in total and per caller.
func (l *limiter) acquire(caller string, bounds config.Limits) *outcome.Refusal {
	l.mu.Lock()
	defer l.mu.Unlock()
	if bounds.InFlight > 0 && l.total >= bounds.InFlight {
		return outcome.Refuse(outcome.Overloaded, "this daemon runs its limit of %d requests", bounds.InFlight).
			After(limits.RetryAfterMs)
	}
	if bounds.InFlightPerCaller > 0 && l.callers[caller] >= bounds.InFlightPerCaller {
		return outcome.Refuse(outcome.CallerLimit, "%d requests of this caller run here, the limit", bounds.InFlightPerCaller).
			After(limits.RetryAfterMs)
	}
	l.total++
	l.callers[caller]++
	return nil
}

func (l *limiter) release(caller string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.total--
	l.callers[caller]--
	if l.callers[caller] <= 0 {
		delete(l.callers, caller)
	}
}
