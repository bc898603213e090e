package shards

import (
	"context"
	"time"

	"go.uber.org/zap"

	"tarragonhollow.example/tarragonhollow/core/ledger"
	"tarragonhollow.example/tarragonhollow/daemon/duty"
	"tarragonhollow.example/tarragonhollow/extern"
)

const (
	// urgentReserve is the part of the budget's burst that batch changes leave
	// to urgent ones; reserveWait is how long they wait to look again.
	urgentReserve = budgetBurst / 2
	reserveWait   = 20 * time.Millisecond
)

// appendLoop appends the owner's records, one at a time, at its pace and within
// this daemon's budget.
func (s *Shards) appendLoop(ctx context.Context, sl *slot, owner *ledger.Owner) {
	for ctx.Err() == nil {
		if s.findBound(ctx, sl, owner) {
			continue
		}
		urgent, ready := s.awaitTurn(ctx, sl, owner)
		if !ready {
			continue
		}
		if !urgent && s.budget.Tokens() < urgentReserve {
			duty.Pause(ctx, reserveWait)
			continue
		}
		if s.budget.Wait(ctx) != nil {
			return
		}
		s.appendOne(ctx, sl, owner)
	}
}

// findBound asks where the stream ends after an answer was lost.
func (s *Shards) findBound(ctx context.Context, sl *slot, owner *ledger.Owner) bool {
	sl.mu.Lock()
	needed := owner.NeedsBound()
	sl.mu.Unlock()
	if !needed {
		return false
	}
	_, next, err := s.bounds(ctx, sl)
	if err != nil {
		s.noteLog(false)
		duty.Pause(ctx, pauseAfterError)
		return true
	}
	sl.mu.Lock()
	defer sl.mu.Unlock()
	owner.SetBound(next)
	return true
}

// awaitTurn waits until a record may be built or something has changed.
func (s *Shards) awaitTurn(ctx context.Context, sl *slot, owner *ledger.Owner) (urgent, ready bool) {
	sl.mu.Lock()
	atMs, urgent, ok := owner.NextAppend()
	sl.mu.Unlock()
	wait := time.Duration(atMs-s.nowMs()) * time.Millisecond
	if ok && wait <= 0 {
		return urgent, true
	}
	if !ok {
		select {
		case <-ctx.Done():
		case <-sl.wake:
		}
		return urgent, false
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-sl.wake:
	case <-timer.C:
	}
	return urgent, false
}

func (s *Shards) appendOne(ctx context.Context, sl *slot, owner *ledger.Owner) {
	sl.mu.Lock()
	data, err := owner.Build(s.nowMs())
	s.deliver(sl)
	sl.mu.Unlock()
	if err != nil {
		s.opt.Logger.Error("shard_encode_failed", zap.Int("shard", sl.id), zap.Error(err))
		duty.Pause(ctx, pauseAfterError)
		return
	}
	if data == nil {
		return
	}
	call, cancel := context.WithTimeout(ctx, callTimeout)
	_, err = s.opt.Log.Append(call, sl.stream, data)
	cancel()
	s.meter.appends.Inc()
	s.meter.appendBytes.Add(len(data))
	out, retry := classify(err)
	if out == ledger.Unavailable && ctx.Err() == nil { // not one that ended with its hold
		s.noteLog(false)
	}
	switch {
	case err == nil || ctx.Err() != nil:
	case out == ledger.Limited:
		s.meter.appendLimited.Inc()
	default:
		s.meter.appendErrors.Inc()
		s.opt.Logger.Warn("shard_append_failed", zap.Int("shard", sl.id), zap.Error(err))
	}
	sl.mu.Lock()
	defer sl.mu.Unlock()
	owner.AppendDone(s.nowMs(), out, retry.Milliseconds())
	s.deliver(sl)
}

// classify tells what is known of an append from its error.
func classify(err error) (ledger.AppendOutcome, time.Duration) {
	if err == nil {
		return ledger.Appended, 0
	}
	if retry, ok := extern.IsLimited(err); ok {
		return ledger.Limited, retry
	}
	switch {
	case extern.IsUnavailable(err):
		return ledger.Unavailable, 0
	case extern.IsTooLarge(err):
		return ledger.TooLarge, 0
	}
	return ledger.Unknown, 0
}

// noteLog records the last word on whether the log answers.
func (s *Shards) noteLog(ok bool) {
	if s.logOK.Swap(ok) != ok {
		s.opt.Logger.Info("log_reachable", zap.Bool("ok", ok))
	}
}

// probeLoop looks at the log while it was found out of reach, so that a daemon
// without shards notices its return too.
func (s *Shards) probeLoop(ctx context.Context) {
	every(ctx, pauseAfterError, func() {
		if s.logOK.Load() {
			return
		}
		if _, _, err := s.bounds(ctx, s.slots[0]); err == nil {
			s.noteLog(true)
		}
	})
}
