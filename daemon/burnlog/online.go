package burnlog

import (
	"context"
	"errors"
	"time"

	"tarragonhollow.example/tarragonhollow/api"
	"tarragonhollow.example/tarragonhollow/core/burn"
	"tarragonhollow.example/tarragonhollow/core/outcome"
	"tarragonhollow.example/tarragonhollow/target"
)

// ChatFunc runs a chat completion, as online.Online.Chat does.
type ChatFunc func(ctx context.Context, call api.ChatCall, sink func(target.Token) error) (api.ChatResult, error)

// ServiceFunc runs a call of a plain service, as online.Online.Service does.
type ServiceFunc func(ctx context.Context, call api.ServiceCall) (target.ServiceResponse, error)

// Chat runs a chat completion by run and counts its end.
func (c *Collector) Chat(ctx context.Context, call api.ChatCall, sink func(target.Token) error, run ChatFunc) (api.ChatResult, error) {
	w := &watch{clock: c.opt.Clock, began: c.opt.Clock()}
	watched := sink
	if sink != nil {
		watched = func(t target.Token) error {
			w.token()
			return sink(t)
		}
	}
	result, err := run(ctx, call, watched)
	e := burn.Event{Profile: call.Profile.Name, Group: c.groupOf(call.Request.Model)}
	e.Outcome, e.Reason = classify(err)
	e.FirstTokenMs, e.BetweenTokensMs = w.times()
	c.Observe(e)
	return result, err
}

// Service runs a call of a plain service by run and counts its end.
func (c *Collector) Service(ctx context.Context, call api.ServiceCall, run ServiceFunc) (target.ServiceResponse, error) {
	began := c.opt.Clock()
	response, err := run(ctx, call)
	e := burn.Event{Profile: call.Profile.Name, Group: call.Service}
	e.Outcome, e.Reason = classify(err)
	if err == nil {
		e.Outcome, e.Reason = burn.ClassifyStatus(response.Status)
	}
	e.FirstTokenMs = roundUp(c.opt.Clock().Sub(began))
	c.Observe(e)
	return response, err
}

// Refused counts a request that the HTTP face turned away before it reached
// Chat or Service. The profile may be unknown: then nothing is counted.
func (c *Collector) Refused(profile string, code outcome.Code) {
	e := burn.Event{Profile: profile}
	e.Outcome, e.Reason = burn.Classify(&outcome.Refusal{Code: code})
	c.Observe(e)
}

func (c *Collector) groupOf(model string) string {
	cfg := c.opt.Config()
	if cfg == nil {
		return ""
	}
	if g := cfg.GroupForModel(model); g != nil {
		return g.Name
	}
	return ""
}

// classify returns how an error counts. Whatever is not a refusal is a fault
// of this system.
func classify(err error) (burn.Outcome, string) {
	if err == nil {
		return burn.OK, ""
	}
	var refusal *outcome.Refusal
	if errors.As(err, &refusal) {
		return burn.Classify(refusal)
	}
	return burn.Failed, "internal"
}

// watch takes the times of a stream. Tokens come from one goroutine.
type watch struct {
	clock        func() time.Time
	began, last  time.Time
	first, worst time.Duration
}

func (w *watch) token() {
	now := w.clock()
	if w.last.IsZero() {
		w.first = now.Sub(w.began)
	} else {
		w.worst = max(w.worst, now.Sub(w.last))
	}
	w.last = now
}

// times returns the time to the first token, or to the whole answer where none
// was streamed, and the longest time between two.
func (w *watch) times() (firstMs, betweenMs int64) {
	if w.last.IsZero() {
		return roundUp(w.clock().Sub(w.began)), 0
	}
	if w.worst == 0 {
		return roundUp(w.first), 0
	}
	return roundUp(w.first), roundUp(w.worst)
}

// roundUp returns whole milliseconds, at least 1: 0 is "not measured".
func roundUp(d time.Duration) int64 {
	return max(1, int64((d+time.Millisecond-1)/time.Millisecond))
}
