package online

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"tarragonhollow.example/tarragonhollow/daemon/duty"
)

const (
	// cancelRing bounds the cancels that wait; one that finds no room is left
	// to the engine's own notice of the closed connection.
	cancelRing = 1024
	// cancelTimeout bounds one cancel, cancelParallel those in flight.
	cancelTimeout  = time.Second
	cancelParallel = 8
)

// orphan is a stream that nobody waits for any more.
type orphan struct {
	address, stream string
}

// canceller stops streams that were given up. Not every engine notices a closed
// connection; one that does not would generate to the end for nobody. Nobody
// waits for a cancel, and an unknown stream is no error.
type canceller struct {
	opt  Options
	ring *duty.Ring[orphan]
}

func newCanceller(o Options) *canceller {
	return &canceller{opt: o, ring: duty.NewRing[orphan](cancelRing)}
}

func (c *canceller) cancelLoop(ctx context.Context) {
	var calls errgroup.Group
	calls.SetLimit(cancelParallel)
	defer func() { _ = calls.Wait() }()
	for {
		select {
		case <-ctx.Done():
			return
		case o := <-c.ring.C():
			calls.Go(func() error {
				call, cancel := context.WithTimeout(ctx, cancelTimeout)
				defer cancel()
				return c.opt.Engine.Cancel(call, o.address, o.stream)
			})
		}
	}
}
