// Package bodymemory bounds the total memory that a daemon uses for the bodies of
// requests and responses, and that for the heads of requests.
package bodymemory

import (
	"io"
	"sync"

	"tarragonhollow.example/tarragonhollow/core/outcome"
)

const (
	// CallerShare is the divisor for the fraction of the memory, 1/CallerShare, that
	// all requests of one caller may hold together.
	CallerShare = 2
	// smallReserve is the divisor for the fraction of the memory, 1/smallReserve, that
	// is reserved for claims of at most SmallClaimBytes.
	smallReserve = 4
	// SmallClaimBytes is the maximum size of a small claim.
	SmallClaimBytes = 64 << 10
	// StepBytes is the step in which a body reserves memory as its bytes arrive, so that
	// a declared length alone reserves nothing.
	StepBytes = 32 << 10
	// BusyRetryMs is the time after which a caller may retry if the daemon was full, in
	// milliseconds.
	BusyRetryMs = 1000
)

// Memory is a memory budget shared by all bodies. It is safe for concurrent use.
//
// Failure guarded against: a caller that starts many large bodies and finishes none
// exhausts the budget for minutes, and every other caller is refused as overloaded. A
// caller reaches its own limit, half of the budget, first. If several callers do so, a
// quarter is still reserved for small bodies, which most requests have. Memory has no
// entry for a caller without a body, so its size depends on the running requests.
type Memory struct {
	mu      sync.Mutex
	limit   int64
	used    int64
	callers map[string]int64
}

// New returns an unused budget of limit bytes.
func New(limit int64) *Memory {
	return &Memory{limit: limit, callers: make(map[string]int64)}
}

// Total returns the number of bytes reserved by all claims.
func (m *Memory) Total() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.used
}

// MaxClaim returns the largest size of a claim.
func (m *Memory) MaxClaim() int64 { return min(m.limit/CallerShare, m.limit-m.limit/smallReserve) }

// Callers returns the number of callers that have reserved memory.
func (m *Memory) Callers() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.callers)
}

// Claim is the memory reserved for one request of a caller.
type Claim struct {
	memory *Memory
	caller string
	held   int64
}

// Claim returns a claim of the caller that holds nothing yet.
func (m *Memory) Claim(caller string) *Claim { return &Claim{memory: m, caller: caller} }

// Held returns the number of bytes that the claim has reserved.
func (c *Claim) Held() int64 { return c.held }

// ReadAll reads from until EOF and reserves the memory for the body. size is the expected
// length in bytes, negative if unknown. It returns the reader's errors, or a
// *outcome.Refusal if the memory is exhausted.
func (c *Claim) ReadAll(from io.Reader, size int64) ([]byte, error) {
	var body []byte
	if size >= 0 && size < StepBytes {
		body = make([]byte, 0, size+1)
	}
	for {
		if more := int64(cap(body)) - c.held; more > 0 {
			if refusal := c.Grow(more); refusal != nil {
				return nil, refusal
			}
		}
		if len(body) == cap(body) {
			body = append(body, make([]byte, max(StepBytes, cap(body)))...)[:len(body)]
			continue
		}
		n, err := from.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if err == io.EOF {
			return body, nil
		}
		if err != nil {
			return nil, err
		}
	}
}

// Grow reserves n more bytes, or returns a refusal and reserves nothing.
func (c *Claim) Grow(n int64) *outcome.Refusal {
	m := c.memory
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.callers[c.caller]+n > m.limit/CallerShare {
		return outcome.Refuse(outcome.CallerLimit, "the bodies of this caller hold %d bytes of memory here", m.callers[c.caller]).After(BusyRetryMs)
	}
	available := m.limit
	if c.held+n > SmallClaimBytes {
		available -= m.limit / smallReserve
	}
	if m.used+n > available {
		return outcome.Refuse(outcome.Overloaded, "too many bodies are held in memory").After(BusyRetryMs)
	}
	c.held += n
	m.used += n
	m.callers[c.caller] += n
	return nil
}

// Resize changes the reserved bytes to n, or returns a refusal and changes nothing.
func (c *Claim) Resize(n int64) *outcome.Refusal {
	switch {
	case n > c.held:
		return c.Grow(n - c.held)
	case n < c.held:
		c.shrink(c.held - n)
	}
	return nil
}

// Release releases all reserved bytes; a second call does nothing.
func (c *Claim) Release() { c.shrink(c.held) }

// shrink releases n of the reserved bytes.
func (c *Claim) shrink(n int64) {
	if n == 0 {
		return
	}
	m := c.memory
	m.mu.Lock()
	defer m.mu.Unlock()
	m.used -= n
	m.callers[c.caller] -= n
	if m.callers[c.caller] == 0 {
		delete(m.callers, c.caller)
	}
	c.held -= n
}
