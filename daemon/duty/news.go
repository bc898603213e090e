package duty

import "sync"

// News wakes all that wait for a change. The zero value is ready. It is safe for
// concurrent use.
type News struct {
	mu   sync.Mutex
	next chan struct{}
}

// Next returns a channel that the next Tell closes. Take it before looking at what may
// have changed: a change between the two is then not missed.
func (n *News) Next() <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.next == nil {
		n.next = make(chan struct{})
	}
	return n.next
}

// Tell wakes all that wait.
func (n *News) Tell() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.next != nil {
		close(n.next)
		n.next = nil
	}
}
