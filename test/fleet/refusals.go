package fleet

import (
	"fmt"
	"sync"

	"tarragonhollow.example/tarragonhollow/core/outcome"
	"tarragonhollow.example/tarragonhollow/standin/engine"
)

// requestIdentity identifies a request in the targets' records: a service call by its
// key, an engine call by the fingerprint of its prompt.
type requestIdentity struct{ key, fingerprint string }

// sentRequest is one request sent by a caller.
type sentRequest struct {
	identity requestIdentity
	// refusedMs is when the caller received not_run, in Unix milliseconds; 0 if never.
	refusedMs int64
	code      outcome.Code
}

// responseLog records the requests sent and their not_run refusals, to be compared
// with the targets' records.
type responseLog struct {
	mu   sync.Mutex
	sent []*sentRequest
}

func newResponseLog() *responseLog { return &responseLog{} }

func (l *responseLog) begin(identity requestIdentity) *sentRequest {
	l.mu.Lock()
	defer l.mu.Unlock()
	request := &sentRequest{identity: identity}
	l.sent = append(l.sent, request)
	return request
}

func (l *responseLog) ended(request *sentRequest, err error) {
	run, code := RunState(err)
	l.mu.Lock()
	defer l.mu.Unlock()
	if run == outcome.NotRun {
		request.refusedMs = nowMs()
		request.code = code
	}
}

// falseRefusals lists the not_run refusals that were wrong: those of a request that a
// target had already received, and those of a request that was refused as not_run each
// time it was sent and that a target received all the same.
func (l *responseLog) falseRefusals(f *Fleet) []string {
	receivedMs := f.received()
	l.mu.Lock()
	defer l.mu.Unlock()
	notRefused := map[requestIdentity]bool{}
	for _, request := range l.sent {
		if request.refusedMs == 0 {
			notRefused[request.identity] = true
		}
	}
	var out []string
	for _, request := range l.sent {
		for _, atMs := range receivedMs[request.identity] {
			if request.refusedMs != 0 && (atMs < request.refusedMs || !notRefused[request.identity]) {
				out = append(out, fmt.Sprintf("%+v was refused as not_run (%s) at %d and reached a target at %d",
					request.identity, request.code, request.refusedMs, atMs))
			}
		}
	}
	return out
}

// received returns the times, in Unix milliseconds, at which targets accepted each
// request: the services' executions, and the engines' calls that were not refused
// before admission.
func (f *Fleet) received() map[requestIdentity][]int64 {
	receivedMs := map[requestIdentity][]int64{}
	for _, s := range f.Services {
		for _, c := range s.Record().Calls {
			if c.Execution > 0 {
				receivedMs[requestIdentity{key: c.Key}] = append(receivedMs[requestIdentity{key: c.Key}], c.AtMs)
			}
		}
	}
	for _, e := range f.Engines {
		for _, r := range e.Records() {
			if r.Ended != engine.EndedRefused {
				receivedMs[requestIdentity{fingerprint: r.Fingerprint}] = append(receivedMs[requestIdentity{fingerprint: r.Fingerprint}], r.AtMs)
			}
		}
	}
	return receivedMs
}
