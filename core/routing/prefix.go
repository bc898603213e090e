package routing

import (
	"sort"

	"github.com/cespare/xxhash/v2"
)

// prefixSetSize bounds the remembered prefixes of one target: events can be lost, so the
// event of an eviction may never arrive. A prompt of 2000 tokens has about 125 prefixes;
// the limit holds about a hundred such prompts in half a megabyte.
const prefixSetSize = 16384

// prefixSet holds the prefixes that a target stored most recently.
type prefixSet struct {
	held map[uint64]bool
	// ring holds the prefixes in the order in which they were stored; next is the index
	// of the oldest one once the ring is full.
	ring []uint64
	next int
}

func newPrefixSet() prefixSet { return prefixSet{held: map[uint64]bool{}} }

// longest returns how many of the prefixes, sorted by length, are held. A cache that
// holds a prefix also holds the shorter ones, so a binary search finds the longest. If
// events were lost, the result may be too low, and a hint is missed.
func (p *prefixSet) longest(keys []uint64) int {
	return sort.Search(len(keys), func(i int) bool { return !p.held[keys[i]] })
}

func (p *prefixSet) update(prefix string, stored bool) {
	key := hashString(prefix)
	if !stored {
		delete(p.held, key)
		return
	}
	if p.held[key] {
		return
	}
	p.held[key] = true
	if len(p.ring) < prefixSetSize {
		p.ring = append(p.ring, key)
		return
	}
	delete(p.held, p.ring[p.next])
	p.ring[p.next] = key
	p.next = (p.next + 1) % prefixSetSize
}

func hashString(s string) uint64 { return xxhash.Sum64String(s) }
