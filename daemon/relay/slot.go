package relay

import (
	"context"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"tarragonhollow.example/tarragonhollow/core/outcome"
	"tarragonhollow.example/tarragonhollow/core/retry"
	"tarragonhollow.example/tarragonhollow/core/routing"
	"tarragonhollow.example/tarragonhollow/core/slots"
	"tarragonhollow.example/tarragonhollow/daemon/duty"
	"tarragonhollow.example/tarragonhollow/daemon/places"
)

// slotBackoffStep is the step of retry.Backoff at which the pauses begin between two tries of a
// begun stream to acquire a slot, with 40 ms: a busy target frees a slot within some 10 to 100 ms.
const slotBackoffStep = 3

// nextSlot returns the slot for the next attempt: the one that is held already, or one that it
// acquires. For a stream that was begun a refusal is not final while its caller waits: the caller
// would get neither the rest nor the refusal.
func (s *requestState) nextSlot(ctx context.Context) (places.Slot, *outcome.Refusal) {
	if s.next != nil {
		slot := *s.next
		s.next = nil
		return slot, nil
	}
	for tries := 1; ; tries++ {
		slot, refusal := s.acquireSlot(ctx)
		if refusal == nil || refusal.Code == outcome.Cancelled || !s.mustGoOn() {
			return slot, refusal
		}
		s.lastFailure = refusal.Message
		pause := min(retry.Backoff(slotBackoffStep+tries, rand.Float64()), time.Until(s.callerStaysUntil()))
		if !duty.Pause(ctx, pause) {
			return places.Slot{}, outcome.Refuse(outcome.Cancelled, "%s", refusal.Message)
		}
	}
}

// acquireSlot acquires a slot at a target that may run the request.
func (s *requestState) acquireSlot(ctx context.Context) (places.Slot, *outcome.Refusal) {
	var slot places.Slot
	var refusal *outcome.Refusal
	s.waitForSlot(ctx, func(ctx context.Context) { slot, refusal = s.relay.Places.Acquire(ctx, s.placesRequest()) })
	if refusal != nil {
		return slot, refusal
	}
	refusal = s.checkVersion(slot.Target)
	if refusal == nil && s.decidePartsNow() {
		refusal = partRefused()
	}
	if refusal != nil {
		s.relay.Places.Release(slot, routing.Neutral, 0)
		return places.Slot{}, refusal
	}
	return slot, nil
}

// mustGoOn reports whether the caller has a part of a stream and still waits for the rest.
func (s *requestState) mustGoOn() bool {
	return s.delivery.headSent && time.Now().Before(s.callerStaysUntil())
}

// tryElsewhere lets a begun stream try another target after one that did not run it. The retry budget
// bounds runs, and this was none.
func (s *requestState) tryElsewhere(ctx context.Context) (Result, bool) {
	pause := min(retry.Backoff(slotBackoffStep+s.rejections, rand.Float64()), time.Until(s.callerStaysUntil()))
	if !duty.Pause(ctx, pause) {
		return s.endEarly(ctx), true
	}
	s.relay.meter.retries.Inc()
	return Result{}, false
}

// nextFits reports whether a slot is held at which the request may go on. An event that arrived
// while the silent target was left may have bound the stream to another version, or have left no
// position to go on from.
func (s *requestState) nextFits() bool {
	return s.next != nil && s.repeatable() && s.checkVersion(s.next.Target) == nil
}

// releaseNext gives up the slot that is held for a next attempt that is not made.
func (s *requestState) releaseNext() {
	if s.next == nil {
		return
	}
	s.relay.Places.Release(*s.next, routing.Neutral, 0)
	s.relay.refundRetry()
	s.next = nil
}

// placesRequest describes the request for the choice of a target.
func (s *requestState) placesRequest() places.Request {
	r := s.request
	share := r.Account
	if share == "" {
		share = r.Route.Name
	}
	p := places.Request{
		ID: r.ID, Group: s.group(), Exclude: s.excluded, MaxWait: routing.MaxWait(time.Until(r.Deadline), r.Rank), Alone: s.alone,
		LastChance: !s.mayRetry(), Rank: r.Rank, Share: share, Weight: r.Weight, Work: slots.Work(r.PromptTokens, r.OutputTokens), Content: s.content,
		Arrived: r.Arrived, Deadline: r.Deadline, FirstByte: s.relay.usualFirstByte(s.group()), Version: s.stream.version,
	}
	if r.Route.Objective > 0 {
		p.Objective = r.Arrived.Add(r.Route.Objective)
	}
	return p
}

// degradeWhenSilent marks the target degraded if it sends no first byte within
// firstByteTimeout to a request that got a free slot. A non-repeatable request keeps
// waiting beyond that time, but no other request should be sent to the target meanwhile.
// The function returned stops the timer.
func (s *requestState) degradeWhenSilent(slot places.Slot) (stop func()) {
	if slot.Running >= slot.Slots {
		return func() {}
	}
	timer := time.AfterFunc(s.firstByteTimeout, func() {
		if !s.answerStarted.Load() {
			s.relay.Logger.Info("target_silent", zap.String("id", s.request.ID), zap.String("target", slot.ID),
				zap.Int("running_there", slot.Running), zap.Int64("ms", s.firstByteTimeout.Milliseconds()))
			s.relay.Places.MarkDegraded(slot)
		}
	})
	return func() { timer.Stop() }
}
