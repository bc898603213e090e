package relay

import (
	"context"
	"net/http"
	"time"

	"tarragonhollow.example/tarragonhollow/core/roster"
	"tarragonhollow.example/tarragonhollow/target/h1"
)

// drainTimeout bounds the read of the short body of an answer that is not used, after which
// the connection can be reused.
const drainTimeout = 300 * time.Millisecond

// Sender sends requests to targets.
type Sender struct {
	Wire Wire
	Pool *h1.Pool
}

// Send sends the request to the target once and reads the head of the answer. left is the
// time that the target has, or NoDeadline; after is the ID of the last event already
// received, or NoEvent. Send sets the function in o that matches answers to the request.
// With the verdict Ran the caller must read and close the answer; with any other verdict
// the answer is nil. Errors are those of h1.Pool.Do.
func (s Sender) Send(ctx context.Context, r *Request, t roster.Target, left time.Duration, after int64, o h1.Options) (*h1.Answer, Verdict, error) {
	o.Matches = func(status int, header http.Header) bool { return s.Wire.Matches(r.ID, status, header) }
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
