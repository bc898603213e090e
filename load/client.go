package load

import (
	"context"
	"fmt"
	"time"

	"tarragonhollow.example/tarragonhollow/caller"
	"tarragonhollow.example/tarragonhollow/target"
)

// Client spreads calls over daemons in turn.
type Client struct {
	// Daemons are the fleet's entry points.
	Daemons []*caller.Client
}

// NewClient returns a client of the daemons at the given base URLs.
func NewClient(daemons []string, token string) *Client {
	pool := caller.Pooled()
	c := &Client{}
	for _, base := range daemons {
		c.Daemons = append(c.Daemons, &caller.Client{HTTP: pool, Base: base, Token: token})
	}
	return c
}

// Daemon returns the n-th daemon, in turn.
func (c *Client) Daemon(n int) *caller.Client { return c.Daemons[n%len(c.Daemons)] }

// Sample is what one streamed request showed.
type Sample struct {
	// FirstToken is the time from sending to the first token.
	FirstToken time.Duration
	// Gaps are the times between tokens.
	Gaps []time.Duration
	// Total is the time from sending to the end.
	Total time.Duration
	// Err tells why the request failed; nil when it succeeded.
	Err error
}

// Chat streams one chat completion from the n-th daemon and times it.
func (c *Client) Chat(ctx context.Context, n int, profile, model string, maxTokens int, messages []target.Message) Sample {
	var s Sample
	start := time.Now()
	last := start
	onToken := func(string) {
		now := time.Now()
		if s.FirstToken == 0 {
			s.FirstToken = now.Sub(start)
		} else {
			s.Gaps = append(s.Gaps, now.Sub(last))
		}
		last = now
	}
	chat := caller.Chat{Model: model, MaxTokens: maxTokens, Messages: messages}
	s.Err = c.Daemon(n).StreamChat(ctx, caller.Options{Profile: profile}, chat, onToken)
	s.Total = time.Since(start)
	return s
}

// PutJob submits a job of the given number of prompts.
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
