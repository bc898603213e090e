package jobs

import (
	"bytes"
	"testing"
)

// A body that was read on its own replaces the chunks that were cached before it. Joined with
// them it would never have its size, and the item would never run here.
func TestABodyReadOnItsOwnReplacesCachedChunks(t *testing.T) {
	body := bytes.Repeat([]byte("x"), 2*chunkBytes+100)
	parts := chunks(body)
	for _, c := range []struct {
		name           string
		before, behind []int
	}{
		{"only a later chunk cached", []int{1}, nil},
		{"a chunk cached that the body does not have", []int{0, 3}, nil},
		{"the chunks arrive again", nil, []int{0, 1, 2}},
	} {
		b := newBodyStore(nil)
		for _, chunk := range c.before {
			b.cacheChunk("j", 0, chunk, parts[min(chunk, 2)])
		}
		b.cacheBody("j", 0, body)
		for _, chunk := range c.behind {
			b.cacheChunk("j", 0, chunk, parts[chunk])
		}
		if got, ok := b.cached("j", 0, len(body)); !ok || !bytes.Equal(got, body) {
			t.Errorf("%s: %d of %d bytes cached", c.name, len(got), len(body))
		}
	}
}
