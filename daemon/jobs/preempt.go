package jobs

import (
	"slices"
	"time"

	"tarragonhollow.example/tarragonhollow/core/roster"
)

// preempt stops the items that the zone's leader names, or else those with the least
// progress, at targets that online work fills. They
// resume later after the last event received, so only the processing of their prompt is
// lost.
func (r *runner) preempt() {
	if r.jobs.Places.BatchReserve() {
		r.preemptNamed(r.jobs.Places.PreemptedLeases())
		return
	}
	preemptions := r.jobs.Places.Preemptions()
	r.mu.Lock()
	defer r.mu.Unlock()
	for target, n := range preemptions {
		for _, run := range r.latestRuns(target, n) {
			r.meter.preemptions.Inc()
			r.stopForOnline(run)
		}
	}
}

// stopForOnline cancels a run for online work. r.mu is held.
func (r *runner) stopForOnline(run *itemRun) {
	if run.reason == "" {
		r.meter.cancelledSeconds.Update(time.Since(run.startedAt).Seconds())
	}
	run.stop("gives way to online work")
}

// latestRuns returns the n runs at the target that were started last.
func (r *runner) latestRuns(target roster.Start, n int) []*itemRun {
	var runs []*itemRun
	for _, run := range r.active {
		if run.target.Start == target {
			runs = append(runs, run)
		}
	}
	slices.SortFunc(runs, func(a, b *itemRun) int { return b.startedAt.Compare(a.startedAt) })
	return runs[:min(n, len(runs))]
}

// preemptNamed stops exactly the runs whose leases the zone's leader has preempted.
func (r *runner) preemptNamed(leases map[uint64]bool) {
	if len(leases) == 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, run := range r.active {
		if leases[run.slot.Lease()] && run.reason == "" {
			r.meter.preemptions.Inc()
			r.stopForOnline(run)
		}
	}
}
