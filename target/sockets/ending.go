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

// maxLookTime is how long after the end of a connection a new one to its target may be established
// to show that it still stands. A process that starts again takes longer; this process may have
// been suspended in between.
const maxLookTime = 3 * endingTime

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
// ends connections before and after the end, or resets them before and keeps one after: the end of
// the answer has made room. The latter counts under the same condition as an accepting address,
// and only within maxLookTime.
//
// What is not noticed is a target that is killed before the second connection is open, or while it
// resets it, and restarts at the same address within endingTime, unless ctx is cancelled for that.
func ConfirmEnd(ctx context.Context, answer net.Conn, w *Witness, reachable func(context.Context) bool) error {
	raw, isRaw := answer.(syscall.Conn)
	fresh := isRaw && isFresh(raw)
	ended := time.Now()
	if !pause(ctx, endingTime) {
		return context.Cause(ctx)
	}
	var confirmed bool
	switch w.check(ctx) {
	case witnessOpen:
		confirmed = true
	case witnessEnded:
		confirmed = w.again(ctx, ended) == witnessEnded
	case witnessReset:
		again := w.again(ctx, ended)
		confirmed = again == witnessReset || fresh && again == witnessOpen
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

// EndDelay returns how long after the last bytes the other side's latest segment arrived, which is
// the end of the connection once that has been read. The kernel counts the time, in steps of its
// timer, also while this process is suspended or waits for a processor.
func EndDelay(conn net.Conn) (time.Duration, error) {
	raw, ok := conn.(syscall.Conn)
	if !ok {
		return 0, errors.ErrUnsupported
	}
	info, err := tcpInfo(raw)
	if err != nil {
		return 0, err
	}
	return time.Duration(int64(info.Last_data_recv)-int64(info.Last_ack_recv)) * time.Millisecond, nil
}
