package jobs

import (
	"math/rand/v2"
	"time"

	"tarragonhollow.example/tarragonhollow/core/batch"
	"tarragonhollow.example/tarragonhollow/daemon/places"
)

// allowance returns how many items of the group may start at this look.
func (r *runner) allowance(group string) int {
	free := r.jobs.Places.Free(group, r.jobs.Headroom)
	p := r.pacers[group]
	if p == nil {
		p = &batch.Pacer{}
		r.pacers[group] = p
	}
	fleet := r.jobs.Fleet()
	n := p.Allow(time.Now(), free, min(fleet, r.jobs.Parts), places.WordAge(fleet), rand.Float64())
	if n < free {
		// The rest of the share comes with time alone.
		r.wake()
	}
	return n
}
