package relay

import (
	"context"
	"errors"
	"time"

	"tarragonhollow.example/tarragonhollow/core/outcome"
	"tarragonhollow.example/tarragonhollow/core/retry"
)

// errStopped is the cause with which a planned stop ends the requests that still run.
var errStopped = errorNamespace.NewType("stopped").New("the daemon stops")

// withStop returns a context that ends, with errStopped, when a planned stop ends requests.
func (r *Relay) withStop(ctx context.Context) (context.Context, func()) {
	if r.Ended == nil {
		return ctx, func() {}
	}
	ctx, cancel := context.WithCancelCause(ctx)
	release := context.AfterFunc(r.Ended, func() { cancel(errStopped) })
	return ctx, func() { release(); cancel(nil) }
}

// stopped returns the refusal of a request that a planned stop has ended, nil for any other.
func stopped(ctx context.Context) *outcome.Refusal {
	if !errors.Is(context.Cause(ctx), errStopped) {
		return nil
	}
	return outcome.Refuse(outcome.NotReady, "the daemon stopped before the request ended")
}

// refuseLate returns a refusal for a request that has not run and is not known to end before a planned
// stop ends it: by its deadline, or by how long requests of its route take.
//
// Failure guarded against: a request that is passed on late in a stop is ended at its end. Another
// daemon can serve it, and afterwards, if it may not be repeated, none.
func (s *requestState) refuseLate() *outcome.Refusal {
	if s.runs > 0 || s.delivery.headSent || s.relay.StopsAt == nil {
		return nil
	}
	at, stops := s.relay.StopsAt()
	if !stops || !s.request.Deadline.After(at) {
		return nil
	}
	if bound, known := s.relay.longestRun(s.request.Route.Name); known && bound <= time.Until(at) {
		return nil
	}
	return outcome.Refuse(outcome.NotReady, "the daemon stops, maybe before the request would end")
}

// longestRun returns how long requests of a route run at most; known is false if too few are known.
func (r *Relay) longestRun(route string) (bound time.Duration, known bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if l := r.longestRuns[route]; l != nil {
		return l.Bound(time.Now())
	}
	return 0, false
}

// noteRun records how long a request of a route ran, 0 for one that did not succeed.
func (r *Relay) noteRun(route string, took time.Duration) {
	if took == 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.longestRuns[route] == nil {
		r.longestRuns[route] = &retry.LongestRun{}
	}
	r.longestRuns[route].Ended(time.Now(), took)
}
