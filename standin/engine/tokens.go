package engine

import (
	"encoding/binary"
	"fmt"

	"github.com/cespare/xxhash/v2"

	"tarragonhollow.example/tarragonhollow/target"
)

const (
	// MinAnswerTokens and MaxAnswerTokens bound an answer that MaxTokens does
	// not cut.
	MinAnswerTokens = 16
	// MaxAnswerTokens is the upper one of the two.
	MaxAnswerTokens = 127

	syllablesPerToken = 3
)

var syllables = [...]string{
	"ba", "ce", "di", "fo", "gu", "ha", "je", "ki", "lo", "mu", "na", "pe", "ri", "so", "tu", "va",
}

// Fingerprint is the hex hash of a model and a prompt.
func Fingerprint(model string, messages []target.Message) string {
	return fmt.Sprintf("%016x", promptHash(model, messages))
}

// ExpectedTokens returns the whole answer to a prompt: it depends on nothing
// but the arguments, so a checker can tell whether a token is doubled, missing
// or another prompt's. maxTokens <= 0 does not bound it.
func ExpectedTokens(model string, messages []target.Message, maxTokens int) []string {
	h := promptHash(model, messages)
	n := MinAnswerTokens + int(h%(MaxAnswerTokens-MinAnswerTokens+1))
	if maxTokens > 0 {
		n = min(n, maxTokens)
	}
	tokens := make([]string, n)
	for i := range tokens {
		tokens[i] = word(h, i)
	}
	return tokens
}

// finishReason tells whether maxTokens cut the answer.
func finishReason(model string, messages []target.Message, maxTokens int) string {
	natural := MinAnswerTokens + int(promptHash(model, messages)%(MaxAnswerTokens-MinAnswerTokens+1))
	if maxTokens > 0 && maxTokens < natural {
		return "length"
	}
	return "stop"
}

func promptHash(model string, messages []target.Message) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(model)
	_, _ = d.Write([]byte{0})
	_, _ = d.Write(target.PromptBytes(messages, nil))
	return d.Sum64()
}

// word returns token i: a short word after a space, save for the first.
func word(h uint64, i int) string {
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:8], h)
	binary.LittleEndian.PutUint64(b[8:], uint64(i))
	bits := xxhash.Sum64(b[:])
	text := make([]byte, 0, 1+2*syllablesPerToken)
	if i > 0 {
		text = append(text, ' ')
	}
	for range syllablesPerToken {
		text = append(text, syllables[bits%uint64(len(syllables))]...)
		bits /= uint64(len(syllables))
	}
	return string(text)
}
