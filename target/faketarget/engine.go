// Package faketarget provides in-memory engines and services for the tests of other
// packages. Their answers are scripted and every call is recorded.
package faketarget

import (
	"context"
	"fmt"
	"sync"

	"tarragonhollow.example/tarragonhollow/target"
)

// DefaultTokens is the number of tokens in an answer that is not scripted.
const DefaultTokens = 4

// Generation scripts one generation.
type Generation struct {
	// Tokens is the whole answer including the resumed tokens, which are not sent
	// again.
	Tokens []string
	// Gate, if not nil, is received from once before each token and once before the
	// finish. Closing it unblocks the rest of the generation.
	Gate <-chan struct{}
	// Err, if not nil, ends the generation instead of a finish.
	Err error
}

// GenerateCall records one Generate call.
type GenerateCall struct {
	Address string
	Request target.GenerateRequest
	Key     string
	Urgency string
	// Sent is the number of tokens delivered to the sink.
	Sent int
	// Ended is "" while the call runs, then "finished", "cancelled" or "failed".
	Ended string
}

// Engine implements target.Engine. The zero value is ready to use; set the
// fields before the first call.
type Engine struct {
	// OnGenerate scripts the answers. If nil, the answer is "t0 ", "t1 ", ... with
	// the smaller of DefaultTokens and the request's MaxTokens as its length.
	OnGenerate func(address string, req target.GenerateRequest) Generation
	// BeforeStart, if not nil, is called before a call is checked and recorded.
	BeforeStart func()
	// OnLoad, OnEvents, OnOrder and OnHealth script the other calls. If nil, the call
	// answers as an idle engine without an error.
	OnLoad   func(address string) (target.LoadReport, error)
	OnEvents func(address string, after int64) ([]target.CacheEvent, error)
	OnOrder  func(address string, o target.Order) error
	OnHealth func(address string) error

	mu      sync.Mutex
	calls   []*GenerateCall
	streams map[string]context.CancelCauseFunc
	cancels []string
	orders  []target.Order
}

var _ target.Engine = (*Engine)(nil)

// Generate implements target.Engine.
func (e *Engine) Generate(ctx context.Context, address string, req target.GenerateRequest, sink func(target.Token) error) (target.Finish, error) {
	if e.BeforeStart != nil {
		e.BeforeStart()
	}
	if check := target.StartCheckFrom(ctx); check != nil {
		if err := check(); err != nil {
			return target.Finish{}, &target.Failure{Address: address, Err: err}
		}
	}
	run, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	call := e.begin(ctx, address, req, cancel)
	sent, finish, err := streamScript(run, e.script(address, req), len(req.ResumeTokens), sink)
	e.end(call, sent, run, err)
	return finish, err
}

func (e *Engine) script(address string, req target.GenerateRequest) Generation {
	if e.OnGenerate != nil {
		return e.OnGenerate(address, req)
	}
	n := DefaultTokens
	if req.MaxTokens > 0 {
		n = min(n, req.MaxTokens)
	}
	g := Generation{}
	for i := range n {
		g.Tokens = append(g.Tokens, fmt.Sprintf("t%d ", i))
	}
	return g
}

// streamScript sends the tokens of g from index from to sink. It returns the number
// of tokens sent.
func streamScript(ctx context.Context, g Generation, from int, sink func(target.Token) error) (int, target.Finish, error) {
	sent := 0
	for i := from; i < len(g.Tokens); i++ {
		if err := awaitGate(ctx, g.Gate); err != nil {
			return sent, target.Finish{}, err
		}
		if err := sink(target.Token{Index: i, Text: g.Tokens[i]}); err != nil {
			return sent, target.Finish{}, err
		}
		sent++
	}
	if err := awaitGate(ctx, g.Gate); err != nil {
		return sent, target.Finish{}, err
	}
	if g.Err != nil {
		return sent, target.Finish{}, g.Err
	}
	return sent, target.Finish{Reason: "stop", Usage: target.Usage{CompletionTokens: sent}}, nil
}

// awaitGate waits for the gate, if there is one, and returns a *target.Failure if ctx
// has ended.
func awaitGate(ctx context.Context, gate <-chan struct{}) error {
	if gate != nil {
		select {
		case <-gate:
		case <-ctx.Done():
		}
	}
	if ctx.Err() != nil {
		cause := context.Cause(ctx)
		return &target.Failure{Reached: true, Detail: cause.Error(), Err: cause}
	}
	return nil
}

func (e *Engine) begin(ctx context.Context, address string, req target.GenerateRequest, cancel context.CancelCauseFunc) *GenerateCall {
	call := &GenerateCall{Address: address, Request: req, Key: target.KeyFrom(ctx), Urgency: target.UrgencyFrom(ctx)}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.calls = append(e.calls, call)
	if e.streams == nil {
		e.streams = map[string]context.CancelCauseFunc{}
	}
	e.streams[address+"/"+req.StreamID] = cancel
	return call
}

func (e *Engine) end(call *GenerateCall, sent int, run context.Context, err error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.streams, call.Address+"/"+call.Request.StreamID)
	call.Sent = sent
	switch {
	case err == nil:
		call.Ended = "finished"
	case run.Err() != nil:
		call.Ended = "cancelled"
	default:
		call.Ended = "failed"
	}
}

// Cancel implements target.Engine.
func (e *Engine) Cancel(_ context.Context, address, streamID string) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cancels = append(e.cancels, streamID)
	if cancel := e.streams[address+"/"+streamID]; cancel != nil {
		cancel(target.ErrStreamCancelled)
	}
	return nil
}

// Load implements target.Engine.
func (e *Engine) Load(_ context.Context, address string) (target.LoadReport, error) {
	if e.OnLoad == nil {
		return target.LoadReport{Slots: 8}, nil
	}
	return e.OnLoad(address)
}

// CacheEvents implements target.Engine.
func (e *Engine) CacheEvents(_ context.Context, address string, after int64) ([]target.CacheEvent, error) {
	if e.OnEvents == nil {
		return nil, nil
	}
	return e.OnEvents(address, after)
}

// Order implements target.Engine.
func (e *Engine) Order(_ context.Context, address string, o target.Order) error {
	e.mu.Lock()
	e.orders = append(e.orders, o)
	e.mu.Unlock()
	if e.OnOrder == nil {
		return nil
	}
	return e.OnOrder(address, o)
}

// Health implements target.Engine.
func (e *Engine) Health(_ context.Context, address string) error {
	if e.OnHealth == nil {
		return nil
	}
	return e.OnHealth(address)
}

// Calls returns copies of the Generate calls so far, in order of arrival.
func (e *Engine) Calls() []GenerateCall {
	e.mu.Lock()
	defer e.mu.Unlock()
	calls := make([]GenerateCall, 0, len(e.calls))
	for _, c := range e.calls {
		calls = append(calls, *c)
	}
	return calls
}

// Cancels returns the ids of all streams for which Cancel was called.
func (e *Engine) Cancels() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]string(nil), e.cancels...)
}

// Orders returns all orders received.
func (e *Engine) Orders() []target.Order {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]target.Order(nil), e.orders...)
}
