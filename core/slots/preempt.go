package slots

import (
	"cmp"
	"slices"
	"time"
)

// notPreempted counts the batch items that are not being preempted.
func (u *usage) notPreempted(now time.Time) int {
	n := u.batch
	for le := range u.leases {
		if le.batch && now.Before(le.preemptUntil) {
			n--
		}
	}
	return n
}

// preempt marks n batch items for preemption, the last ones to begin first: they lose the
// least work.
func (u *usage) preempt(now time.Time, n int) []ID {
	if n <= 0 {
		return nil
	}
	var running []*lease
	for le := range u.leases {
		if le.batch && !now.Before(le.preemptUntil) {
			running = append(running, le)
		}
	}
	slices.SortFunc(running, func(a, b *lease) int {
		return cmp.Or(b.granted.Compare(a.granted), cmp.Compare(a.id.Holder, b.id.Holder), cmp.Compare(a.id.Number, b.id.Number))
	})
	var preempted []ID
	for _, le := range running[:min(n, len(running))] {
		le.preemptUntil = now.Add(preemptTime)
		preempted = append(preempted, le.id)
	}
	return preempted
}
