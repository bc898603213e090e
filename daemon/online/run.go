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

// pickPause is the wait between two attempts to pick a target while none is usable.
const pickPause = 50 * time.Millisecond

// verdictPause is the polling interval while a request's verdict is pending.
const verdictPause = 10 * time.Millisecond

// noTargetRetryMs is the retry-after time, in milliseconds, when the group has no target
// to try.
const noTargetRetryMs = 1000

var (
	// errStalled ends an attempt that made no progress for too long.
	errStalled = errors.New("target stayed silent for too long")
	// errSlow ends an attempt that made no progress at a target that answers other
	// requests: the target is alive, and only this request moves to another one.
	errSlow = errors.New("target is too slow with this request")
	// errSink is returned when the caller's side of a stream failed.
	errSink = errors.New("caller stopped reading")
)

// run is the state of one request over all its attempts.
type run struct {
	call     api.Call
	group    *group
	pick     routing.Request
	tokens   int
	attempts int
	// reached reports whether any attempt may have reached a target. It is never reset:
	// every run state returned to a caller depends on it.
	reached    bool
	lastDetail string
	// answered reports whether the current attempt has returned any output.
	answered bool
	started  time.Time
	// waitUntil is until when the request may wait for a target or for the retry budget;
	// see targetWait.
	waitUntil time.Time
	// isolated reports whether the current attempt was started as one to run alone.
	isolated bool
}

// attempt sends the request to one target. If last is set, no retry is left, so the
// attempt waits for a slow target instead of giving up on it.
type attempt func(ctx context.Context, address string, last bool) error

func (o *Online) newRun(call api.Call, g *group) *run {
	now := o.opt.Clock()
	return &run{
		call: call, group: g, started: now, waitUntil: now.Add(targetWait(call.Deadline.Sub(now))),
		pick: routing.Request{Zone: o.opt.Zone, Exclude: map[string]bool{}, SeedValue: rand.Uint64()},
	}
}

// maxTargetWait bounds the wait for a target to become usable. It covers a restart after
// a crash, but a request with a long deadline does not wait for half of it only to be
// refused for lack of a target.
const maxTargetWait = 4 * time.Second

// targetWait returns how long a request with the given time left may wait for a target:
// at most half of it, so that the other half remains for the run.
func targetWait(left time.Duration) time.Duration { return min(left/2, maxTargetWait) }

// attemptAll makes attempts until one succeeds or no further attempt is allowed.
func (o *Online) attemptAll(ctx context.Context, r *run, try attempt) *outcome.Refusal {
	if refusal := r.group.admit(o.opt.Clock(), r.call.Deadline); refusal != nil {
		return refusal
	}
	for {
		if refusal := o.checkSuspect(ctx, r); refusal != nil {
			return refusal
		}
		choice, refusal := o.pickTarget(ctx, r)
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

// pickTarget picks a target. While every target is ejected, or none is empty for a
// request that must run alone, it waits until r.waitUntil: trying a dead target costs a
// retry and cannot succeed.
func (o *Online) pickTarget(ctx context.Context, r *run) (routing.Choice, *outcome.Refusal) {
	for {
		now := o.opt.Clock()
		mayWait := now.Before(r.waitUntil)
		choice, result := r.group.begin(now, r, !mayWait && !r.pick.OnlyAlone)
		switch {
		case result == picked:
			return choice, nil
		case result == noTarget:
			return choice, outcome.Refuse(outcome.NoTarget, "no target of %s is left", r.group.name).
				WithRun(retry.RunState(r.reached)).After(noTargetRetryMs)
		case !mayWait:
			return choice, runAloneRefusal(r)
		}
		duty.Pause(ctx, pickPause)
		if refusal := o.checkSuspect(ctx, r); refusal != nil {
			return choice, refusal
		}
	}
}

// runAloneRefusal is returned for a request that may have crashed targets while no target
// is free to run it alone.
func runAloneRefusal(r *run) *outcome.Refusal {
	return outcome.Refuse(outcome.TargetFailed, "this request ran on targets as they crashed, and no target of %s is free to run it alone", r.group.name).
		WithRun(outcome.MayHaveRun).After(retry.RetryAfterMs)
}

// checkSuspect refuses quarantined requests and records whether a suspect has to run
// alone. It waits while the verdict is pending.
func (o *Online) checkSuspect(ctx context.Context, r *run) *outcome.Refusal {
	if ctx.Err() != nil {
		return o.stopRefusal(ctx, r)
	}
	verdict := o.opt.Suspects.Verdict(r.call.Fingerprint)
	for verdict == retry.Pending {
		if !duty.Pause(ctx, verdictPause) {
			return o.stopRefusal(ctx, r)
		}
		verdict = o.opt.Suspects.Verdict(r.call.Fingerprint)
	}
	if verdict == retry.Quarantined {
		return quarantinedRefusal()
	}
	r.pick.Alone = verdict == retry.PreferAlone
	r.pick.OnlyAlone = verdict == retry.RunAlone
	return nil
}

// quarantinedRefusal returns may_have_run: a request is quarantined only if targets
// received its content.
func quarantinedRefusal() *outcome.Refusal {
	return outcome.Refuse(outcome.Quarantined, "this request crashed the targets that ran it").
		WithRun(outcome.MayHaveRun)
}

// attemptOnce makes one attempt and records it in signals, metrics, routing state and
// crash tracking.
func (o *Online) attemptOnce(ctx context.Context, r *run, choice routing.Choice, try attempt) error {
	r.attempts++
	r.answered = false
	o.meters.countAttempt(choice.Reason)
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
	verdict := classify(ctx, err, failure)
	if o.timedOutSilent(ctx, r, now.Sub(began), err) {
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

// timedOutSilent reports whether the deadline passed without any output from the target.
// Without this check, requests that may not be repeated would never eject a hanging
// target, since they have no stall limit. A deadline shorter than StallMin says more about
// the caller than about the target and does not count.
func (o *Online) timedOutSilent(ctx context.Context, r *run, took time.Duration, err error) bool {
	expired := errors.Is(ctx.Err(), context.DeadlineExceeded)
	return err != nil && expired && !r.answered && took >= o.opt.StallMin
}

// markAnswered records that the attempt's target has returned output.
func (r *run) markAnswered(address string) {
	if r.answered {
		return
	}
	r.answered = true
	r.group.progress(address)
}

// classify returns what the end of an attempt means for the target's health.
func classify(ctx context.Context, err error, f *target.Failure) routing.Outcome {
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

// afterFailure returns the final refusal, or nil after the backoff before a retry.
func (o *Online) afterFailure(ctx context.Context, r *run, address string, err error) *outcome.Refusal {
	if ctx.Err() != nil || errors.Is(err, errSink) {
		return o.stopRefusal(ctx, r)
	}
	r.pick.Exclude[address] = true
	failure := target.FailureOf(err)
	if failure == nil {
		failure = &target.Failure{Reached: true, Detail: err.Error()}
	}
	decision, alive := o.decide(ctx, r, failure)
	if !alive {
		return o.stopRefusal(ctx, r)
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

// decide decides whether a failed attempt is retried, and waits while the retry budget is
// spent. It returns false if ctx ended meanwhile.
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

// stopRefusal returns the refusal of a request whose deadline passed or whose caller
// disconnected.
func (o *Online) stopRefusal(ctx context.Context, r *run) *outcome.Refusal {
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
