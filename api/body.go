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

// bodyReader reads a request's body and limits its size and the time that the caller
// may take to send it.
//
// It guards against a caller that sends a byte now and then and so holds a connection
// and a partial body for hours. Only the time spent waiting in reads is counted, so
// that a well-behaved caller is not cut off when the backend reads slowly
// (backpressure on a job).
type bodyReader struct {
	body io.Reader
	ctl  *http.ResponseController
	// state.bodyRead is set when the body has been read completely.
	state *requestState
	// remaining is how many more bytes are allowed. It is negative if the body is over
	// the limit.
	remaining int64
	// allowance is the remaining time for waiting. Each byte received adds perByte.
	allowance time.Duration
	perByte   time.Duration
	stall     time.Duration
	// until, if not zero, is when reading ends regardless of the rate.
	until time.Time
}

// noDeadline means that only the rate of a body is limited.
var noDeadline time.Time

// newBodyReader returns a reader of c's body that is limited to limit bytes. A body
// whose stated length is over the limit is refused before anything is read.
func (s *Server) newBodyReader(c echo.Context, limit int64, until time.Time) (*bodyReader, error) {
	req := c.Request()
	if req.ContentLength > limit {
		return nil, tooLarge(limit)
	}
	return &bodyReader{
		body:      req.Body,
		state:     stateOf(c),
		ctl:       http.NewResponseController(c.Response().Writer),
		remaining: limit,
		allowance: s.opts.BodyStall,
		perByte:   time.Second / time.Duration(s.opts.MinBodyRate),
		stall:     s.opts.BodyStall,
		until:     until,
	}, nil
}

// tooLarge returns the refusal of a body over limit bytes.
func tooLarge(limit int64) *outcome.Refusal {
	return outcome.Refuse(outcome.TooLarge, "the body is over the limit of %d bytes", limit)
}

// Read implements io.Reader. Every error except io.EOF is a *outcome.Refusal.
func (b *bodyReader) Read(p []byte) (int, error) {
	if b.remaining < 0 {
		return 0, outcome.Refuse(outcome.TooLarge, "the body is over the limit")
	}
	// Reading one byte more than allowed distinguishes "over the limit" from "exactly
	// at the limit".
	if int64(len(p)) > b.remaining+1 {
		p = p[:b.remaining+1]
	}
	began := time.Now()
	_ = b.ctl.SetReadDeadline(b.deadline(began))
	n, err := b.body.Read(p)
	b.remaining -= int64(n)
	b.allowance += time.Duration(n)*b.perByte - time.Since(began)
	if b.remaining < 0 {
		return 0, outcome.Refuse(outcome.TooLarge, "the body is over the limit")
	}
	return n, b.translate(err)
}

// deadline returns the time by which the next read must have received something.
func (b *bodyReader) deadline(now time.Time) time.Time {
	deadline := now.Add(min(b.allowance, b.stall))
	if !b.until.IsZero() && b.until.Before(deadline) {
		return b.until
	}
	return deadline
}

// translate converts a read error to a refusal. The read deadline need not be cleared
// at the end of the body: net/http clears it when it starts its background read of the
// connection.
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

// readBody reads the complete body of an online request. release must be called when
// the body is no longer used; it is never nil.
func (s *Server) readBody(c echo.Context, caller string, limit int64, until time.Time) (body []byte, release func(), err error) {
	claim := s.bodies.Claim(caller)
	reader, err := s.newBodyReader(c, limit, until)
	if err != nil {
		return nil, claim.Release, err
	}
	body, err = claim.ReadAll(reader, c.Request().ContentLength)
	return body, claim.Release, err
}
