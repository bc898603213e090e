package batch

import (
	"cmp"
	"slices"
	"time"
)

// Slack returns how much of an item's time would be left if it ran now without
// interruption. It is negative if the item can't finish by its due time.
func (w Work) Slack() time.Duration { return w.Due - w.Left }

// ShortOfTime reports whether an item must not wait any longer for a slot that is held back
// for online work: less than half of its whole time, from its acceptance to its due time,
// would be left after it has run. While its run time is not known, Left is 0 and less than
// half of the whole time must be left now.
//
// An item that can't finish on time is not short of time: a slot that is held back would
// not make it punctual, and online work would lose it.
func ShortOfTime(w Work, whole time.Duration) bool {
	return w.Due > 0 && w.Slack() >= 0 && w.Slack() < whole/2
}

// NearGivenUp reports whether an item that can't finish on time must not wait any longer for
// a slot that is held back for online work: less than half of the time after which it may
// be given up would be left after it has run. age is the time since its acceptance, keepFor
// is 0 if it is never given up.
//
// Failure guarded against: online work takes all slots in each high step. Its reserve then
// takes all that are free in the low steps, and an overdue item would wait until it is
// given up.
func NearGivenUp(w Work, age, keepFor time.Duration) bool {
	return keepFor > 0 && w.Slack() < 0 && keepFor-age-w.Left < keepFor/2
}

// Needed returns how many slots the items need to finish on time: the largest, over all
// due times, of the run time due by then divided by the time that is left. Items that can't
// finish on time are ignored.
func Needed(works []Work) float64 {
	byDue := slices.Clone(works)
	slices.SortFunc(byDue, func(a, b Work) int { return cmp.Compare(a.Due, b.Due) })
	sum, needed := time.Duration(0), 0.0
	for _, w := range byDue {
		if w.Due > 0 && w.Slack() >= 0 {
			sum += w.Left
			needed = max(needed, float64(sum)/float64(w.Due))
		}
	}
	return needed
}
