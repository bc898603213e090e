package online

import (
	"context"
	"errors"
	"sync"
	"time"

	"tarragonhollow.example/tarragonhollow/target"
)

// stallParts divides the time left: an attempt without progress is checked after one
// part, cancelled after two at the latest, and leaves one part for another target.
const stallParts = 3

// stallWatch ends an attempt that makes no progress. A hanging target (a lost host, a cut
// cable) sends nothing, but neither does a target with a long queue. So the watch cancels
// at the first expiry only if the target gives no output to other requests either, and
// never while the retry budget is spent: then waiting is the best option.
type stallWatch struct {
	run     *run
	address string
	limit   time.Duration
	cancel  context.CancelCauseFunc

	mu         sync.Mutex
	timer      *time.Timer
	progressAt time.Time
	expiries   int
	// ended guards against a timer that fires while stop holds the lock.
	ended bool
}

// watchStall starts a watch. The last attempt and requests that may not be repeated are
// not watched: they wait until the deadline.
func (o *Online) watchStall(r *run, address string, last bool, cancel context.CancelCauseFunc) *stallWatch {
	w := &stallWatch{run: r, address: address, cancel: cancel}
	if last || !r.call.Profile.Repeatable {
		return w
	}
	now := o.opt.Clock()
	part := r.call.Deadline.Sub(now) / stallParts
	w.limit = min(max(part, o.opt.StallMin), o.opt.StallMax)
	w.progressAt = now
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(w.limit, w.fire)
	return w
}

// progressed records progress of this attempt and restarts the timer.
func (w *stallWatch) progressed() {
	if w.limit == 0 {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.progressAt = w.run.group.clock()
	w.expiries = 0
	w.timer.Reset(w.limit)
}

func (w *stallWatch) fire() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.ended {
		return
	}
	active := w.run.group.progressedSince(w.address, w.progressAt)
	w.expiries++
	if active && w.expiries == 1 || !w.run.group.canRetry() {
		w.timer.Reset(w.limit)
		return
	}
	if active {
		w.cancel(errSlow)
		return
	}
	w.cancel(errStalled)
}

func (w *stallWatch) stop() {
	if w.limit == 0 {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ended = true
	w.timer.Stop()
}

// stallError returns a target failure if the attempt ended by a stall, and err otherwise.
// After a stall the request may have run, since the target received it.
func stallError(attempt, request context.Context, err error) error {
	cause := context.Cause(attempt)
	if request.Err() != nil || !errors.Is(cause, errStalled) && !errors.Is(cause, errSlow) {
		return err
	}
	return &target.Failure{Reached: true, Detail: cause.Error(), Err: cause}
}
