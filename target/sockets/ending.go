package sockets

import (
	"context"
	"errors"
	"syscall"
	"time"
)

// endingTime is how long after the end of a connection its target is looked for. The kernel
// closes the sockets of a killed process one after another, in many cases its listener last, and
// the process may have to wait for a processor in between.
const endingTime = 100 * time.Millisecond

// ErrGone is the error of ConfirmEnd if the target does not accept connections.
var ErrGone = errors.New("the target accepts no connections after the end of its answer")

// ConfirmEnd returns nil if the end of a connection is the end of an answer that has neither a
// length nor chunks. reachable reports whether the target accepts a new connection.
//
// Failure guarded against: the kernel closes the connections of a killed process in an orderly
// way, which is also how such an answer ends, so that a truncated one appears complete. It is
// complete only if the target still accepts connections afterwards. A target that is paused or
// has reached its connection limit does. What is not noticed is a target that has restarted at
// the same address within endingTime, unless ctx was cancelled for that.
func ConfirmEnd(ctx context.Context, reachable func(context.Context) bool) error {
	timer := time.NewTimer(endingTime)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
		return context.Cause(ctx)
	}
	accepts := reachable(ctx)
	if ctx.Err() != nil {
		return context.Cause(ctx)
	}
	if !accepts {
		return ErrGone
	}
	return nil
}

// Accepted reports whether the other side accepted a connection whose dial returned err. A
// target at its connection limit resets it at once, and the reset may arrive before connect
// returns; one that is gone refuses.
func Accepted(err error) bool { return err == nil || errors.Is(err, syscall.ECONNRESET) }
