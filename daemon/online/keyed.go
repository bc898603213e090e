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
	// beginHold is the maximum time for which the owner may hold one Begin call while
	// another entry host runs the same key.
	beginHold = 2 * time.Second
	// beginBackoff is the wait between attempts to reach the shard's owner.
	beginBackoff = 50 * time.Millisecond
	// beginRetryMs is the retry-after time, in milliseconds, of a request that cannot be
	// granted now.
	beginRetryMs = 1000
)

// scopedKey is CALLER/KEY.
func scopedKey(call api.Call) string { return call.Caller + "/" + call.Key }

// targetKey returns the idempotency key sent to targets. It is scoped by the caller's
// name, if there is one, so that equal keys of two callers stay distinct at the target.
func targetKey(call api.Call) string {
	if call.Caller == "" {
		return call.Key
	}
	return scopedKey(call)
}

// keyed runs work under the call's idempotency key. replayed reports whether the answer
// is that of another run.
//
// A non-repeatable request runs only if the ledger grants it. From then on it is
// independent of the caller's connection: stopping it would leave its outcome unknown. A
// repeatable request never depends on the log: if no owner can be reached, it runs
// anyway, and its answer is stored once the owner is back. Until then its key does not
// prevent duplicate runs.
func (o *Online) keyed(ctx context.Context, r *run, work func(context.Context) (*ledger.Answer, *outcome.Refusal)) (answer *ledger.Answer, replayed bool, refusal *outcome.Refusal) {
	if o.opt.Suspects.Verdict(r.call.Fingerprint) == retry.Quarantined {
		return nil, false, quarantinedRefusal()
	}
	begin := o.beginRequest(r.call)
	reply, refusal := o.begin(ctx, begin)
	switch {
	case refusal != nil && (!r.call.Profile.Repeatable || !unreachable(refusal)):
		return o.resolveUngranted(ctx, begin, refusal)
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

// runUngranted runs a repeatable request whose owner did not answer. The owner may have
// granted it with the reply lost; in that case the reported result completes the key.
// Otherwise the report carries the BeginRequest too.
func (o *Online) runUngranted(ctx context.Context, begin ledger.BeginRequest, work func(context.Context) (*ledger.Answer, *outcome.Refusal)) (*ledger.Answer, *outcome.Refusal) {
	o.meters.ungranted.Inc()
	answer, refusal := work(ctx)
	if answer == nil {
		o.finish.abandon(begin)
		return nil, refusal
	}
	o.finish.enqueue(ledger.FinishRequest{
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

// resolveUngranted returns the result of a request that was not granted. This arrival
// certainly did not run, but to the caller all arrivals of the key are one request, and
// an unreachable daemon may have run an earlier one. If no owner answers, the key is
// looked up in the log itself; while the log cannot be read, the outcome is unknown.
func (o *Online) resolveUngranted(ctx context.Context, begin ledger.BeginRequest, refusal *outcome.Refusal) (*ledger.Answer, bool, *outcome.Refusal) {
	if begin.Repeatable || refusal.Code != outcome.NoOwner || refusal.Run != outcome.NotRun {
		return nil, false, o.correctRunState(begin.Key, refusal)
	}
	found, err := o.opt.Ledger.LookupOnLog(context.WithoutCancel(ctx), begin)
	switch {
	case err != nil || found.Verdict == ledger.StillRunning:
		return nil, false, refusal.WithRun(outcome.MayHaveRun)
	case found.Verdict == ledger.Settled:
		return found.Answer, true, found.Refusal
	}
	return nil, false, o.correctRunState(begin.Key, refusal)
}

// correctRunState changes a refusal's not_run to may_have_run if an earlier arrival of
// the same key was granted at this daemon: to the caller both are one request. Arrivals
// at other daemons are known only to the ledger, so the refusal's message refers to this
// arrival.
func (o *Online) correctRunState(key string, refusal *outcome.Refusal) *outcome.Refusal {
	if refusal.Run == outcome.NotRun && o.granted.Contains(key) {
		return refusal.WithRun(outcome.MayHaveRun)
	}
	return refusal
}

// unreachable reports whether the ledger could not be reached, as opposed to having
// refused.
func unreachable(r *outcome.Refusal) bool {
	return r.Code == outcome.NoOwner || r.Code == outcome.LogUnavailable
}

// begin calls Begin until the key is granted or has a result. Repeating the call with the
// same nonce is safe: the owner repeats its reply.
func (o *Online) begin(ctx context.Context, req ledger.BeginRequest) (ledger.BeginReply, *outcome.Refusal) {
	maxWait := o.opt.RepeatableBeginWait
	if !req.Repeatable {
		maxWait = o.opt.NonRepeatableBeginWait
	}
	giveUpAt := o.opt.Clock().Add(maxWait)
	for {
		req.WaitMs = holdMs(ctx, o.opt.Clock())
		reply, err := o.callOwner(ctx, req, giveUpAt)
		if err == nil && reply.Verdict != ledger.StillRunning {
			return reply, nil
		}
		refusal := beginRefusal(err)
		switch {
		case ctx.Err() != nil:
			o.finish.abandon(req)
			return reply, beginTimedOut(req, err)
		case err == nil:
			giveUpAt = o.opt.Clock().Add(maxWait)
		case !unreachable(refusal):
			return reply, refusal
		case refusal.Code == outcome.LogUnavailable:
			// The owner answered that it cannot begin any request now; the maximum wait
			// is meant for an owner that is being replaced.
			if !req.Repeatable {
				o.finish.abandon(req)
			}
			return reply, refusal
		case o.opt.Clock().Add(beginBackoff).After(giveUpAt):
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

// callOwner makes one Begin call, bounded by giveUpAt: an unresponsive owner must not
// delay a repeatable request until its deadline.
func (o *Online) callOwner(ctx context.Context, req ledger.BeginRequest, giveUpAt time.Time) (ledger.BeginReply, error) {
	until := giveUpAt.Add(time.Duration(req.WaitMs) * time.Millisecond)
	call, cancel := context.WithDeadline(ctx, until)
	defer cancel()
	reply, err := o.opt.Ledger.Begin(call, req)
	if err != nil && call.Err() != nil && ctx.Err() == nil {
		// giveUpAt has passed, not the request's deadline.
		return reply, outcome.Refuse(outcome.NoOwner, "this arrival was not run: the key's owner did not answer").
			After(beginRetryMs)
	}
	return reply, err
}

// holdMs returns how long the owner may hold the call, in milliseconds.
func holdMs(ctx context.Context, now time.Time) int64 {
	deadline, ok := ctx.Deadline()
	if !ok {
		return beginHold.Milliseconds()
	}
	return max(0, min(beginHold, deadline.Sub(now)).Milliseconds())
}

// beginRefusal converts an error of Begin to a refusal. After any other error than a
// refusal (a failed call) it is unknown whether the key was granted, but this daemon has
// not run the request, so not_run is correct.
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

// beginTimedOut returns the refusal of a request whose deadline passed before a grant.
// This arrival did not run, but another arrival of the key may have, and there is no time
// left to read the log. A caller that is told not_run would send a non-repeatable request
// again as a new one, so such a request gets may_have_run.
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

// finishRun reports the result of a granted run and returns the answer that is valid for
// the key. It waits for the log for at most FinishWait; the answer is valid either way.
func (o *Online) finishRun(r *run, begin ledger.BeginRequest, attempt int, answer *ledger.Answer, refusal *outcome.Refusal) (*ledger.Answer, bool, *outcome.Refusal) {
	report := ledger.FinishRequest{
		Key: begin.Key, Nonce: begin.Nonce, Attempt: attempt,
		Answer: answer, Refusal: ledgerRefusal(r, refusal),
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

// ledgerRefusal returns the refusal to report to the ledger for a failed run. The ledger
// frees a key on not_run, so a repeatable request that failed for a transient reason is
// reported as not_run, and the caller's next attempt runs. The caller itself gets the
// actual run state.
func ledgerRefusal(r *run, refusal *outcome.Refusal) *outcome.Refusal {
	if refusal == nil || !r.call.Profile.Repeatable || isFinal(refusal.Code) {
		return refusal
	}
	return refusal.WithRun(outcome.NotRun)
}

func isFinal(code outcome.Code) bool {
	return code == outcome.Unprocessable || code == outcome.Quarantined
}
