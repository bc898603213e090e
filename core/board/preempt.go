package board

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// PreemptCount returns how many local batch items at the target must be preempted so that
// online and batch work together fit its slots. It is for daemons that receive each
// other's load reports. They decide independently and at the same time: each takes its
// turn in an order that all of them know, so that together they stop the excess and
// hardly more.
func (b *LoadTable) PreemptCount(now time.Time, target string, slots int) int {
	total := b.Total(now, target)
	excess := min(total.Online+total.Batch-slots, total.Batch)
	local := b.local[target].Batch
	if excess <= 0 || local == 0 {
		return 0
	}
	return b.localShare(target, excess)
}

// holder is a daemon with batch items at a target.
type holder struct {
	name  string
	rank  uint64
	batch int
}

// localShare assigns the excess items to the daemons in turns, one at a time, and returns
// how many are local.
func (b *LoadTable) localShare(target string, excess int) int {
	local := 0
	all := b.holders(target)
	for assigned := true; assigned && excess > 0; {
		assigned = false
		for i := range all {
			if excess == 0 || all[i].batch == 0 {
				continue
			}
			all[i].batch--
			excess--
			assigned = true
			if all[i].name == b.self {
				local++
			}
		}
	}
	return local
}

// holders returns the daemons with batch items at the target, sorted by rank.
func (b *LoadTable) holders(target string) []holder {
	all := []holder{{b.self, rank(target, b.self), b.local[target].Batch}}
	for name, received := range b.peers {
		if n := received.report.Counts[target].Batch; n > 0 {
			all = append(all, holder{name, rank(target, name), n})
		}
	}
	slices.SortFunc(all, func(x, y holder) int {
		return cmp.Or(cmp.Compare(x.rank, y.rank), cmp.Compare(x.name, y.name))
	})
	return all
}

// rank determines the order of the daemons for a target: the same at all daemons, and a
// different one for each target.
func rank(target, name string) uint64 {
	return xxhash.Sum64String(name + "\x00" + target)
}
