package engine

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"tarragonhollow.example/tarragonhollow/target"
)

// TestExpectedTokens checks what external checkers rely on: a truncated answer is a
// prefix of the complete one, and a different prompt or model has a different answer.
func TestExpectedTokens(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		messages := newRequest("", rapid.String().Draw(t, "text"), 0).Messages
		whole := ExpectedTokens("m", messages, 0)
		n := rapid.IntRange(1, MaxAnswerTokens+10).Draw(t, "max")
		part := ExpectedTokens("m", messages, n)
		if len(part) != min(n, len(whole)) || !slices.Equal(part, whole[:len(part)]) {
			t.Fatalf("%v is not the expected prefix of %v", part, whole)
		}
		if len(whole) < MinAnswerTokens || len(whole) > MaxAnswerTokens {
			t.Fatalf("%d tokens", len(whole))
		}
		other := newRequest("", messages[0].Content+"x", 0).Messages
		if slices.Equal(whole, ExpectedTokens("m", other, 0)) || slices.Equal(whole, ExpectedTokens("n", messages, 0)) {
			t.Fatal("another prompt or model has the same answer")
		}
	})
}

// naiveCache is the reference model of prefixCache: a list, most recently used first.
type naiveCache struct {
	order []string
	size  int
}

func (n *naiveCache) use(hash string) {
	n.order = slices.DeleteFunc(n.order, func(h string) bool { return h == hash })
	n.order = slices.Insert(n.order, 0, hash)
	n.order = n.order[:min(len(n.order), n.size)]
}

func (n *naiveCache) match(hashes []string) int {
	found := 0
	for found < len(hashes) && slices.Contains(n.order, hashes[found]) {
		found++
	}
	for i := found - 1; i >= 0; i-- {
		n.use(hashes[i])
	}
	return found
}

// TestPrefixCache compares the cache with the naive one over random chains, and its
// event feed, when no event is dropped, with its content.
func TestPrefixCache(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		o := DefaultOptions()
		o.CacheBlocks = rapid.IntRange(1, 8).Draw(t, "size")
		o.EventDropShare = 0
		c, naive := newPrefixCache(o, 0), &naiveCache{size: o.CacheBlocks}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			hashes := chainOf(rapid.SliceOfN(rapid.IntRange(0, 1), 1, 5).Draw(t, "path"))
			if rapid.Bool().Draw(t, "store") {
				c.store(hashes)
				for i := len(hashes) - 1; i >= 0; i-- {
					naive.use(hashes[i])
				}
			} else if got, want := c.match(hashes), naive.match(hashes); got != want {
				t.Fatalf("match %d, want %d", got, want)
			}
			checkCache(t, c, naive)
		}
	})
}

// chainOf returns the names of the prefixes of a path in a binary tree of prompts.
func chainOf(path []int) []string {
	hashes := make([]string, len(path))
	for i := range path {
		hashes[i] = fmt.Sprint(path[:i+1])
	}
	return hashes
}

func checkCache(t *rapid.T, c *prefixCache, naive *naiveCache) {
	fed := map[string]bool{}
	for _, e := range c.events {
		if fed[e.Prefix] == e.Stored {
			t.Fatalf("event %d changes nothing", e.Seq)
		}
		fed[e.Prefix] = e.Stored
	}
	keys := c.blocks.Keys()
	slices.Reverse(keys)
	if !slices.Equal(keys, naive.order) {
		t.Fatalf("cached %v, want %v", keys, naive.order)
	}
	for _, k := range keys {
		parent, _ := c.blocks.Peek(k)
		if !fed[k] || (parent != "" && !c.blocks.Contains(parent)) {
			t.Fatalf("%s: not reported as stored, or its parent is not cached", k)
		}
	}
}

// TestEventGaps checks that dropped events leave gaps in the sequence numbers, and
// that the gaps are the same for the same seed.
func TestEventGaps(t *testing.T) {
	feed := func(seed uint64) []target.CacheEvent {
		o := DefaultOptions()
		o.EventDropShare, o.Seed = 0.5, seed
		c := newPrefixCache(o, 0)
		for i := range 100 {
			c.store([]string{fmt.Sprint(i)})
		}
		events := make([]target.CacheEvent, len(c.events))
		for i, e := range c.events {
			events[i] = e.CacheEvent
		}
		return events
	}
	first := feed(1)
	if len(first) < 30 || len(first) > 70 || first[len(first)-1].Seq <= int64(len(first)) {
		t.Fatalf("received %d of 100 events", len(first))
	}
	if !slices.Equal(first, feed(1)) || slices.Equal(first, feed(2)) {
		t.Fatal("the gaps are not determined by the seed")
	}
}
