package batch

import "time"

// Pacer bounds how many items a daemon starts, to its share of the free places
// in the time that a word between daemons takes.
//
// It answers the load at which batch fills what online work leaves: all daemons
// see the same few free places at the same moment. If each took all it saw, the
// target would get several times what fits, and most items would have to give
// way before they began. With its share each daemon takes on average what is
// free, once. A share below one is taken by chance: saved up, it would be spent
// by all daemons at the same moment.
type Pacer struct {
	at time.Time
}

// Allow returns how many items may start now. free are the free places that the
// daemon sees, fleet the daemons that see them, age how old their words are, and
// random is in [0,1).
func (p *Pacer) Allow(now time.Time, free, fleet int, age time.Duration, random float64) int {
	passed := min(1, now.Sub(p.at).Seconds()/age.Seconds())
	p.at = now
	share := float64(free) / float64(max(1, fleet)) * passed
	whole := int(share)
	if random < share-float64(whole) {
		whole++
	}
	return whole
}
