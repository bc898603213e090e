// Package caller is a small client library for callers and operators of a
// fleet: chat completions (streamed or whole), plain services, kept answers,
// batch jobs and the configuration. The try command, the load tool and the
// tests speak to the daemons through it.
package caller

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"

	"tarragonhollow.example/tarragonhollow/core/outcome"
)

// maxAnswerBytes bounds a whole answer in memory.
const maxAnswerBytes = 256 << 20

// Client speaks to one daemon.
type Client struct {
	// HTTP is the client used for all calls; nil is http.DefaultClient.
	HTTP *http.Client
	// Base is the daemon's URL, e.g. http://127.0.0.1:8080.
	Base string
	// Token is the operators' bearer token.
	Token string
}

// Pooled returns an HTTP client with room for many connections to each daemon.
func Pooled() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1024, DisableCompression: true}}
}

// Refused is the error of an answer that is not 2xx.
type Refused struct {
	// Status is the HTTP status.
	Status int
	// Refusal is the daemon's word; its Run is "" if the body held none.
	outcome.Refusal
	// Winner and Version are set when a configuration change lost its race.
	Winner  string
	Version uint64
}

// Error implements error.
func (r *Refused) Error() string { return fmt.Sprintf("status %d: %s", r.Status, r.Refusal.Error()) }

// Unwrap returns the daemon's refusal.
func (r *Refused) Unwrap() error { return &r.Refusal }

// wireRefusal is the body of every refusal.
type wireRefusal struct {
	Error struct {
		Code         outcome.Code     `json:"code"`
		Message      string           `json:"message"`
		Run          outcome.RunState `json:"run"`
		RetryAfterMs int64            `json:"retry_after_ms"`
		Winner       string           `json:"winner"`
		Version      uint64           `json:"version"`
	} `json:"error"`
}

func parseRefusal(status int, body []byte) *Refused {
	var wire wireRefusal
	if err := json.Unmarshal(body, &wire); err != nil {
		wire.Error.Message = string(body)
	}
	e := wire.Error
	return &Refused{
		Status:  status,
		Refusal: outcome.Refusal{Code: e.Code, Message: e.Message, Run: e.Run, RetryAfterMs: e.RetryAfterMs},
		Winner:  e.Winner,
		Version: e.Version,
	}
}

// Options are the headers of a caller's request; empty fields are not sent.
type Options struct {
	// Profile names the class of work.
	Profile string
	// Key is the idempotency key.
	Key string
	// Caller is the account.
	Caller string
	// DeadlineMs may shorten the profile's deadline, in milliseconds.
	DeadlineMs int64
}

func (o Options) apply(h http.Header) {
	set := func(name, value string) {
		if value != "" {
			h.Set(name, value)
		}
	}
	set("Tarragon-Profile", o.Profile)
	set("Idempotency-Key", o.Key)
	set("Tarragon-Caller", o.Caller)
	if o.DeadlineMs > 0 {
		h.Set("Tarragon-Deadline-Ms", strconv.FormatInt(o.DeadlineMs, 10))
	}
}

// send sends a request; the caller closes the answer's body. The request's
// body is hidden from net/http, which would otherwise send it again by itself.
func (c *Client) send(ctx context.Context, method, path string, body io.Reader, o Options, header http.Header) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, method, c.Base+path, body)
	if err != nil {
		return nil, err
	}
	req.GetBody = nil
	for name, values := range header {
		req.Header[name] = values
	}
	o.apply(req.Header)
	// Elsewhere the bearer token would be taken for the caller's identity.
	if c.Token != "" && strings.HasPrefix(path, "/admin/") {
		req.Header.Set("Authorization", "Bearer "+c.Token)
	}
	client := c.HTTP
	if client == nil {
		client = http.DefaultClient
	}
	return client.Do(req)
}

// do sends a request and returns the whole body of a 2xx answer; other answers
// are *Refused.
func (c *Client) do(ctx context.Context, method, path string, body io.Reader, o Options, header http.Header) (int, []byte, error) {
	resp, err := c.send(ctx, method, path, body, o, header)
	if err != nil {
		return 0, nil, err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return resp.StatusCode, nil, err
	}
	if resp.StatusCode/100 != 2 {
		return resp.StatusCode, text, parseRefusal(resp.StatusCode, text)
	}
	return resp.StatusCode, text, nil
}

// Ready returns nil when the daemon serves callers.
func (c *Client) Ready(ctx context.Context) error {
	_, _, err := c.do(ctx, http.MethodGet, "/readyz", nil, Options{}, nil)
	return err
}

// Service calls a plain service and returns its status and body.
func (c *Client) Service(ctx context.Context, o Options, method, service, path string, body []byte) (int, []byte, error) {
	return c.do(ctx, method, "/v1/services/"+service+path, bytes.NewReader(body), o, nil)
}

// Kept is the state of a keyed request.
type Kept struct {
	State    string `json:"state"`
	Response *struct {
		Status int             `json:"status"`
		Body   json.RawMessage `json:"body"`
	} `json:"response"`
	Error *struct {
		Code outcome.Code     `json:"code"`
		Run  outcome.RunState `json:"run"`
	} `json:"error"`
}

// Kept returns the state of a keyed request of the caller in o.
func (c *Client) Kept(ctx context.Context, o Options, key string) (Kept, error) {
	var kept Kept
	_, text, err := c.do(ctx, http.MethodGet, "/v1/requests/"+key, nil, o, nil)
	if err != nil {
		return kept, err
	}
	return kept, json.Unmarshal(text, &kept)
}

// IsRefused returns the refusal in err's chain, or nil.
func IsRefused(err error) *Refused {
	var refused *Refused
	if errors.As(err, &refused) {
		return refused
	}
	return nil
}
