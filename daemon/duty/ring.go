package duty

import "sync/atomic"

// Ring is a bounded queue between two duties. A full ring refuses instead of
// blocking, so that no duty waits for a slower one; what is refused is counted.
type Ring[T any] struct {
	ch      chan T
	dropped atomic.Uint64
}

// NewRing returns a ring of the given capacity.
func NewRing[T any](capacity int) *Ring[T] { return &Ring[T]{ch: make(chan T, capacity)} }

// Offer adds v and tells whether there was room.
func (r *Ring[T]) Offer(v T) bool {
	select {
	case r.ch <- v:
		return true
	default:
		r.dropped.Add(1)
		return false
	}
}

// C returns the receiving side.
func (r *Ring[T]) C() <-chan T { return r.ch }

// Len returns how many values wait.
func (r *Ring[T]) Len() int { return len(r.ch) }

// Dropped returns how many values were refused.
func (r *Ring[T]) Dropped() uint64 { return r.dropped.Load() }
