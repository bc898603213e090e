package jobs

import (
	"cmp"
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
	// maxFirstEvent is the highest number of an item's first event: targets number events
	// from 0 or from 1.
	maxFirstEvent = 1
	// itemTimeout bounds one run of an item; the longest take some ten seconds.
	itemTimeout = 2 * time.Minute
	// itemFirstMaxWait is how long an item waits for a target's first bytes. Items are
	// only sent where a slot is free, so a longer wait indicates a fault.
	itemFirstMaxWait = 3 * time.Second
	// itemGapMaxWait is the silence after which a run is abandoned; events arrive every
	// few tens of milliseconds, and a target that is out of memory may delay one for a
	// while.
	itemGapMaxWait = 1500 * time.Millisecond
	// itemMaxIdle bounds how long a reused connection may have been idle.
	itemMaxIdle       = time.Minute
	newConnectionOnly = time.Duration(0)
	// itemReadBytes is the maximum number of bytes per read.
	itemReadBytes = 16 << 10
	// rejectedDelay and failureDelay delay an item that was rejected or failed.
	rejectedDelay = 100 * time.Millisecond
	failureDelay  = 300 * time.Millisecond
	// confirmDelay delays an item whose last run may have been complete; it only lets the
	// next run choose another target.
	confirmDelay = stepInterval
	// maxRetryDelay bounds the backoff of an item whose runs are broken off. It only spreads the runs
	// while targets crash: the item is not the cause, and waits for a target that serves.
	maxRetryDelay = time.Second
)

// runResult is how a run of an item ended.
type runResult struct {
	// complete is set if all events were received.
	complete bool
	// impossible is set if the target reported that the item can never succeed.
	impossible bool
	// failed is set if the target reported that this run failed.
	failed bool
	// broken is set if the target broke the connection.
	broken bool
	delay  time.Duration
	cause  string
	health routing.Outcome
	// exchange is what is known of the exchange with the target.
	exchange h1.Record
}

// runItem runs the item once and decides what follows.
func (r *runner) runItem(ctx context.Context, c *candidate, run *itemRun, p *progress, body []byte) {
	before := p.lastEvent
	var end runResult
	r.jobs.Crashes.Watch(ctx, run.target, &relay.Running{ID: c.item.ID, Batch: true}, func() bool {
		end = r.runOnce(ctx, c, run, p, body)
		return end.broken
	})
	p.countUnsuccessful(end, before)
	if ctx.Err() != nil {
		end.health = routing.Neutral
		end.delay = 0
		end.cause = r.reasonOf(run)
	}
	changed := r.versionChanged(run)
	r.jobs.Places.ReleaseBatch(run.slot, end.health)
	r.updateEstimates(c, run, p, end, before)
	if end.failed {
		p.addFailure()
	}
	if changed && mayMixVersions(p, end, before) {
		end.complete, end.cause = false, cmp.Or(end.cause, reasonChangedVersion)
		r.startOver(c.key, c.item.ID, p, reasonChangedVersion, "")
	}
	if end.complete {
		r.logRun(c, run, p, end)
	}
	switch {
	case end.complete:
		r.finish(c, batch.Succeeded, p.text(), "")
	case end.impossible || p.failureCount() >= c.route.MaxAttempts:
		r.giveUp(c, p, end.cause)
	default:
		r.retryLater(c, run, p, end)
	}
	r.mu.Lock()
	delete(r.active, c.key)
	r.mu.Unlock()
	r.wake()
}

// giveUp ends an item that is not run again. If its last run with events ended without framing
// at a target that went on serving, the text is complete as far as the protocol tells, and only
// its confirmation failed.
func (r *runner) giveUp(c *candidate, p *progress, cause string) {
	if p.endedUnframed() {
		r.finish(c, batch.Succeeded, p.text(), "the end was not confirmed: "+cause)
		return
	}
	r.finish(c, batch.Errored, "", cause)
}

