// Package waitqueue is the queue of requests that wait for a slot. It does no I/O and
// reads no clock.
//
// Order: by rank; within a rank, requests within their share before those beyond it, which
// are ordered by their tags; then returning callers before new ones; then requests that
// can still meet their objective, the one whose latest useful start comes first; then the
// others, the earliest deadline first. Equal ones keep the order of their arrival.
//
// All operations are logarithmic in the length, except for Each, which is linear in the
// number of visited entries.
package waitqueue

import (
	"container/heap"
	"slices"
	"time"
)

// Shares divides scarce slots between accounts; see package fairshare. Tags order the
// requests of all shares.
type Shares interface {
	// Enter returns the tag of a request that begins to wait.
	Enter(now time.Time, share string, work, weight float64) (tag float64)
	// Within reports whether the request with the tag is within its share. It may change
	// as requests leave the queue.
	Within(tag float64) bool
	// Granted records that a request with the tag got a slot.
	Granted(now time.Time, share string, tag float64)
	// Left records that a request with the tag left the queue without a slot.
	Left(share string, tag float64)
}

// Entry is a waiting request. Its fields must not change while it is in a queue.
type Entry[V any] struct {
	// Value is the request.
	Value V
	// Rank is the request's priority; 0 is the highest.
	Rank int
	// Share names whose share of the slots the request uses, Weight is the weight of that
	// share, Work the size of the request.
	Share        string
	Work, Weight float64
	// Returning marks a request that was refused before and came back no earlier than its
	// Retry-After.
	Returning bool
	// Arrived is when the request arrived, LatestStart the last time at which it can start
	// and still meet its objective, Deadline when its caller stops waiting.
	Arrived, LatestStart, Deadline time.Time

	tag      float64
	sequence uint64
	class    class
	expires  time.Time
	position int
}

// class is the part of the order of a rank to which an entry belongs; lower ones come
// first.
type class int

const (
	returningTimely class = iota
	returningLate
	newTimely
	newLate
	beyondShare
	classes
)

// level holds the entries of a rank by class.
type level[V any] struct {
	rank    int
	classes [classes]tree[V]
}

// Queue is a queue of requests. The zero value is not usable; see New.
type Queue[V any] struct {
	shares   Shares
	levels   []*level[V]
	expiries expiries[V]
	sequence uint64
}

// New returns an empty queue. shares may be nil: then all requests are within their share.
func New[V any](shares Shares) *Queue[V] { return &Queue[V]{shares: shares} }

// Len returns the number of entries.
func (q *Queue[V]) Len() int { return len(q.expiries) }

// Add adds an entry that expires at a time; see Expired.
func (q *Queue[V]) Add(now time.Time, e *Entry[V], expires time.Time) {
	q.sequence++
	e.sequence, e.expires = q.sequence, expires
	if q.shares != nil {
		e.tag = q.shares.Enter(now, e.Share, e.Work, e.Weight)
	}
	q.insert(e, q.classOf(now, e))
	heap.Push(&q.expiries, e)
}

// Renew changes the time at which an entry expires.
func (q *Queue[V]) Renew(e *Entry[V], expires time.Time) {
	e.expires = expires
	heap.Fix(&q.expiries, e.position)
}

// Expired returns an entry that has expired, nil for none. It stays in the queue.
func (q *Queue[V]) Expired(now time.Time) *Entry[V] {
	if len(q.expiries) == 0 || q.expiries[0].expires.After(now) {
		return nil
	}
	return q.expiries[0]
}

// Grant removes an entry that gets a slot.
func (q *Queue[V]) Grant(now time.Time, e *Entry[V]) {
	q.remove(e)
	if q.shares != nil {
		q.shares.Granted(now, e.Share, e.tag)
	}
}

// Remove removes an entry that leaves without a slot.
func (q *Queue[V]) Remove(e *Entry[V]) {
	q.remove(e)
	if q.shares != nil {
		q.shares.Left(e.Share, e.tag)
	}
}

// Within reports whether the entry is within its share.
func (q *Queue[V]) Within(e *Entry[V]) bool { return q.shares == nil || q.shares.Within(e.tag) }

// Ahead returns how many entries precede e.
func (q *Queue[V]) Ahead(now time.Time, e *Entry[V]) int {
	q.settle(now)
	count := 0
	for _, l := range q.levels {
		if l.rank > e.Rank {
			break
		}
		for c := range l.classes {
			if l.rank == e.Rank && class(c) == e.class {
				return count + l.classes[c].ahead(e)
			}
			count += l.classes[c].len()
		}
	}
	return count
}

