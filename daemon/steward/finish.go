package steward

import (
	"context"
	"errors"
	"time"

	"github.com/joomcode/errorx"
	"go.uber.org/zap"

	"tarragonhollow.example/tarragonhollow/core/admission"
	"tarragonhollow.example/tarragonhollow/core/ledger"
	"tarragonhollow.example/tarragonhollow/core/outcome"
	"tarragonhollow.example/tarragonhollow/target"
)

// endedItem is an item's end that is being delivered to the item's owner.
type endedItem struct {
	item *heldItem
	end  ledger.ItemEnd
	// retried is set if a report failed before. Such ends are sent in separate reports, so
	// that one unreachable owner does not delay new ends for the others.
	retried bool
}

// finishRun handles the end of a run: it reports the answer or failure, or queues the item
// again.
func (s *Steward) finishRun(r *run, answer *ledger.Answer, err, cause error) {
	now := s.opts.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	alone := r.target.endRun(now, r, err, cause)
	close(r.done)
	it := r.item
	it.run = nil
	s.decideQueue.Offer(r.target)
	if err == nil {
		s.completeLocked(now, it, answer)
		return
	}
	if s.handleStoppedLocked(now, it, r, err, cause) {
		return
	}
	s.failLocked(now, it, r, alone, err)
}

// endRun removes the run from the target and reports whether it was alone there. A run that
// this daemon stopped or that timed out says nothing about the target's health.
func (t *targetState) endRun(now time.Time, r *run, err, cause error) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	alone := r.alone && t.core.Alone(now, r.id)
	t.core.Ended(now, r.id)
	delete(t.runs, r.id)
	if len(r.item.progress) > 0 {
		t.prefixes.add(r.item.prompt.prefixes)
	}
	f := target.FailureOf(err)
	switch {
	case err == nil:
		t.core.Succeeded()
	case cause == nil && f != nil && !f.Rejected && (f.Crashed || f.Busy || !f.Reached):
		t.core.Failed(now)
	}
	return alone
}

func (s *Steward) completeLocked(now time.Time, it *heldItem, answer *ledger.Answer) {
	s.rateLocked(it.group).Observe(now, 1)
	s.meter.ended("completed")
	s.endLocked(it, ledger.ItemEnd{Ref: it.ref, Answer: answer})
}

// handleStoppedLocked handles a run that ended because this daemon stopped it, or because
// it was cancelled at the engine. Its tokens are kept, and it does not count as an attempt.
// It reports whether it handled the end.
//
// An item that is not repeatable and that a target received is never handed back as if it
// had not run: its owner would lease it again, and it would run twice. It ends as
// may_have_run instead.
func (s *Steward) handleStoppedLocked(now time.Time, it *heldItem, r *run, err, cause error) bool {
	f := target.FailureOf(err)
	if !it.repeatable && (f == nil || f.Reached) {
		return false
	}
	switch {
	case it.stopped, errors.Is(cause, errRevoked):
		s.meter.ended("cancelled")
		s.endLocked(it, ledger.ItemEnd{Ref: it.ref})
	case errors.Is(cause, errDraining), errors.Is(cause, errStartTooLate):
		s.handBackLocked(it)
	case errors.Is(cause, errTargetUnavailable):
		s.requeueLocked(now, it, nil)
	case errors.Is(cause, errPreempted), errors.Is(err, target.ErrStreamCancelled):
		s.requeueLocked(now, it, r.target)
	default:
		return false
	}
	return true
}

// failLocked ends the attempt with the target's failure.
func (s *Steward) failLocked(now time.Time, it *heldItem, r *run, alone bool, err error) {
	f := target.FailureOf(err)
	s.log.Info("item_failed", zap.String("job", it.ref.Job), zap.Int("index", it.ref.Index),
		zap.String("target", r.target.address), zap.Error(err))
	if f != nil && (!f.Reached || f.Busy) && !f.Rejected {
		s.retryUnreachedLocked(now, it)
		return
	}
	end := ledger.ItemEnd{Ref: it.ref, Refusal: refusalFor(err, f)}
	switch {
	case f == nil:
		// A body that cannot be decoded fails on every attempt; an engine that skipped a
		// token may succeed on the next one.
		end.Final = errorx.IsOfType(err, ItemError)
	case f.Rejected:
		end.Final = true
	case f.Crashed:
		end.Crashed, end.Alone = true, alone
	}
	s.meter.ended("failed")
	s.endLocked(it, end)
}

// retryUnreachedLocked queues an item again that no target received. After maxLocalStarts
// the item is handed back to its owner, as other stewards may be able to reach a target.
func (s *Steward) retryUnreachedLocked(now time.Time, it *heldItem) {
	it.unreachedStarts++
	if it.unreachedStarts >= maxLocalStarts {
		s.handBackLocked(it)
		return
	}
	s.requeueLocked(now, it, nil)
}

func refusalFor(err error, f *target.Failure) *outcome.Refusal {
	refusal := &outcome.Refusal{Code: outcome.TargetFailed, Message: err.Error(), Run: outcome.MayHaveRun}
	if f != nil {
		refusal.Message = f.Detail
	}
	switch {
	case errorx.IsOfType(err, ItemError):
		refusal.Code, refusal.Run = outcome.BadRequest, outcome.NotRun
	case errors.Is(err, context.DeadlineExceeded):
		refusal.Code = outcome.DeadlineExceeded
	case f != nil && f.Rejected:
		refusal.Code = outcome.Unprocessable
	}
	return refusal
}

// requeueLocked queues the item again if its lease still allows a start, and hands it back
// otherwise.
func (s *Steward) requeueLocked(now time.Time, it *heldItem, prefer *targetState) {
	if s.draining || !now.Before(it.startUntil) {
		s.handBackLocked(it)
		return
	}
	it.queuedAt = now
	it.prefer, it.preferUntil = prefer, now.Add(preferWindow)
	s.queued[it.group] = append(s.queued[it.group], it)
}

// handBackLocked returns an unfinished item to its owner, with its tokens.
func (s *Steward) handBackLocked(it *heldItem) {
	s.meter.ended("handed_back")
	s.endLocked(it, ledger.ItemEnd{Ref: it.ref, Progress: it.progress})
}

// endLocked passes an end to reportLoop. Pulls keep the number of held items below the
// queue's capacity, and each item has one end at a time, so the queue has room. If it were
// full anyway, the lease would expire at the owner.
func (s *Steward) endLocked(it *heldItem, end ledger.ItemEnd) {
	it.ended = true
	it.handedBack = end.Answer == nil && end.Refusal == nil
	if s.ends.Offer(endedItem{item: it, end: end}) {
		return
	}
	s.releaseLocked(it)
	s.endsLost = true
	s.meter.dropped.Inc()
	s.log.Error("end_dropped", zap.String("job", it.ref.Job), zap.Int("index", it.ref.Index))
}

// releaseLocked removes an item whose end has been delivered or dropped.
func (s *Steward) releaseLocked(it *heldItem) {
	if s.held[it.key()] == it {
		delete(s.held, it.key())
	}
}

func (s *Steward) rateLocked(group string) *admission.Rate {
	if s.rates[group] == nil {
		s.rates[group] = &admission.Rate{}
	}
	return s.rates[group]
}
