package api

import (
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/labstack/echo/v4"

	"tarragonhollow.example/tarragonhollow/core/outcome"
)

// bodyReader reads a request's body with a bound on its size and on how long
// the caller may take.
//
// Failure guarded against: a caller that sends a byte now and then holds a
// connection and a part of a body for hours. Only the time that a read waits is
// counted, so that a backend that pulls slowly (backpressure on a job) does not
// cut an honest caller.
type bodyReader struct {
	body io.Reader
	ctl  *http.ResponseController
	// state learns when the body is whole.
	state *requestState
	// left is how many bytes may still come.
	left int64
	// allowance is how much waiting is left; each byte earns some more.
	allowance time.Duration
	perByte   time.Duration
	stall     time.Duration
	// until ends the reading whatever the rate, if not zero.
	until time.Time
}

// noDeadline leaves a body to its rate alone.
var noDeadline time.Time

// newBodyReader bounds c's body to limit bytes. A stated length over the limit
// is refused before a byte is read.
func (s *Server) newBodyReader(c echo.Context, limit int64, until time.Time) (*bodyReader, error) {
	req := c.Request()
	if req.ContentLength > limit {
		return nil, tooLarge(limit)
	}
	return &bodyReader{
		body:      req.Body,
		state:     stateOf(c),
		ctl:       http.NewResponseController(c.Response().Writer),
		left:      limit,
		allowance: s.opts.BodyStall,
		perByte:   time.Second / time.Duration(s.opts.MinBodyRate),
		stall:     s.opts.BodyStall,
		until:     until,
	}, nil
}

// tooLarge is the refusal of a body over limit bytes.
func tooLarge(limit int64) *outcome.Refusal {
	return outcome.Refuse(outcome.TooLarge, "the body is over the limit of %d bytes", limit)
}

// Read implements io.Reader; every error but io.EOF is a *outcome.Refusal.
func (b *bodyReader) Read(p []byte) (int, error) {
	if b.left < 0 {
		return 0, outcome.Refuse(outcome.TooLarge, "the body is over the limit")
	}
	// One byte more than allowed tells "over the limit" from "exactly at it".
	if int64(len(p)) > b.left+1 {
		p = p[:b.left+1]
	}
	began := time.Now()
	_ = b.ctl.SetReadDeadline(b.deadline(began))
	n, err := b.body.Read(p)
	b.left -= int64(n)
	b.allowance += time.Duration(n)*b.perByte - time.Since(began)
	if b.left < 0 {
		return 0, outcome.Refuse(outcome.TooLarge, "the body is over the limit")
	}
	return n, b.translate(err)
}

// deadline is when the next read must have made progress.
func (b *bodyReader) deadline(now time.Time) time.Time {
	deadline := now.Add(min(b.allowance, b.stall))
	if !b.until.IsZero() && b.until.Before(deadline) {
		return b.until
	}
	return deadline
}

// translate turns a read's error into a refusal. The read deadline needs no
// lifting at the end: net/http clears it as it begins to watch the connection.
func (b *bodyReader) translate(err error) error {
	switch {
	case err == nil:
		return nil
	case errors.Is(err, io.EOF):
		b.state.bodyRead = true
		return io.EOF
	case errors.Is(err, os.ErrDeadlineExceeded):
		return outcome.Refuse(outcome.BadRequest, "the body came too slowly")
	default:
		return outcome.Refuse(outcome.BadRequest, "the body ended early")
	}
}

// readBody reads a whole online body. release must be called when the body is
// no longer used; it is never nil.
func (s *Server) readBody(c echo.Context, caller string, limit int64, until time.Time) (body []byte, release func(), err error) {
	claim := s.bodies.Claim(caller)
	reader, err := s.newBodyReader(c, limit, until)
	if err != nil {
		return nil, claim.Release, err
	}
	body, err = claim.ReadAll(reader, c.Request().ContentLength)
	return body, claim.Release, err
}
