package streamversion

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Holders orders the daemons, by address, in which they hold the record of a stream (rendezvous
// hashing): daemons with nearly the same list agree on nearly the same order. It returns at
// most n.
func Holders(stream string, addresses []string, n int) []string {
	type ranked struct {
		address string
		hash    uint64
	}
	list := make([]ranked, 0, len(addresses))
	for _, address := range addresses {
		list = append(list, ranked{address, xxhash.Sum64String(stream + "\x00" + address)})
	}
	slices.SortFunc(list, func(a, b ranked) int { return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.address, b.address)) })
	var first []string
	for _, r := range list[:min(n, len(list))] {
		first = append(first, r.address)
	}
	return first
}
