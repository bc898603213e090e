// Package fakesuspects is a tracker of suspect requests for tests, for a daemon without
// peers.
package fakesuspects

import (
	"sync"
	"time"

	"tarragonhollow.example/tarragonhollow/core/crashparts"
	"tarragonhollow.example/tarragonhollow/core/retry"
)

// Tracker knows only the crashes at this daemon. It is safe for concurrent use.
type Tracker struct {
	mu      sync.Mutex
	core    *retry.Suspects
	parts   *crashparts.Evidence
	limited map[string]bool
	waiting map[int]waiter
	waits   int
}

type waiter struct {
	parts   []string
	refused func()
}

// New returns a tracker that quarantines a request after limit crashes.
func New(limit int) *Tracker {
	return &Tracker{core: retry.NewSuspects(limit), parts: crashparts.New(), limited: map[string]bool{}, waiting: map[int]waiter{}}
}

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

// Crashes returns the crashes that were reported.
func (t *Tracker) Crashes() []retry.Crash {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.core.Crashes()
}

// Completed clears a request.
func (t *Tracker) Completed(fingerprint string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.core.Completed(fingerprint)
}

// DecideParts returns the verdict on a request with these parts.
func (t *Tracker) DecideParts(parts []string) crashparts.Decision {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.parts.Decide(time.Now().UnixMilli(), parts)
}

// PartsCrashed records a crash.
func (t *Tracker) PartsCrashed(c crashparts.Crash) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now().UnixMilli()
	t.parts.Apply(now, c)
	for number, w := range t.waiting {
		if t.parts.Decide(now+time.Minute.Milliseconds(), w.parts).Verdict == crashparts.Refused {
			delete(t.waiting, number)
			go w.refused()
		}
	}
}

// PartsBegan clears parts.
func (t *Tracker) PartsBegan(parts []string, at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.parts.Began(parts, at.UnixMilli())
}

// OnRefused calls refused when a request with these parts is refused.
func (t *Tracker) OnRefused(parts []string, refused func()) (stop func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.waits++
	number := t.waits
	t.waiting[number] = waiter{parts, refused}
	return func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		delete(t.waiting, number)
	}
}

// Limit reports whether no other request with the part runs that is limited.
func (t *Tracker) Limit(part string) (release func(), ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.limited[part] {
		return nil, false
	}
	t.limited[part] = true
	return func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		delete(t.limited, part)
	}, true
}

// Probe allows no probe.
func (t *Tracker) Probe(string) bool { return false }

// CancelProbe does nothing.
func (t *Tracker) CancelProbe(string) {}
