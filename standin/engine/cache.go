package engine

import (
	"math/rand/v2"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"tarragonhollow.example/tarragonhollow/target"
)

// maxEvents bounds the cache events kept. A reader that falls further behind sees
// a gap in the sequence numbers.
const maxEvents = 8192

// delayedEvent is a cache event that is reported only from visibleAt on.
type delayedEvent struct {
	target.CacheEvent
	visibleAt time.Time
}

// prefixCache is a least-recently-used set of prefix hashes, one per block, with a
// lossy feed of its changes. It is not safe for concurrent use.
type prefixCache struct {
	// blocks maps a prefix's hash to the hash of the prefix one block shorter.
	blocks    *simplelru.LRU[string, string]
	events    []delayedEvent
	seq       int64
	delay     time.Duration
	dropShare float64
	random    *rand.Rand
}

func newPrefixCache(o Options, delay time.Duration) *prefixCache {
	c := &prefixCache{delay: delay, dropShare: o.EventDropShare, random: rand.New(rand.NewPCG(o.Seed, 0))}
	c.blocks, _ = simplelru.NewLRU(o.CacheBlocks, func(hash, _ string) { c.emit(hash, false) })
	return c
}

// match returns the number of leading hashes that are cached and marks them as used.
func (c *prefixCache) match(hashes []string) int {
	n := 0
	for n < len(hashes) && c.blocks.Contains(hashes[n]) {
		n++
	}
	for i := n - 1; i >= 0; i-- {
		c.blocks.Get(hashes[i])
	}
	return n
}

// store adds the chain of hashes. It adds the longest prefix first, so that a block
// is never evicted before the longer prefixes that extend it.
func (c *prefixCache) store(hashes []string) {
	for i := len(hashes) - 1; i >= 0; i-- {
		parent := ""
		if i > 0 {
			parent = hashes[i-1]
		}
		known := c.blocks.Contains(hashes[i])
		c.blocks.Add(hashes[i], parent)
		if !known {
			c.emit(hashes[i], true)
		}
	}
}

// chain returns the prefixes up to hash, shortest first, or nil if one of them is
// not cached.
func (c *prefixCache) chain(hash string) []string {
	var reversed []string
	for hash != "" {
		parent, ok := c.blocks.Get(hash)
		if !ok {
			return nil
		}
		reversed = append(reversed, hash)
		hash = parent
	}
	hashes := make([]string, 0, len(reversed))
	for i := len(reversed) - 1; i >= 0; i-- {
		hashes = append(hashes, reversed[i])
	}
	return hashes
}

// clear empties the cache without emitting events, as a restart does.
func (c *prefixCache) clear(o Options) {
	c.blocks, _ = simplelru.NewLRU(o.CacheBlocks, func(hash, _ string) { c.emit(hash, false) })
}

// emit adds an event to the feed, or drops it with probability dropShare. A dropped
// event still uses up a sequence number.
func (c *prefixCache) emit(hash string, stored bool) {
	c.seq++
	if c.random.Float64() < c.dropShare {
		return
	}
	if len(c.events) >= maxEvents {
		c.events = append(c.events[:0], c.events[maxEvents/2:]...)
	}
	c.events = append(c.events, delayedEvent{
		CacheEvent: target.CacheEvent{Seq: c.seq, Prefix: hash, Stored: stored},
		visibleAt:  time.Now().Add(c.delay),
	})
}

// eventsAfter returns the events after sequence number seq that are visible at now.
func (c *prefixCache) eventsAfter(seq int64, now time.Time) []target.CacheEvent {
	events := []target.CacheEvent{}
	for _, e := range c.events {
		if e.Seq > seq && !e.visibleAt.After(now) {
			events = append(events, e.CacheEvent)
		}
	}
	return events
}
