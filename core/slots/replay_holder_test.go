package slots_test

import (
	"cmp"
	"slices"
	"time"

	corebatch "tarragonhollow.example/tarragonhollow/core/batch"
	"tarragonhollow.example/tarragonhollow/core/slots"
)

// replayCandidate is an item that could run.
type replayCandidate struct {
	*replayItem
	work  corebatch.Work
	late  bool
	short bool
}

// step requests slots for a holder's waiting items.
func (z *replayZone) step(h *replayHolder) {
	denied := map[bool]bool{}
	for _, c := range h.candidates(z.now) {
		short := z.policy.BatchReserve && c.short
		if denied[true] || denied[short] {
			continue
		}
		z.next++
		r := slots.Request{ID: slots.ID{Holder: h.name, Number: z.next}, Group: "g", Batch: true}
		if z.policy.BatchReserve {
			r.Slack, r.ShortOfTime, r.Needed = c.work.Slack(), short, h.needed
		}
		got := z.ledger.Grant(z.now, r, z.random.Uint64())
		if got.Verdict != slots.Granted {
			denied[short] = true
			if got.Reserve > 0 {
				h.heldBack, h.heldBackAt = got.Reserve, z.now
			}
			continue
		}
		c.lease, c.target, c.started = z.next, got.Target, z.now
		z.runs[r.ID] = c.replayItem
		h.endsBy(z.now.Add(c.left))
	}
}

// candidates lists the waiting items in the order in which they start.
func (h *replayHolder) candidates(now time.Time) []replayCandidate {
	var list []replayCandidate
	var work []corebatch.Work
	active := 0
	for _, i := range h.items {
		if !i.finished.IsZero() {
			continue
		}
		w := corebatch.Work{Due: i.due.Sub(now), Left: i.left}
		if i.lease != 0 {
			active++
			w.Left -= now.Sub(i.started)
		}
		if h.estimator.Remaining(itemEvents, 0) == 0 {
			w.Left = 0
		}
		work = append(work, w)
		list = append(list, replayCandidate{replayItem: i, work: w})
	}
	h.estimator.ObserveSlots(now, active)
	if active == len(list) {
		return nil
	}
	h.needed = corebatch.Needed(work)
	if average, known := h.estimator.Slots(); known {
		for n, onTime := range corebatch.OnTime(work, average) {
			list[n].late = !onTime
		}
	}
	kept := corebatch.OnTime(work, h.available(now, active))
	for n, c := range list {
		list[n].short = kept[n] && corebatch.ShortOfTime(c.work, itemWhole)
	}
	list = slices.DeleteFunc(list, func(c replayCandidate) bool { return c.lease != 0 })
	slices.SortStableFunc(list, func(a, b replayCandidate) int {
		return cmp.Or(compareLate(a.late, b.late), a.due.Compare(b.due))
	})
	return list
}

// available returns how many slots the items could have, those that are held back included.
func (h *replayHolder) available(now time.Time, active int) float64 {
	average, known := h.estimator.Slots()
	switch {
	case !known:
		return replayTargets * replaySlots
	case now.Sub(h.heldBackAt) > time.Second:
		return average
	default:
		return max(average, float64(active+h.heldBack))
	}
}

// compareLate orders items that are put behind after the others.
func compareLate(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	default:
		return 1
	}
}
