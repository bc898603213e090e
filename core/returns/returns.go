// Package returns schedules the return of refused callers, so that they arrive at the rate
// at which slots become free, and recognises them when they do. It does no I/O and reads no
// clock.
//
// Each group of targets has the latest return time that was announced; the next one is an
// interval later. Callers beyond their share of the slots have a schedule of their own
// behind that of the others: a caller within its share that is refused later still gets the
// next place of its schedule, and if that lies among those announced to callers beyond
// theirs, the next of these returns an interval later, so that both together get what can be
// served. Only return times within the caller's time left are assigned:
// a caller for which no slot is expected by then gets its bound and uses no place.
package returns

import (
	"container/list"
	"time"
)

const (
	// callerPart is the part of a caller's time left for which it waits before it returns.
	callerPart = 3
	// answerTime is how much of the time left may pass until the caller has the refusal. A
	// return time beyond its third of what is then left is ignored by the caller.
	answerTime = 20 * time.Millisecond
	// memoryTime is how long refused content is remembered after its first refusal, and
	// maxMemory the number of refused contents.
	memoryTime = 5 * time.Second
	maxMemory  = 4096
	// earlyReturn is how much earlier than announced a returning caller may arrive.
	earlyReturn = 100 * time.Millisecond
	// maxGroups bounds the groups that have a schedule. Their names come from requests.
	maxGroups = 256
)

// Refusal is a request that is refused for overload.
type Refusal struct {
	// Group is the group of targets.
	Group string
	// Content identifies the request's content, 0 for unknown.
	Content uint64
	// BeyondShare reports that the request is beyond its account's share of the slots.
	BeyondShare bool
	// QueueTime is the time until the present queue is served, Interval the time between
	// two slots that become free.
	QueueTime, Interval time.Duration
	// Left is the time that the caller has left.
	Left time.Duration
}

// Returns is the state of a leader. Its memory is bounded by maxMemory and maxGroups.
type Returns struct {
	groups map[string]*schedule
	// refused holds the refused contents, order the same in the order of their first
	// refusals.
	refused map[uint64]*refusal
	order   *list.List
}

// schedule holds the latest announced return times of a group, for callers within their
// share and for those beyond it.
type schedule struct {
	within, beyond time.Time
}

// refusal is a refused content.
type refusal struct {
	content    uint64
	first, due time.Time
	element    *list.Element
}

// New returns an empty state.
func New() *Returns {
	return &Returns{groups: map[string]*schedule{}, refused: map[uint64]*refusal{}, order: list.New()}
}

// Refuse returns after how long the caller of a refused request should return. It is at
// most a third of the time that the caller has left, and 0 if that is nothing.
func (r *Returns) Refuse(now time.Time, f Refusal) (retryAfter time.Duration) {
	r.Expire(now)
	bound := max(0, (f.Left-answerTime)/callerPart)
	s := r.groups[f.Group]
	if s == nil {
		s = &schedule{}
	}
	at := s.next(now, f)
	if after := at.Sub(now); after <= bound {
		retryAfter = after
		s.assign(now, at, f)
		if len(r.groups) < maxGroups {
			r.groups[f.Group] = s
		}
	} else {
		retryAfter = bound
	}
	r.remember(now, f.Content, now.Add(retryAfter))
	return retryAfter
}

// next returns the next return time of the schedule.
func (s *schedule) next(now time.Time, f Refusal) time.Time {
	interval := max(0, f.Interval)
	at := later(now.Add(max(0, f.QueueTime)), s.within.Add(interval))
	if f.BeyondShare {
		at = later(at, s.beyond.Add(interval))
	}
	return at
}

// assign records an announced return time.
func (s *schedule) assign(now, at time.Time, f Refusal) {
	if f.BeyondShare {
		s.beyond = at
		return
	}
	s.within = at
	if !at.After(s.beyond) {
		// The place was also announced to a caller beyond its share, or passed over by one.
		s.beyond = later(s.beyond, earlier(s.beyond.Add(max(0, f.Interval)), now.Add(memoryTime)))
	}
}

// Returning reports whether a request with this content was refused and arrives when its
// caller's Retry-After says.
func (r *Returns) Returning(now time.Time, content uint64) bool {
	known := r.refused[content]
	return known != nil && now.Sub(known.first) <= memoryTime && !now.Before(known.due.Add(-earlyReturn))
}

// Expire drops schedules whose return times have passed, and contents whose time has.
func (r *Returns) Expire(now time.Time) {
	for name, s := range r.groups {
		if s.within.Before(now) && s.beyond.Before(now) {
			delete(r.groups, name)
		}
	}
	for front := r.order.Front(); front != nil; front = r.order.Front() {
		if now.Sub(front.Value.(*refusal).first) <= memoryTime {
			return
		}
		r.forget(front.Value.(*refusal))
	}
}

// Len returns the number of schedules and of contents that are kept.
func (r *Returns) Len() int { return len(r.groups) + len(r.refused) }

// remember records a refused content. The time of its first refusal remains, so that a
// content is not preferred for longer than memoryTime.
func (r *Returns) remember(now time.Time, content uint64, due time.Time) {
	if content == 0 {
		return
	}
	if known := r.refused[content]; known != nil {
		known.due = due
		return
	}
	if len(r.refused) >= maxMemory {
		r.forget(r.order.Front().Value.(*refusal))
	}
	f := &refusal{content: content, first: now, due: due}
	f.element = r.order.PushBack(f)
	r.refused[content] = f
}

func (r *Returns) forget(f *refusal) {
	r.order.Remove(f.element)
	delete(r.refused, f.content)
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}
