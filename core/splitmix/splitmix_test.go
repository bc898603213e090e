package splitmix_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"tarragonhollow.example/tarragonhollow/core/splitmix"
)

// Guards against daemons of two versions that rank the same names in different orders.
func TestGeneratorKeepsItsValues(t *testing.T) {
	g := NewWithT(t)
	var generator splitmix.Generator
	g.Expect(generator.Next()).To(Equal(uint64(0xe220a8397b1dcdaf)))
	g.Expect(generator.Next()).To(Equal(uint64(0x6e789e6aa1b965f4)))
}

func TestChoicesStayWithinTheirBounds(t *testing.T) {
	g := NewWithT(t)
	generator := splitmix.Generator(7)
	for n := 1; n < 1000; n++ {
		g.Expect(generator.Below(n)).To(And(BeNumerically(">=", 0), BeNumerically("<", n)))
		g.Expect(generator.Fraction()).To(And(BeNumerically(">=", 0), BeNumerically("<", 1)))
	}
}
