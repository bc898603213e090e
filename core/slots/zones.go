package slots

import (
	"cmp"
	"maps"
	"time"
)

const (
	// remoteMinFree is how many free slots another zone that reports no load must have
	// reported before a request is sent there: the last one may have been taken since.
	remoteMinFree = 2
	// FreeSlotsTTL is how long another zone's report is valid; its leader sends several
	// in that time.
	FreeSlotsTTL = 400 * time.Millisecond
	// crossingMargin is by how much earlier a request must start in another zone's queue:
	// traffic between zones is expensive.
	crossingMargin = 50 * time.Millisecond
	// failedZoneTime is for how long a zone is not used after it did not answer a request
	// or gave it no slot.
	failedZoneTime = 500 * time.Millisecond
	// sentWeight is how much a request that was sent to another zone counts there until
	// that zone reports again. With 2, a zone uses half of what another one offers, and
	// leaves the other half to the remaining zones.
	sentWeight = 2
	// probeTime is for how long only one request is sent to a zone that did not answer
	// before: longer than a call for a slot, so that one that is lost again is the only
	// one to wait for the answer.
	probeTime = 100 * time.Millisecond
	// allGroups is the group of a failure that concerns the whole zone.
	allGroups = ""
)

// ZoneLoad is the load of a group's targets in one zone, as its leader reports it to the
// other leaders.
type ZoneLoad struct {
	// Free counts the slots of healthy targets that nothing takes, Batch those that batch
	// items take and online requests may preempt.
	Free, Batch int
	// Waiting counts the online requests that wait for a slot: in the leader's queue, or
	// at a target beyond its slots.
	Waiting int
	// PerSecond is how many slots become free a second.
	PerSecond float64
}

// OverflowReason states why a request is sent to another zone.
type OverflowReason int

const (
	// FreeSlot: the other zone has a free slot.
	FreeSlot OverflowReason = iota
	// BatchSlot: the other zone has a slot from which batch is preempted.
	BatchSlot
	// ShorterQueue: the request starts earlier in the other zone's queue.
	ShorterQueue
)

// String returns the reason's name for logs and metrics.
func (r OverflowReason) String() string {
	return [...]string{"free", "batch", "queue"}[min(max(FreeSlot, r), ShorterQueue)]
}

// remoteZone is another zone's last report.
type remoteZone struct {
	leader string
	at     time.Time
	// free is used if load is nil: the other leader runs an earlier build, or does not
	// balance zones.
	free map[string]int
	load map[string]ZoneLoad
	// reserved counts the free slots that are held back from batch, by group.
	reserved map[string]int
	// sent counts the requests sent there since the report.
	sent map[string]int
}

// failedZone is a zone that did not serve a request.
type failedZone struct {
	// until is until when it is not used; probed reports that it has got one request since.
	until  time.Time
	probed bool
}

// FreeSlots counts the free slots of the zone's healthy targets, by group.
func (l *Ledger) FreeSlots(now time.Time) map[string]int {
	free := map[string]int{}
	for name, g := range l.groups {
		for i, t := range g.targets {
			u := g.usages[i]
			if !u.degraded(now, false) {
				free[name] += max(0, t.Slots-u.online-u.notPreempted(now))
			}
		}
	}
	return free
}

// Load returns the load of the zone's targets by group, for the leaders of other zones. It
// is nil unless zones are balanced.
func (l *Ledger) Load(now time.Time) map[string]ZoneLoad {
	if !l.policy.ZoneBalance {
		return nil
	}
	loads := make(map[string]ZoneLoad, len(l.groups))
	for name, g := range l.groups {
		load := ZoneLoad{Waiting: l.waitingCount(g), PerSecond: l.perSecond(now, g)}
		for i, t := range g.targets {
			u := g.usages[i]
			if u.degraded(now, false) {
				continue
			}
			batch := u.notPreempted(now)
			load.Free += max(0, t.Slots-u.online-batch)
			load.Batch += max(0, min(batch, t.Slots-u.online))
		}
		loads[name] = load
	}
	return loads
}

// waitingCount counts the online requests of the group that wait for a slot: those in the
// queue, and those beyond the slots of each target.
func (l *Ledger) waitingCount(g *group) int { return g.line.length() + g.beyondSlots(Request{}) }

// beyondSlots counts the online requests beyond the slots of each target that the request
// accepts.
func (g *group) beyondSlots(r Request) int {
	n := 0
	for i := range g.targets {
		if t := &g.targets[i]; r.accepts(t) {
			n += max(0, g.usages[i].online-t.Slots)
		}
	}
	return n
}

