package streamversion

import "github.com/cespare/xxhash/v2"

// hashFactor is an odd constant that spreads the sum of two hashes over all bits (Fibonacci
// hashing).
const hashFactor = 0x9e3779b97f4a7c15

// Hosts are the daemons that may hold records, by address.
type Hosts struct {
	addresses []string
	hashes    []uint64
}

// NewHosts returns the daemons with the addresses.
func NewHosts(addresses []string) Hosts {
	h := Hosts{addresses: addresses, hashes: make([]uint64, len(addresses))}
	for i, address := range addresses {
		h.hashes[i] = xxhash.Sum64String(address)
	}
	return h
}

// Holders returns the first n daemons in the order in which they hold the record of a stream
// (rendezvous hashing): daemons with nearly the same list agree on nearly the same order.
func (h Hosts) Holders(stream string, n int) []string {
	of := xxhash.Sum64String(stream)
	best, ranks := make([]int, 0, n+1), make([]uint64, 0, n+1)
	for i, hash := range h.hashes {
		rank := (of ^ hash) * hashFactor
		rank = (rank ^ rank>>32) * hashFactor
		at := len(best)
		for at > 0 && rank < ranks[at-1] {
			at--
		}
		if at == n {
			continue
		}
		best, ranks = append(best, 0), append(ranks, 0)
		copy(best[at+1:], best[at:])
		copy(ranks[at+1:], ranks[at:])
		best[at], ranks[at] = i, rank
		if len(best) > n {
			best, ranks = best[:n], ranks[:n]
		}
	}
	list := make([]string, len(best))
	for i, at := range best {
		list[i] = h.addresses[at]
	}
	return list
}