// Above returns how many entries have a higher priority than the rank.
func (q *Queue[V]) Above(rank int) int {
	count := 0
	for _, l := range q.levels {
		if l.rank >= rank {
			break
		}
		for c := range l.classes {
			count += l.classes[c].len()
		}
	}
	return count
}

// First returns the first entry, nil for none.
func (q *Queue[V]) First(now time.Time) *Entry[V] {
	var first *Entry[V]
	q.Each(now, func(e *Entry[V]) bool {
		first = e
		return false
	})
	return first
}

// Last returns the last entry, nil for none.
func (q *Queue[V]) Last(now time.Time) *Entry[V] {
	q.settle(now)
	if len(q.levels) == 0 {
		return nil
	}
	l := q.levels[len(q.levels)-1]
	for c := classes - 1; c >= 0; c-- {
		if last := l.classes[c].last(); last != nil {
			return last
		}
	}
	return nil
}

// Each visits the entries in order until visit returns false. visit must not change the
// queue.
func (q *Queue[V]) Each(now time.Time, visit func(*Entry[V]) bool) {
	q.settle(now)
	for _, l := range q.levels {
		for c := range l.classes {
			if !l.classes[c].root.walk(visit) {
				return
			}
		}
	}
}

// settle moves entries to the classes to which they belong now. Each operation moves
// only entries whose class has changed since the last one. An entry within its share is
// moved beyond it, which can happen only if the mean size of requests falls, once it is
// the first of its class.
func (q *Queue[V]) settle(now time.Time) {
	for _, l := range q.levels {
		for c := range classes {
			for e := l.classes[c].first(); e != nil; e = l.classes[c].first() {
				to := q.classOf(now, e)
				if to == c {
					break
				}
				l.classes[c].remove(e)
				e.class = to
				l.classes[to].insert(e)
			}
		}
	}
}

// classOf returns the class to which an entry belongs.
func (q *Queue[V]) classOf(now time.Time, e *Entry[V]) class {
	if !q.Within(e) {
		return beyondShare
	}
	c := newTimely
	if e.Returning {
		c = returningTimely
	}
	if now.After(e.LatestStart) {
		c++
	}
	return c
}

func (q *Queue[V]) insert(e *Entry[V], c class) {
	e.class = c
	i, found := slices.BinarySearchFunc(q.levels, e.Rank, func(l *level[V], rank int) int { return l.rank - rank })
	if !found {
		q.levels = slices.Insert(q.levels, i, newLevel[V](e.Rank))
	}
	q.levels[i].classes[c].insert(e)
}

func (q *Queue[V]) remove(e *Entry[V]) {
	heap.Remove(&q.expiries, e.position)
	i := slices.IndexFunc(q.levels, func(l *level[V]) bool { return l.rank == e.Rank })
	q.levels[i].classes[e.class].remove(e)
	if q.levels[i].empty() {
		q.levels = slices.Delete(q.levels, i, i+1)
	}
}

func newLevel[V any](rank int) *level[V] {
	l := &level[V]{rank: rank}
	for c := range l.classes {
		l.classes[c].less = orderOf[V](class(c))
	}
	return l
}

func (l *level[V]) empty() bool {
	for c := range l.classes {
		if l.classes[c].len() > 0 {
			return false
		}
	}
	return true
}

// orderOf returns the order within a class.
func orderOf[V any](c class) func(a, b *Entry[V]) bool {
	switch c {
	case beyondShare:
		return func(a, b *Entry[V]) bool { return a.tag < b.tag || a.tag == b.tag && a.before(b) }
	case returningTimely, newTimely:
		return func(a, b *Entry[V]) bool {
			order := a.LatestStart.Compare(b.LatestStart)
			return order < 0 || order == 0 && a.before(b)
		}
	default:
		return func(a, b *Entry[V]) bool {
			order := a.Deadline.Compare(b.Deadline)
			return order < 0 || order == 0 && a.before(b)
		}
	}
}

// before reports whether an otherwise equal entry precedes another one.
func (e *Entry[V]) before(other *Entry[V]) bool {
	order := e.Arrived.Compare(other.Arrived)
	return order < 0 || order == 0 && e.sequence < other.sequence
}
