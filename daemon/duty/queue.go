package duty

import "sync/atomic"

// Queue is a bounded queue between two loops. A full queue rejects values instead of
// blocking, so that no loop waits for a slower one; rejected values are counted.
type Queue[T any] struct {
	ch      chan T
	dropped atomic.Uint64
}

// NewQueue returns a queue of the given capacity.
func NewQueue[T any](capacity int) *Queue[T] { return &Queue[T]{ch: make(chan T, capacity)} }

// Offer adds v and reports whether the queue had room for it.
func (q *Queue[T]) Offer(v T) bool {
	select {
	case q.ch <- v:
		return true
	default:
		q.dropped.Add(1)
		return false
	}
}

// C returns the receiving side.
func (q *Queue[T]) C() <-chan T { return q.ch }

// Len returns the number of queued values.
func (q *Queue[T]) Len() int { return len(q.ch) }

// Dropped returns the number of values rejected so far.
func (q *Queue[T]) Dropped() uint64 { return q.dropped.Load() }
