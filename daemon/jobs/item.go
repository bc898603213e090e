package jobs

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/joomcode/errorx"
	"go.uber.org/zap"

	"tarragonhollow.example/tarragonhollow/core/batch"
	"tarragonhollow.example/tarragonhollow/core/routing"
	"tarragonhollow.example/tarragonhollow/daemon/relay"
	"tarragonhollow.example/tarragonhollow/target/h1"
	"tarragonhollow.example/tarragonhollow/target/sse"
)

const (
	noEvent = relay.NoEvent
	// itemLimit bounds one run of an item; the longest take some ten seconds.
	itemLimit = 2 * time.Minute
	// itemFirstPatience is how long an item waits for a target's first sign. It
	// is only sent where a place is free, so a longer wait means trouble.
	itemFirstPatience = 3 * time.Second
	// itemGapPatience is the silence after which a run is given up; events come
	// every few tens of milliseconds, and a target that has no memory left may
	// hold one back for a while.
	itemGapPatience = 1500 * time.Millisecond
	// itemIdle bounds how long a kept connection may have been idle.
	itemIdle = time.Minute
	// itemReadSize is the most that is read at once.
	itemReadSize = 16 << 10
	// afterBusy and afterFailure delay an item that was turned away or failed.
	afterBusy    = 100 * time.Millisecond
	afterFailure = 300 * time.Millisecond
	// longestDelay bounds the growing delay of an item whose runs are broken off.
	longestDelay = 10 * time.Second
)

// runEnd is how a run of an item ended.
type runEnd struct {
	// whole: all events came.
	whole bool
	// never: the target says that the item can never be done.
	never bool
	// failed: the target says that this run failed.
	failed bool
	// broken: the target broke the connection.
	broken bool
	delay  time.Duration
	cause  string
	health routing.Outcome
}

// runItem runs the item once and decides what follows.
func (r *runner) runItem(ctx context.Context, c *candidate, run *running, p *progress, body []byte) {
	before := p.lastEvent
	var end runEnd
	r.jobs.Crashes.Watch(ctx, run.target, c.item.ID, func() bool {
		end = r.runOnce(ctx, c, run, p, body)
		return end.broken
	})
	p.noteFruitless(end, before)
	if ctx.Err() != nil {
		end.health = routing.Neutral
		end.delay = 0
		end.cause = run.reason
	}
	r.jobs.Places.ReleaseBatch(run.place, end.health)
	r.learn(c, run, p, end, before)
	if end.failed {
		p.failures++
	}
	switch {
	case end.whole:
		r.finish(c, batch.Succeeded, p.text(), "")
	case end.never:
		r.finish(c, batch.Errored, "", end.cause)
	case p.failures >= c.route.MaxAttempts:
		r.finish(c, batch.Errored, "", end.cause)
	default:
		r.again(c, run, p, end)
	}
	r.mu.Lock()
	delete(r.active, c.key)
	r.mu.Unlock()
	r.wake()
}

// learn takes what a run tells of items' speed.
func (r *runner) learn(c *candidate, run *running, p *progress, end runEnd, before int64) {
	had := p.events()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.speed.Ran(had-before-1, time.Since(run.began))
	if end.whole {
		r.speed.Finished(had, c.item.Tokens)
	}
}

// again leaves the item to a later run.
func (r *runner) again(c *candidate, run *running, p *progress, end runEnd) {
	r.meter.again.Inc()
	p.avoid = ""
	if end.delay > 0 {
		p.avoid = string(run.target.Start)
		p.notBefore = time.Now().Add(p.pause(end.delay))
	}
	r.jobs.Logger.Info("item_run_ended", zap.String("job", c.key.job), zap.String("id", c.item.ID), zap.String("target", run.target.ID),
		zap.String("cause", end.cause), zap.Int64("last_event", p.lastEvent), zap.Int("failures", p.failures),
		zap.Int64("ms", time.Since(run.began).Milliseconds()))
}

