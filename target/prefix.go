package target

import (
	"fmt"

	"github.com/cespare/xxhash/v2"
)

const (
	// TokenBytes is the number of prompt bytes that count as one token.
	TokenBytes = 4
	// BlockTokens is the number of tokens in a cache block. A prefix is cached and
	// hashed in whole blocks only.
	BlockTokens = 16

	blockBytes    = BlockTokens * TokenBytes
	roleEnd       = 0x00
	messageEnd    = 0x01
	assistantRole = "assistant"
)

// PrefixHashes returns the hex hashes of the prompt's prefixes that end at a block
// boundary, shortest first. Two prompts share their first n hashes exactly when they
// share their first n blocks.
func PrefixHashes(messages []Message) []string {
	return BlockHashes(PromptBytes(messages, nil))
}

// PromptBytes returns the byte sequence that an engine caches for a prompt and
// the tokens generated after it. A later prompt that contains the answer as an
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
	b = append(b, assistantRole...)
	b = append(b, roleEnd)
	for _, t := range tokens {
		b = append(b, t...)
	}
	return b
}

// BlockHashes returns the hex hashes of the prefixes of b that end at a block
// boundary, shortest first.
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
