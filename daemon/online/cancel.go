package online

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"tarragonhollow.example/tarragonhollow/daemon/duty"
)

const (
	// cancelQueueSize bounds the queued cancels. When the queue is full, the engine has
	// to notice the closed connection itself.
	cancelQueueSize = 1024
	// cancelTimeout bounds one cancel call, cancelParallel the number in flight.
	cancelTimeout  = time.Second
	cancelParallel = 8
)

// abandonedStream is a stream whose answer is no longer wanted.
type abandonedStream struct {
	address, stream string
}

// canceller cancels abandoned streams at their engines. Not every engine notices a
// closed connection; one that does not would generate the rest of an unwanted answer.
// Cancels are asynchronous, and cancelling an unknown stream is not an error.
type canceller struct {
	opt   Options
	queue *duty.Queue[abandonedStream]
}

func newCanceller(o Options) *canceller {
	return &canceller{opt: o, queue: duty.NewQueue[abandonedStream](cancelQueueSize)}
}

func (c *canceller) cancelLoop(ctx context.Context) {
	var calls errgroup.Group
	calls.SetLimit(cancelParallel)
	defer func() { _ = calls.Wait() }()
	for {
		select {
		case <-ctx.Done():
			return
		case o := <-c.queue.C():
			calls.Go(func() error {
				call, cancel := context.WithTimeout(ctx, cancelTimeout)
				defer cancel()
				return c.opt.Engine.Cancel(call, o.address, o.stream)
			})
		}
	}
}
