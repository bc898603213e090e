package load

import (
	"fmt"
	"math/rand/v2"
	"strings"

	"tarragonhollow.example/tarragonhollow/target"
)

// Prompts generates random prompts that share prefixes, like system prompts of an
// assistant.
type Prompts struct {
	rng      *rand.Rand
	prefixes []string
	tail     int
}

// Stream numbers of the random generators, so that equal seeds give independent sequences.
const (
	prefixStream = 7
	tailStream   = 11
)

// NewPrompts returns a generator of prompts. Each prompt has one of the given number of
// shared prefixes of prefixWords words, followed by tailWords words of its own. The
// prefixes depend on prefixSeed only. tailSeed must differ between arms; otherwise the
// caches would already have the whole prompts of an earlier arm.
func NewPrompts(prefixes, prefixWords, tailWords int, prefixSeed, tailSeed uint64) *Prompts {
	prefixRNG := rand.New(rand.NewPCG(prefixSeed, prefixStream))
	p := &Prompts{rng: rand.New(rand.NewPCG(tailSeed, tailStream)), tail: tailWords}
	for i := range prefixes {
		p.prefixes = append(p.prefixes, words(prefixRNG, fmt.Sprintf("menu%d", i), prefixWords))
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

// words returns first followed by n words drawn from rng.
func words(rng *rand.Rand, first string, n int) string {
	var b strings.Builder
	b.WriteString(first)
	for range n {
		fmt.Fprintf(&b, " w%d", rng.IntN(50_000))
	}
	return b.String()
}
