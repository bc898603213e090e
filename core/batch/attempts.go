package batch

import "tarragonhollow.example/tarragonhollow/core/outcome"

// Attempts combines the outcomes of concurrent attempts to submit one job: to the log
// directly and through other daemons. The job is accepted once, as soon as any attempt is
// accepted; it is refused only after every attempt has ended.
type Attempts struct {
	inProgress int
	accepted   bool
	refusal    *outcome.Refusal
	// mayHaveRun reports whether an attempt ended with an unknown outcome. It is never
	// reset: a later refusal of another attempt does not resolve that outcome.
	mayHaveRun bool
}

// Begin records the start of an attempt.
func (a *Attempts) Begin() { a.inProgress++ }

// End records the end of an attempt; a nil refusal means that the job was accepted.
func (a *Attempts) End(refusal *outcome.Refusal) {
	a.inProgress--
	if refusal == nil {
		a.accepted = true
		return
	}
	if refusal.Run != outcome.NotRun {
		a.mayHaveRun = true
	}
	// A refusal because of the quota is more specific than one because the log is
	// unavailable.
	if a.refusal == nil || a.refusal.Code == outcome.LogUnavailable {
		a.refusal = refusal
	}
}

// Accepted reports whether an attempt was accepted.
func (a *Attempts) Accepted() bool { return a.accepted }

// Open reports whether an attempt is still in progress.
func (a *Attempts) Open() bool { return a.inProgress > 0 }

// Final reports whether another attempt could not succeed: the job itself was refused, not
// the attempt because the log was unavailable.
func (a *Attempts) Final() bool { return a.refusal != nil && a.refusal.Code != outcome.LogUnavailable }

// Refusal returns the combined refusal after all attempts have ended, nil if the job was
// accepted.
func (a *Attempts) Refusal() *outcome.Refusal {
	if a.accepted {
		return nil
	}
	if a.mayHaveRun && a.refusal != nil {
		return a.refusal.WithRun(outcome.MayHaveRun)
	}
	return a.refusal
}
