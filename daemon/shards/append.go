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
	// urgentReserve is the number of burst tokens that batch changes leave to urgent
	// changes. A batch change that finds fewer tokens checks again after reserveWait.
	urgentReserve = budgetBurst / 2
	reserveWait   = 20 * time.Millisecond
)

// appendLoop appends the owner's records one at a time, at the intervals that the
// owner sets and within this daemon's append budget.
func (s *Shards) appendLoop(ctx context.Context, sl *slot, owner *ledger.Owner) {
	for ctx.Err() == nil {
		if s.findBound(ctx, sl, owner) {
			continue
		}
		urgent, ready := s.awaitAppend(ctx, sl, owner)
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

// findBound looks up the end of the stream after the response to an append was lost.
// It reports whether the owner needed that.
func (s *Shards) findBound(ctx context.Context, sl *slot, owner *ledger.Owner) bool {
	sl.mu.Lock()
	needed := owner.NeedsRetryOffset()
	sl.mu.Unlock()
	if !needed {
		return false
	}
	_, next, err := s.bounds(ctx, sl)
	if err != nil {
		s.setLogOK(false)
		duty.Pause(ctx, pauseAfterError)
		return true
	}
	sl.mu.Lock()
	defer sl.mu.Unlock()
	owner.SetRetryOffset(next)
	return true
}

// awaitAppend waits until a record may be built or the state has changed. ready reports
// whether a record may be built now, urgent whether it holds an urgent change.
func (s *Shards) awaitAppend(ctx context.Context, sl *slot, owner *ledger.Owner) (urgent, ready bool) {
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
	if out == ledger.Unavailable && ctx.Err() == nil { // not an append cancelled by the end of the hold
		s.setLogOK(false)
	}
	switch {
	case err == nil || ctx.Err() != nil:
	case out == ledger.Throttled:
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

// classify returns the outcome of an append that ended with err, and the log's
// retry-after time if the append was rate limited.
func classify(err error) (ledger.AppendOutcome, time.Duration) {
	if err == nil {
		return ledger.Appended, 0
	}
	if retry, ok := extern.IsLimited(err); ok {
		return ledger.Throttled, retry
	}
	switch {
	case extern.IsUnavailable(err):
		return ledger.Unavailable, 0
	case extern.IsTooLarge(err):
		return ledger.TooLarge, 0
	}
	return ledger.Unknown, 0
}

// setLogOK records whether the log is reachable, and logs each change.
func (s *Shards) setLogOK(ok bool) {
	if s.logOK.Swap(ok) != ok {
		s.opt.Logger.Info("log_reachable", zap.Bool("ok", ok))
	}
}

// probeLoop probes the log while it is unreachable, so that a daemon that holds no
// shards also notices when the log is back.
func (s *Shards) probeLoop(ctx context.Context) {
	every(ctx, pauseAfterError, func() {
		if s.logOK.Load() {
			return
		}
		if _, _, err := s.bounds(ctx, s.slots[0]); err == nil {
			s.setLogOK(true)
		}
	})
}
