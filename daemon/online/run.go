package online

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"tarragonhollow.example/tarragonhollow/api"
	"tarragonhollow.example/tarragonhollow/core/outcome"
	"tarragonhollow.example/tarragonhollow/core/retry"
	"tarragonhollow.example/tarragonhollow/core/routing"
	"tarragonhollow.example/tarragonhollow/daemon/duty"
	"tarragonhollow.example/tarragonhollow/target"
)

// placePause is the wait between two looks for a target while none is usable.
const placePause = 50 * time.Millisecond

// settlePause is the wait between two looks at a request whose verdict is
// pending.
const settlePause = 10 * time.Millisecond

// noTargetRetryMs is told to callers when the group has no target to try.
const noTargetRetryMs = 1000

var (
	// errStalled ends an attempt that stayed silent for too long.
	errStalled = errors.New("target stayed silent for too long")
	// errSlow ends one that stayed silent at a target that answers others: the
	// target is alive, and only this request goes elsewhere.
	errSlow = errors.New("target is too slow with this request")
	// errSink marks that the caller's side of a stream broke.
	errSink = errors.New("caller stopped reading")
)

// run is one request on its way through attempts.
type run struct {
	call     api.Call
	group    *group
	pick     routing.Request
	tokens   int
	attempts int
	// reached tells whether any attempt may have reached a target. It only ever
	// turns true: every run state told to a caller rests on it.
	reached    bool
	lastDetail string
	// answered tells that the current attempt has given something back.
	answered bool
	started  time.Time
	// waitUntil is how long the request may wait for a target or for the retry
	// budget; see waitFor.
	waitUntil time.Time
	// isolated tells that the current attempt was counted as one.
	isolated bool
}

// attempt sends the request to one target. last tells that no retry is left,
// so that a slow target is better than none.
type attempt func(ctx context.Context, address string, last bool) error

func (o *Online) newRun(call api.Call, g *group) *run {
	now := o.opt.Clock()
	return &run{
		call: call, group: g, started: now, waitUntil: now.Add(waitFor(call.Deadline.Sub(now))),
		pick: routing.Request{Zone: o.opt.Zone, Exclude: map[string]bool{}, SeedValue: rand.Uint64()},
	}
}

// longestWait bounds the wait for a target that may come back: a restart after a
// crash fits in, but nobody is held back for half of a long deadline only to
// hear that there is no target.
const longestWait = 4 * time.Second

// waitFor is how long a request with that much time left may wait: half of it
// at most, so that the other half is left to run in.
func waitFor(left time.Duration) time.Duration { return min(left/2, longestWait) }

// attemptAll makes attempts until one succeeds or the rules give up.
func (o *Online) attemptAll(ctx context.Context, r *run, try attempt) *outcome.Refusal {
	if refusal := r.group.admit(o.opt.Clock(), r.call.Deadline); refusal != nil {
		return refusal
	}
	for {
		if refusal := o.mayRun(ctx, r); refusal != nil {
			return refusal
		}
		choice, refusal := o.place(ctx, r)
		if refusal != nil {
			return refusal
		}
		err := o.attemptOnce(ctx, r, choice, try)
		if err == nil {
			return nil
		}
		if refusal := o.afterFailure(ctx, r, choice.Address, err); refusal != nil {
			return refusal
		}
	}
}

// place picks a target. While every target is out, or none is empty for a
// request that must run alone, it waits a bounded time:
// trying a dead target costs a retry and cannot succeed.
func (o *Online) place(ctx context.Context, r *run) (routing.Choice, *outcome.Refusal) {
	for {
		now := o.opt.Clock()
		patient := now.Before(r.waitUntil)
		choice, found := r.group.begin(now, r, !patient && !r.pick.OnlyAlone)
		switch {
		case found == picked:
			return choice, nil
		case found == noTarget:
			return choice, outcome.Refuse(outcome.NoTarget, "no target of %s is left", r.group.name).
				WithRun(retry.RunState(r.reached)).After(noTargetRetryMs)
		case !patient:
			return choice, quarantineRefusal(r)
		}
		duty.Pause(ctx, placePause)
		if refusal := o.mayRun(ctx, r); refusal != nil {
			return choice, refusal
		}
	}
}

// quarantineRefusal is told to a request that crashed targets, perhaps, and for
// which no target is free to find out.
func quarantineRefusal(r *run) *outcome.Refusal {
	return outcome.Refuse(outcome.TargetFailed, "this request ran on targets as they crashed, and no target of %s is free to run it alone", r.group.name).
		WithRun(outcome.MayHaveRun).After(retry.RetryAfterMs)
}

// mayRun refuses condemned requests and notes whether a suspect must run alone.
func (o *Online) mayRun(ctx context.Context, r *run) *outcome.Refusal {
	if ctx.Err() != nil {
		return o.stopped(ctx, r)
	}
	verdict := o.opt.Suspects.Verdict(r.call.Fingerprint)
	for verdict == retry.Pending {
		if !duty.Pause(ctx, settlePause) {
			return o.stopped(ctx, r)
		}
		verdict = o.opt.Suspects.Verdict(r.call.Fingerprint)
	}
	if verdict == retry.Condemned {
		return condemnedRefusal()
	}
	r.pick.Alone = verdict == retry.Isolated
	r.pick.OnlyAlone = verdict == retry.Quarantined
	return nil
}

