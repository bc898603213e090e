package membership

// rng is splitmix64: a seeded source of choices, so that a run can be repeated.
type rng struct{ state uint64 }

func (r *rng) next() uint64 {
	r.state += 0x9e3779b97f4a7c15
	return mix(r.state)
}

// below returns a number in [0,n); n must be above 0.
func (r *rng) below(n int) int { return int(r.next() % uint64(n)) }

func (r *rng) shuffle(s []string) {
	for i := len(s) - 1; i > 0; i-- {
		j := r.below(i + 1)
		s[i], s[j] = s[j], s[i]
	}
}
