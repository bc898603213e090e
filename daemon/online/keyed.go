package online

import (
	"context"
	"errors"
	"time"

	"github.com/google/uuid"
	"go.uber.org/zap"

	"tarragonhollow.example/tarragonhollow/api"
	"tarragonhollow.example/tarragonhollow/core/ledger"
	"tarragonhollow.example/tarragonhollow/core/outcome"
	"tarragonhollow.example/tarragonhollow/core/retry"
	"tarragonhollow.example/tarragonhollow/daemon/duty"
)

const (
	// beginHold is how long one Begin may be held while another entry host runs
	// the same key.
	beginHold = 2 * time.Second
	// beginBackoff is the wait between tries to reach the shard's owner.
	beginBackoff = 50 * time.Millisecond
	// beginRetryMs is told to a caller whose order cannot be taken now.
	beginRetryMs = 1000
)

// scopedKey is CALLER/KEY.
func scopedKey(call api.Call) string { return call.Caller + "/" + call.Key }

// targetKey is the key that targets see: the caller's own, and for a named
// caller scoped, so that two callers' equal keys stay apart at the target too.
func targetKey(call api.Call) string {
	if call.Caller == "" {
		return call.Key
	}
	return scopedKey(call)
}

// keyed runs work under the call's idempotency key. replayed tells that the
// answer is another run's.
//
// A non-repeatable request runs only with the ledger's grant, and once granted
// it no longer depends on the caller's connection: breaking it off would leave
// an order with an unknown outcome. A repeatable one never needs the log: when
// no owner can be reached it runs all the same, and its answer is kept once the
// owner is back; until then its key does not guard against doubled work.
func (o *Online) keyed(ctx context.Context, r *run, work func(context.Context) (*ledger.Answer, *outcome.Refusal)) (answer *ledger.Answer, replayed bool, refusal *outcome.Refusal) {
	if o.opt.Suspects.Verdict(r.call.Fingerprint) == retry.Condemned {
		return nil, false, condemnedRefusal()
	}
	begin := o.beginRequest(r.call)
	reply, refusal := o.begin(ctx, begin)
	switch {
	case refusal != nil && (!r.call.Profile.Repeatable || !unreachable(refusal)):
		return o.ungranted(ctx, begin, refusal)
	case refusal != nil:
		answer, refusal = o.runUngranted(ctx, begin, work)
		return answer, false, refusal
	case reply.Verdict == ledger.Settled:
		return reply.Answer, true, reply.Refusal
	}
	if !r.call.Profile.Repeatable {
		detached, cancel := context.WithDeadline(context.WithoutCancel(ctx), r.call.Deadline)
		defer cancel()
		ctx = detached
		o.granted.Add(begin.Key, struct{}{})
	}
	answer, refusal = work(ctx)
	return o.finishRun(r, begin, reply.Attempt, answer, refusal)
}

// runUngranted runs a repeatable request whose owner did not answer. The owner
// may have granted it all the same, with its word lost: the end settles the key
// then, and otherwise brings its own beginning along.
func (o *Online) runUngranted(ctx context.Context, begin ledger.BeginRequest, work func(context.Context) (*ledger.Answer, *outcome.Refusal)) (*ledger.Answer, *outcome.Refusal) {
	o.meters.ungranted.Inc()
	answer, refusal := work(ctx)
	if answer == nil {
		o.finish.abandon(begin)
		return nil, refusal
	}
	o.finish.later(ledger.FinishRequest{
		Key: begin.Key, Nonce: begin.Nonce, Attempt: ledger.AnyAttempt, Answer: answer, Begin: begin,
	})
	return answer, refusal
}

func (o *Online) beginRequest(call api.Call) ledger.BeginRequest {
	return ledger.BeginRequest{
		Key: scopedKey(call), Nonce: uuid.NewString(), Entry: o.opt.View.Self().ID(),
		Fingerprint: call.Fingerprint, Profile: call.Profile.Name, Repeatable: call.Profile.Repeatable,
	}
}

// ungranted tells of a request that was not granted. That this arrival didn't run
// is certain; but to the caller all arrivals of the key are one request, and
// daemons that can't be reached may have run an earlier one. When no owner
// answers, the log itself is asked; as long as it can't be read, nobody knows.
func (o *Online) ungranted(ctx context.Context, begin ledger.BeginRequest, refusal *outcome.Refusal) (*ledger.Answer, bool, *outcome.Refusal) {
	if begin.Repeatable || refusal.Code != outcome.NoOwner || refusal.Run != outcome.NotRun {
		return nil, false, o.ownRuns(begin.Key, refusal)
	}
	said, err := o.opt.Ledger.OnLog(context.WithoutCancel(ctx), begin)
	switch {
	case err != nil || said.Verdict == ledger.StillRunning:
		return nil, false, refusal.WithRun(outcome.MayHaveRun)
	case said.Verdict == ledger.Settled:
		return said.Answer, true, said.Refusal
	}
	return nil, false, o.ownRuns(begin.Key, refusal)
}

// ownRuns corrects a refusal that says not_run of this arrival when an earlier
// one of the same key was granted here: to the caller both are one request, and
// it may have run. Arrivals at other daemons are known to the ledger only, so
// the message speaks of this arrival.
func (o *Online) ownRuns(key string, refusal *outcome.Refusal) *outcome.Refusal {
	if refusal.Run == outcome.NotRun && o.granted.Contains(key) {
		return refusal.WithRun(outcome.MayHaveRun)
	}
	return refusal
}

// unreachable tells whether the ledger could not be asked, as opposed to having
// said no.
func unreachable(r *outcome.Refusal) bool {
	return r.Code == outcome.NoOwner || r.Code == outcome.LogUnavailable
}