// perSecond returns how many slots of the group become free a second, 0 for unknown: the
// larger of those counted in the last second and of the number of slots divided by the mean
// service time. Both are lower bounds once all slots are taken: the first still contains
// the time before, and the second the time that requests queued at a target.
func (l *Ledger) perSecond(now time.Time, g *group) float64 {
	counted, _ := g.drain.perSecond(now)
	mean := g.serviceTime.Wait(1, 1) // the wait for the only slot of a target
	if mean <= 0 {
		return counted
	}
	slots := 0
	for i, t := range g.targets {
		if !g.usages[i].degraded(now, false) {
			slots += t.Slots
		}
	}
	return max(counted, float64(slots)/mean.Seconds())
}

// ApplyRemoteFree records the free slots that the leader of another zone reports.
func (l *Ledger) ApplyRemoteFree(now time.Time, zone, leader string, free map[string]int) {
	l.ApplyRemoteLoad(now, zone, leader, free, nil)
}

// ApplyRemoteLoad records the report of another zone's leader. load is nil if that leader
// runs an earlier build or does not balance zones; its free slots are then used as they
// are without balancing.
func (l *Ledger) ApplyRemoteLoad(now time.Time, zone, leader string, free map[string]int, load map[string]ZoneLoad) {
	if !l.policy.ZoneBalance {
		load = nil
	}
	l.remote[zone] = &remoteZone{leader: leader, at: now, free: maps.Clone(free), load: load, sent: map[string]int{}}
}

// RemoteLoad returns the load that another zone reported for the group, less what was sent
// there since.
func (l *Ledger) RemoteLoad(zone, group string) ZoneLoad {
	if to := l.remote[zone]; to != nil {
		return to.loadOf(group, 1)
	}
	return ZoneLoad{}
}

// loadOf returns the zone's load, less the requests sent there since its report, each
// counted weight times: against free slots first, then against those that batch holds, then
// as waiting ones.
func (z *remoteZone) loadOf(group string, weight int) ZoneLoad {
	load := z.load[group]
	if z.load == nil {
		load.Free = z.free[group]
		weight = 1
	}
	left := weight * z.sent[group]
	free := min(left, load.Free)
	batch := min(left-free, load.Batch)
	load.Free, load.Batch, load.Waiting = load.Free-free, load.Batch-batch, load.Waiting+left-free-batch
	return load
}

// visit is a zone that may get a request.
type visit struct {
	zone   string
	reason OverflowReason
	// gain orders the zones of equal reason.
	gain float64
}

// better reports whether the request goes to v rather than to other.
func (v visit) better(other visit) bool {
	return cmp.Or(cmp.Compare(v.reason, other.reason), cmp.Compare(other.gain, v.gain), cmp.Compare(v.zone, other.zone)) < 0
}

// otherZone chooses another zone for a request that gets no slot here. Requests sent there
// are subtracted until that zone reports again, so that the requests that this zone sends
// between two reports do not compete for the same slots.
func (l *Ledger) otherZone(now time.Time, r Request) Grant {
	if r.Visiting || r.Stay || r.Batch {
		return l.otherZoneBefore(now, r, ZoneLoad{}) // the load here does not matter
	}
	return l.otherZoneBefore(now, r, l.localLoad(now, r))
}

// otherZoneBefore chooses another zone for a request that would find the load home here.
func (l *Ledger) otherZoneBefore(now time.Time, r Request, home ZoneLoad) Grant {
	if r.Visiting || r.Stay {
		return Grant{Verdict: None}
	}
	best, found := visit{}, false
	for zone, report := range l.remote {
		if now.Sub(report.at) > FreeSlotsTTL || !l.mayServe(zone, r) || l.failedRecently(now, zone, r) {
			continue
		}
		v, ok := l.visit(now, r, zone, report, home)
		if ok && (!found || v.better(best)) {
			best, found = v, true
		}
	}
	if !found {
		return Grant{Verdict: None}
	}
	to := l.remote[best.zone]
	to.sent[r.Group]++
	l.recordVisit(now, best.zone, r)
	if r.Preempts {
		l.probe(now, best.zone)
	}
	grant := Grant{Verdict: Elsewhere, Zone: best.zone, Leader: to.leader}
	if l.policy.ZoneBalance {
		grant.Reason, grant.Wait = best.reason, min(home.start(), r.Patience)
	}
	return grant
}

// visit reports whether the request may be sent to the zone.
func (l *Ledger) visit(now time.Time, r Request, zone string, report *remoteZone, home ZoneLoad) (visit, bool) {
	load := report.loadOf(r.Group, sentWeight)
	free := load.Free - report.reservedFor(r)
	if report.load == nil {
		return visit{zone, FreeSlot, l.preference(now, r, zone, free)}, free >= remoteMinFree
	}
	if !r.Preempts {
		return visit{zone, FreeSlot, l.preference(now, r, zone, free)}, free >= sentWeight
	}
	gain, sends := l.zoneRule(home, load)
	switch {
	case load.Free >= sentWeight:
		return visit{zone, FreeSlot, float64(load.Free)}, sends
	case load.offersSlots():
		return visit{zone, BatchSlot, float64(load.Batch)}, sends
	case report.load[r.Group].offersSlots():
		return visit{}, false // this zone has used its half of the offer
	}
	return visit{zone, ShorterQueue, gain}, sends && load.start() <= r.Patience
}

