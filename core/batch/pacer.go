package batch

import "time"

// Pacer limits the number of items that a daemon starts to its share of the free slots per
// load report interval.
//
// When batch work fills the capacity that online work leaves, all daemons see the same few
// free slots at the same moment. If each daemon took all of them, the target would receive
// several times what fits, and most items would be preempted before they began. With
// shares, the daemons together take each free slot once on average. A share below one is
// rounded up at random: if it were accumulated instead, all daemons would spend it at the
// same moment.
type Pacer struct {
	last time.Time
}

// Allow returns the number of items that may start now. free is the number of free slots
// that the daemon sees, daemons the number of daemons that see them, age the age of their
// load reports, and random is in [0,1).
func (p *Pacer) Allow(now time.Time, free, daemons int, age time.Duration, random float64) int {
	passed := min(1, now.Sub(p.last).Seconds()/age.Seconds())
	p.last = now
	share := float64(free) / float64(max(1, daemons)) * passed
	whole := int(share)
	if random < share-float64(whole) {
		whole++
	}
	return whole
}
