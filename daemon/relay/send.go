package relay

import (
	"context"
	"net/http"
	"time"

	"github.com/joomcode/errorx"
	"go.uber.org/zap"

	"tarragonhollow.example/tarragonhollow/core/roster"
	"tarragonhollow.example/tarragonhollow/target/h1"
)

// drainTimeout bounds the read of the short body of an answer that is not used, after which
// the connection can be reused.
const drainTimeout = 300 * time.Millisecond

// Sender sends requests to targets.
type Sender struct {
	Wire   Wire
	Pool   *h1.Pool
	Logger *zap.Logger
}

// Send sends the request to the target and reads the head of the answer. left is the
// time that the target has, or NoDeadline; after is the ID of the last event already
// received, or NoEvent. Send sets the function in o that matches answers to the request.
//
// The request is sent once, or twice if the answer on a reused connection can't be attributed:
// an error that names no request may be left over from an earlier one. On the new connection
// that is then used it can only be this request's. Only repeatable requests may allow reuse.
// If the target then does not run it, the error is Unattributed: the first one may have been run.
// With the verdict Ran the caller must read and close the answer; with any other verdict
// the answer is nil. Errors are those of h1.Pool.Do.
func (s Sender) Send(ctx context.Context, r *Request, t roster.Target, left time.Duration, after int64, o h1.Options) (*h1.Answer, Verdict, error) {
	o.Matches = func(status int, header http.Header) h1.Match { return s.Wire.Matches(r.ID, status, header) }
	began := time.Now()
	answer, verdict, err := s.sendOnce(ctx, r, t, left, after, o)
	if !errorx.IsOfType(err, h1.Unattributed) {
		return answer, verdict, err
	}
	unattributed := err
	s.Logger.Info("request_resent", zap.String("id", r.ID), zap.String("target", t.ID), zap.Error(err),
		zap.Int64("ms", time.Since(began).Milliseconds()))
	o.MaxIdle = newConnectionOnly
	if left != NoDeadline {
		left = max(left-time.Since(began), time.Millisecond)
	}
	answer, verdict, err = s.sendOnce(ctx, r, t, left, after, o)
	if verdict != Ran || errorx.IsOfType(err, h1.NotSent) {
		return nil, Ran, unattributed
	}
	return answer, Ran, err
}

func (s Sender) sendOnce(ctx context.Context, r *Request, t roster.Target, left time.Duration, after int64, o h1.Options) (*h1.Answer, Verdict, error) {
	answer, err := s.Pool.Do(ctx, t.Address, s.Wire.Prepare(r, t, left, after), o)
	if err != nil {
		return nil, Ran, err
	}
	verdict := s.Wire.Classify(answer.Status, answer.Header)
	if verdict != Ran {
		answer.Drain(drainTimeout)
		answer.Close()
		return nil, verdict, nil
	}
	return answer, Ran, nil
}
