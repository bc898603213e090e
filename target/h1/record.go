package h1

import (
	"context"
	"errors"
	"io"
	"os"
	"syscall"
	"time"

	"github.com/joomcode/errorx"
)

// End is how an exchange ended.
type End string

const (
	// EndNone is an exchange that has not ended.
	EndNone End = ""
	// EndNotSent is an exchange without a connection to the target.
	EndNotSent End = "not_sent"
	// EndFraming is the end that the answer's framing gives: its length or its last chunk.
	EndFraming End = "framing"
	// EndConnection is the orderly end of the connection after an unframed answer. It may be
	// the end of the answer or that of its target.
	EndConnection End = "connection_end"
	// EndTargetGone is EndConnection where the target is not known to exist any more; see
	// Answer.ConfirmEnd.
	EndTargetGone End = "target_gone"
	// EndTargetLeft is EndTargetGone where the target has left in order; see Answer.Leaves.
	EndTargetLeft End = "target_left"
	// EndCut is the orderly end of the connection before the end of the answer.
	EndCut End = "cut"
	// EndReset is a connection that was reset.
	EndReset End = "reset"
	// EndInvalid is an answer that is not valid, or not the request's.
	EndInvalid End = "invalid"
	// EndTimeout is an exchange whose target sent nothing for longer than it may.
	EndTimeout End = "timeout"
	// EndDeadline is an exchange that was ended at its deadline.
	EndDeadline End = "deadline"
	// EndCancelled is an exchange whose context was cancelled before the deadline.
	EndCancelled End = "cancelled"
	// EndAbandoned is an answer that was closed before it was read to its end.
	EndAbandoned End = "abandoned"
)

// Record is what is known of an exchange, for logs and metrics.
type Record struct {
	// Status and Framing are those of the answer, 0 and "" before its head.
	Status  int
	Framing Framing
	// Reused reports that the connection had carried another request before.
	Reused  bool
	End     End
	EndedAt time.Time
}

// end records the first end of the exchange.
func (r *Record) end(e End) {
	if r.End == EndNone {
		r.End, r.EndedAt = e, time.Now()
	}
}

// endOf returns the end that an error of reading the answer means.
func endOf(ctx context.Context, deadline time.Time, err error) End {
	switch {
	case errors.Is(context.Cause(ctx), context.DeadlineExceeded):
		return EndDeadline
	case errorx.IsOfType(context.Cause(ctx), Silent):
		return EndTimeout
	case ctx.Err() != nil:
		return EndCancelled
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		return EndCut
	case errors.Is(err, syscall.ECONNRESET), errors.Is(err, syscall.EPIPE):
		return EndReset
	case errors.Is(err, os.ErrDeadlineExceeded) && !time.Now().Before(deadline):
		return EndDeadline
	case errors.Is(err, os.ErrDeadlineExceeded):
		return EndTimeout
	case isReset(err):
		return EndReset // another error of the kernel, such as ETIMEDOUT of a peer that is gone
	default:
		return EndInvalid
	}
}
