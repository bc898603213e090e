package target

import (
	"context"
	"net/http"

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
	resp, err := c.send(ctx, c.byUrgency(ctx), call{
		method: req.Method, address: address, path: req.Path, header: endToEnd(req.Header), body: req.Body,
	})
	if err != nil {
		return ServiceResponse{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode < http.StatusOK {
		return ServiceResponse{}, protocolFailure(address, "%d is not the status of a final answer", resp.StatusCode)
	}
	body, err := readAll(ctx, address, resp.Body, c.opts.MaxAnswerBytes)
	if err != nil {
		return ServiceResponse{}, err
	}
	if err := c.confirmEnd(ctx, address, req.Method, resp); err != nil {
		return ServiceResponse{}, err
	}
	answer := ServiceResponse{Status: resp.StatusCode, Header: endToEnd(resp.Header), Body: body}
	answer.Header.Del(HeaderCallID)
	if resp.StatusCode < http.StatusBadRequest {
		return answer, nil
	}
	refused := resp.StatusCode == http.StatusTooManyRequests || markedNotRun(resp)
	return answer, statusFailure(address, resp.StatusCode, refused, body)
}

// confirmEnd returns a *Failure if the response ended with its connection and that may be the
// end of the service's process.
func (c *ServiceClient) confirmEnd(ctx context.Context, address, method string, resp *http.Response) error {
	if resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0 || method == http.MethodHead {
		return nil
	}
	err := sockets.ConfirmEnd(ctx, func(ctx context.Context) bool {
		conn, err := c.byUrgency(ctx).DialContext(ctx, "tcp", address)
		if err != nil {
			return sockets.Accepted(err)
		}
		_ = conn.Close()
		return true
	})
	if err != nil {
		return transportFailure(ctx, address, true, err)
	}
	return nil
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
