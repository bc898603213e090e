// Package fakesuspects is a tracker of suspect requests for tests, for a daemon without
// peers.
package fakesuspects

import (
	"sync"

	"tarragonhollow.example/tarragonhollow/core/retry"
)

// Tracker knows only the crashes at this daemon. It is safe for concurrent use.
type Tracker struct {
	mu   sync.Mutex
	core *retry.Suspects
}

// New returns a tracker that quarantines a request after limit crashes.
func New(limit int) *Tracker { return &Tracker{core: retry.NewSuspects(limit)} }

// Verdict returns whether and how the request may run.
func (t *Tracker) Verdict(fingerprint string) retry.Verdict {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.core.Verdict(fingerprint)
}

// Crashed records a crash.
func (t *Tracker) Crashed(c retry.Crash) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.core.Crashed(c)
}

// Completed clears a request.
func (t *Tracker) Completed(fingerprint string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.core.Completed(fingerprint)
}
