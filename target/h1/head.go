package h1

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
)

const (
	// maxUnmatched is the maximum number of answers to other requests that are
	// skipped before the request's own answer.
	maxUnmatched = 2
	// maxUnmatchedBytes is the maximum size of the body of such an answer.
	maxUnmatchedBytes = 1 << 20
	// maxInformational is the maximum number of 1xx answers before the final one.
	maxInformational = 5
)

// awaitHead waits for the head of the answer within the limits of o.
func awaitHead(ctx context.Context, c *conn, r *Request, isNew bool, o Options) (*head, error) {
	maxWait := o.MaxWait
	if o.HeadWait != nil {
		maxWait = 0
		defer o.HeadWait()()
	}
	if err := setReadTimeout(ctx, c, o.Deadline, maxWait); err != nil {
		return nil, err
	}
	return readHead(c, r, isNew, o)
}

// readHead returns the first answer that belongs to the request. It skips a few answers to other
// requests.
func readHead(c *conn, r *Request, isNew bool, o Options) (*head, error) {
	for unmatched := 0; ; {
		h, err := c.readFinalHead(r.Method)
		if err != nil {
			return nil, err
		}
		match := Own
		if o.Matches != nil {
			match = o.Matches(h.status, h.header)
		}
		switch {
		case match == Own || match == Unnamed && isNew:
			return h, nil
		case match == Unnamed:
			return nil, Unattributed.New("%s: an answer with status %d that names no request", c.address, h.status)
		}
		if unmatched++; unmatched > maxUnmatched {
			return nil, errors.New("received only answers to other requests")
		}
		if err := discard(c, h); err != nil {
			return nil, err
		}
	}
}

// readFinalHead reads the head of the next final answer and skips informational ones.
func (c *conn) readFinalHead(method string) (*head, error) {
	for range maxInformational + 1 {
		h, err := readAnswerHead(c.reader, method, c.reserveHead)
		switch {
		case err != nil:
			return nil, err
		case h.status == http.StatusSwitchingProtocols:
			// Requests ask for no other protocol. What follows is no HTTP answer.
			return nil, errors.New("received an answer with status " + strconv.Itoa(h.status))
		case h.status >= http.StatusOK:
			return h, nil
		}
	}
	return nil, errors.New("too many informational answers")
}

func discard(c *conn, h *head) error {
	n, err := io.Copy(io.Discard, io.LimitReader(c.newBody(h), maxUnmatchedBytes+1))
	if err == nil && n > maxUnmatchedBytes {
		return errors.New("the answer to another request is too long")
	}
	if err == nil && h.closes() {
		return errors.New("the connection ended after the answer to another request")
	}
	return err
}