// begin asks until the key is granted or settled. Asking again with the same
// nonce is safe: the owner repeats its word.
func (o *Online) begin(ctx context.Context, req ledger.BeginRequest) (ledger.BeginReply, *outcome.Refusal) {
	patience := o.opt.BeginPatience
	if !req.Repeatable {
		patience = o.opt.OrderPatience
	}
	giveUp := o.opt.Clock().Add(patience)
	for {
		req.WaitMs = holdFor(ctx, o.opt.Clock())
		reply, err := o.askOwner(ctx, req, giveUp)
		if err == nil && reply.Verdict != ledger.StillRunning {
			return reply, nil
		}
		refusal := beginRefusal(err)
		switch {
		case ctx.Err() != nil:
			o.finish.abandon(req)
			return reply, beginTimedOut(req, err)
		case err == nil:
			giveUp = o.opt.Clock().Add(patience)
		case !unreachable(refusal):
			return reply, refusal
		case refusal.Code == outcome.LogUnavailable:
			// The owner is there and knows that it can't begin anything: waiting is
			// for an owner that is being replaced.
			if !req.Repeatable {
				o.finish.abandon(req)
			}
			return reply, refusal
		case o.opt.Clock().Add(beginBackoff).After(giveUp):
			if !req.Repeatable {
				o.finish.abandon(req)
			}
			return reply, refusal
		}
		if err != nil {
			duty.Pause(ctx, beginBackoff)
		}
	}
}

// askOwner makes one Begin call, bounded by the patience: a silent owner must
// not hold a repeatable request for its whole deadline.
func (o *Online) askOwner(ctx context.Context, req ledger.BeginRequest, giveUp time.Time) (ledger.BeginReply, error) {
	until := giveUp.Add(time.Duration(req.WaitMs) * time.Millisecond)
	call, cancel := context.WithDeadline(ctx, until)
	defer cancel()
	reply, err := o.opt.Ledger.Begin(call, req)
	if err != nil && call.Err() != nil && ctx.Err() == nil {
		// The patience ended, not the request's time.
		return reply, outcome.Refuse(outcome.NoOwner, "this arrival was not run: the key's owner did not answer").
			After(beginRetryMs)
	}
	return reply, err
}

// holdFor is the time the owner may hold the call, in milliseconds.
func holdFor(ctx context.Context, now time.Time) int64 {
	deadline, ok := ctx.Deadline()
	if !ok {
		return beginHold.Milliseconds()
	}
	return max(0, min(beginHold, deadline.Sub(now)).Milliseconds())
}

// beginRefusal turns a Begin error into a refusal. An error that is no refusal
// (a broken call) leaves unknown whether the key was granted, but this daemon
// has not run it: not_run is true.
func beginRefusal(err error) *outcome.Refusal {
	if err == nil {
		return nil
	}
	var r *outcome.Refusal
	if !errors.As(err, &r) {
		r = outcome.Refuse(outcome.NoOwner, "this arrival was not run: the key's owner did not answer: %v", err)
	}
	if unreachable(r) && r.RetryAfterMs == 0 {
		return r.After(beginRetryMs)
	}
	return r
}

// beginTimedOut is told when the deadline passed before a grant. This arrival
// did not run. Whether another one of the key did, nobody has said: a caller that
// reads not_run as the word on its order would order anew, so an order is told
// that it may have run. There is no time left to read the log.
func beginTimedOut(req ledger.BeginRequest, err error) *outcome.Refusal {
	if err == nil {
		return outcome.Refuse(outcome.DeadlineExceeded, "another arrival of this key still runs").
			WithRun(outcome.MayHaveRun).After(beginRetryMs)
	}
	refusal := outcome.Refuse(outcome.DeadlineExceeded, "this arrival was not run: the key's owner did not answer in time").
		After(beginRetryMs)
	if req.Repeatable {
		return refusal
	}
	return refusal.WithRun(outcome.MayHaveRun)
}

// finishRun reports the end of a granted run and returns the answer that
// stands. It waits for the log only so long; the answer is true either way.
func (o *Online) finishRun(r *run, begin ledger.BeginRequest, attempt int, answer *ledger.Answer, refusal *outcome.Refusal) (*ledger.Answer, bool, *outcome.Refusal) {
	report := ledger.FinishRequest{
		Key: begin.Key, Nonce: begin.Nonce, Attempt: attempt,
		Answer: answer, Refusal: keptRefusal(r, refusal),
	}
	reply, durable := o.finish.report(report)
	if !durable {
		o.opt.Logger.Debug("answer_before_durable",
			zap.String("request_id", r.call.RequestID), zap.String("key", begin.Key))
		return answer, false, refusal
	}
	if reply.Answer != nil && (answer == nil || !sameBody(reply.Answer, answer)) {
		return reply.Answer, true, nil
	}
	return answer, false, refusal
}

func sameBody(a, b *ledger.Answer) bool {
	return a.Status == b.Status && string(a.Body) == string(b.Body)
}

// keptRefusal is what the ledger is told of a failed run. A repeatable request
// that failed for a passing reason frees its key, so that the caller's next try
// runs; the ledger frees a key on not_run. The caller is told the true run
// state; only the key's bookkeeping treats "may be run again" like "not run".
func keptRefusal(r *run, refusal *outcome.Refusal) *outcome.Refusal {
	if refusal == nil || !r.call.Profile.Repeatable || final(refusal.Code) {
		return refusal
	}
	return refusal.WithRun(outcome.NotRun)
}

func final(code outcome.Code) bool {
	return code == outcome.Unprocessable || code == outcome.Condemned
}
