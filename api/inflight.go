package api

import (
	"sync"

	"tarragonhollow.example/tarragonhollow/core/outcome"
)

// inFlight counts the requests that run, altogether and per caller. It holds
// no entry for a caller without a request, so its size follows the requests.
type inFlight struct {
	mu      sync.Mutex
	total   int
	callers map[string]int
}

// newInFlight returns an empty count.
func newInFlight() *inFlight { return &inFlight{callers: make(map[string]int)} }

// enter counts a request of caller, or refuses. Bounds of 0 are none.
func (f *inFlight) enter(caller string, mostTotal, mostCaller int) *outcome.Refusal {
	f.mu.Lock()
	defer f.mu.Unlock()
	if mostCaller > 0 && f.callers[caller] >= mostCaller {
		return outcome.Refuse(outcome.CallerLimit, "%d requests of this caller are in flight here", mostCaller).After(busyRetryMs)
	}
	if mostTotal > 0 && f.total >= mostTotal {
		return outcome.Refuse(outcome.Overloaded, "%d requests are in flight here", mostTotal).After(busyRetryMs)
	}
	f.total++
	f.callers[caller]++
	return nil
}

// leave ends a counted request.
func (f *inFlight) leave(caller string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.total--
	f.callers[caller]--
	if f.callers[caller] == 0 {
		delete(f.callers, caller)
	}
}

// count returns the requests in flight.
func (f *inFlight) count() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.total
}
