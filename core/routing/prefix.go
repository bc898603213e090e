package routing

import "github.com/cespare/xxhash/v2"

// prefixSetSize bounds the remembered prefixes of one target: events come with
// gaps, so an eviction may never be heard of.
const prefixSetSize = 4096

// prefixSet remembers the latest prefixes that a target stored.
type prefixSet struct {
	held map[string]bool
	fifo []string
}

func newPrefixSet() prefixSet { return prefixSet{held: map[string]bool{}} }

func (p *prefixSet) has(prefix string) bool { return p.held[prefix] }

func (p *prefixSet) note(prefix string, stored bool) {
	if !stored {
		delete(p.held, prefix)
		return
	}
	if p.held[prefix] {
		return
	}
	p.held[prefix] = true
	p.fifo = append(p.fifo, prefix)
	if len(p.fifo) > prefixSetSize {
		delete(p.held, p.fifo[0])
		p.fifo = append(p.fifo[:0], p.fifo[1:]...)
	}
}

func hashString(s string) uint64 { return xxhash.Sum64String(s) }
