package target

import (
	"fmt"

	"github.com/cespare/xxhash/v2"
)

const (
	// TokenBytes is how many prompt bytes count as one token.
	TokenBytes = 4
	// BlockTokens is how many tokens one cache block holds. A prefix is cached
	// and hashed by whole blocks only.
	BlockTokens = 16

	blockBytes  = BlockTokens * TokenBytes
	roleEnd     = 0x00
	messageEnd  = 0x01
	answeringBy = "assistant"
)

// PrefixHashes returns the hex hashes of the growing prefixes of the prompt,
// one for each whole block, the shortest prefix first. Two prompts share their
// first n hashes exactly when they share their first n blocks.
func PrefixHashes(messages []Message) []string {
	return BlockHashes(PromptBytes(messages, nil))
}

// PromptBytes returns the byte sequence that an engine caches for a prompt and
// the tokens generated after it. A later prompt that quotes the answer as an
// assistant's message continues the same sequence.
func PromptBytes(messages []Message, tokens []string) []byte {
	size := 0
	for _, m := range messages {
		size += len(m.Role) + len(m.Content) + 2
	}
	b := make([]byte, 0, size)
	for _, m := range messages {
		b = append(b, m.Role...)
		b = append(b, roleEnd)
		b = append(b, m.Content...)
		b = append(b, messageEnd)
	}
	if len(tokens) == 0 {
		return b
	}
	b = append(b, answeringBy...)
	b = append(b, roleEnd)
	for _, t := range tokens {
		b = append(b, t...)
	}
	return b
}

// BlockHashes returns the hashes of the growing prefixes of b by whole blocks.
func BlockHashes(b []byte) []string {
	hashes := make([]string, 0, len(b)/blockBytes)
	d := xxhash.New()
	for len(b) >= blockBytes {
		_, _ = d.Write(b[:blockBytes])
		hashes = append(hashes, fmt.Sprintf("%016x", d.Sum64()))
		b = b[blockBytes:]
	}
	return hashes
}
