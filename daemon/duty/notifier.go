package duty

import "sync"

// Notifier wakes all goroutines that wait for a change. The zero value is ready to use. It
// is safe for concurrent use.
type Notifier struct {
	mu   sync.Mutex
	next chan struct{}
}

// Next returns a channel that the next Notify closes. Call it before reading the state that
// may change: a change in between is then not missed.
func (n *Notifier) Next() <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.next == nil {
		n.next = make(chan struct{})
	}
	return n.next
}

// Notify wakes all waiting goroutines.
func (n *Notifier) Notify() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.next != nil {
		close(n.next)
		n.next = nil
	}
}
