package feed

import (
	"container/heap"

	"github.com/cespare/xxhash/v2"

	"tarragonhollow.example/tarragonhollow/core/splitmix"
)

// Hash returns the hash of a name, as Sample expects it.
func Hash(name string) uint64 { return xxhash.Sum64String(name) }

// Sample returns the indexes of at most n of the names, which are given by their hashes:
// those that rank first for the holder. Each holder gets a different sample, so that all
// holders together use all names evenly, and adding or removing a name changes few
// samples.
func Sample(holder uint64, hashes []uint64, n int) []int {
	if len(hashes) <= n {
		all := make([]int, len(hashes))
		for i := range all {
			all[i] = i
		}
		return all
	}
	first := make(lowest, 0, n+1)
	for i, hash := range hashes {
		rank := splitmix.Mix(holder ^ hash)
		if len(first) == n && rank >= first[0].rank {
			continue
		}
		heap.Push(&first, ranked{rank, i})
		if len(first) > n {
			heap.Pop(&first)
		}
	}
	list := make([]int, 0, n)
	for _, r := range first {
		list = append(list, r.index)
	}
	return list
}

type ranked struct {
	rank  uint64
	index int
}

// lowest is a heap of the lowest ranks; its first element has the highest of them.
type lowest []ranked

func (l lowest) Len() int           { return len(l) }
func (l lowest) Less(i, j int) bool { return l[i].rank > l[j].rank }
func (l lowest) Swap(i, j int)      { l[i], l[j] = l[j], l[i] }
func (l *lowest) Push(x any)        { *l = append(*l, x.(ranked)) }
func (l *lowest) Pop() any {
	last := (*l)[len(*l)-1]
	*l = (*l)[:len(*l)-1]
	return last
}
