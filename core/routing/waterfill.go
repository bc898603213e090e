package routing

import (
	"cmp"
	"slices"
	"time"
)

// minUnreported stands in for no unreported requests at all: the least loaded target is
// then chosen, at random among equally loaded ones.
const minUnreported = 0.01

// unreported estimates how many requests other daemons have started since their last load
// reports, at the targets that the request accepts and these reports cover. The number of requests that run there
// divided by a request's service time is the rate at which requests start.
func (t *Table) unreported(now time.Time, r Request) float64 {
	if !t.serviceTime.known || t.serviceTime.mean <= 0 {
		return 0
	}
	peers := 0
	for _, e := range t.entries {
		if !r.accepts(e) || r.RemoteStale && e.Zone != r.Zone {
			continue
		}
		peers += t.online(now, e) - e.localRequests
	}
	return float64(peers) * r.LoadReportAge.Seconds() / t.serviceTime.mean.Seconds()
}

// waterFill chooses a target at random such that all daemons together fill the targets
// evenly (water-filling): it distributes the unreported requests over the least loaded
// targets, as water fills uneven ground, and chooses each target with a probability equal
// to its share.
//
// Load pattern: nearly all slots are taken and a few become free. Daemons that all choose
// the least reported load send their next requests to the same targets until new reports
// arrive: with 61 daemons, single targets had 16 requests for 7 slots while one in twenty
// slots was free.
func waterFill(from []*entry, loads []float64, unreported, random float64) *entry {
	order := make([]int, len(from))
	for i := range order {
		order[i] = i
	}
	slices.SortFunc(order, func(a, b int) int { return cmp.Compare(loads[a], loads[b]) })
	amount := max(unreported, minUnreported)
	level := waterLevel(order, loads, amount)
	left := random * amount
	for _, i := range order {
		left -= max(0, level-loads[i])
		if left < 0 {
			return from[i]
		}
	}
	return from[order[0]]
}

// waterLevel returns the load that the least loaded targets reach when amount is
// distributed over them.
func waterLevel(order []int, loads []float64, amount float64) float64 {
	sum := 0.0
	for n, i := range order {
		sum += loads[i]
		level := (amount + sum) / float64(n+1)
		if n+1 == len(order) || level <= loads[order[n+1]] {
			return level
		}
	}
	return 0
}
