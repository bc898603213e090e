package api

import (
	"sync"

	"tarragonhollow.example/tarragonhollow/bodymemory"
	"tarragonhollow.example/tarragonhollow/core/outcome"
)

// inFlight counts callers' requests. It has no entry for a caller without requests, so
// its size is limited by the number of requests.
//
// A request counts against its caller's limit once its headers are read, but against
// the daemon's limit only once its body is complete. Otherwise callers that send their
// bodies slowly would use up the daemon's limit with requests that do no work, and all
// other callers would be refused as if the daemon were overloaded.
type inFlight struct {
	mu      sync.Mutex
	running int
	callers map[string]int
}

// newInFlight returns an inFlight without requests.
func newInFlight() *inFlight { return &inFlight{callers: make(map[string]int)} }

// enter counts a request of caller, or returns a refusal if limit requests are already
// counted. A limit of 0 means no limit.
func (f *inFlight) enter(caller string, limit int) *outcome.Refusal {
	f.mu.Lock()
	defer f.mu.Unlock()
	if limit > 0 && f.callers[caller] >= limit {
		return outcome.Refuse(outcome.CallerLimit, "%d requests of this caller are in flight here", limit).After(bodymemory.BusyRetryMs)
	}
	f.callers[caller]++
	return nil
}

// leave removes a request that enter counted.
func (f *inFlight) leave(caller string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.callers[caller]--
	if f.callers[caller] == 0 {
		delete(f.callers, caller)
	}
}

// begin counts a request that starts to do work, or returns a refusal if limit requests
// are already running.
func (f *inFlight) begin(limit int) *outcome.Refusal {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.running >= limit {
		return outcome.Refuse(outcome.Overloaded, "%d requests are in flight here", limit).After(bodymemory.BusyRetryMs)
	}
	f.running++
	return nil
}

// done removes a request that begin counted.
func (f *inFlight) done() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.running--
}

// count returns the number of running requests.
func (f *inFlight) count() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.running
}
