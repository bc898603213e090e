package batch

import "tarragonhollow.example/tarragonhollow/core/outcome"

// Ways adds up what is told of one job that is handed in by several ways at once: to
// the log directly and through other daemons. Whichever way accepts it, it is
// accepted, once; it is refused only when every way has ended.
type Ways struct {
	open     int
	accepted bool
	refusal  *outcome.Refusal
	// mayHaveRun tells that a way ended without knowing what it did. It stays: a
	// later refusal by another way does not undo it.
	mayHaveRun bool
}

// Begin counts a way that the job goes now.
func (w *Ways) Begin() { w.open++ }

// End takes how a way ended; nil is an acceptance.
func (w *Ways) End(refusal *outcome.Refusal) {
	w.open--
	if refusal == nil {
		w.accepted = true
		return
	}
	if refusal.Run != outcome.NotRun {
		w.mayHaveRun = true
	}
	// A refusal by the quota says more than one by a log that is out.
	if w.refusal == nil || w.refusal.Code == outcome.LogUnavailable {
		w.refusal = refusal
	}
}

// Accepted tells whether a way has accepted the job.
func (w *Ways) Accepted() bool { return w.accepted }

// Open tells whether a way has not ended yet.
func (w *Ways) Open() bool { return w.open > 0 }

// Final tells whether another way could not do better: the job was refused for what
// it is, and not because the log was out.
func (w *Ways) Final() bool { return w.refusal != nil && w.refusal.Code != outcome.LogUnavailable }

// Refusal returns the answer once all ways have ended, nil for an acceptance.
func (w *Ways) Refusal() *outcome.Refusal {
	if w.accepted {
		return nil
	}
	if w.mayHaveRun && w.refusal != nil {
		return w.refusal.WithRun(outcome.MayHaveRun)
	}
	return w.refusal
}
