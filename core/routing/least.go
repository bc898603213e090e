package routing

import "time"

// PickLeast chooses the least loaded target that is not out and was not tried.
// It serves groups whose loads are known exactly and at once, where comparing
// two random targets would only leave places free: every daemon counts its
// own requests and hears the others' within tens of milliseconds. The own zone
// is kept unless another zone's target is better by more than ZoneMargin, and
// equal targets are taken in random order, so that daemons that decide at the
// same moment do not all take the same one. A target with a free place goes
// before one where batch work would have to give way: what gives way reads its
// prompt again elsewhere. It returns false if every target is out, leaving or
// tried.
func (t *Table) PickLeast(now time.Time, r Request) (Choice, bool) {
	usable := t.tier(now, r, true)
	if len(usable) == 0 {
		return Choice{}, false
	}
	first := int(r.SeedValue % uint64(len(usable)))
	var best *entry
	lowest := 0.0
	for i := range usable {
		e := usable[(first+i)%len(usable)]
		load := e.load(now)
		if e.Zone != r.Zone {
			load += max(ZoneMargin, r.ZoneMargin)
		}
		if t.fullOfBatch(now, e) {
			load += fullMargin
		}
		if best == nil || load < lowest {
			best, lowest = e, load
		}
	}
	return Choice{best.Address, ByLoad}, true
}

// fullMargin puts every target that batch work fills behind every target with a
// free place: it is above any load with a free place.
const fullMargin = 1000

// fullOfBatch tells whether the target has places, none of them free.
func (t *Table) fullOfBatch(now time.Time, e *entry) bool {
	if !e.heard.fresh(now) || e.heard.word.Slots == 0 {
		return false
	}
	return t.Concurrent(now, e.Address) >= e.heard.word.Slots
}

// Open tells whether the target may take one more request by its health.
func (t *Table) Open(now time.Time, address string) bool {
	e := t.entries[address]
	return e != nil && !e.leaving && e.open(now)
}

// Note takes the outcome of a request that Start did not count.
func (t *Table) Note(now time.Time, address string, o Outcome) {
	if e := t.entries[address]; e != nil {
		e.health.note(now, o)
	}
}
