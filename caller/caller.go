// Package caller is a small client library for callers and operators of a fleet: chat
// completions (streamed or not), plain services, stored answers of keyed requests, batch
// jobs and the configuration. The try command, the load tool and the tests use it to call
// the daemons.
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

// maxAnswerBytes limits a response that is read whole into memory.
const maxAnswerBytes = 256 << 20

// Client sends requests to one daemon.
type Client struct {
	// HTTP is the client used for all calls; nil is http.DefaultClient.
	HTTP *http.Client
	// Base is the daemon's URL, e.g. http://127.0.0.1:8080.
	Base string
	// Token is the operators' bearer token.
	Token string
}

// NewHTTPClient returns an HTTP client that keeps up to 1024 idle connections to each
// daemon.
func NewHTTPClient() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1024, DisableCompression: true}}
}

// Refused is the error for a response whose status is not 2xx.
type Refused struct {
	// Status is the HTTP status.
	Status int
	// Refusal is the refusal in the response's body; its Run is "" if the body has none.
	outcome.Refusal
	// Winner and Version are the author and version of the change that was accepted
	// first, if a configuration change was refused with a version conflict.
	Winner  string
	Version uint64
}

// Error implements error.
func (r *Refused) Error() string { return fmt.Sprintf("status %d: %s", r.Status, r.Refusal.Error()) }

// Unwrap returns the daemon's refusal.
func (r *Refused) Unwrap() error { return &r.Refusal }

// wireRefusal is the JSON body of a refusal.
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

// Options are sent as the headers of a caller's request; empty fields are not sent.
type Options struct {
	// Profile is the name of the profile.
	Profile string
	// Key is the idempotency key.
	Key string
	// Caller is the caller's account.
	Caller string
	// DeadlineMs is the request's deadline in milliseconds; it can only shorten the
	// profile's deadline.
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

// send sends a request. The caller must close the response's body. GetBody is cleared so
// that net/http does not resend the request on its own.
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
	// On other paths the daemon would take the bearer token for the caller's identity.
	if c.Token != "" && strings.HasPrefix(path, "/admin/") {
		req.Header.Set("Authorization", "Bearer "+c.Token)
	}
	client := c.HTTP
	if client == nil {
		client = http.DefaultClient
	}
	return client.Do(req)
}

// do sends a request and returns the status and the whole body. For a status that is not
// 2xx the error is a *Refused.
func (c *Client) do(ctx context.Context, method, path string, body io.Reader, o Options, header http.Header) (int, []byte, error) {
	resp, err := c.send(ctx, method, path, body, o, header)
	if err != nil {
		return 0, nil, err
	}
	defer resp.Body.Close()
	text, err := readWhole(resp.Body, maxAnswerBytes)
	if err != nil {
		return resp.StatusCode, nil, err
	}
	if resp.StatusCode/100 != 2 {
		return resp.StatusCode, text, parseRefusal(resp.StatusCode, text)
	}
	return resp.StatusCode, text, nil
}

// readWhole reads a body of at most limit bytes. A longer one is an error.
func readWhole(body io.Reader, limit int64) ([]byte, error) {
	text, err := io.ReadAll(io.LimitReader(body, limit+1))
	if err == nil && int64(len(text)) > limit {
		err = fmt.Errorf("the response is longer than %d bytes", limit)
	}
	return text, err
}

// Ready returns nil if the daemon is ready to serve callers.
func (c *Client) Ready(ctx context.Context) error {
	_, _, err := c.do(ctx, http.MethodGet, "/readyz", nil, Options{}, nil)
	return err
}

// Service calls a plain service and returns the status and body of the response.
func (c *Client) Service(ctx context.Context, o Options, method, service, path string, body []byte) (int, []byte, error) {
	return c.do(ctx, method, "/v1/services/"+service+path, bytes.NewReader(body), o, nil)
}

// KeyedRequest is the state of a request with an idempotency key.
type KeyedRequest struct {
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

// KeyedRequest returns the state of the request with the given idempotency key and the
// caller in o.
func (c *Client) KeyedRequest(ctx context.Context, o Options, key string) (KeyedRequest, error) {
	var request KeyedRequest
	_, text, err := c.do(ctx, http.MethodGet, "/v1/requests/"+key, nil, o, nil)
	if err != nil {
		return request, err
	}
	return request, json.Unmarshal(text, &request)
}

// AsRefusal returns the *Refused in err's chain, or nil if there is none.
func AsRefusal(err error) *Refused {
	var refused *Refused
	if errors.As(err, &refused) {
		return refused
	}
	return nil
}