// offersSlots reports whether a request may be sent for a slot of the zone.
func (z ZoneLoad) offersSlots() bool { return z.Free+z.Batch >= sentWeight }

// byEarliestStart sends a request to a zone that has a slot for it, or starts it earlier by
// more than the crossing is worth.
func byEarliestStart(home, other ZoneLoad) (gain float64, sends bool) {
	earlier := home.start() - other.start()
	return earlier.Seconds(), other.offersSlots() || earlier > crossingMargin
}

// maxStart is the expected wait where no slot becomes free.
const maxStart = time.Minute

// start returns how long one more request is expected to wait in the zone.
func (z ZoneLoad) start() time.Duration {
	if z.Free+z.Batch > 0 {
		return 0
	}
	return waitBehind(z.Waiting+1, z.PerSecond)
}

// localLoad returns the load of this zone's targets that a request accepts and that have
// neither a free slot for it nor one that batch holds. If it is not known yet how fast slots become free,
// the request is expected to start at once, so that a new leader does not send its zone's
// requests away.
func (l *Ledger) localLoad(now time.Time, r Request) ZoneLoad {
	g := l.groups[r.Group]
	if !l.policy.ZoneBalance || g == nil {
		return ZoneLoad{}
	}
	if accepted, _ := g.accepted(r); accepted == 0 {
		return ZoneLoad{}
	}
	load := ZoneLoad{Waiting: l.waitingCount(g), PerSecond: l.perSecond(now, g)}
	if r.Version != "" {
		share := g.versionShare(now, r)
		load.Waiting = g.beyondSlots(r)
		if d := g.line.demand; d != nil {
			load.Waiting += slotsFor(len(d.required[r.Version]), d.any, share)
		}
		load.PerSecond *= share
	}
	if load.PerSecond <= 0 && g.serviceTime.Wait(1, 1) <= 0 {
		load.Free = 1
	}
	return load
}

// mayPreempt reports whether a request may preempt batch items and queue here.
func (l *Ledger) mayPreempt(r Request) bool {
	return !r.Visiting || r.Preempts && l.policy.ZoneBalance
}

// mayQueue reports whether a request may queue here. One of another zone does so only if it
// waits no longer than there: that zone's leader decided by a report that may be outdated.
// Where the wait is not known, it does not queue.
func (l *Ledger) mayQueue(now time.Time, r Request) bool {
	if !r.Visiting {
		return true
	}
	load := l.localLoad(now, r)
	return load.PerSecond > 0 && load.start() <= r.HomeWait
}

// recordFailedZone records the zone that did not serve the request. One that required a
// version says nothing about others.
func (l *Ledger) recordFailedZone(now time.Time, r Request) {
	if r.FailedZone == "" || !l.policy.ZoneBalance {
		return
	}
	key := ZoneGroup{r.FailedZone, r.Group, r.Version}
	if r.Unanswered {
		key = ZoneGroup{Zone: r.FailedZone, Group: allGroups}
	}
	// Entries of a zone are kept for the probe, and are as few as the zones.
	maps.DeleteFunc(l.failed, func(old ZoneGroup, f failedZone) bool { return old.Group != allGroups && !now.Before(f.until) })
	l.failed[key] = failedZone{until: now.Add(failedZoneTime)}
}

// probe records that a request is sent to a zone. One that did not answer before gets no
// other request until this one must have been answered. Batch items, and requests of holders
// that do not balance zones, are no probes: their holders do not report the failure.
func (l *Ledger) probe(now time.Time, zone string) {
	key := ZoneGroup{Zone: zone, Group: allGroups}
	failed, known := l.failed[key]
	switch {
	case failed.probed:
		delete(l.failed, key)
	case known:
		l.failed[key] = failedZone{until: now.Add(probeTime), probed: true}
	}
}

// failedRecently reports whether, within failedZoneTime, the zone did not answer, or gave no
// slot to a request of the group that required r's version or accepted any.
func (l *Ledger) failedRecently(now time.Time, zone string, r Request) bool {
	for _, key := range [...]ZoneGroup{{zone, r.Group, r.Version}, {zone, r.Group, ""}, {zone, allGroups, ""}} {
		if now.Before(l.failed[key].until) {
			return true
		}
	}
	return false
}
