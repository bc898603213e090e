// Package bodymemory bounds the bodies of requests and answers that a daemon holds in
// memory together.
package bodymemory

import (
	"io"
	"sync"

	"tarragonhollow.example/tarragonhollow/core/outcome"
)

const (
	// CallerShare is the part of the memory, 1/CallerShare, that one caller's
	// requests may hold together.
	CallerShare = 2
	// smallReserve is the part of the memory, 1/smallReserve, that only claims
	// of at most SmallClaim bytes may take.
	smallReserve = 4
	SmallClaim   = 64 << 10
	// Step is how much memory a body reserves ahead of its bytes, so that a stated length
	// alone holds nothing.
	Step = 32 << 10
	// BusyRetryMs is when a caller may come back after a full daemon.
	BusyRetryMs = 1000
)

// Memory bounds the bodies held in memory together. It is safe for concurrent use.
//
// Failure guarded against: a caller that begins many large bodies and finishes
// none fills the bound for minutes, and everybody else is refused as
// overloaded. A caller meets its own share first; and where several callers do
// so, a quarter stays for small bodies, which most requests are. It holds no
// entry for a caller without a body, so its size follows the requests.
type Memory struct {
	mu      sync.Mutex
	most    int64
	used    int64
	callers map[string]int64
}

// New returns an empty memory of most bytes.
func New(most int64) *Memory {
	return &Memory{most: most, callers: make(map[string]int64)}
}

// Total returns the bytes that are held.
func (m *Memory) Total() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.used
}

// Callers returns the number of callers that hold any.
func (m *Memory) Callers() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.callers)
}

// Claim is what one request of a caller holds of the memory.
type Claim struct {
	memory *Memory
	caller string
	held   int64
}

// Claim returns an empty claim.
func (m *Memory) Claim(caller string) *Claim { return &Claim{memory: m, caller: caller} }

// Held returns the bytes that are reserved.
func (c *Claim) Held() int64 { return c.held }

// ReadAll reads to the end, reserving the memory that it takes. size is the length as far
// as it is known, negative for unknown. Errors are those of the reader, or a
// *outcome.Refusal where the memory is full.
func (c *Claim) ReadAll(from io.Reader, size int64) ([]byte, error) {
	var body []byte
	if size >= 0 && size < Step {
		body = make([]byte, 0, size+1)
	}
	for {
		if more := int64(cap(body)) - c.held; more > 0 {
			if refusal := c.Grow(more); refusal != nil {
				return nil, refusal
			}
		}
		if len(body) == cap(body) {
			body = append(body, make([]byte, max(Step, cap(body)))...)[:len(body)]
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

// Grow reserves n bytes more, or refuses.
func (c *Claim) Grow(n int64) *outcome.Refusal {
	m := c.memory
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.callers[c.caller]+n > m.most/CallerShare {
		return outcome.Refuse(outcome.CallerLimit, "the bodies of this caller hold %d bytes of memory here", m.callers[c.caller]).After(BusyRetryMs)
	}
	room := m.most
	if c.held+n > SmallClaim {
		room -= m.most / smallReserve
	}
	if m.used+n > room {
		return outcome.Refuse(outcome.Overloaded, "too many bodies are held in memory").After(BusyRetryMs)
	}
	c.held += n
	m.used += n
	m.callers[c.caller] += n
	return nil
}

// Release gives everything back; a second call does nothing.
func (c *Claim) Release() {
	m := c.memory
	m.mu.Lock()
	defer m.mu.Unlock()
	m.used -= c.held
	m.callers[c.caller] -= c.held
	if m.callers[c.caller] == 0 {
		delete(m.callers, c.caller)
	}
	c.held = 0
}