// updateEstimates updates the estimator with the events that the run received.
func (r *runner) updateEstimates(c *candidate, run *itemRun, p *progress, end runResult, before int64) {
	received := p.eventCount()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.estimator.ObserveRun(received-before-1, time.Since(run.startedAt))
	if end.complete {
		r.estimator.ObserveFinished(received, c.item.Tokens)
	}
}

// retryLater leaves the item for a later run.
func (r *runner) retryLater(c *candidate, run *itemRun, p *progress, end runResult) {
	r.meter.retries.Inc()
	p.avoidTarget = ""
	if end.delay > 0 {
		p.avoidTarget = string(run.target.Start)
		p.notBefore = time.Now().Add(p.backoff(end.delay))
	}
	r.logRun(c, run, p, end)
}

// logRun logs how a run of the item ended.
func (r *runner) logRun(c *candidate, run *itemRun, p *progress, end runResult) {
	fields := append([]zap.Field{
		zap.String("job", c.key.job), zap.String("id", c.item.ID), zap.String("target", run.target.ID),
		zap.String("version", run.target.Version), zap.String("version_wanted", run.versionWanted), zap.Bool("complete", end.complete), zap.String("cause", end.cause), zap.Int64("last_event", p.lastEvent),
		zap.Int("failures", p.failureCount()), zap.Int64("ms", time.Since(run.startedAt).Milliseconds()),
		zap.Int64("events", p.eventCount()), zap.Bool("stopping", r.isStopping()),
	}, relay.ExchangeFields(&end.exchange)...)
	r.jobs.Logger.Info("item_run_ended", fields...)
}

// runOnce sends the item to the target and collects its events.
func (r *runner) runOnce(ctx context.Context, c *candidate, run *itemRun, p *progress, body []byte) (end runResult) {
	var exchange h1.Record
	defer func() { end.exchange = exchange }()
	request := &relay.Request{
		ID: c.item.ID, Route: c.route, Account: c.account,
		HTTP: h1.Request{Method: http.MethodPost, URI: c.item.Path, Host: c.host, Header: ItemHeader(c.item.Headers), Body: body},
	}
	sender := relay.Sender{Wire: r.jobs.Wire, Pool: r.jobs.Pool, Logger: r.jobs.Logger}
	options := h1.Options{MaxIdle: p.nextMaxIdle(), Deadline: time.Now().Add(itemTimeout), MaxWait: itemFirstMaxWait, Record: &exchange}
	if p.lastEvent != noEvent || r.jobs.Places.Versions(run.target.Group).Several {
		options.Identity = r.jobs.Wire.Identity(run.target)
	}
	answer, verdict, err := sender.Send(ctx, request, run.target, relay.NoDeadline, p.lastEvent, options)
	if err != nil {
		return errorResult(err)
	}
	p.answered = p.answered || verdict != relay.Ran || answer.Status != http.StatusOK
	switch verdict {
	case relay.Rejected:
		return runResult{cause: "rejected by the target", delay: rejectedDelay, health: routing.Neutral}
	case relay.WrongTarget:
		return runResult{cause: "another target has the address", delay: rejectedDelay, health: routing.HardFailed}
	}
	defer answer.Close()
	return readAnswer(answer, p, func(answer *h1.Answer) error {
		_, err := relay.EndCheck{Places: r.jobs.Places, Logger: r.jobs.Logger}.Confirm(answer, c.item.ID, run.target)
		return err
	})
}

// readAnswer reads an answer. It calls confirm at its end.
func readAnswer(answer *h1.Answer, p *progress, confirm func(*h1.Answer) error) runResult {
	if answer.Status == http.StatusOK {
		return collectEvents(answer, p, confirm)
	}
	answer.Drain(failureDelay)
	return statusResult(answer.Status)
}

