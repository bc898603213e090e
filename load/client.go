package load

import (
	"context"
	"fmt"
	"time"

	"tarragonhollow.example/tarragonhollow/caller"
	"tarragonhollow.example/tarragonhollow/target"
)

// Client distributes calls over the daemons round-robin.
type Client struct {
	// Daemons are clients of the fleet's daemons.
	Daemons []*caller.Client
	// Engines are the addresses of engines for calls that bypass the daemons.
	Engines []string

	direct *target.EngineClient
}

// NewClient returns a client of the daemons at the given base URLs and of the
// engines at the given addresses.
func NewClient(daemons, engines []string, token string) *Client {
	pool := caller.NewHTTPClient()
	c := &Client{Engines: engines, direct: target.NewEngineClient(target.DefaultClientOptions())}
	for _, base := range daemons {
		c.Daemons = append(c.Daemons, &caller.Client{HTTP: pool, Base: base, Token: token})
	}
	return c
}

// Close closes the idle connections to engines.
func (c *Client) Close() { c.direct.Close() }

// Daemon returns the client of daemon n modulo the number of daemons.
func (c *Client) Daemon(n int) *caller.Client { return c.Daemons[n%len(c.Daemons)] }

// Sample is the measurement of one streamed request.
type Sample struct {
	// FirstToken is the time from sending to the first token.
	FirstToken time.Duration
	// Gaps are the times between consecutive tokens.
	Gaps []time.Duration
	// Total is the time from sending to the end of the stream.
	Total time.Duration
	// Err is the request's error; nil if it succeeded.
	Err error
}

// stopwatch measures the token times of one stream.
type stopwatch struct {
	Sample
	start, last time.Time
}

func newStopwatch() *stopwatch {
	now := time.Now()
	return &stopwatch{start: now, last: now}
}

func (w *stopwatch) token() {
	now := time.Now()
	if w.FirstToken == 0 {
		w.FirstToken = now.Sub(w.start)
	} else {
		w.Gaps = append(w.Gaps, now.Sub(w.last))
	}
	w.last = now
}

func (w *stopwatch) end(err error) Sample {
	w.Err = err
	w.Total = time.Since(w.start)
	return w.Sample
}

// Chat streams one chat completion from daemon n and measures it.
func (c *Client) Chat(ctx context.Context, n int, profile, model string, maxTokens int, messages []target.Message) Sample {
	w := newStopwatch()
	chat := caller.Chat{Model: model, MaxTokens: maxTokens, Messages: messages}
	err := c.Daemon(n).StreamChat(ctx, caller.Options{Profile: profile}, chat, func(string) { w.token() })
	return w.end(err)
}

// Direct streams one chat completion directly from engine n and measures it.
func (c *Client) Direct(ctx context.Context, n int, model string, maxTokens int, messages []target.Message) Sample {
	w := newStopwatch()
	req := target.GenerateRequest{
		StreamID: fmt.Sprintf("load-direct-%d-%d", n, w.start.UnixNano()),
		Model:    model, MaxTokens: maxTokens, Messages: messages,
	}
	_, err := c.direct.Generate(ctx, c.Engines[n%len(c.Engines)], req, func(target.Token) error {
		w.token()
		return nil
	})
	return w.end(err)
}

// PutJob submits a job with the given number of items to daemon n, one prompt each.
func (c *Client) PutJob(ctx context.Context, n int, name, profile, model string, maxTokens, items int, prompts *Prompts) error {
	lines := make([]caller.Line, items)
	for i := range lines {
		chat := caller.Chat{Model: model, MaxTokens: maxTokens, Messages: prompts.Next()}
		lines[i] = caller.Line{CustomID: fmt.Sprintf("item-%d", i), URL: caller.ChatPath, Body: chat}
	}
	body, err := caller.EncodeLines(lines)
	if err != nil {
		return err
	}
	_, err = c.Daemon(n).PutJob(ctx, caller.Options{Profile: profile}, name, body)
	return err
}
