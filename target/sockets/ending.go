package sockets

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"
)

// endingTime is how long after the end of a connection its target is looked for. The kernel
// closes the sockets of a killed process one after another, in many cases its listener last, and
// the process may have to wait for a processor in between.
const endingTime = 100 * time.Millisecond

// ErrGone is the error of ConfirmEnd if the target is not known to exist any more.
var ErrGone = errors.New("the target is not known to exist after the end of its answer")

// ConfirmEnd returns nil if the end of a connection is the end of an answer that has neither a
// length nor chunks. w is what Watch returned for the answer, or nil; reachable reports whether
// the address accepts a new connection.
//
// Failure guarded against: the kernel closes the connections of a killed process in an orderly
// way, which is also how such an answer ends, so that a truncated one appears complete. It is
// complete only if the process still exists afterwards, which the open second connection shows,
// also for a target that is paused. Whether anything accepts at the address shows less: another
// process may do so if the end is read late. It counts only without a second connection, and if
// the end is read less than endingTime after the last bytes. A target at its connection limit
// ends connections before and after the end.
//
// What is not noticed is a target that is killed before the second connection is open and restarts
// at the same address within endingTime, unless ctx is cancelled for that.
func ConfirmEnd(ctx context.Context, answer net.Conn, w *Witness, reachable func(context.Context) bool) error {
	raw, isRaw := answer.(syscall.Conn)
	fresh := isRaw && isFresh(raw)
	if !pause(ctx, endingTime) {
		return context.Cause(ctx)
	}
	var confirmed bool
	switch state := w.check(ctx); state {
	case witnessOpen:
		confirmed = true
	case witnessEnded, witnessReset:
		confirmed = w.repeats(ctx, state)
	case witnessNone:
		confirmed = fresh && reachable(ctx)
	}
	if ctx.Err() != nil {
		return context.Cause(ctx)
	}
	if !confirmed {
		return ErrGone
	}
	return nil
}

// Accepted reports whether the other side accepted a connection whose dial returned err. A
// target at its connection limit resets it at once, and the reset may arrive before connect
// returns; one that is gone refuses.
func Accepted(err error) bool { return err == nil || errors.Is(err, syscall.ECONNRESET) }
