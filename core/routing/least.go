package routing

import (
	"time"

	"tarragonhollow.example/tarragonhollow/core/splitmix"
)

// PickLeastLoaded chooses among the least loaded targets that are not ejected and were
// not tried. It serves groups whose loads are known almost immediately, where comparing
// two random targets would only leave slots free: every daemon counts its own requests
// and receives the others' counts within tens of milliseconds. It allows for requests
// started since then; see waterFill. The local zone is preferred unless another zone's
// target is better by more than ZoneMargin. A target with a free slot is preferred to one
// where batch work would have to be preempted: a preempted item processes its prompt
// again elsewhere. It returns false if every target is ejected, leaving or tried.
func (t *Table) PickLeastLoaded(now time.Time, r Request) (Choice, bool) {
	usable := t.usableTargets(now, r, true)
	if len(usable) == 0 {
		return Choice{}, false
	}
	random := splitmix.Generator(r.SeedValue)
	unreported := t.unreported(now, r)
	if r.RemoteStale {
		if e := t.localZoneFirst(now, usable, r, unreported, &random); e != nil {
			return Choice{e.Address, ByLoad}, true
		}
	}
	return Choice{t.leastLoaded(now, usable, r, unreported, &random).Address, ByLoad}, true
}

// localZoneFirst chooses where the loads of other zones arrive late or not at all, as in
// a large fleet whose leader does not answer. It prefers a slot in the local zone,
// preempting batch if necessary. Otherwise it takes a random target among those of other
// zones that had at least remoteMinFree free slots in their last reports; the choice is
// random because every daemon of this zone sees the same outdated report. Otherwise it
// takes a short queue in the local zone. It returns nil if the local zone has no target
// and no other zone had free slots.
//
// Load pattern: bursts that fill the zone with the most callers first. If its daemons
// chose the lowest load in the outdated reports, all of them would choose the same few
// remote targets, and waiting for a local slot would be late while other zones have free
// ones. The daemons of the zone also start requests at the same time, unseen by each
// other: only about as many of these as there are free local slots should take a local
// slot, so the others go to other zones at once.
func (t *Table) localZoneFirst(now time.Time, usable []*entry, r Request, unreported float64, random *splitmix.Generator) *entry {
	local, remote := t.byZone(now, usable, r.Zone)
	withFree, free := t.withFreeSlots(now, local, r)
	switch {
	case len(withFree) > 0 && random.Fraction()*(unreported+1) < float64(free):
		return t.leastLoaded(now, withFree, r, unreported, random)
	case len(remote) > 0:
		return remote[random.Below(len(remote))]
	case len(local) > 0:
		return t.leastLoaded(now, local, r, unreported, random)
	default:
		return nil
	}
}

// byZone separates the targets of the local zone from those of other zones that had at
// least remoteMinFree free slots.
func (t *Table) byZone(now time.Time, usable []*entry, zone string) (local, remote []*entry) {
	for _, e := range usable {
		switch {
		case e.Zone == zone:
			local = append(local, e)
		case t.freeSlots(now, e) >= remoteMinFree:
			remote = append(remote, e)
		}
	}
	return local, remote
}

// withFreeSlots returns the targets that are not degraded and have slots that online work
// has not taken, and the sum of these slots.
func (t *Table) withFreeSlots(now time.Time, from []*entry, r Request) (list []*entry, total int) {
	for _, e := range from {
		if free := t.freeSlots(now, e); free > 0 && !e.degraded(now, r) {
			list = append(list, e)
			total += free
		}
	}
	return list, total
}

// freeSlots returns how many slots of the target online work has not taken.
func (t *Table) freeSlots(now time.Time, e *entry) int { return t.slotsOf(now, e) - t.online(now, e) }

// remoteMinFree is how many free slots a target of another zone must have reported: one
// may have been taken since.
const remoteMinFree = 2

// online estimates the number of online requests at a target.
func (t *Table) online(now time.Time, e *entry) int {
	if !e.received.fresh(now) {
		return e.localRequests
	}
	return max(e.localRequests, e.received.report.OnlineTotal)
}

func (t *Table) slotsOf(now time.Time, e *entry) int {
	if e.received.fresh(now) && e.received.report.Slots > 0 {
		return e.received.report.Slots
	}
	return t.slots
}

// leastLoaded chooses among the least loaded of the given targets.
func (t *Table) leastLoaded(now time.Time, from []*entry, r Request, unreported float64, random *splitmix.Generator) *entry {
	loads := make([]float64, len(from))
	for i, e := range from {
		loads[i] = e.load(now)
		if e.Zone != r.Zone {
			loads[i] += ZoneMargin
		}
		if t.fullOfBatch(now, e) {
			loads[i] += fullMargin
		}
		if e.degraded(now, r) {
			loads[i] += float64(t.slotsOf(now, e))
		}
	}
	return waterFill(from, loads, unreported, random.Fraction())
}

// fullMargin ranks every target that batch work fills behind every target with a free
// slot: it exceeds any load of a target with a free slot.
const fullMargin = 1000

// fullOfBatch reports whether the target has a known number of slots and none is free.
func (t *Table) fullOfBatch(now time.Time, e *entry) bool {
	if !e.received.fresh(now) || e.received.report.Slots == 0 {
		return false
	}
	return t.Concurrent(now, e.Address) >= e.received.report.Slots
}

// Available reports whether the target's health lets it take one more request.
func (t *Table) Available(now time.Time, address string) bool {
	e := t.entries[address]
	return e != nil && !e.leaving && e.available(now)
}

// RecordOutcome records the outcome of a request that Start did not count.
func (t *Table) RecordOutcome(now time.Time, address string, o Outcome) {
	if e := t.entries[address]; e != nil {
		e.recordOutcome(now, o)
	}
}
