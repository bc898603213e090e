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
	// jitterShare spreads a backoff over [1-jitterShare, 1+jitterShare] of it,
	// so that requests that failed together do not come back together.
	jitterShare = 0.5
	// budgetPause is the mean wait between two looks at a spent budget.
	budgetPause = 100 * time.Millisecond
	// RetryAfterMs is told to callers who are refused because targets failed.
	RetryAfterMs = 1000
)

// Failure is what is known of a failed attempt.
type Failure struct {
	// Reached is false only if the target certainly did not get the request.
	Reached bool
	// Rejected: the target refused the content for good.
	Rejected bool
	// Busy: the target refused for load.
	Busy bool
	// Detail is for the caller's message.
	Detail string
}

// Situation is what the decision depends on.
type Situation struct {
	Failure Failure
	// Repeatable is the profile's word.
	Repeatable bool
	// ReachedBefore tells whether an earlier attempt may have reached a target.
	ReachedBefore bool
	// Attempts counts the attempts made, the failed one included.
	Attempts int
	// Retries bounds the attempts after the first.
	Retries int
	// Now and Deadline bound the time left; until WaitUntil the request may wait
	// for the budget.
	Now, Deadline, WaitUntil time.Time
	// Random in [0,1) gives the jitter.
	Random float64
}

// Decision is a retry after a wait, a wait for the budget, or the final refusal.
type Decision struct {
	// Backoff is the wait before the retry, or before deciding again; it counts
	// if Refusal is nil.
	Backoff time.Duration
	// Undecided tells that the budget is spent for now: wait, then decide again.
	// Waiting costs the targets nothing, and a caller with time left is better
	// served late than refused because one target's death took the budget.
	Undecided bool
	// Refusal is the final answer.
	Refusal *outcome.Refusal
}

// Decide rules on a failed attempt. A non-repeatable request is tried again
// only if no attempt can have reached a target; that is what "at most once"
// rests on, so this check comes before every other.
func Decide(s Situation, b *Budget) Decision {
	reached := s.ReachedBefore || s.Failure.Reached
	run := RunState(reached)
	if s.Failure.Rejected {
		return giveUp(outcome.Unprocessable, rejectedState(s.Failure, run), s.Failure.Detail, 0)
	}
	if reached && !s.Repeatable {
		return giveUp(outcome.OutcomeUnknown, run, s.Failure.Detail, 0)
	}
	backoff := Backoff(s.Attempts, s.Random)
	switch {
	case !s.Now.Before(s.Deadline):
		return giveUp(outcome.DeadlineExceeded, run, s.Failure.Detail, 0)
	case s.Attempts > s.Retries:
		return giveUp(failedCode(s.Failure), run, s.Failure.Detail, RetryAfterMs)
	case s.Now.Add(backoff).After(s.Deadline):
		return giveUp(outcome.DeadlineExceeded, run, s.Failure.Detail, 0)
	case b.Take(s.Now):
		return Decision{Backoff: backoff}
	case s.Now.Add(MaxBackoff).Before(s.WaitUntil):
		return Decision{Backoff: jitter(budgetPause, s.Random), Undecided: true}
	default:
		return giveUp(failedCode(s.Failure), run, "retry budget spent: "+s.Failure.Detail, RetryAfterMs)
	}
}

// RunState is the truth about a request without an answer: not_run is claimed
// only if no attempt can have reached a target.
func RunState(reached bool) outcome.RunState {
	if reached {
		return outcome.MayHaveRun
	}
	return outcome.NotRun
}

// rejectedState: a target that answered with its own refusal has dealt with
// the request to the end, and its outcome is known.
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

func giveUp(code outcome.Code, run outcome.RunState, detail string, afterMs int64) Decision {
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
