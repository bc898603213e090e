package target

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"

	"tarragonhollow.example/tarragonhollow/target/sockets"
)

// ServiceClient implements Service over HTTP. The urgency of the context selects
// the connection pool.
type ServiceClient struct{ *pools }

var _ Service = (*ServiceClient)(nil)

// NewServiceClient returns a client of all services.
func NewServiceClient(o ClientOptions) *ServiceClient { return &ServiceClient{newPools(o)} }

// hopHeaders are the headers that concern one connection and are not passed on. The
// content length is among them because it is derived from the body.
var hopHeaders = []string{
	"Connection", "Content-Length", "Host", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// endToEnd returns a copy of h without the hop-by-hop headers; it is never nil.
func endToEnd(h http.Header) http.Header {
	out := h.Clone()
	if out == nil {
		out = http.Header{}
	}
	for _, name := range hopHeaders {
		out.Del(name)
	}
	return out
}

// Call implements Service with exactly one attempt. For a status of 400 or above it
// returns the service's complete answer together with a *Failure, so that the answer
// can be passed on. A 503 counts as Busy only if it carries HeaderRun: a proxy in
// front of a service may answer 503 for a call that the service has executed.
func (c *ServiceClient) Call(ctx context.Context, address string, req ServiceRequest) (ServiceResponse, error) {
	var conn net.Conn
	traced := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { conn = info.Conn }})
	resp, err := c.send(traced, c.byUrgency(ctx), call{
		method: req.Method, address: address, path: req.Path, header: endToEnd(req.Header), body: req.Body,
	})
	if err != nil {
		return ServiceResponse{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode < http.StatusOK {
		return ServiceResponse{}, protocolFailure(address, "%d is not the status of a final answer", resp.StatusCode)
	}
	end := c.watchEnd(ctx, address, req.Method, resp, conn)
	defer end.close()
	body, err := readAll(ctx, address, resp.Body, c.opts.MaxAnswerBytes)
	if err != nil {
		return ServiceResponse{}, err
	}
	if err := end.confirm(ctx); err != nil {
		return ServiceResponse{}, transportFailure(ctx, address, true, err)
	}
	answer := ServiceResponse{Status: resp.StatusCode, Header: endToEnd(resp.Header), Body: body}
	answer.Header.Del(HeaderCallID)
	if resp.StatusCode < http.StatusBadRequest {
		return answer, nil
	}
	refused := resp.StatusCode == http.StatusTooManyRequests || markedNotRun(resp)
	return answer, statusFailure(address, resp.StatusCode, refused, body)
}

// ending confirms the end of a response that ends with its connection. It is nil for others.
type ending struct {
	conn    net.Conn
	witness *sockets.Witness
	dial    func(context.Context) (net.Conn, error)
}

// watchEnd returns the ending of a response whose body has not been read. It waits for the second
// connection: the transport closes the response's connection at the end of the body.
func (c *ServiceClient) watchEnd(ctx context.Context, address, method string, resp *http.Response, conn net.Conn) *ending {
	if resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0 || method == http.MethodHead {
		return nil
	}
	if checked, ok := conn.(*checkedConn); ok {
		conn = checked.Conn
	}
	tr := c.byUrgency(ctx)
	e := &ending{conn: conn, dial: func(ctx context.Context) (net.Conn, error) { return tr.DialContext(ctx, "tcp", address) }}
	e.witness = sockets.Watch(conn, func(ctx context.Context) (net.Conn, error) {
		dialed, err := e.dial(ctx)
		if checked, ok := dialed.(*checkedConn); ok {
			dialed = checked.Conn
		}
		return dialed, err
	})
	e.witness.Await(ctx)
	return e
}

// confirm returns an error if the end of the response may be the end of the service's process.
func (e *ending) confirm(ctx context.Context) error {
	if e == nil {
		return nil
	}
	return sockets.ConfirmEnd(ctx, e.conn, e.witness, func(ctx context.Context) bool {
		conn, err := e.dial(ctx)
		if err != nil {
			return sockets.Accepted(err)
		}
		_ = conn.Close()
		return true
	})
}

func (e *ending) close() {
	if e != nil {
		e.witness.Close()
	}
}

// Health returns nil if the service answers GET /health with 2xx.
func (c *ServiceClient) Health(ctx context.Context, address string) error {
	ctx, cancel := context.WithTimeout(ctx, c.opts.ControlTimeout)
	defer cancel()
	resp, err := c.send(ctx, c.control, call{method: http.MethodGet, address: address, path: "/health"})
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if !isSuccess(resp.StatusCode) {
		return refusalOf(address, resp, engineRefused(resp))
	}
	return nil
}
