package load

import (
	"fmt"
	"math/rand/v2"
	"strings"

	"tarragonhollow.example/tarragonhollow/target"
)

// Prompts draws prompts that share prefixes, as an assistant's system prompts do.
type Prompts struct {
	rng      *rand.Rand
	prefixes []string
	tail     int
}

// Streams of the generators, so that equal seeds give unrelated draws.
const (
	prefixStream = 7
	tailStream   = 11
)

// NewPrompts returns a source of prompts with the given number of shared
// prefixes of prefixWords words, each followed by tailWords words of its own.
// The prefixes depend on prefixSeed alone. tailSeed must differ between arms, or
// the later one would find the earlier one's whole prompts in the caches.
func NewPrompts(prefixes, prefixWords, tailWords int, prefixSeed, tailSeed uint64) *Prompts {
	fixed := rand.New(rand.NewPCG(prefixSeed, prefixStream))
	p := &Prompts{rng: rand.New(rand.NewPCG(tailSeed, tailStream)), tail: tailWords}
	for i := range prefixes {
		p.prefixes = append(p.prefixes, words(fixed, fmt.Sprintf("menu%d", i), prefixWords))
	}
	return p
}

// Next returns the messages of the next prompt.
func (p *Prompts) Next() []target.Message {
	prefix := p.prefixes[p.rng.IntN(len(p.prefixes))]
	return []target.Message{
		{Role: "system", Content: prefix},
		{Role: "user", Content: words(p.rng, "ask", p.tail)},
	}
}

// words returns n words drawn from rng, the first one given.
func words(rng *rand.Rand, first string, n int) string {
	var b strings.Builder
	b.WriteString(first)
	for range n {
		fmt.Fprintf(&b, " w%d", rng.IntN(50_000))
	}
	return b.String()
}
