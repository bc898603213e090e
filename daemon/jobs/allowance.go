package jobs

import (
	"math/rand/v2"
	"time"

	"tarragonhollow.example/tarragonhollow/core/batch"
	"tarragonhollow.example/tarragonhollow/daemon/places"
)

// maxStartsPerStep bounds how many items start in one step where each needs its own
// request for a slot: a request takes some 0.5 ms, and preemption waits until the step ends.
const maxStartsPerStep = 40

// allowance returns how many items of the group may start in this step. Where the zones'
// leaders grant slots, they count the free ones, and no pacing is needed.
func (r *runner) allowance(group string) int {
	if r.jobs.Places.Scheduled() {
		return maxStartsPerStep
	}
	free := r.jobs.Places.FreeSlots(group, r.jobs.Headroom)
	p := r.pacers[group]
	if p == nil {
		p = &batch.Pacer{}
		r.pacers[group] = p
	}
	fleet := r.jobs.FleetSize()
	n := p.Allow(time.Now(), free, min(fleet, r.jobs.Parts), places.LoadReportAge(fleet), rand.Float64())
	if n < free {
		// The rest of the share becomes available over time, without another event.
		r.wake()
	}
	return n
}
