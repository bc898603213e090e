package engine

import (
	"encoding/binary"
	"fmt"

	"github.com/cespare/xxhash/v2"

	"tarragonhollow.example/tarragonhollow/target"
)

const (
	// MinAnswerTokens is the shortest answer that the request's MaxTokens does not
	// truncate.
	MinAnswerTokens = 16
	// MaxAnswerTokens is the longest answer.
	MaxAnswerTokens = 127

	syllablesPerToken = 3
)

var syllables = [...]string{
	"ba", "ce", "di", "fo", "gu", "ha", "je", "ki", "lo", "mu", "na", "pe", "ri", "so", "tu", "va",
}

// Fingerprint returns the hash of a model and a prompt in hex.
func Fingerprint(model string, messages []target.Message) string {
	return fmt.Sprintf("%016x", promptHash(model, messages))
}

// ExpectedTokens returns the complete answer to a prompt. It depends only on the
// arguments, so that a checker can detect tokens that are duplicated, missing or from
// another prompt's answer. maxTokens <= 0 means no limit.
func ExpectedTokens(model string, messages []target.Message, maxTokens int) []string {
	h := promptHash(model, messages)
	n := MinAnswerTokens + int(h%(MaxAnswerTokens-MinAnswerTokens+1))
	if maxTokens > 0 {
		n = min(n, maxTokens)
	}
	tokens := make([]string, n)
	for i := range tokens {
		tokens[i] = tokenText(h, i)
	}
	return tokens
}

// finishReason returns "length" if maxTokens truncated the answer, otherwise "stop".
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

// tokenText returns token i of the answer with hash h: a short made-up word, preceded
// by a space except for the first.
func tokenText(h uint64, i int) string {
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
