package slots

import (
	"cmp"
	"slices"
	"time"
)

// establishedTime is how long a run must have lasted to be cancelled before one that has
// only just started. A run that is cancelled earlier has produced few events or none, and
// its prompt is processed again.
const establishedTime = 500 * time.Millisecond

// notPreempted counts the batch items that are not being preempted.
func (u *usage) notPreempted(now time.Time) int {
	n := u.batch
	for _, le := range u.preempted {
		if now.Before(le.preemptUntil) {
			n--
		}
	}
	return n
}

// preempt marks n batch items for preemption.
func (u *usage) preempt(now time.Time, n int) []ID {
	if n <= 0 {
		return nil
	}
	victims := u.victims(now)
	var preempted []ID
	for _, le := range victims[:min(n, len(victims))] {
		if le.preemptUntil.IsZero() {
			u.preempted = append(u.preempted, le)
		}
		le.preemptUntil = now.Add(preemptTime)
		preempted = append(preempted, le.id)
	}
	return preempted
}

// victims lists the batch items that are not being preempted, the first to be preempted
// first. Without the batch reserve these are the last ones to begin: they lose the least
// work.
func (u *usage) victims(now time.Time) []*lease {
	var running []*lease
	slackKnown := u.bySlack
	for le := range u.leases {
		if le.batch && !now.Before(le.preemptUntil) {
			running = append(running, le)
			slackKnown = slackKnown && le.slack != 0
		}
	}
	slices.SortFunc(running, func(a, b *lease) int {
		return cmp.Or(u.compareVictims(now, a, b, slackKnown), b.granted.Compare(a.granted),
			cmp.Compare(a.id.Holder, b.id.Holder), cmp.Compare(a.id.Number, b.id.Number))
	})
	return running
}

// compareVictims orders two items for preemption by slack: an item that was notified
// before and has not ended comes first, then the one with more slack, to the second, then
// one that has run for establishedTime. Slack is compared only if that of all items at the
// target is known.
func (u *usage) compareVictims(now time.Time, a, b *lease, slackKnown bool) int {
	if !u.bySlack {
		return 0
	}
	order := firstIf(!a.preemptUntil.IsZero(), !b.preemptUntil.IsZero())
	if slackKnown {
		order = cmp.Or(order, cmp.Compare(b.slack.Truncate(time.Second), a.slack.Truncate(time.Second)))
	}
	return cmp.Or(order, firstIf(a.established(now), b.established(now)))
}

// established reports whether the run has lasted for establishedTime.
func (le *lease) established(now time.Time) bool { return now.Sub(le.granted) >= establishedTime }

// firstIf orders true before false.
func firstIf(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	default:
		return 1
	}
}

// RepeatPreemptions marks again, and returns, the batch items that have not ended within
// preemptTime of their preemption and whose targets still run more than their slots: the
// notice may have been lost.
func (l *Ledger) RepeatPreemptions(now time.Time) []ID {
	if !l.policy.BatchReserve {
		return nil
	}
	var repeated []ID
	for _, u := range l.usage {
		if u.batch > 0 && u.slots > 0 && u.online+u.batch > u.slots {
			repeated = append(repeated, u.repeat(now)...)
		}
	}
	return repeated
}

// repeat marks again the notified items that still run beyond the target's slots.
func (u *usage) repeat(now time.Time) []ID {
	excess := u.online + u.notPreempted(now) - u.slots
	notified := 0
	for _, le := range u.preempted {
		if !now.Before(le.preemptUntil) {
			notified++
		}
	}
	return u.preempt(now, min(excess, notified))
}
