package routing

import (
	"sort"

	"github.com/cespare/xxhash/v2"
)

// prefixSetSize bounds the remembered prefixes of one target: events come with
// gaps, so an eviction may never be heard of. A prompt of 2000 tokens has some
// 125 prefixes; this holds about a hundred such prompts in half a megabyte.
const prefixSetSize = 16384

// prefixSet remembers the latest prefixes that a target stored.
type prefixSet struct {
	held map[uint64]bool
	// ring holds the prefixes in order of their storing; next is the oldest
	// one's place once the ring is full.
	ring []uint64
	next int
}

func newPrefixSet() prefixSet { return prefixSet{held: map[uint64]bool{}} }

// longest returns how many of the growing prefixes are held. A cache that holds
// a prefix holds the shorter ones, so halving finds the end; where events got
// lost the result may be too low, and a hint is missed.
func (p *prefixSet) longest(keys []uint64) int {
	return sort.Search(len(keys), func(i int) bool { return !p.held[keys[i]] })
}

func (p *prefixSet) note(prefix string, stored bool) {
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
