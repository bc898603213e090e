package steward

import (
	"github.com/hashicorp/golang-lru/v2/simplelru"

	"tarragonhollow.example/tarragonhollow/core/ledger"
	"tarragonhollow.example/tarragonhollow/target"
)

const (
	// smallPrefillTokens is how many prompt tokens a target may have to process for a
	// batch item that starts alongside online work: as many as a typical short online
	// prompt, which lengthens one step of the engine by as much.
	smallPrefillTokens = 64
	// maxPrefixes bounds the prefixes remembered for one target; engines cache at least
	// as many.
	maxPrefixes = 4096
)

// prompt describes an item's prompt.
type prompt struct {
	// prefixes are its prefixes' hashes by cache block, shortest first.
	prefixes []string
	// tokens is its estimated length.
	tokens int
}

// promptsOf decodes the prompts of leased items. It is called without Steward.mu held:
// decoding megabytes under the lock would delay cancels.
func promptsOf(items []ledger.LeasedItem) []prompt {
	prompts := make([]prompt, len(items))
	for i, leased := range items {
		it := heldItem{item: leased.Item}
		if !it.isChat() {
			continue
		}
		if req, err := it.generateRequest(); err == nil {
			prompts[i].prefixes = target.PrefixHashes(req.Messages)
			prompts[i].tokens = len(target.PromptBytes(req.Messages, nil))/target.TokenBytes + 1
		}
	}
	return prompts
}

// prefixCache remembers which prefixes this steward's items left in a target's cache. The
// target may have evicted one since; then a single step of the engine takes longer than
// estimated.
type prefixCache struct {
	lru *simplelru.LRU[string, struct{}]
}

func newPrefixCache() prefixCache {
	cache, _ := simplelru.NewLRU[string, struct{}](maxPrefixes, nil)
	return prefixCache{lru: cache}
}

func (m prefixCache) add(prefixes []string) {
	for i := len(prefixes) - 1; i >= 0; i-- {
		m.lru.Add(prefixes[i], struct{}{})
	}
}

func (m prefixCache) match(prefixes []string) int {
	n := 0
	for n < len(prefixes) && m.lru.Contains(prefixes[n]) {
		n++
	}
	return n
}

// smallPrefillLocked reports whether the target has at most smallPrefillTokens left to
// process before the item's next token. The prompt size of an item that is not a chat is
// unknown, so it never counts as small. Steward.mu is held, t.mu is not.
func (it *heldItem) smallPrefillLocked(t *targetState) bool {
	if it.prompt.tokens == 0 {
		return false
	}
	if it.prefer == t && len(it.progress) > 0 {
		return true // it was cancelled at this target, and its prefix is still cached
	}
	t.mu.Lock()
	cached := t.prefixes.match(it.prompt.prefixes) * target.BlockTokens
	t.mu.Unlock()
	return it.prompt.tokens+len(it.progress)-cached <= smallPrefillTokens
}
