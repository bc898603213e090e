// Package board adds up how many requests run at each target fleet-wide, from
// what every daemon tells of its own. It is pure.
package board

import (
	"cmp"
	"hash/fnv"
	"slices"
	"time"
)

// WordLife is how long a daemon's word counts without being renewed; a daemon
// with work renews it every RenewEvery. It bounds how long the work of a daemon
// that died is still counted.
const (
	WordLife   = 1500 * time.Millisecond
	RenewEvery = 500 * time.Millisecond
)

// Count is what one daemon runs at one target.
type Count struct {
	Online int
	Batch  int
}

// Word is one daemon's counts by target ID. Words of one daemon are numbered,
// so that a late one never replaces a newer one.
type Word struct {
	From   string
	Number uint64
	Counts map[string]Count
	// Held names, by a hash, the batch items that the daemon still runs although
	// their partition has gone to another one.
	Held []uint64
}

type heard struct {
	word Word
	at   time.Time
}

// Board is one daemon's view. Its own counts are exact.
type Board struct {
	self   string
	own    map[string]Count
	others map[string]heard
}

// New returns the board of the daemon called self.
func New(self string) *Board {
	return &Board{self: self, own: map[string]Count{}, others: map[string]heard{}}
}

// Self returns the daemon's own name.
func (b *Board) Self() string { return b.self }

// Add changes the own counts at a target.
func (b *Board) Add(target string, online, batch int) {
	c := b.own[target]
	c.Online += online
	c.Batch += batch
	if c == (Count{}) {
		delete(b.own, target)
		return
	}
	b.own[target] = c
}

// Counts returns a copy of all own counts.
func (b *Board) Counts() map[string]Count {
	counts := make(map[string]Count, len(b.own))
	for id, c := range b.own {
		counts[id] = c
	}
	return counts
}

// Hear takes another daemon's word.
func (b *Board) Hear(now time.Time, w Word) {
	if w.From == b.self {
		return
	}
	last, known := b.others[w.From]
	if known && w.Number < last.word.Number && now.Sub(last.at) < WordLife {
		return
	}
	if len(w.Counts) == 0 && len(w.Held) == 0 {
		delete(b.others, w.From)
		return
	}
	b.others[w.From] = heard{w, now}
}

// Others adds up what the other daemons run at a target.
func (b *Board) Others(now time.Time, target string) Count {
	var sum Count
	for _, h := range b.others {
		if now.Sub(h.at) > WordLife {
			continue
		}
		c := h.word.Counts[target]
		sum.Online += c.Online
		sum.Batch += c.Batch
	}
	return sum
}

// HeldElsewhere returns the items that other daemons still run.
func (b *Board) HeldElsewhere(now time.Time) map[uint64]bool {
	held := map[uint64]bool{}
	for _, h := range b.others {
		if now.Sub(h.at) > WordLife {
			continue
		}
		for _, item := range h.word.Held {
			held[item] = true
		}
	}
	return held
}

// Total adds up what all daemons run at a target.
func (b *Board) Total(now time.Time, target string) Count {
	sum := b.Others(now, target)
	sum.Online += b.own[target].Online
	sum.Batch += b.own[target].Batch
	return sum
}

// Yield returns how many of the own batch items at the target have to give way
// so that online and batch work together fit its slots. Daemons decide alone
// and at the same moment: each takes its turn in an order that all of them
// know, so that together they stop the excess and hardly more.
func (b *Board) Yield(now time.Time, target string, slots int) int {
	total := b.Total(now, target)
	excess := min(total.Online+total.Batch-slots, total.Batch)
	mine := b.own[target].Batch
	if excess <= 0 || mine == 0 {
		return 0
	}
	return b.share(now, target, excess)
}

// share deals the excess out, one by one in turns, and counts the own part.
func (b *Board) share(now time.Time, target string, excess int) int {
	type holder struct {
		name  string
		rank  uint64
		batch int
	}
	holders := []holder{{b.self, rank(target, b.self), b.own[target].Batch}}
	for name, h := range b.others {
		if n := h.word.Counts[target].Batch; n > 0 && now.Sub(h.at) <= WordLife {
			holders = append(holders, holder{name, rank(target, name), n})
		}
	}
	slices.SortFunc(holders, func(x, y holder) int {
		return cmp.Or(cmp.Compare(x.rank, y.rank), cmp.Compare(x.name, y.name))
	})
	mine := 0
	for excess > 0 {
		for i := range holders {
			if excess == 0 || holders[i].batch == 0 {
				continue
			}
			holders[i].batch--
			excess--
			if holders[i].name == b.self {
				mine++
			}
		}
	}
	return mine
}

func rank(target, name string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(target + "\x00" + name))
	return h.Sum64()
}