// statusResult maps the status of an answer without events to the result of the run.
func statusResult(status int) runResult {
	switch status {
	case http.StatusUnprocessableEntity:
		return runResult{impossible: true, cause: "the target can't do it", health: routing.Succeeded}
	case http.StatusInternalServerError:
		return runResult{failed: true, cause: "the target failed", delay: failureDelay, health: routing.SoftFailed}
	default:
		return runResult{cause: http.StatusText(status), delay: failureDelay, health: routing.SoftFailed}
	}
}

// errorResult maps an error of the exchange to the result of the run.
func errorResult(err error) runResult {
	if errorx.IsOfType(err, h1.LocalFailure) {
		return runResult{cause: err.Error(), delay: failureDelay, health: routing.Neutral}
	}
	return runResult{broken: errorx.IsOfType(err, h1.Broken), cause: err.Error(), delay: failureDelay, health: routing.SoftFailed}
}

// countUnsuccessful counts the consecutive runs that the target broke off without a new
// event. They back off exponentially, up to maxRetryDelay.
func (p *progress) countUnsuccessful(end runResult, before int64) {
	if !end.broken || p.lastEvent != before {
		p.unsuccessful = 0
		return
	}
	p.unsuccessful++
}

// backoff returns the delay before the next run.
func (p *progress) backoff(delay time.Duration) time.Duration {
	if p.unsuccessful > 1 {
		delay = min(maxRetryDelay, delay<<min(p.unsuccessful-1, 6))
	}
	return delay
}

// endResult maps the end of an answer to the result of the run. The end of a connection that
// is not known to be the item's is no failure of the target; another one is asked for what
// follows.
func endResult(complete bool) runResult {
	if complete {
		return runResult{complete: true, health: routing.Succeeded}
	}
	return runResult{cause: "the connection ended, maybe before the item", delay: confirmDelay, health: routing.Succeeded}
}

// endRun returns the result of a run whose answer ended after a whole event.
func (p *progress) endRun(answer *h1.Answer, confirm func(*h1.Answer) error) runResult {
	if err := confirm(answer); err != nil {
		return errorResult(err)
	}
	return endResult(p.endsWith(answer.Framing))
}

// collectEvents adds the events of an answer to the progress. The events must be
// consecutive: a gap, or a run that does not continue where the last one ended, would
// leave a hole in the text.
func collectEvents(answer *h1.Answer, p *progress, confirm func(*h1.Answer) error) runResult {
	var events sse.Splitter
	buffer := make([]byte, itemReadBytes)
	p.runLast = noEvent
	for {
		n, err := answer.Read(buffer, itemGapMaxWait)
		events.Write(buffer[:n])
		if !p.addEvents(&events) {
			return runResult{cause: "events out of order", delay: failureDelay, health: routing.SoftFailed}
		}
		switch {
		case err == io.EOF && p.runIsBehind():
			return runResult{cause: "the stream ended before the item's last event", delay: failureDelay, health: routing.SoftFailed}
		case err == io.EOF && p.runLast == noEvent && !relay.IsEventStream(answer.Header):
			return runResult{cause: "the answer is no stream of events", delay: failureDelay, health: routing.SoftFailed}
		case err == io.EOF && len(events.Rest()) == 0 && p.lastEvent != noEvent:
			return p.endRun(answer, confirm)
		case err == io.EOF:
			answer.NoteBreak()
			return runResult{cause: "the stream ended within an event", delay: failureDelay, health: routing.SoftFailed}
		case err != nil:
			return errorResult(err)
		case events.Overlong():
			return runResult{cause: "an event is too long", delay: failureDelay, health: routing.SoftFailed}
		}
	}
}

// ItemHeader returns the header that is sent with an item: its own one without the fields that
// concern a connection or describe the message, which the system writes itself.
func ItemHeader(list []batch.Header) http.Header {
	header := http.Header{}
	for _, h := range list {
		header.Add(h.Name, h.Value)
	}
	relay.DropHopByHop(header)
	header.Del("Content-Length")
	header.Del("Host")
	return header
}