// runOnce sends the item to the target and gathers its events.
func (r *runner) runOnce(ctx context.Context, c *candidate, run *running, p *progress, body []byte) runEnd {
	request := &relay.Request{
		ID: c.item.ID, Route: c.route, Account: c.account,
		HTTP: h1.Request{Method: http.MethodPost, URI: c.item.Path, Host: c.host, Header: itemHeader(c.item.Headers), Body: body},
	}
	sender := relay.Sender{Wire: r.jobs.Wire, Pool: r.jobs.Pool}
	answer, verdict, err := sender.Send(ctx, request, run.target, relay.NoDeadline, p.lastEvent, h1.Options{
		MaxIdle: itemIdle, Deadline: time.Now().Add(itemLimit), Patience: itemFirstPatience,
	})
	if err != nil {
		return brokenRun(err)
	}
	switch verdict {
	case relay.TurnedAway:
		return runEnd{cause: "turned away", delay: afterBusy, health: routing.Neutral}
	case relay.Elsewhere:
		return runEnd{cause: "another target has the address", delay: afterBusy, health: routing.HardFailed}
	}
	defer answer.Close()
	if answer.Status == http.StatusOK {
		return gather(answer, p)
	}
	answer.Drain(afterFailure)
	return failedRun(answer.Status)
}

// failedRun tells what an answer without a text means.
func failedRun(status int) runEnd {
	switch status {
	case http.StatusUnprocessableEntity:
		return runEnd{never: true, cause: "the target can't do it", health: routing.Succeeded}
	case http.StatusInternalServerError:
		return runEnd{failed: true, cause: "the target failed", delay: afterFailure, health: routing.SoftFailed}
	default:
		return runEnd{cause: http.StatusText(status), delay: afterFailure, health: routing.SoftFailed}
	}
}

// brokenRun tells what an error of the exchange means.
func brokenRun(err error) runEnd {
	return runEnd{broken: errorx.IsOfType(err, h1.Broken), cause: err.Error(), delay: afterFailure, health: routing.SoftFailed}
}

// noteFruitless counts runs that the target broke off without a new event. An
// item that crashes each target must not take one down every moment until it
// is too old: its runs get further and further apart.
func (p *progress) noteFruitless(end runEnd, before int64) {
	if !end.broken || p.lastEvent != before {
		p.fruitless = 0
		return
	}
	p.fruitless++
}

// pause returns the delay before the next run.
func (p *progress) pause(delay time.Duration) time.Duration {
	if p.fruitless > 1 {
		delay = min(longestDelay, delay<<min(p.fruitless-1, 6))
	}
	return delay
}

// gather adds the events of an answer to the progress. Events must follow each
// other: a gap, or a run that does not go on where the last one ended, would
// leave a hole in the text.
func gather(answer *h1.Answer, p *progress) runEnd {
	var events sse.Splitter
	buffer := make([]byte, itemReadSize)
	for {
		n, err := answer.Read(buffer, itemGapPatience)
		events.Write(buffer[:n])
		if !p.take(&events) {
			return runEnd{cause: "events out of order", delay: afterFailure, health: routing.SoftFailed}
		}
		switch {
		case err == io.EOF && len(events.Rest()) == 0 && p.lastEvent != noEvent:
			return runEnd{whole: true, health: routing.Succeeded}
		case err == io.EOF:
			return runEnd{cause: "the stream ended within an event", delay: afterFailure, health: routing.SoftFailed}
		case err != nil:
			return brokenRun(err)
		case events.Overlong():
			return runEnd{cause: "an event is too long", delay: afterFailure, health: routing.SoftFailed}
		}
	}
}

func itemHeader(list []batch.Header) http.Header {
	header := http.Header{}
	for _, h := range list {
		header.Add(h.Name, h.Value)
	}
	relay.DropHopByHop(header)
	header.Del("Content-Length")
	return header
}
