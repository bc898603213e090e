package fleet

import (
	"fmt"
	"sync"

	"tarragonhollow.example/tarragonhollow/core/outcome"
	"tarragonhollow.example/tarragonhollow/standin/engine"
)

// subject is what a request is at the targets: a service's call by its key, or
// an engine's by its prompt.
type subject struct{ key, fingerprint string }

// arrival is one request as its caller sent it.
type arrival struct {
	subject subject
	// refusedMs is when the caller was told not_run; 0 is "never".
	refusedMs int64
	code      outcome.Code
}

// testimony notes what callers were told, to be compared with what the targets
// saw.
type testimony struct {
	mu       sync.Mutex
	arrivals []*arrival
}

func newTestimony() *testimony { return &testimony{} }

func (t *testimony) begin(s subject) *arrival {
	t.mu.Lock()
	defer t.mu.Unlock()
	a := &arrival{subject: s}
	t.arrivals = append(t.arrivals, a)
	return a
}

func (t *testimony) ended(a *arrival, err error) {
	run, code := Run(err)
	t.mu.Lock()
	defer t.mu.Unlock()
	if run == outcome.NotRun {
		a.refusedMs = nowMs()
		a.code = code
	}
}

// lies lists the not_run refusals that were not true: one of a request that a
// target had received by then, and one of a request whose every arrival was
// refused so and which a target received all the same.
func (t *testimony) lies(f *Fleet) []string {
	seen := f.received()
	t.mu.Lock()
	defer t.mu.Unlock()
	taken := map[subject]bool{}
	for _, a := range t.arrivals {
		if a.refusedMs == 0 {
			taken[a.subject] = true
		}
	}
	var out []string
	for _, a := range t.arrivals {
		for _, atMs := range seen[a.subject] {
			if a.refusedMs != 0 && (atMs < a.refusedMs || !taken[a.subject]) {
				out = append(out, fmt.Sprintf("%+v was refused as not_run (%s) at %d and reached a target at %d",
					a.subject, a.code, a.refusedMs, atMs))
			}
		}
	}
	return out
}

// received returns when the targets took each request: a service's executions,
// and the engines' calls that were not refused before admission.
func (f *Fleet) received() map[subject][]int64 {
	seen := map[subject][]int64{}
	for _, s := range f.Services {
		for _, c := range s.Record().Calls {
			if c.Execution > 0 {
				seen[subject{key: c.Key}] = append(seen[subject{key: c.Key}], c.AtMs)
			}
		}
	}
	for _, e := range f.Engines {
		for _, r := range e.Records() {
			if r.Ended != engine.EndedRefused {
				seen[subject{fingerprint: r.Fingerprint}] = append(seen[subject{fingerprint: r.Fingerprint}], r.AtMs)
			}
		}
	}
	return seen
}
