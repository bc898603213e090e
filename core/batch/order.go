package batch

import (
	"cmp"
	"container/heap"
	"slices"
	"time"
)

// Work is one unfinished item, as far as the order of items depends on it.
type Work struct {
	// Due is when it is due, from now; negative if that has passed.
	Due time.Duration
	// Left is how long it still runs, if it runs without a break.
	Left time.Duration
}

// OnTime marks the items that are to run first, when on average so many places are had
// for all of them: as many as can end in time. The others are behind; none is dropped.
//
// Load pattern answered: more jobs came than can be run in time. In the order of their
// due times alone each item waits for those that are late already, and so all end late
// one after the other.
//
// Taken in the order of their due times, items are kept while the sum of their work
// ends before the last of them is due. Where it does not, the one with the most work
// left goes behind: that leaves the largest number in time.
func OnTime(works []Work, places float64) []bool {
	order := make([]int, len(works))
	for i := range order {
		order[i] = i
	}
	slices.SortFunc(order, func(a, b int) int { return cmp.Compare(works[a].Due, works[b].Due) })
	first := make([]bool, len(works))
	kept := &longest{works: works}
	sum := time.Duration(0)
	for _, i := range order {
		w := works[i]
		if w.Left > w.Due {
			continue
		}
		heap.Push(kept, i)
		first[i] = true
		sum += w.Left
		if float64(sum) > places*float64(w.Due) {
			out := heap.Pop(kept).(int)
			first[out] = false
			sum -= works[out].Left
		}
	}
	return first
}

// longest is a heap of items, the one with the most work left on top.
type longest struct {
	works []Work
	items []int
}

// Len implements heap.Interface.
func (l *longest) Len() int { return len(l.items) }

// Less implements heap.Interface.
func (l *longest) Less(a, b int) bool { return l.works[l.items[a]].Left > l.works[l.items[b]].Left }

// Swap implements heap.Interface.
func (l *longest) Swap(a, b int) { l.items[a], l.items[b] = l.items[b], l.items[a] }

// Push implements heap.Interface.
func (l *longest) Push(i any) { l.items = append(l.items, i.(int)) }

// Pop implements heap.Interface.
func (l *longest) Pop() any {
	last := len(l.items) - 1
	i := l.items[last]
	l.items = l.items[:last]
	return i
}

const (
	// learnShare is the weight of a new measurement of runs.
	learnShare = 0.1
	// placesTime is over how long the places had are averaged: some high and low
	// seconds of online work.
	placesTime = 6 * time.Second
	// leastPlaces keeps one bad moment from putting everything behind.
	leastPlaces = 1.0
)

// Speed is what was learned of items' runs.
type Speed struct {
	perEvent  time.Duration
	perToken  float64
	places    float64
	placesAt  time.Time
	placesFor time.Duration
}

// Ran takes a run that brought so many events.
func (s *Speed) Ran(events int64, took time.Duration) {
	if events < leastEvents || took <= 0 {
		return
	}
	each := took / time.Duration(events)
	if s.perEvent == 0 {
		s.perEvent = each
		return
	}
	s.perEvent += time.Duration(learnShare * float64(each-s.perEvent))
}

// Finished takes an item that ended with so many events; tokens are those of its
// prompt and the most that it may make.
func (s *Speed) Finished(events, tokens int64) {
	if events <= 0 || tokens <= 0 {
		return
	}
	each := float64(events) / float64(tokens)
	if s.perToken == 0 {
		s.perToken = each
		return
	}
	s.perToken += learnShare * (each - s.perToken)
}

// Had takes how many places items have now.
func (s *Speed) Had(now time.Time, places int) {
	if s.placesAt.IsZero() {
		s.placesAt = now
		return
	}
	passed := now.Sub(s.placesAt)
	s.placesAt = now
	s.placesFor += passed
	weight := min(1, passed.Seconds()/min(placesTime, s.placesFor+time.Millisecond).Seconds())
	s.places += weight * (float64(places) - s.places)
}

// Places returns how many places items had on average lately. known is false until the
// average covers placesTime.
func (s *Speed) Places() (places float64, known bool) {
	return max(leastPlaces, s.places), s.placesFor >= placesTime
}

// Left estimates how long an item still runs of which so many events were had; 0 if
// nothing was learned yet.
func (s *Speed) Left(tokens, had int64) time.Duration {
	events := s.perToken*float64(tokens) - float64(had)
	return time.Duration(max(0, events) * float64(s.perEvent))
}
