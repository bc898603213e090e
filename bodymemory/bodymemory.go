package api

import (
	"sync"

	"tarragonhollow.example/tarragonhollow/core/outcome"
)

const (
	// callerShare is the part of the memory, 1/callerShare, that one caller's
	// requests may hold together.
	callerShare = 2
	// smallReserve is the part of the memory, 1/smallReserve, that only claims
	// of at most smallClaim bytes may take.
	smallReserve = 4
	smallClaim   = 64 << 10
	// busyRetryMs is when a caller may come back after a full daemon.
	busyRetryMs = 1000
)

// operators is whose bodies /admin reads; a caller's name holds no slash.
const operators = "/operators"

// bodyMemory bounds the bodies held in memory together.
//
// Failure guarded against: a caller that begins many large bodies and finishes
// none fills the bound for minutes, and everybody else is refused as
// overloaded. A caller meets its own share first; and where several callers do
// so, a quarter stays for small bodies, which most requests are. It holds no
// entry for a caller without a body, so its size follows the requests.
type bodyMemory struct {
	mu      sync.Mutex
	most    int64
	used    int64
	callers map[string]int64
}

// newBodyMemory returns an empty memory of most bytes.
func newBodyMemory(most int64) *bodyMemory {
	return &bodyMemory{most: most, callers: make(map[string]int64)}
}

// total returns the bytes that are held.
func (m *bodyMemory) total() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.used
}

// claim is what one request of caller holds of the memory.
type claim struct {
	memory *bodyMemory
	caller string
	held   int64
}

// claim returns an empty claim.
func (m *bodyMemory) claim(caller string) *claim { return &claim{memory: m, caller: caller} }

// grow reserves n bytes more, or refuses.
func (c *claim) grow(n int64) *outcome.Refusal {
	m := c.memory
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.callers[c.caller]+n > m.most/callerShare {
		return outcome.Refuse(outcome.CallerLimit, "the bodies of this caller hold %d bytes of memory here", m.callers[c.caller]).After(busyRetryMs)
	}
	room := m.most
	if c.held+n > smallClaim {
		room -= m.most / smallReserve
	}
	if m.used+n > room {
		return outcome.Refuse(outcome.Overloaded, "too many bodies are held in memory").After(busyRetryMs)
	}
	c.held += n
	m.used += n
	m.callers[c.caller] += n
	return nil
}

// release gives everything back; a second call does nothing.
func (c *claim) release() {
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
