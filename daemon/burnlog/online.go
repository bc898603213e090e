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

// Chat runs a chat completion by calling run, and counts its outcome and latencies.
func (c *Collector) Chat(ctx context.Context, call api.ChatCall, sink func(target.Token) error, run ChatFunc) (api.ChatResult, error) {
	timer := &streamTimer{clock: c.opt.Clock, began: c.opt.Clock()}
	watched := sink
	if sink != nil {
		watched = func(t target.Token) error {
			timer.token()
			return sink(t)
		}
	}
	result, err := run(ctx, call, watched)
	e := burn.Event{Profile: call.Profile.Name, Group: c.groupOf(call.Request.Model)}
	e.Outcome, e.Reason = classify(err)
	e.FirstTokenMs, e.BetweenTokensMs = timer.times()
	c.Observe(e)
	return result, err
}

// Service runs a call of a plain service by calling run, and counts its outcome and latency.
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

// Refused counts a request that the HTTP handler refused before it reached Chat or Service.
// If the profile is unknown, the request counts for no objective.
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

// classify returns the outcome and reason as which an error counts. An error that is not a
// refusal counts as an internal failure.
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

// streamTimer measures the latencies of a stream. It is not safe for concurrent use.
type streamTimer struct {
	clock        func() time.Time
	began, last  time.Time
	first, worst time.Duration
}

func (t *streamTimer) token() {
	now := t.clock()
	if t.last.IsZero() {
		t.first = now.Sub(t.began)
	} else {
		t.worst = max(t.worst, now.Sub(t.last))
	}
	t.last = now
}

// times returns the time to the first token, or to the whole answer if no token was
// streamed, and the longest time between two tokens, 0 if there were not two.
func (t *streamTimer) times() (firstMs, betweenMs int64) {
	if t.last.IsZero() {
		return roundUp(t.clock().Sub(t.began)), 0
	}
	if t.worst == 0 {
		return roundUp(t.first), 0
	}
	return roundUp(t.first), roundUp(t.worst)
}

// roundUp returns d in milliseconds, rounded up and at least 1, since 0 means "not measured".
func roundUp(d time.Duration) int64 {
	return max(1, int64((d+time.Millisecond-1)/time.Millisecond))
}
