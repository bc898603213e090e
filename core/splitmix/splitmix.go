// Package splitmix implements the splitmix64 generator and its finalizer. Its values are
// the same in every version and on every host.
package splitmix

// Mix spreads the bits of x over all 64 bits. It maps no two values to the same one.
func Mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// Generator is a seeded generator of pseudorandom numbers, so that a run can be repeated.
// Its initial value is the seed.
type Generator uint64

// Next returns the next number.
func (g *Generator) Next() uint64 {
	*g += 0x9e3779b97f4a7c15
	return Mix(uint64(*g))
}

// Below returns a number in [0,n); n must be above 0.
func (g *Generator) Below(n int) int { return int(g.Next() % uint64(n)) }

// Fraction returns a number in [0,1).
func (g *Generator) Fraction() float64 { return float64(g.Next()>>11) / (1 << 53) }
