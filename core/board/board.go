// Package board adds up how many requests run at each target fleet-wide, from
// what every daemon tells of its own. It is pure.
package board

import (
	"maps"
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
	// Zone is the daemon's availability zone. Doubts gives, for the targets that
	// fail its requests, how many failures in a row the zone has seen.
	Zone   string
	Doubts map[string]int
	// Held names, by a hash, the batch items that the daemon still runs, or whose
	// results it could not write yet, although their partition may have gone to
	// another one.
	Held []uint64
	// Parts lists the partitions of batch work that the daemon holds for certain.
	Parts []int
}

// Empty tells whether the word says nothing that others wait for. A daemon that only
// holds partitions is silent.
func (w *Word) Empty() bool { return len(w.Counts) == 0 && len(w.Held) == 0 && len(w.Doubts) == 0 }

type heard struct {
	word Word
	at   time.Time
}

// Board is one daemon's view. Its own counts are exact.
//
// What the others run is kept as a sum for each target and changed by each word,
// since it is asked for at every target for every request: adding up the words
// each time costs daemons x targets.
type Board struct {
	self string
	zone string
	own  map[string]Count

	others map[string]heard
	// sum adds up the counts in others.
	sum map[string]Count
	// doubts is what Doubts returns, nil after a word that changed it.
	doubts map[string]int
	// oldest is no later than the oldest word in others.
	oldest time.Time
}

// New returns the board of the daemon called self in an availability zone.
func New(self, zone string) *Board {
	return &Board{
		self: self, zone: zone, own: map[string]Count{}, others: map[string]heard{},
		sum: map[string]Count{},
	}
}

// Self returns the daemon's own name.
func (b *Board) Self() string { return b.self }

// Add changes the own counts at a target.
func (b *Board) Add(target string, online, batch int) { add(b.own, target, Count{online, batch}) }

// add changes one entry and leaves no empty one behind.
func add(counts map[string]Count, target string, by Count) {
	c := counts[target]
	c.Online += by.Online
	c.Batch += by.Batch
	if c == (Count{}) {
		delete(counts, target)
		return
	}
	counts[target] = c
}

// Counts returns a copy of all own counts.
func (b *Board) Counts() map[string]Count { return maps.Clone(b.own) }

// Hear takes another daemon's word.
func (b *Board) Hear(now time.Time, w Word) {
	if w.From == b.self {
		return
	}
	b.expire(now)
	last, known := b.others[w.From]
	if known && w.Number < last.word.Number {
		return
	}
	if known {
		b.drop(last.word)
	}
	if w.Empty() {
		return
	}
	if len(b.others) == 0 {
		b.oldest = now
	}
	b.others[w.From] = heard{w, now}
	b.apply(w, 1)
}

// drop forgets a word that counts.
func (b *Board) drop(w Word) {
	delete(b.others, w.From)
	b.apply(w, -1)
}

// apply adds a word to the sums, or with sign -1 takes it back.
func (b *Board) apply(w Word, sign int) {
	for target, c := range w.Counts {
		add(b.sum, target, Count{sign * c.Online, sign * c.Batch})
	}
	if w.Zone == b.zone && len(w.Doubts) > 0 {
		b.doubts = nil
	}
}

// expire forgets the words that were not renewed. It looks at all of them only
// when one may have expired.
func (b *Board) expire(now time.Time) {
	if len(b.others) == 0 || now.Sub(b.oldest) <= WordLife {
		return
	}
	b.oldest = now
	for _, h := range b.others {
		if now.Sub(h.at) > WordLife {
			b.drop(h.word)
		} else if h.at.Before(b.oldest) {
			b.oldest = h.at
		}
	}
}

// Others adds up what the other daemons run at a target.
func (b *Board) Others(now time.Time, target string) Count {
	b.expire(now)
	return b.sum[target]
}

// Doubts returns, for the targets that other daemons of the own zone have in
// doubt, the most failures in a row that one of them tells of. The map must not be
// changed.
func (b *Board) Doubts(now time.Time) map[string]int {
	b.expire(now)
	if b.doubts != nil {
		return b.doubts
	}
	b.doubts = map[string]int{}
	for _, h := range b.others {
		if h.word.Zone != b.zone {
			continue
		}
		for target, failures := range h.word.Doubts {
			b.doubts[target] = max(b.doubts[target], failures)
		}
	}
	return b.doubts
}

// HeldElsewhere returns the items that other daemons still run.
func (b *Board) HeldElsewhere(now time.Time) map[uint64]bool {
	return told(b, now, func(w *Word) []uint64 { return w.Held })
}

// PartsElsewhere returns the partitions that other daemons hold for certain.
func (b *Board) PartsElsewhere(now time.Time) map[int]bool {
	return told(b, now, func(w *Word) []int { return w.Parts })
}

// told gathers what the others' fresh words list.
func told[T comparable](b *Board, now time.Time, list func(*Word) []T) map[T]bool {
	b.expire(now)
	all := map[T]bool{}
	for _, h := range b.others {
		for _, one := range list(&h.word) {
			all[one] = true
		}
	}
	return all
}

// Total adds up what all daemons run at a target.
func (b *Board) Total(now time.Time, target string) Count {
	sum := b.Others(now, target)
	sum.Online += b.own[target].Online
	sum.Batch += b.own[target].Batch
	return sum
}

// Less returns counts without the own ones in them.
func (b *Board) Less(counts map[string]Count) map[string]Count {
	others := make(map[string]Count, len(counts))
	for target, c := range counts {
		own := b.own[target]
		c.Online = max(0, c.Online-own.Online)
		c.Batch = max(0, c.Batch-own.Batch)
		if c != (Count{}) {
			others[target] = c
		}
	}
	return others
}
