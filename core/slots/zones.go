package slots

import (
	"maps"
	"time"
)

const (
	// remoteMinFree is how many free slots another zone must have reported before a
	// request is sent there: the last one may have been taken since the report.
	remoteMinFree = 2
	// FreeSlotsTTL is how long another zone's report of its free slots is valid; its
	// leader sends several in that time.
	FreeSlotsTTL = 400 * time.Millisecond
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

// remoteFree is another zone's report of its free slots.
type remoteFree struct {
	leader string
	free   map[string]int
	// reserved counts the free slots that are held back from batch, by group.
	reserved map[string]int
	at       time.Time
}

// FreeSlots counts the free slots of the zone's healthy targets, by group.
func (l *Ledger) FreeSlots(now time.Time) map[string]int {
	free := map[string]int{}
	for name, g := range l.groups {
		for _, t := range g.targets {
			u := l.usageOf(t.Start)
			if !u.degraded(now, false) {
				free[name] += max(0, t.Slots-u.online-u.notPreempted(now))
			}
		}
	}
	return free
}

// ApplyRemoteFree records the free slots that the leader of another zone reports.
func (l *Ledger) ApplyRemoteFree(now time.Time, zone, leader string, free map[string]int) {
	l.remote[zone] = &remoteFree{leader: leader, free: maps.Clone(free), at: now}
}

// otherZone chooses the zone with the most free slots. Requests sent there are subtracted
// until that zone reports again, so that the requests that this zone sends between two
// reports do not compete for the same slots.
func (l *Ledger) otherZone(now time.Time, r Request) Grant {
	if r.Visiting || r.Stay {
		return Grant{Verdict: None}
	}
	name, most := "", remoteMinFree-1
	for zone, report := range l.remote {
		if now.Sub(report.at) > FreeSlotsTTL {
			continue
		}
		free := report.freeFor(r)
		if free > most || free == most && name != "" && zone < name {
			name, most = zone, free
		}
	}
	if name == "" {
		return Grant{Verdict: None}
	}
	to := l.remote[name]
	to.free[r.Group]--
	return Grant{Verdict: Elsewhere, Zone: name, Leader: to.leader}
}
