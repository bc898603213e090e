package target

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strings"
	"sync/atomic"
	"time"
)

// ClientOptions sets up the HTTP clients. DefaultClientOptions fills all fields.
type ClientOptions struct {
	// OnlineConnections and BatchConnections bound the connections to one
	// target, for each urgency on its own: batch can never make an online
	// request wait for a connection.
	OnlineConnections int
	BatchConnections  int
	// DialTimeout bounds the opening of a connection.
	DialTimeout time.Duration
	// IdleTimeout is how long an unused connection stays open.
	IdleTimeout time.Duration
	// ControlTimeout bounds calls that run nothing: cancel, load, events,
	// orders and health.
	ControlTimeout time.Duration
	// MaxAnswerBytes bounds a whole answer in memory.
	MaxAnswerBytes int64
}

// DefaultClientOptions returns the options for targets within a region.
func DefaultClientOptions() ClientOptions {
	return ClientOptions{
		OnlineConnections: 256,
		BatchConnections:  64,
		DialTimeout:       time.Second,
		IdleTimeout:       30 * time.Second,
		ControlTimeout:    2 * time.Second,
		MaxAnswerBytes:    16 << 20,
	}
}

const (
	// controlConnections bounds the connections to one target for control calls:
	// a cancel must get through while all others are busy.
	controlConnections = 4
	// drainTimeout bounds the wait for the end of an answer that is already
	// whole; when it is over the connection is closed instead of reused.
	drainTimeout = 100 * time.Millisecond
	// maxRefusalBytes is how much of a refusal's body is read.
	maxRefusalBytes = 4 << 10
	// maxAnswerHeaderBytes bounds a target's response header.
	maxAnswerHeaderBytes = 64 << 10
)

// pools holds one connection pool for each kind of call.
type pools struct {
	opts    ClientOptions
	online  *http.Transport
	batch   *http.Transport
	control *http.Transport
}

func newPools(o ClientOptions) *pools {
	return &pools{
		opts:    o,
		online:  newTransport(o, o.OnlineConnections),
		batch:   newTransport(o, o.BatchConnections),
		control: newTransport(o, controlConnections),
	}
}

func newTransport(o ClientOptions, connections int) *http.Transport {
	dialer := &net.Dialer{Timeout: o.DialTimeout}
	return &http.Transport{
		DialContext:            dialer.DialContext,
		MaxConnsPerHost:        connections,
		MaxIdleConnsPerHost:    connections,
		IdleConnTimeout:        o.IdleTimeout,
		MaxResponseHeaderBytes: maxAnswerHeaderBytes,
		DisableCompression:     true,
	}
}

// byUrgency returns the pool for the context's urgency; unstated is online.
func (p *pools) byUrgency(ctx context.Context) *http.Transport {
	if UrgencyFrom(ctx) == UrgencyBatch {
		return p.batch
	}
	return p.online
}

// Close closes the idle connections.
func (p *pools) Close() {
	p.online.CloseIdleConnections()
	p.batch.CloseIdleConnections()
	p.control.CloseIdleConnections()
}

// call is one HTTP request to a target.
type call struct {
	method  string
	address string
	// path begins with a slash and includes the raw query.
	path   string
	header http.Header
	body   []byte
}

// send makes exactly one attempt at the call and returns the response, whose
// body the caller closes, or a *Failure.
//
// It uses the transport's RoundTrip, not http.Client, because a client would
// follow a redirect with a second request.
func send(ctx context.Context, tr *http.Transport, c call) (*http.Response, error) {
	u, err := url.Parse("http://" + c.address + c.path)
	if err != nil || !strings.HasPrefix(c.path, "/") {
		return nil, &Failure{Rejected: true, Detail: "bad path " + c.path, Err: ProtocolError.New("bad path %q", c.path)}
	}
	var connected atomic.Bool
	traced := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	r := (&http.Request{
		Method: c.method, URL: u, Host: c.address, Header: c.header,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		Body: &onceBody{reader: bytes.NewReader(c.body)}, ContentLength: int64(len(c.body)),
	}).WithContext(traced)
	if r.Header == nil {
		r.Header = http.Header{}
	}
	setContextHeaders(ctx, r.Header)
	resp, err := tr.RoundTrip(r)
	if err != nil {
		return nil, transportFailure(ctx, c.address, connected.Load(), err)
	}
	return resp, nil
}

// onceBody is a request body that can be sent once only.
//
// It guards against a doubled execution: when a pooled connection dies before
// the first response byte, Go's transport sends the request again by itself if
// it holds it for repeatable, that is if the body is empty or has a GetBody and
// the method is GET, HEAD, OPTIONS or TRACE or the request carries an
// Idempotency-Key header. The target may have executed the first one. It shows
// as two executions for one call, at a target that was restarted or cut the
// connection late. A request with a body of this type, unknown to the
// transport, and without GetBody is never held for repeatable, even when the
// body is empty (an empty body must not be http.NoBody or nil for this).
type onceBody struct{ reader *bytes.Reader }

func (b *onceBody) Read(p []byte) (int, error) { return b.reader.Read(p) }

func (b *onceBody) Close() error { return nil }

// readAll reads a whole answer of at most limit bytes.
func readAll(ctx context.Context, address string, body io.Reader, limit int64) ([]byte, error) {
	b, err := io.ReadAll(io.LimitReader(body, limit+1))
	if err != nil {
		return nil, transportFailure(ctx, address, true, err)
	}
	if int64(len(b)) > limit {
		return nil, protocolFailure(address, "the answer is longer than %d bytes", limit)
	}
	return b, nil
}

// refusalOf reads a status that is not 2xx into a failure.
func refusalOf(address string, resp *http.Response, refused bool) *Failure {
	body, _ := io.ReadAll(io.LimitReader(resp.Body, maxRefusalBytes))
	return statusFailure(address, resp.StatusCode, refused, body)
}

func saysNotRun(resp *http.Response) bool {
	return resp.Header.Get(HeaderRun) == RunNotRun
}

func isSuccess(status int) bool { return status >= 200 && status < 300 }
