package places

import (
	"context"
	"math/rand/v2"
	"time"

	"tarragonhollow.example/tarragonhollow/core/roster"
	"tarragonhollow.example/tarragonhollow/core/routing"
	"tarragonhollow.example/tarragonhollow/core/slots"
)

// BatchRequest describes a batch item for the choice of a target.
type BatchRequest struct {
	Group string
	// Exclude holds the starts of targets that the item must not use, Headroom is the
	// number of slots of each target that stay free.
	Exclude  map[string]bool
	Headroom int
	// Version requires a target of this software version, "" for any.
	Version string
	// Work, Slack, ShortOfTime and Needed describe the item and its group's other items; see
	// slots.Request.
	Work        float64
	Slack       time.Duration
	ShortOfTime bool
	Needed      float64
}

// AcquireBatch chooses the target with the least work that keeps headroom slots free
// beside the new item, and counts a batch item there; ReleaseBatch must follow. It returns
// false if no target has such a slot.
func (p *Places) AcquireBatch(ctx context.Context, r BatchRequest) (Slot, bool) {
	if !p.Scheduled() {
		return p.acquireBatchLocally(r)
	}
	request := p.newSlotRequest(r.Group, r.Version, r.Exclude)
	describeItem(&request, r)
	grant, by, answered := p.scheduler.requestSlot(ctx, request)
	p.recordHeldBack(r.Group, grant.Reserve)
	if !answered || grant.Verdict != slots.Granted {
		return Slot{}, false
	}
	if slot, ok := p.acceptGrant("", request, grant, by); ok || r.Version == "" {
		return slot, ok
	}
	return p.acquireBatchLocally(r)
}

// acquireBatchLocally chooses a target from this daemon's view.
func (p *Places) acquireBatchLocally(r BatchRequest) (Slot, bool) {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	g := p.groups[r.Group]
	if g == nil {
		return Slot{}, false
	}
	p.applyFleetCounts(now, g)
	targets := g.ofVersion(r.Version)
	best, lowest := roster.Target{}, 0
	first := rand.IntN(max(1, len(targets)))
	for i := range targets {
		t := targets[(first+i)%len(targets)]
		start := string(t.Start)
		total := p.board.Total(now, start)
		running := total.Online + total.Batch
		if r.Exclude[start] && len(targets) > 1 || running+r.Headroom >= t.Slots || !g.table.Available(now, start) {
			continue
		}
		// The count is doubled so that the local zone wins among equals: traffic between
		// zones costs more than the order of equal targets matters.
		weight := 2 * running
		if t.Zone != p.zone {
			weight++
		}
		if g.table.Degraded(now, start) {
			weight += 2 * t.Slots
		}
		if best.ID == "" || weight < lowest {
			best, lowest = t, weight
		}
	}
	if best.ID == "" {
		return Slot{}, false
	}
	return p.begin(best, p.scheduler.leases.next(), "", true), true
}

// ReleaseBatch ends what AcquireBatch counted.
func (p *Places) ReleaseBatch(slot Slot, result routing.Outcome) {
	now := time.Now()
	t := slot.Target
	p.mu.Lock()
	defer p.mu.Unlock()
	p.board.Add(string(t.Start), 0, -1)
	p.starts.done(t)
	g := p.groups[t.Group]
	if g != nil {
		g.table.RecordOutcome(now, string(t.Start), result)
	}
	p.scheduler.leases.end(slot.lease, p.reportedOutcome(now, g, result), 0)
	p.notifyChange()
}
