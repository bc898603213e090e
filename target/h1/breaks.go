package h1

import (
	"maps"
	"sync"
	"time"
)

// breakRetention is how long a break is remembered, longer than any look for one.
const breakRetention = 10 * time.Second

// breaks holds when each address last broke off an exchange: it ended a connection before the
// answer's end, or may have. It is safe for concurrent use.
type breaks struct {
	mu   sync.Mutex
	last map[string]time.Time
}

func (b *breaks) note(address string) {
	now := time.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.last == nil {
		b.last = map[string]time.Time{}
	}
	maps.DeleteFunc(b.last, func(_ string, at time.Time) bool { return now.Sub(at) > breakRetention })
	b.last[address] = now
}

// since reports whether the address broke off an exchange after the given time.
func (b *breaks) since(address string, from time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.last[address].After(from)
}

// noteBreak records how an exchange ended if the target broke it off.
func (p *Pool) noteBreak(address string, end End) {
	if end == EndCut || end == EndReset {
		p.breaks.note(address)
	}
}
