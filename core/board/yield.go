package board

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Yield returns how many of the own batch items at the target have to give way so that
// online and batch work together fit its slots, where daemons hear each other's words.
// They decide alone and at the same moment: each takes its turn in an order that all of
// them know, so that together they stop the excess and hardly more.
func (b *Board) Yield(now time.Time, target string, slots int) int {
	total := b.Total(now, target)
	excess := min(total.Online+total.Batch-slots, total.Batch)
	mine := b.own[target].Batch
	if excess <= 0 || mine == 0 {
		return 0
	}
	return b.share(target, excess)
}

// holder is a daemon with batch items at a target.
type holder struct {
	name  string
	rank  uint64
	batch int
}

// share deals the excess out one by one in turns and counts the own part.
func (b *Board) share(target string, excess int) int {
	mine := 0
	all := b.holders(target)
	for dealt := true; dealt && excess > 0; {
		dealt = false
		for i := range all {
			if excess == 0 || all[i].batch == 0 {
				continue
			}
			all[i].batch--
			excess--
			dealt = true
			if all[i].name == b.self {
				mine++
			}
		}
	}
	return mine
}

// holders lists the daemons with batch items at the target, in their order.
func (b *Board) holders(target string) []holder {
	all := []holder{{b.self, rank(target, b.self), b.own[target].Batch}}
	for name, h := range b.others {
		if n := h.word.Counts[target].Batch; n > 0 {
			all = append(all, holder{name, rank(target, name), n})
		}
	}
	slices.SortFunc(all, func(x, y holder) int {
		return cmp.Or(cmp.Compare(x.rank, y.rank), cmp.Compare(x.name, y.name))
	})
	return all
}

// rank orders daemons for a target alike at all of them and differently for each
// target.
func rank(target, name string) uint64 {
	return xxhash.Sum64String(name + "\x00" + target)
}
