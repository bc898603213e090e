package batch

import (
	"cmp"
	"container/heap"
	"slices"
	"time"
)

// Work describes an unfinished item for scheduling.
type Work struct {
	// Due is the time from now until the item is due; negative if it is overdue.
	Due time.Duration
	// Left is the remaining run time without interruption.
	Left time.Duration
}

// OnTime reports for each item whether it should run first, given the average number of
// slots available to all items. It selects the largest number of items that can finish on
// time. The other items run after them; none is dropped.
//
// Without this selection, when more jobs arrive than can finish on time, ordering by due
// time alone makes each item wait for items that are already late, so all of them finish
// late.
//
// Items are considered in the order of their due times and selected as long as the sum of
// their remaining run times ends before the latest due time among them. When it does not,
// the selected item with the longest remaining run time is deferred, which leaves the
// largest number of items on time (Moore-Hodgson).
func OnTime(works []Work, slots float64) []bool {
	order := make([]int, len(works))
	for i := range order {
		order[i] = i
	}
	slices.SortFunc(order, func(a, b int) int { return cmp.Compare(works[a].Due, works[b].Due) })
	onTime := make([]bool, len(works))
	kept := &maxHeap{works: works}
	sum := time.Duration(0)
	for _, i := range order {
		w := works[i]
		if w.Left > w.Due {
			continue
		}
		heap.Push(kept, i)
		onTime[i] = true
		sum += w.Left
		if float64(sum) > slots*float64(w.Due) {
			deferred := heap.Pop(kept).(int)
			onTime[deferred] = false
			sum -= works[deferred].Left
		}
	}
	return onTime
}

// maxHeap is a heap of items with the longest remaining run time on top.
type maxHeap struct {
	works []Work
	items []int
}

// Len implements heap.Interface.
func (h *maxHeap) Len() int { return len(h.items) }

// Less implements heap.Interface.
func (h *maxHeap) Less(a, b int) bool { return h.works[h.items[a]].Left > h.works[h.items[b]].Left }

// Swap implements heap.Interface.
func (h *maxHeap) Swap(a, b int) { h.items[a], h.items[b] = h.items[b], h.items[a] }

// Push implements heap.Interface.
func (h *maxHeap) Push(i any) { h.items = append(h.items, i.(int)) }

// Pop implements heap.Interface.
func (h *maxHeap) Pop() any {
	last := len(h.items) - 1
	i := h.items[last]
	h.items = h.items[:last]
	return i
}

const (
	// runWeight is the weight of a new run in the moving averages.
	runWeight = 0.1
	// slotsWindow is the time over which the number of slots is averaged: long enough to
	// cover peaks and lows of online work.
	slotsWindow = 6 * time.Second
	// minSlots is the lower bound of the average, so that a short shortage of slots does
	// not defer every item.
	minSlots = 1.0
)

// Estimator estimates the remaining run time of items from moving averages of past runs.
type Estimator struct {
	perEvent     time.Duration
	perToken     float64
	avgSlots     float64
	slotsAt      time.Time
	slotsCovered time.Duration
}

// ObserveRun records a run that produced the number of events in the time took. Runs with
// fewer than minNewEvents events are ignored.
func (e *Estimator) ObserveRun(events int64, took time.Duration) {
	if events < minNewEvents || took <= 0 {
		return
	}
	each := took / time.Duration(events)
	if e.perEvent == 0 {
		e.perEvent = each
		return
	}
	e.perEvent += time.Duration(runWeight * float64(each-e.perEvent))
}

// ObserveFinished records the number of events of a finished item. tokens is the sum of
// its prompt tokens and the maximum number of tokens it may generate.
func (e *Estimator) ObserveFinished(events, tokens int64) {
	if events <= 0 || tokens <= 0 {
		return
	}
	each := float64(events) / float64(tokens)
	if e.perToken == 0 {
		e.perToken = each
		return
	}
	e.perToken += runWeight * (each - e.perToken)
}

// ObserveSlots records the number of slots that items occupy now.
func (e *Estimator) ObserveSlots(now time.Time, slots int) {
	if e.slotsAt.IsZero() {
		e.slotsAt = now
		return
	}
	passed := now.Sub(e.slotsAt)
	e.slotsAt = now
	e.slotsCovered += passed
	weight := min(1, passed.Seconds()/min(slotsWindow, e.slotsCovered+time.Millisecond).Seconds())
	e.avgSlots += weight * (float64(slots) - e.avgSlots)
}

// Slots returns the recent average number of slots that items occupied. known is false
// until the average covers slotsWindow.
func (e *Estimator) Slots() (slots float64, known bool) {
	return max(minSlots, e.avgSlots), e.slotsCovered >= slotsWindow
}

// Remaining estimates the remaining run time of an item of which received events have
// arrived; 0 before the first observation.
func (e *Estimator) Remaining(tokens, received int64) time.Duration {
	events := e.perToken*float64(tokens) - float64(received)
	return time.Duration(max(0, events) * float64(e.perEvent))
}
