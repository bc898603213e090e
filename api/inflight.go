package api

import (
	"sync"

	"tarragonhollow.example/tarragonhollow/bodymemory"
	"tarragonhollow.example/tarragonhollow/core/outcome"
)

// inFlight counts callers' requests. It holds no entry for a caller without a
// request, so its size follows the requests.
//
// A request counts for its caller from its headers on, but for the daemon only
// once its body is whole. Failure guarded against: callers that send their
// bodies slowly would fill the daemon's bound with requests that do no work,
// and everybody else would be refused as if it were overloaded.
type inFlight struct {
	mu      sync.Mutex
	running int
	callers map[string]int
}

// newInFlight returns an empty count.
func newInFlight() *inFlight { return &inFlight{callers: make(map[string]int)} }

// enter counts a request of caller, or refuses. A bound of 0 is none.
func (f *inFlight) enter(caller string, most int) *outcome.Refusal {
	f.mu.Lock()
	defer f.mu.Unlock()
	if most > 0 && f.callers[caller] >= most {
		return outcome.Refuse(outcome.CallerLimit, "%d requests of this caller are in flight here", most).After(bodymemory.BusyRetryMs)
	}
	f.callers[caller]++
	return nil
}

// leave ends a counted request.
func (f *inFlight) leave(caller string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.callers[caller]--
	if f.callers[caller] == 0 {
		delete(f.callers, caller)
	}
}

// run counts a request that starts to do work, or refuses.
func (f *inFlight) run(most int) *outcome.Refusal {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.running >= most {
		return outcome.Refuse(outcome.Overloaded, "%d requests are in flight here", most).After(bodymemory.BusyRetryMs)
	}
	f.running++
	return nil
}

// done ends a running request.
func (f *inFlight) done() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.running--
}

// count returns the running requests.
func (f *inFlight) count() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.running
}
