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

	"tarragonhollow.example/tarragonhollow/target/h1"
)

// ClientOptions configures the HTTP clients. DefaultClientOptions sets all fields.
type ClientOptions struct {
	// OnlineConnections and BatchConnections are the maximum numbers of connections to one
	// target. The limits are separate, so that batch can never make an online
	// request wait for a connection.
	OnlineConnections int
	BatchConnections  int
	// DialTimeout is the maximum time to open a connection.
	DialTimeout time.Duration
	// IdleTimeout is how long an unused connection stays open.
	IdleTimeout time.Duration
	// ControlTimeout is the maximum duration of a control call: cancel, load,
	// events, orders and health.
	ControlTimeout time.Duration
	// MaxAnswerBytes is the maximum size of an answer that is held in memory.
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
	// controlConnections is the maximum number of connections to one target for control calls.
	// They are separate so that a cancel gets through while all others are busy.
	controlConnections = 4
	// drainTimeout is the maximum wait for the end of the body after the content is
	// complete; after it the connection is closed instead of reused.
	drainTimeout = 100 * time.Millisecond
	// maxRefusalBytes is the maximum that is read of a refusal's body.
	maxRefusalBytes = 4 << 10
	// maxAnswerHeaderBytes is the maximum size of a target's response header.
	maxAnswerHeaderBytes = 64 << 10
)

// pools holds one connection pool for each kind of call.
type pools struct {
	opts    ClientOptions
	calls   *callIDs
	online  *http.Transport
	batch   *http.Transport
	control *http.Transport
}

func newPools(o ClientOptions) *pools {
	return &pools{
		opts:    o,
		calls:   newCallIDs(),
		online:  newTransport(o, o.OnlineConnections),
		batch:   newTransport(o, o.BatchConnections),
		control: newTransport(o, controlConnections),
	}
}

func newTransport(o ClientOptions, connections int) *http.Transport {
	dialer := &net.Dialer{Timeout: o.DialTimeout}
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &checkedConn{Conn: conn}, nil
		},
		MaxConnsPerHost:        connections,
		MaxIdleConnsPerHost:    connections,
		IdleConnTimeout:        o.IdleTimeout,
		MaxResponseHeaderBytes: maxAnswerHeaderBytes,
		DisableCompression:     true,
	}
}

// byUrgency returns the pool for the context's urgency, the online one if none is set.
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

// send makes exactly one attempt at the call. It returns the response, whose body
// the caller must close, or a *Failure.
//
// It uses the transport's RoundTrip, not http.Client, because a client would
// follow a redirect with a second request.
func (p *pools) send(ctx context.Context, tr *http.Transport, c call) (*http.Response, error) {
	u, err := url.Parse("http://" + c.address + c.path)
	if err != nil || !strings.HasPrefix(c.path, "/") {
		return nil, &Failure{Rejected: true, Detail: "bad path " + c.path, Err: ProtocolError.New("bad path %q", c.path)}
	}
	var connected atomic.Bool
	var got httptrace.GotConnInfo
	var check *startCheck
	if fn := StartCheckFrom(ctx); fn != nil {
		check = &startCheck{check: fn}
	}
	traced := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			got = info
			connected.Store(true)
			if conn, ok := info.Conn.(*checkedConn); ok {
				conn.expect(check)
			}
		},
	})
	r := (&http.Request{
		Method: c.method, URL: u, Host: c.address, Header: c.header,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		Body: &singleUseBody{reader: bytes.NewReader(c.body)}, ContentLength: int64(len(c.body)),
		Close: !p.calls.mayReuse(c.address),
	}).WithContext(traced)
	if r.Header == nil {
		r.Header = http.Header{}
	}
	setContextHeaders(ctx, r.Header)
	id := p.calls.next()
	r.Header.Set(HeaderCallID, id)
	resp, err := tr.RoundTrip(r)
	if err != nil {
		if failed := check.failure(); failed != nil {
			return nil, &Failure{Address: c.address, Detail: "not sent", Err: failed}
		}
		return nil, transportFailure(ctx, c.address, connected.Load(), err)
	}
	failure := checkHead(c, got.Conn)
	if failure == nil {
		failure = p.calls.check(c.address, id, resp, got.Reused)
	}
	if failure != nil {
		_ = resp.Body.Close()
		// The transport may keep the connection of an answer without a body, and what else
		// waits on it is not the answer of a later call either.
		_ = got.Conn.Close()
		return nil, failure
	}
	return resp, nil
}

// checkHead returns a failure if the answer that was received on the connection has a head that is
// none; see h1.CheckAnswer.
func checkHead(c call, conn net.Conn) *Failure {
	checked, ok := conn.(*checkedConn)
	if !ok {
		return nil
	}
	if err := h1.CheckAnswer(checked.takeHead(), c.method); err != nil {
		return protocolFailure(c.address, "%v", err)
	}
	return nil
}

// singleUseBody is a request body that can be sent only once.
//
// It guards against double execution. When a pooled connection fails before the
// first response byte, Go's transport resends a request that it considers
// replayable: the body is empty or has a GetBody, and the method is GET, HEAD,
// OPTIONS or TRACE or the request carries an Idempotency-Key header. The target
// may already have executed the first one, so one call is executed twice, at a
// target that was restarted or that closed the connection late. The transport
// never considers a request replayable that has a body of this type, which it
// doesn't know, and no GetBody, even if the body is empty. For this an empty body
// must not be http.NoBody or nil.
type singleUseBody struct{ reader *bytes.Reader }

func (b *singleUseBody) Read(p []byte) (int, error) { return b.reader.Read(p) }

func (b *singleUseBody) Close() error { return nil }

// readAll reads a complete answer of at most limit bytes.
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

// refusalOf returns the failure for a response whose status is not 2xx. refused
// means that the target is known not to have executed the request.
func refusalOf(address string, resp *http.Response, refused bool) *Failure {
	body, _ := io.ReadAll(io.LimitReader(resp.Body, maxRefusalBytes))
	return statusFailure(address, resp.StatusCode, refused, body)
}

// markedNotRun reports whether the response states that the request was not run.
func markedNotRun(resp *http.Response) bool {
	return resp.Header.Get(HeaderRun) == RunNotRun
}

func isSuccess(status int) bool { return status >= 200 && status < 300 }
