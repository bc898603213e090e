package routing

import (
	"time"

	"tarragonhollow.example/tarragonhollow/core/splitmix"
)

// PickLeast chooses among the least loaded targets that are not out and were not
// tried. It serves groups whose loads are known nearly at once, where comparing two
// random targets would only leave places free: every daemon counts its own
// requests and hears the others' within tens of milliseconds. What was started
// since is allowed for; see fill. The own zone is kept unless another zone's target
// is better by more than ZoneMargin. A target with a free place goes before one
// where batch work would have to give way: what gives way reads its prompt again
// elsewhere. It returns false if every target is out, leaving or tried.
func (t *Table) PickLeast(now time.Time, r Request) (Choice, bool) {
	usable := t.tier(now, r, true)
	if len(usable) == 0 {
		return Choice{}, false
	}
	random := splitmix.Generator(r.SeedValue)
	unheard := t.unheard(now, r)
	if r.FarIsStale {
		if e := t.nearFirst(now, usable, r, unheard, &random); e != nil {
			return Choice{e.Address, ByLoad}, true
		}
	}
	return Choice{t.least(now, usable, r, unheard, &random).Address, ByLoad}, true
}

// nearFirst is the choice where the loads of other zones are heard late or not at all,
// as in a large fleet whose leader does not answer: a place
// in the own zone, if need be one that batch gives back; else any target of
// another zone that had farSlack places to spare when it was last heard of, by
// chance, since every daemon of this zone looks at the same old word; else a short
// queue at home. It returns nil if the own zone has no target and no other had
// room.
//
// It answers bursts that fill the zone with the most callers first: going by the
// least old word, all its daemons would meet at the same few far targets, and
// waiting for a place at home would be late while others have places. The last
// places at home are for as many requests as there are places: of those that the
// zone's daemons start at the same time the others go on at once.
func (t *Table) nearFirst(now time.Time, usable []*entry, r Request, unheard float64, random *splitmix.Generator) *entry {
	home, far := t.byZone(now, usable, r.Zone)
	near, room := t.withRoom(now, home, r)
	switch {
	case len(near) > 0 && random.Fraction()*(unheard+1) < float64(room):
		return t.least(now, near, r, unheard, random)
	case len(far) > 0:
		return far[random.Below(len(far))]
	case len(home) > 0:
		return t.least(now, home, r, unheard, random)
	default:
		return nil
	}
}

// byZone parts the targets of the own zone from those of others that had farSlack
// places to spare.
func (t *Table) byZone(now time.Time, usable []*entry, zone string) (home, far []*entry) {
	for _, e := range usable {
		switch {
		case e.Zone == zone:
			home = append(home, e)
		case t.free(now, e) >= farSlack:
			far = append(far, e)
		}
	}
	return home, far
}

// withRoom lists the targets with places that online work has not taken and that
// are not in doubt, and adds these places up.
func (t *Table) withRoom(now time.Time, from []*entry, r Request) (list []*entry, room int) {
	for _, e := range from {
		if free := t.free(now, e); free > 0 && !e.doubtful(now, r) {
			list = append(list, e)
			room += free
		}
	}
	return list, room
}

// free returns how many places of the target online work has not taken.
func (t *Table) free(now time.Time, e *entry) int { return t.slotsOf(now, e) - t.online(now, e) }

// farSlack is how many places a target of another zone must have had to spare:
// one may have been taken since.
const farSlack = 2

// online estimates the online requests at a target.
func (t *Table) online(now time.Time, e *entry) int {
	if !e.heard.fresh(now) {
		return e.own
	}
	return max(e.own, e.heard.word.OnlineTotal)
}

func (t *Table) slotsOf(now time.Time, e *entry) int {
	if e.heard.fresh(now) && e.heard.word.Slots > 0 {
		return e.heard.word.Slots
	}
	return t.slots
}

// least chooses among the least loaded of some targets.
func (t *Table) least(now time.Time, from []*entry, r Request, unheard float64, random *splitmix.Generator) *entry {
	loads := make([]float64, len(from))
	for i, e := range from {
		loads[i] = e.load(now)
		if e.Zone != r.Zone {
			loads[i] += ZoneMargin
		}
		if t.fullOfBatch(now, e) {
			loads[i] += fullMargin
		}
		if e.doubtful(now, r) {
			loads[i] += float64(t.slotsOf(now, e))
		}
	}
	return fill(from, loads, unheard, random.Fraction())
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
		e.note(now, o)
	}
}