// condemnedRefusal says may_have_run: targets did get this content, or it would
// not be condemned.
func condemnedRefusal() *outcome.Refusal {
	return outcome.Refuse(outcome.Condemned, "this request crashed the targets that ran it").
		WithRun(outcome.MayHaveRun)
}

// attemptOnce makes one attempt with all the accounts kept.
func (o *Online) attemptOnce(ctx context.Context, r *run, choice routing.Choice, try attempt) error {
	r.attempts++
	r.answered = false
	o.meters.attempt(choice.Reason)
	o.opt.Signals.Begin(choice.Address, r.tokens)
	began := o.opt.Clock()
	err := try(ctx, choice.Address, r.attempts > r.call.Profile.Retries)
	now := o.opt.Clock()
	o.opt.Signals.End(choice.Address, r.tokens)
	failure := target.FailureOf(err)
	crashed := failure != nil && failure.Crashed && ctx.Err() == nil && !errors.Is(err, errSink)
	if err != nil {
		r.lastDetail = err.Error()
		r.reached = r.reached || failure == nil || failure.Reached
	}
	verdict := judge(ctx, err, failure)
	if o.silent(ctx, r, now.Sub(began), err) {
		verdict = routing.SoftFailed
	}
	crash := r.group.end(now, choice.Address, r, verdict, crashed)
	if crash != nil {
		o.opt.Suspects.Crashed(*crash)
	}
	if err == nil {
		r.reached = true
		r.group.finished(choice.Address, now.Sub(began), r.pick.Prefixes)
		o.opt.Suspects.Completed(r.call.Fingerprint)
	}
	return err
}

// silent tells that the deadline passed over a target that gave nothing back.
// Without this a target that hangs would never be taken out by requests that
// may not be repeated: they have no stall bound. Deadlines shorter than that
// bound tell of the caller, not of the target.
func (o *Online) silent(ctx context.Context, r *run, took time.Duration, err error) bool {
	expired := errors.Is(ctx.Err(), context.DeadlineExceeded)
	return err != nil && expired && !r.answered && took >= o.opt.StallMin
}

// answer notes that the attempt's target has given something back.
func (r *run) answer(address string) {
	if r.answered {
		return
	}
	r.answered = true
	r.group.progress(address)
}

// judge says what an attempt's end tells about the target.
func judge(ctx context.Context, err error, f *target.Failure) routing.Outcome {
	switch {
	case err == nil:
		return routing.Succeeded
	case errors.Is(err, errSink), errors.Is(err, errSlow), ctx.Err() != nil:
		return routing.Neutral
	case f == nil:
		return routing.SoftFailed
	case f.Rejected:
		return routing.Succeeded
	case f.Busy:
		return routing.Neutral
	case f.Crashed, !f.Reached:
		return routing.HardFailed
	default:
		return routing.SoftFailed
	}
}

// afterFailure returns the final refusal, or nil after the wait for a retry.
func (o *Online) afterFailure(ctx context.Context, r *run, address string, err error) *outcome.Refusal {
	if ctx.Err() != nil || errors.Is(err, errSink) {
		return o.stopped(ctx, r)
	}
	r.pick.Exclude[address] = true
	failure := target.FailureOf(err)
	if failure == nil {
		failure = &target.Failure{Reached: true, Detail: err.Error()}
	}
	decision, alive := o.decide(ctx, r, failure)
	if !alive {
		return o.stopped(ctx, r)
	}
	if decision.Refusal != nil {
		return decision.Refusal
	}
	o.meters.retries.Inc()
	o.opt.Logger.Debug("attempt_failed",
		zap.String("request_id", r.call.RequestID), zap.String("target", address),
		zap.Int("attempt", r.attempts), zap.String("cause", failure.Error()),
		zap.Int64("backoff_ms", decision.Backoff.Milliseconds()))
	r.pick.SeedValue = rand.Uint64()
	duty.Pause(ctx, decision.Backoff)
	return nil
}

// decide rules on a failed attempt, waiting for the budget if that is the rule.
// It returns false when the request's time ran out meanwhile.
func (o *Online) decide(ctx context.Context, r *run, f *target.Failure) (retry.Decision, bool) {
	for {
		decision := r.group.decide(retry.Situation{
			Failure: retry.Failure{
				Reached: f.Reached, Rejected: f.Rejected, Busy: f.Busy, Detail: f.Detail,
			},
			Repeatable: r.call.Profile.Repeatable, ReachedBefore: r.reached,
			Attempts: r.attempts, Retries: r.call.Profile.Retries,
			Now: o.opt.Clock(), Deadline: r.call.Deadline, WaitUntil: r.waitUntil, Random: rand.Float64(),
		})
		if !decision.Undecided {
			return decision, true
		}
		if !duty.Pause(ctx, decision.Backoff) {
			return decision, false
		}
	}
}

// stopped is the final word when the caller's time or interest ran out.
func (o *Online) stopped(ctx context.Context, r *run) *outcome.Refusal {
	run := retry.RunState(r.reached)
	unknown := r.reached && !r.call.Profile.Repeatable
	switch {
	case unknown:
		return outcome.Refuse(outcome.OutcomeUnknown, "no answer came in time").WithRun(run)
	case errors.Is(ctx.Err(), context.DeadlineExceeded), !o.opt.Clock().Before(r.call.Deadline):
		return outcome.Refuse(outcome.DeadlineExceeded, "the deadline passed").WithRun(run)
	default:
		return outcome.Refuse(outcome.Cancelled, "the caller left").WithRun(run)
	}
}
