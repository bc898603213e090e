package extern

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"tarragonhollow.example/tarragonhollow/extern/wire"
)

const (
	// DefaultTimeout bounds a call, not counting the wait of a long poll.
	DefaultTimeout = 5 * time.Second
	// DefaultMaxConns bounds the connections of each kind of call.
	DefaultMaxConns = 64

	dialTimeout      = 2 * time.Second
	idleConnTimeout  = 60 * time.Second
	maxAnswerBytes   = 64 << 20
	maxRefusalBytes  = 4 << 10
	maxShownRefusal  = 200
	jsonContentType  = "application/json"
	bytesContentType = "application/octet-stream"
)

// Options configures a client of one of the platform's services.
type Options struct {
	// URL is the service's base, such as http://10.0.0.7:9000.
	URL string
	// Client names the calling daemon to the service; it may be empty.
	Client string
	// Timeout bounds each call in addition to the context's deadline, not counting
	// the wait of a long poll; 0 means DefaultTimeout.
	Timeout time.Duration
	// MaxConns bounds the connections of each kind of call; 0 means DefaultMaxConns.
	// A log client needs one for each stream that it follows, since a long poll
	// occupies its connection.
	MaxConns int
}

func (o Options) validate() (Options, error) {
	base, err := url.Parse(o.URL)
	if err != nil {
		return o, Invalid.Wrap(err, "url %q", o.URL)
	}
	if base.Host == "" || (base.Scheme != "http" && base.Scheme != "https") {
		return o, Invalid.New("url %q: want http://IP:PORT", o.URL)
	}
	if o.Timeout < 0 || o.MaxConns < 0 {
		return o, Invalid.New("timeout and max conns must not be negative")
	}
	if o.Timeout == 0 {
		o.Timeout = DefaultTimeout
	}
	if o.MaxConns == 0 {
		o.MaxConns = DefaultMaxConns
	}
	o.URL = strings.TrimSuffix(o.URL, "/")
	return o, nil
}

// httpClient sends one kind of call over its own connection pool.
type httpClient struct {
	opts Options
	http *http.Client
}

func newHTTPClient(opts Options) *httpClient {
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxConnsPerHost:     opts.MaxConns,
		MaxIdleConnsPerHost: opts.MaxConns,
		IdleConnTimeout:     idleConnTimeout,
		DisableCompression:  true,
	}
	// A redirect with status 307 or 308 would send an append a second time.
	noRedirect := func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return &httpClient{opts: opts, http: &http.Client{Transport: transport, CheckRedirect: noRedirect}}
}

func (c *httpClient) close() { c.http.CloseIdleConnections() }

// request is one call. With post set it is a POST with the body.
type request struct {
	path  string
	query url.Values
	body  []byte
	post  bool
	wait  time.Duration
}

// do sends the call and decodes a 2xx response into v. Every error has one of this
// package's types; a failure that may have happened after the request was sent is
// OutcomeUnknown.
//
// net/http retries a request automatically if a reused connection turns out to be
// closed. For an append that could write the same record to the log twice. It does so
// only for idempotent methods, for requests with an Idempotency-Key or
// X-Idempotency-Key header, and if not a single byte was written. Only the last rule
// applies to a POST without those headers, and it is safe. Such a header must
// therefore never be set here.
func (c *httpClient) do(ctx context.Context, r request, v any) error {
	ctx, cancel := context.WithTimeout(ctx, c.opts.Timeout+r.wait)
	defer cancel()
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		// net/http makes a second attempt of an append only if the first wrote nothing.
		GetConn: func(string) { connected.Store(false) },
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	req, err := c.newRequest(ctx, r)
	if err != nil {
		return Invalid.Wrap(err, "request %s", r.path)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return sendError(err, connected.Load())
	}
	defer resp.Body.Close()
	if resp.StatusCode/100 != http.StatusOK/100 {
		return statusError(resp)
	}
	if err := decodeAnswer(resp.Body, v); err != nil {
		return OutcomeUnknown.Wrap(err, "answer of %s", r.path)
	}
	return nil
}

func (c *httpClient) newRequest(ctx context.Context, r request) (*http.Request, error) {
	method := http.MethodGet
	var body io.Reader
	if r.post {
		method = http.MethodPost
		body = strings.NewReader(string(r.body))
	}
	target := c.opts.URL + r.path
	if len(r.query) > 0 {
		target += "?" + r.query.Encode()
	}
	req, err := http.NewRequestWithContext(ctx, method, target, body)
	if err != nil {
		return nil, err
	}
	if r.post {
		req.Header.Set("Content-Type", bytesContentType)
	}
	req.Header.Set("Accept", jsonContentType)
	if c.opts.Client != "" {
		req.Header.Set(wire.ClientHeader, c.opts.Client)
	}
	return req, nil
}

// sendError returns the typed error of a failed exchange. Without a connection no
// byte can have been sent, whatever ended the attempt: a refused dial, a timeout or a
// cancelled context.
func sendError(err error, connected bool) error {
	if !connected {
		return LogUnavailable.Wrap(err, "not connected")
	}
	return OutcomeUnknown.Wrap(err, "no answer")
}

// statusError returns the typed error of a response other than 2xx. A status that a
// service returns only before any effect is a plain refusal. A status that an
// intermediary may return after it forwarded the request (500, 502, 504) leaves the
// outcome unknown.
func statusError(resp *http.Response) error {
	refusal := readRefusal(resp)
	switch status := resp.StatusCode; {
	case status == http.StatusServiceUnavailable:
		return LogUnavailable.New("status 503: %s", refusal.Error)
	case status == http.StatusTooManyRequests:
		return NewLimited(retryAfter(resp, refusal), "status 429: %s", refusal.Error)
	case status == http.StatusRequestEntityTooLarge:
		return RecordTooLarge.New("status 413: %s", refusal.Error)
	case status == http.StatusNotFound:
		return NotFound.New("status 404: %s", refusal.Error)
	case status >= 300 && status < 500 && status != http.StatusRequestTimeout:
		return Invalid.New("status %d: %s", status, refusal.Error)
	default:
		return OutcomeUnknown.New("status %d: %s", status, refusal.Error)
	}
}

// readRefusal reads the error body. A body that is not a wire.Error is returned as
// text, cut to maxShownRefusal bytes.
func readRefusal(resp *http.Response) wire.Error {
	text, _ := io.ReadAll(io.LimitReader(resp.Body, maxRefusalBytes))
	var refusal wire.Error
	if json.Unmarshal(text, &refusal) != nil {
		refusal = wire.Error{Error: string(text[:min(len(text), maxShownRefusal)])}
	}
	return refusal
}

// retryAfter returns the body's retry time in milliseconds or, if it has none, the
// Retry-After header's in whole seconds.
func retryAfter(resp *http.Response, refusal wire.Error) time.Duration {
	if refusal.RetryAfterMs > 0 {
		return time.Duration(refusal.RetryAfterMs) * time.Millisecond
	}
	seconds, err := strconv.ParseInt(resp.Header.Get("Retry-After"), 10, 32)
	if err != nil || seconds < 0 {
		return 0
	}
	return time.Duration(seconds) * time.Second
}

// decodeAnswer decodes the body into v. It reads the whole body, so that the
// connection can be reused, but refuses one of more than maxAnswerBytes, which bounds
// the memory used.
func decodeAnswer(body io.Reader, v any) error {
	text, err := io.ReadAll(io.LimitReader(body, maxAnswerBytes+1))
	if err != nil {
		return err
	}
	if len(text) > maxAnswerBytes {
		return errors.New("answer exceeds the client's limit")
	}
	return json.Unmarshal(text, v)
}
