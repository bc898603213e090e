package jobs

import (
	"math/rand/v2"
	"time"

	"tarragonhollow.example/tarragonhollow/core/batch"
	"tarragonhollow.example/tarragonhollow/daemon/places"
)

// mostStarts bounds how many items start at one look where each is asked for by
// itself: asking takes some 0.5 ms, and giving way must not wait for longer.
const mostStarts = 40

// allowance returns how many items of the group may start at this look. Where leaders
// give slots out they count what is free, and no pace is needed.
func (r *runner) allowance(group string) int {
	if r.jobs.Places.Scheduled() {
		return mostStarts
	}
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
