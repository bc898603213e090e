package target

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"
)

// EngineClient implements Engine over HTTP (docs/TARGETS.md). The urgency of
// the context selects the connection pool.
type EngineClient struct{ *pools }

var _ Engine = (*EngineClient)(nil)

// NewEngineClient returns a client of all engines.
func NewEngineClient(o ClientOptions) *EngineClient { return &EngineClient{newPools(o)} }

// Generate implements Engine. A stream that ends without a finish is a Failure
// with Crashed; one that was cancelled at the engine is a Failure caused by
// ErrStreamCancelled. When ctx ends, the connection is closed and the engine then
// cancels the stream; a caller that needs confirmation must call Cancel. After an
// error of sink, Generate calls Cancel itself before it returns, which takes at
// most ControlTimeout.
func (c *EngineClient) Generate(ctx context.Context, address string, req GenerateRequest, sink func(Token) error) (Finish, error) {
	body, err := json.Marshal(GenerateBody{GenerateRequest: req, Stream: true})
	if err != nil {
		return Finish{}, &Failure{Rejected: true, Detail: err.Error(), Err: err}
	}
	streamCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	resp, err := c.send(streamCtx, c.byUrgency(ctx), jsonCall(http.MethodPost, address, "/v1/chat/completions", body))
	if err != nil {
		return Finish{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return Finish{}, refusalOf(address, resp, engineRefused(resp))
	}
	finish, err := readStream(ctx, address, resp.Body, len(req.ResumeTokens), sink)
	var sinkErr *sinkError
	if errors.As(err, &sinkErr) {
		c.abandon(ctx, address, req.StreamID)
		return Finish{}, sinkErr.err
	}
	if err == nil {
		drain(resp.Body, cancel)
	}
	return finish, err
}

// abandon cancels a stream that is no longer read. It is best effort: the engine
// also notices the closed connection.
func (c *EngineClient) abandon(ctx context.Context, address, streamID string) {
	_ = c.Cancel(context.WithoutCancel(ctx), address, streamID)
}

// drain reads to the end of an answer whose content is complete, so that its
// connection can be reused. If that takes longer than drainTimeout, it calls cancel,
// which closes the connection.
func drain(body io.Reader, cancel context.CancelFunc) {
	timer := time.AfterFunc(drainTimeout, cancel)
	defer timer.Stop()
	_, _ = io.Copy(io.Discard, body)
}

// engineRefused reports whether the engine did not run the request. By its contract
// a 429 or 503 is sent before admission, and other refusals without a run (such as
// another model being loaded) carry HeaderRun.
func engineRefused(resp *http.Response) bool {
	return resp.StatusCode == http.StatusTooManyRequests ||
		resp.StatusCode == http.StatusServiceUnavailable || markedNotRun(resp)
}

// Cancel implements Engine.
func (c *EngineClient) Cancel(ctx context.Context, address, streamID string) error {
	return c.callControl(ctx, call{method: http.MethodDelete, address: address, path: "/v1/streams/" + url.PathEscape(streamID)}, nil)
}

// Load implements Engine.
func (c *EngineClient) Load(ctx context.Context, address string) (LoadReport, error) {
	var report LoadReport
	err := c.callControl(ctx, call{method: http.MethodGet, address: address, path: "/v1/load"}, &report)
	return report, err
}

// CacheEvents implements Engine.
func (c *EngineClient) CacheEvents(ctx context.Context, address string, after int64) ([]CacheEvent, error) {
	var events []CacheEvent
	path := "/v1/cache/events?after=" + strconv.FormatInt(after, 10)
	err := c.callControl(ctx, call{method: http.MethodGet, address: address, path: path}, &events)
	return events, err
}

// Order implements Engine. A refusal of the fencing number is a Failure with
// Rejected and status 409.
func (c *EngineClient) Order(ctx context.Context, address string, o Order) error {
	body, err := json.Marshal(o)
	if err != nil {
		return &Failure{Rejected: true, Detail: err.Error(), Err: err}
	}
	return c.callControl(ctx, jsonCall(http.MethodPost, address, "/v1/orders", body), nil)
}

// Health implements Engine.
func (c *EngineClient) Health(ctx context.Context, address string) error {
	return c.callControl(ctx, call{method: http.MethodGet, address: address, path: "/health"}, nil)
}

// ExportPrefix returns the opaque KV cache of a prefix hash.
func (c *EngineClient) ExportPrefix(ctx context.Context, address, prefix string) (json.RawMessage, error) {
	var kv json.RawMessage
	err := c.callControl(ctx, call{method: http.MethodGet, address: address, path: "/v1/kv/" + url.PathEscape(prefix)}, &kv)
	return kv, err
}

// ImportPrefix sends an engine the KV cache that another engine exported.
func (c *EngineClient) ImportPrefix(ctx context.Context, address, prefix string, kv json.RawMessage) error {
	return c.callControl(ctx, jsonCall(http.MethodPut, address, "/v1/kv/"+url.PathEscape(prefix), kv), nil)
}

// callControl makes a control call and decodes its JSON answer into v, unless v is nil.
func (c *EngineClient) callControl(ctx context.Context, out call, v any) error {
	ctx, cancel := context.WithTimeout(ctx, c.opts.ControlTimeout)
	defer cancel()
	resp, err := c.send(ctx, c.control, out)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if !isSuccess(resp.StatusCode) {
		return refusalOf(out.address, resp, engineRefused(resp))
	}
	body, err := readAll(ctx, out.address, resp.Body, c.opts.MaxAnswerBytes)
	if err != nil || v == nil {
		return err
	}
	if err := json.Unmarshal(body, v); err != nil {
		return protocolFailure(out.address, "%s %s: %v", out.method, out.path, err)
	}
	return nil
}

func jsonCall(method, address, path string, body []byte) call {
	header := http.Header{"Content-Type": {"application/json"}}
	return call{method: method, address: address, path: path, header: header, body: body}
}
