package online

import (
	"context"
	"errors"
	"time"

	"tarragonhollow.example/tarragonhollow/target"
)

// stallWatch ends an attempt that stays silent.
type stallWatch struct {
	limit time.Duration
	timer *time.Timer
}

// watchStall starts a watch; with limit 0 it never fires.
func watchStall(limit time.Duration, cancel context.CancelCauseFunc) *stallWatch {
	w := &stallWatch{limit: limit}
	if limit > 0 {
		w.timer = time.AfterFunc(limit, func() { cancel(errStalled) })
	}
	return w
}

func (w *stallWatch) alive() {
	if w.timer != nil {
		w.timer.Reset(w.limit)
	}
}

func (w *stallWatch) stop() {
	if w.timer != nil {
		w.timer.Stop()
	}
}

// stallError tells a stall from other ends of the attempt. The request may have
// run: the target had it.
func stallError(attempt, whole context.Context, err error) error {
	if whole.Err() == nil && errors.Is(context.Cause(attempt), errStalled) {
		return &target.Failure{Reached: true, Detail: errStalled.Error(), Err: errStalled}
	}
	return err
}
