package jobs

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"tarragonhollow.example/tarragonhollow/core/batch"
	"tarragonhollow.example/tarragonhollow/core/outcome"
	"tarragonhollow.example/tarragonhollow/extern/partlog"
)

// outageRecord is what this daemon knows of an outage of the partition of acceptances. It
// is safe for concurrent use.
type outageRecord struct {
	mu     sync.Mutex
	outage batch.Outage
}

// record records how a call to the log ended. A conflict is an answer too.
func (r *outageRecord) record(now time.Time, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err == nil || partlog.IsConflict(err) || partlog.IsExpired(err) {
		r.outage.Succeeded()
		return
	}
	r.outage.Failed(now)
}

func (r *outageRecord) age(now time.Time) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.outage.Age(now)
}

// recordCall records how a call to a partition ended, if it is that of the acceptances. A
// call that was cancelled, such as after another daemon has accepted the job, says nothing
// about the log.
func (j *Jobs) recordCall(ctx context.Context, c *cursor, err error) {
	if c == j.accepted && !errors.Is(ctx.Err(), context.Canceled) {
		j.outage.record(time.Now(), err)
	}
}

// recordRefusal records a refused submission as a call to the log that failed, on a daemon
// that does not follow the acceptances and submits jobs through others. One that follows
// them has seen the failure itself. As in recordCall, a cancelled submission says nothing.
func (j *Jobs) recordRefusal(ctx context.Context, refusal *outcome.Refusal) {
	if refusal == nil || refusal.Code != outcome.LogUnavailable || errors.Is(ctx.Err(), context.Canceled) {
		return
	}
	if !j.following.running() {
		j.outage.record(time.Now(), refusal)
	}
}

// paced sets the Retry-After of a refusal because of a log outage by the age of the outage.
// It changes nothing else: whether the job may have been accepted is not known any better.
func (j *Jobs) paced(ctx context.Context, refusal *outcome.Refusal) *outcome.Refusal {
	if !j.PacedReturn || refusal == nil || refusal.Code != outcome.LogUnavailable {
		return refusal
	}
	now := time.Now()
	left := time.Duration(0)
	if deadline, ok := ctx.Deadline(); ok {
		left = deadline.Sub(now)
	}
	pause := batch.OutagePause(j.outage.age(now), left, rand.Float64())
	return refusal.After(max(1, pause.Milliseconds()))
}
