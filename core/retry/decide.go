package retry

import (
	"time"

	"tarragonhollow.example/tarragonhollow/core/outcome"
)

const (
	// FirstBackoff is the mean wait before the first retry.
	FirstBackoff = 5 * time.Millisecond
	// MaxBackoff bounds its doubling.
	MaxBackoff = 500 * time.Millisecond
	// jitterShare spreads a backoff over [1-jitterShare, 1+jitterShare] times its value,
	// so that requests that failed together are not retried together.
	jitterShare = 0.5
	// budgetPause is the mean wait between two checks of an exhausted budget.
	budgetPause = 100 * time.Millisecond
	// RetryAfterMs is the retry delay, in milliseconds, for callers that are refused
	// because targets failed.
	RetryAfterMs = 1000
)

// Failure describes a failed attempt.
type Failure struct {
	// Reached is false only if the target certainly did not receive the request.
	Reached bool
	// Rejected: the target refused the content permanently.
	Rejected bool
	// Busy: the target refused because it is overloaded.
	Busy bool
	// Left: the target left in order behind its answer. That is no failure, so the retry, which
	// only confirms the answer's end, does not count against the budget.
	Left bool
	// Detail is text for the message to the caller.
	Detail string
}

// Situation is the input of a decision.
type Situation struct {
	Failure Failure
	// Repeatable reports whether the profile allows the request to run more than once.
	Repeatable bool
	// ReachedBefore reports whether an earlier attempt may have reached a target.
	ReachedBefore bool
	// Attempts counts the attempts made, including the failed one.
	Attempts int
	// Retries is the maximum number of attempts after the first.
	Retries int
	// Now and Deadline bound the time left; until WaitUntil the request may wait
	// for the budget.
	Now, Deadline, WaitUntil time.Time
	// Random is in [0,1) and determines the jitter.
	Random float64
}

// Decision is a retry after a wait, a wait for the budget, or the final refusal.
type Decision struct {
	// Backoff is the wait before the retry, or before deciding again; it is meaningful
	// only if Refusal is nil.
	Backoff time.Duration
	// Undecided is set if the budget is exhausted for now: wait, then decide again.
	// Waiting costs the targets nothing, and a caller with time left is better served
	// late than refused because the failure of one target used up the budget.
	Undecided bool
	// Refusal is the final answer.
	Refusal *outcome.Refusal
}

// Decide decides what follows a failed attempt. A non-repeatable request is retried only
// if no attempt can have reached a target; the at-most-once guarantee rests on this, so
// this check comes before any that allows a retry.
func Decide(s Situation, b *Budget) Decision {
	reached := s.ReachedBefore || s.Failure.Reached
	run := RunState(reached)
	if s.Failure.Rejected {
		return refuse(outcome.Unprocessable, rejectedState(s.Failure, run), s.Failure.Detail, 0)
	}
	if reached && !s.Repeatable {
		return refuse(outcome.OutcomeUnknown, run, s.Failure.Detail, 0)
	}
	backoff := Backoff(s.Attempts, s.Random)
	switch {
	case !s.Now.Before(s.Deadline):
		return refuse(outcome.DeadlineExceeded, run, s.Failure.Detail, 0)
	case s.Attempts > s.Retries:
		return refuse(failedCode(s.Failure), run, s.Failure.Detail, RetryAfterMs)
	case s.Now.Add(backoff).After(s.Deadline):
		return refuse(outcome.DeadlineExceeded, run, s.Failure.Detail, 0)
	case s.Failure.Left || b.Take(s.Now):
		return Decision{Backoff: backoff}
	case s.Now.Add(MaxBackoff).Before(s.WaitUntil):
		return Decision{Backoff: jitter(budgetPause, s.Random), Undecided: true}
	default:
		return refuse(failedCode(s.Failure), run, "retry budget spent: "+s.Failure.Detail, RetryAfterMs)
	}
}

// RunState returns the run state of a request without an answer: not_run only if no
// attempt can have reached a target.
func RunState(reached bool) outcome.RunState {
	if reached {
		return outcome.MayHaveRun
	}
	return outcome.NotRun
}

// rejectedState returns the run state of a rejected request: a target that answered with
// a refusal of its own has finished with the request, and its outcome is known.
func rejectedState(f Failure, run outcome.RunState) outcome.RunState {
	if f.Reached {
		return outcome.Ran
	}
	return run
}

func failedCode(f Failure) outcome.Code {
	if f.Busy {
		return outcome.Overloaded
	}
	return outcome.TargetFailed
}

func refuse(code outcome.Code, run outcome.RunState, detail string, afterMs int64) Decision {
	refusal := outcome.Refuse(code, "%s", detail).WithRun(run).After(afterMs)
	return Decision{Refusal: refusal}
}

// Backoff returns the wait before the retry that follows the given number of
// attempts. random is in [0,1).
func Backoff(attempts int, random float64) time.Duration {
	base := MaxBackoff
	if attempts < 8 {
		base = min(MaxBackoff, FirstBackoff<<max(0, attempts-1))
	}
	return jitter(base, random)
}

func jitter(base time.Duration, random float64) time.Duration {
	factor := 1 - jitterShare + 2*jitterShare*random
	return time.Duration(float64(base) * factor)
}
