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
func awaitHead(ctx context.Context, c *conn, r *Request, isNew bool, o Options) (*http.Response, error) {
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

// readHead returns the first answer that belongs to the request. It skips
// informational answers and a few answers to other requests.
func readHead(c *conn, r *Request, isNew bool, o Options) (*http.Response, error) {
	for unmatched, informational := 0, 0; ; {
		response, err := readResponse(c.reader, r.Method)
		if err != nil {
			return nil, err
		}
		if response.StatusCode < 100 || response.StatusCode == http.StatusSwitchingProtocols {
			// Requests ask for no other protocol. What follows is no HTTP answer.
			return nil, errors.New("received an answer with status " + strconv.Itoa(response.StatusCode))
		}
		if response.StatusCode < 200 {
			if informational++; informational > maxInformational {
				return nil, errors.New("too many informational answers")
			}
			continue
		}
		match := Own
		if o.Matches != nil {
			match = o.Matches(response.StatusCode, response.Header)
		}
		switch {
		case match == Own || match == Unnamed && isNew:
			return response, nil
		case match == Unnamed:
			return nil, Unattributed.New("%s: an answer with status %d that names no request", c.address, response.StatusCode)
		}
		if unmatched++; unmatched > maxUnmatched {
			return nil, errors.New("received only answers to other requests")
		}
		if err := discard(response); err != nil {
			return nil, err
		}
	}
}

func discard(response *http.Response) error {
	n, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxUnmatchedBytes+1))
	if err == nil && n > maxUnmatchedBytes {
		return errors.New("the answer to another request is too long")
	}
	if err == nil && response.Close {
		return errors.New("the connection ended after the answer to another request")
	}
	return err
}
