package jobs

import (
	"time"

	"tarragonhollow.example/tarragonhollow/daemon/places"
)

// pacer bounds how many items a daemon starts, to its share of the free places
// in the time that a word between daemons takes.
//
// It answers the load at which batch fills what online work leaves: all daemons
// see the same few free places at the same moment. If each took all it saw, the
// target would get several times what fits, and most items would have to give
// way before they began. With its share each daemon takes on average what is
// free, once.
type pacer struct {
	credit float64
	at     time.Time
}

// take spends one start if there is one. free are the free places that the
// daemon sees, fleet the daemons that see them, age how old their words are.
func (p *pacer) take(now time.Time, free, fleet int, age time.Duration) bool {
	share := float64(free) / float64(max(1, fleet))
	passed := min(1, now.Sub(p.at).Seconds()/age.Seconds())
	p.at = now
	p.credit = min(p.credit+share*passed, max(1, share))
	if free == 0 || p.credit < 1 {
		return false
	}
	p.credit--
	return true
}

// mayStart asks the group's pacer.
func (r *runner) mayStart(group string) bool {
	fleet := min(r.jobs.Fleet(), r.jobs.Parts)
	free := r.jobs.Places.Free(group, r.jobs.Headroom)
	p := r.pacers[group]
	if p == nil {
		p = &pacer{}
		r.pacers[group] = p
	}
	ok := p.take(time.Now(), free, fleet, places.WordAge(r.jobs.Fleet()))
	if !ok && free > 0 {
		// The share grows by time alone.
		r.wake()
	}
	return ok
}
