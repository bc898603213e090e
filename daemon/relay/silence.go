package relay

import (
	"context"
	"maps"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/joomcode/errorx"
	"go.uber.org/zap"

	"tarragonhollow.example/tarragonhollow/core/retry"
	"tarragonhollow.example/tarragonhollow/core/routing"
	"tarragonhollow.example/tarragonhollow/daemon/duty"
	"tarragonhollow.example/tarragonhollow/daemon/places"
	"tarragonhollow.example/tarragonhollow/target/h1"
)

const (
	// searchBackoffStep is the step of retry.Backoff at which the pauses of a search begin, with
	// 80 ms: a target that is only slow often goes on within that time.
	searchBackoffStep = 4
	// queueAfter is the silence after which a request also queues at a busy target, which may turn it
	// away: sound targets are silent for a second or so, up to 1.5 s, and callers leave after
	// minSilence.
	queueAfter = 1600 * time.Millisecond
)

// silenceWatch watches one attempt for silence of its target, and ends it once another target
// has a slot for the request.
//
// Failure guarded against: a sound target is silent for a second, and its attempt is ended
// before it is known whether another one is possible. With the retry budget spent, or no other
// target ready, the caller gets neither an answer nor a refusal though its target goes on.
type silenceWatch struct {
	relay *Relay
	// address is the target's; ctx is the attempt's context, cancel ends the attempt.
	address string
	ctx     context.Context
	cancel  context.CancelCauseFunc
	// request describes the next attempt, situation the decision on it.
	request   places.Request
	situation retry.Situation

	mu sync.Mutex
	// next is the slot for which the attempt was left, nil if it was not left. silent is how long
	// its target had been silent then, searches how often a slot was sought.
	next     *places.Slot
	silent   time.Duration
	searches int
}

// watchSilence returns the watch of the attempt in the slot. The watch reads nothing that the
// attempt changes.
func (s *requestState) watchSilence(ctx context.Context, cancel context.CancelCauseFunc, slot places.Slot) *silenceWatch {
	w := &silenceWatch{relay: s.relay, address: slot.Address, ctx: ctx, cancel: cancel}
	if !s.mayRetry() {
		return w
	}
	w.request = s.placesRequest()
	w.request.Exclude = maps.Clone(s.excluded)
	w.request.Exclude[string(slot.Start)] = true
	w.request.LastChance = s.runs+2 >= s.request.Route.MaxAttempts
	w.situation = retry.Situation{
		Failure:    retry.Failure{Reached: true},
		Repeatable: true,
		Attempts:   s.runs + 1,
		Retries:    s.request.Route.MaxAttempts - 1,
		Deadline:   s.request.Deadline,
	}
	return w
}

// begin starts a wait for the target; the function returned ends it. After limit, 0 for never,
// a slot at another target is sought, of the version unless that is "".
func (w *silenceWatch) begin(limit time.Duration, version string) (end func()) {
	if limit <= 0 {
		return func() {}
	}
	ctx, cancel := context.WithCancel(w.ctx)
	since := time.Now()
	timer := time.AfterFunc(limit, func() { w.search(ctx, since, version) })
	return func() {
		timer.Stop()
		w.mu.Lock()
		defer w.mu.Unlock()
		cancel()
	}
}

// search seeks a slot until it has one or ctx, that of the wait, ends. Then it leaves the target.
func (w *silenceWatch) search(ctx context.Context, since time.Time, version string) {
	for tries := 1; ctx.Err() == nil; tries++ {
		if slot, found := w.secure(ctx, since, version); found {
			w.leave(ctx, slot, since, tries)
			return
		}
		duty.Pause(ctx, searchPause(tries, time.Since(since)))
	}
}

// searchPause returns the pause after a number of tries, at a silence of the given length. It ends
// when queueAfter does: the caller may not wait for another one.
func searchPause(tries int, silent time.Duration) time.Duration {
	pause := retry.Backoff(searchBackoffStep+tries, rand.Float64())
	if left := queueAfter - silent; left > 0 {
		return min(pause, left)
	}
	return pause
}

// secure acquires a retry and a slot for it.
func (w *silenceWatch) secure(ctx context.Context, since time.Time, version string) (slot places.Slot, found bool) {
	decision := w.relay.decide(w.situation)
	if decision.Refusal != nil {
		return places.Slot{}, false
	}
	defer func() {
		if !found {
			w.relay.refundRetry()
		}
	}()
	if !duty.Pause(ctx, decision.Backoff) {
		return places.Slot{}, false
	}
	request := w.request
	request.Version = version
	request.MaxWait = routing.MaxWait(time.Until(request.Deadline), request.Rank)
	slot, refusal := w.relay.Places.Acquire(ctx, request)
	if refusal != nil {
		return places.Slot{}, false
	}
	if !w.usable(slot, since, version) {
		w.relay.Places.Release(slot, routing.Neutral, 0)
		return places.Slot{}, false
	}
	return slot, true
}

// usable reports whether the slot is worth leaving a target that is silent since the given time:
// it is at a target that was not tried yet, of the stream's version, and free.
func (w *silenceWatch) usable(slot places.Slot, since time.Time, version string) bool {
	if w.request.Exclude[string(slot.Start)] || version != "" && slot.Version != version {
		return false
	}
	return slot.Running < slot.Slots || time.Since(since) >= queueAfter
}

// leave ends the attempt for one in the slot, unless the target has gone on meanwhile.
func (w *silenceWatch) leave(ctx context.Context, slot places.Slot, since time.Time, tries int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if ctx.Err() != nil {
		w.relay.Places.Release(slot, routing.Neutral, 0)
		w.relay.refundRetry()
		return
	}
	w.next, w.silent, w.searches = &slot, time.Since(since), tries
	w.cancel(h1.Silent.New("%s: silent for %d ms, left for %s", w.address, w.silent.Milliseconds(), slot.ID))
}

// replacement returns the slot for which the attempt was left, nil for none. The attempt has
// ended.
func (w *silenceWatch) replacement() *places.Slot {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.next
}

// fields returns the log fields about a target that was left.
func (w *silenceWatch) fields() []zap.Field {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.next == nil {
		return nil
	}
	return []zap.Field{zap.Int64("left_silent_ms", w.silent.Milliseconds()), zap.String("left_for", w.next.ID), zap.Int("slot_searches", w.searches)}
}

// leftSilent reports whether the attempt with this context was ended because its target was
// silent.
func leftSilent(ctx context.Context) bool {
	return ctx.Err() != nil && errorx.IsOfType(context.Cause(ctx), h1.Silent)
}

// decide decides on a retry as of now, and may spend the retry budget.
func (r *Relay) decide(situation retry.Situation) retry.Decision {
	situation.Now, situation.Random = time.Now(), rand.Float64()
	r.mu.Lock()
	defer r.mu.Unlock()
	return retry.Decide(situation, r.budget)
}

// refundRetry returns a retry that is not made to the budget.
func (r *Relay) refundRetry() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.budget.Refund()
}
