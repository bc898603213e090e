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

// endedItem is an end on its way to the item's owner.
type endedItem struct {
	item *heldItem
	end  ledger.ItemEnd
	// tried tells that a report failed before: such ends travel apart, so that
	// one owner out of reach does not hold up the others' fresh ends.
	tried bool
}

// settle ends a run: its answer or failure is reported, or the item waits again.
func (s *Steward) settle(r *run, answer *ledger.Answer, err, cause error) {
	now := s.opts.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	alone := r.target.endRun(now, r, err, cause)
	close(r.done)
	it := r.item
	it.run = nil
	s.pokes.Offer(r.target)
	if err == nil {
		s.finishLocked(now, it, answer)
		return
	}
	if s.stoppedHereLocked(now, it, r, err, cause) {
		return
	}
	s.failLocked(now, it, r, alone, err)
}

// endRun takes the run off the target and tells whether it was alone there. A
// run that we stopped or that ran out of time says nothing about the target.
func (t *targetState) endRun(now time.Time, r *run, err, cause error) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	alone := r.alone && t.core.Alone(now, r.id)
	t.core.Ended(now, r.id)
	delete(t.runs, r.id)
	if len(r.item.progress) > 0 {
		t.prefixes.remember(r.item.prompt.prefixes)
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

func (s *Steward) finishLocked(now time.Time, it *heldItem, answer *ledger.Answer) {
	s.rateLocked(it.group).Observe(now, 1)
	s.meter.ended("completed")
	s.endLocked(it, ledger.ItemEnd{Ref: it.ref, Answer: answer})
}

// stoppedHereLocked deals with a run that ended because we stopped it, or that
// somebody cancelled at the engine; its tokens are kept and no attempt is lost.
//
// An item that is not repeatable and that a target received is never handed back
// as if it had not run: its owner would lease it again, and it would run twice.
// It ends as may_have_run instead.
func (s *Steward) stoppedHereLocked(now time.Time, it *heldItem, r *run, err, cause error) bool {
	f := target.FailureOf(err)
	if !it.repeatable && (f == nil || f.Reached) {
		return false
	}
	switch {
	case it.stopped, errors.Is(cause, errRevoked):
		s.meter.ended("cancelled")
		s.endLocked(it, ledger.ItemEnd{Ref: it.ref})
	case errors.Is(cause, errHandBack):
		s.handBackLocked(it)
	case errors.Is(cause, errMoveOn):
		s.requeueLocked(now, it, nil)
	case errors.Is(cause, errGiveWay), errors.Is(err, target.ErrStreamCancelled):
		s.requeueLocked(now, it, r.target)
	default:
		return false
	}
	return true
}

// failLocked turns a target's failure into the end of the attempt.
func (s *Steward) failLocked(now time.Time, it *heldItem, r *run, alone bool, err error) {
	f := target.FailureOf(err)
	s.log.Info("item_failed", zap.String("job", it.ref.Job), zap.Int("index", it.ref.Index),
		zap.String("target", r.target.address), zap.Error(err))
	if f != nil && (!f.Reached || f.Busy) && !f.Rejected {
		s.notRunLocked(now, it)
		return
	}
	end := ledger.ItemEnd{Ref: it.ref, Refusal: refusalFor(err, f)}
	switch {
	case f == nil:
		// A body that cannot be decoded never will be; an engine that broke the
		// token order may do better next time.
		end.Final = errorx.IsOfType(err, ItemError)
	case f.Rejected:
		end.Final = true
	case f.Crashed:
		end.Crashed, end.Alone = true, alone
	}
	s.meter.ended("failed")
	s.endLocked(it, end)
}

// notRunLocked keeps an item that no target received; after localTries it goes
// back to its owner, whose other stewards may reach a target.
func (s *Steward) notRunLocked(now time.Time, it *heldItem) {
	it.tries++
	if it.tries >= localTries {
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

// requeueLocked lets an item wait here for a start, if its lease still allows one.
func (s *Steward) requeueLocked(now time.Time, it *heldItem, prefer *targetState) {
	if s.draining || !now.Before(it.startUntil) {
		s.handBackLocked(it)
		return
	}
	it.queuedAt = now
	it.prefer, it.preferUntil = prefer, now.Add(preferWindow)
	s.queued[it.group] = append(s.queued[it.group], it)
}

// handBackLocked returns an item unfinished, with its tokens.
func (s *Steward) handBackLocked(it *heldItem) {
	s.meter.ended("handed_back")
	s.endLocked(it, ledger.ItemEnd{Ref: it.ref, Progress: it.progress})
}

// endLocked passes an end to the report duty. Pulls keep the held items below
// the ring's capacity and each has one end at a time, so the ring has room; were
// it full all the same, the owner would see the lease lapse.
func (s *Steward) endLocked(it *heldItem, end ledger.ItemEnd) {
	it.ended = true
	it.handedBack = end.Answer == nil && end.Refusal == nil
	if s.ends.Offer(endedItem{item: it, end: end}) {
		return
	}
	s.forgetLocked(it)
	s.endsLost = true
	s.meter.dropped.Inc()
	s.log.Error("end_dropped", zap.String("job", it.ref.Job), zap.Int("index", it.ref.Index))
}

// forgetLocked drops an item whose end is delivered.
func (s *Steward) forgetLocked(it *heldItem) {
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
