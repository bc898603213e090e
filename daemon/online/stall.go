package online

import (
	"context"
	"errors"
	"sync"
	"time"

	"tarragonhollow.example/tarragonhollow/target"
)

// stallParts divides the time left: a silent attempt is looked at after one
// part, given up after two at the latest, and leaves one for another target.
const stallParts = 3

// stallWatch ends an attempt that stays silent. A target that hangs (a lost
// host, a cut cable) shows as silence only, and silence is also what a long
// queue looks like; so the watch fires early only if the target gives nothing
// to others either, and never if there is no retry to be had: then waiting is
// the best that can be done.
type stallWatch struct {
	run     *run
	address string
	limit   time.Duration
	cancel  context.CancelCauseFunc

	mu     sync.Mutex
	timer  *time.Timer
	signAt time.Time
	passed int
	// ended guards against a timer that fired while stop held the lock.
	ended bool
}

// watchStall starts a watch. The last attempt and those that may not be
// repeated are not watched: they wait to the deadline.
func (o *Online) watchStall(r *run, address string, last bool, cancel context.CancelCauseFunc) *stallWatch {
	w := &stallWatch{run: r, address: address, cancel: cancel}
	if last || !r.call.Profile.Repeatable {
		return w
	}
	now := o.opt.Clock()
	part := r.call.Deadline.Sub(now) / stallParts
	w.limit = min(max(part, o.opt.StallMin), o.opt.StallMax)
	w.signAt = now
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(w.limit, w.fire)
	return w
}

// alive notes a sign of life of this attempt.
func (w *stallWatch) alive() {
	if w.limit == 0 {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.signAt = w.run.group.clock()
	w.passed = 0
	w.timer.Reset(w.limit)
}

func (w *stallWatch) fire() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.ended {
		return
	}
	lively := w.run.group.progressedSince(w.address, w.signAt)
	w.passed++
	if lively && w.passed == 1 || !w.run.group.canRetry() {
		w.timer.Reset(w.limit)
		return
	}
	if lively {
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

// stallError tells a stall from other ends of the attempt. The request may have
// run: the target had it.
func stallError(attempt, whole context.Context, err error) error {
	cause := context.Cause(attempt)
	if whole.Err() != nil || !errors.Is(cause, errStalled) && !errors.Is(cause, errSlow) {
		return err
	}
	return &target.Failure{Reached: true, Detail: cause.Error(), Err: cause}
}
