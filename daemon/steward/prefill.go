package steward

import (
	"github.com/hashicorp/golang-lru/v2/simplelru"

	"tarragonhollow.example/tarragonhollow/core/ledger"
	"tarragonhollow.example/tarragonhollow/target"
)

const (
	// smallPrefill is how many prompt tokens a target may have to take in for a
	// batch item that starts beside online work: as many as a guest's own question
	// has, which lengthens one step as much.
	smallPrefill = 64
	// rememberedPrefixes bounds the prefixes remembered of one target; engines
	// keep at least as many.
	rememberedPrefixes = 4096
)

// prompt is what is known of an item's prompt.
type prompt struct {
	// prefixes are its prefixes' hashes by cache block, shortest first.
	prefixes []string
	// tokens estimates its length.
	tokens int
}

// promptsOf reads the prompts of leased items. It is called without the lock:
// decoding megabytes under it would hold up a cancel.
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

// prefixMemory remembers which prefixes the steward's own items left in a
// target's cache. The target may have evicted one since: then a single step is
// longer than thought.
type prefixMemory struct {
	held *simplelru.LRU[string, struct{}]
}

func newPrefixMemory() prefixMemory {
	held, _ := simplelru.NewLRU[string, struct{}](rememberedPrefixes, nil)
	return prefixMemory{held: held}
}

func (m prefixMemory) remember(prefixes []string) {
	for i := len(prefixes) - 1; i >= 0; i-- {
		m.held.Add(prefixes[i], struct{}{})
	}
}

func (m prefixMemory) match(prefixes []string) int {
	n := 0
	for n < len(prefixes) && m.held.Contains(prefixes[n]) {
		n++
	}
	return n
}

// smallAtLocked tells whether the target has little left to take in before the
// item's next token. What is not a chat takes in nothing that we know of, so it
// never counts as small. Steward.mu is held, t.mu is not.
func (it *heldItem) smallAtLocked(t *targetState) bool {
	if it.prompt.tokens == 0 {
		return false
	}
	if it.prefer == t && len(it.progress) > 0 {
		return true // it was cancelled here, and its prefix is still cached
	}
	t.mu.Lock()
	cached := t.prefixes.match(it.prompt.prefixes) * target.BlockTokens
	t.mu.Unlock()
	return it.prompt.tokens+len(it.progress)-cached <= smallPrefill
}
