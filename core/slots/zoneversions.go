package slots

import (
	"maps"
	"time"
)

// ZoneGroup names the targets of a group in another zone, of one version or, with "", of
// any.
type ZoneGroup struct{ Zone, Group, Version string }

// SetRemoteVersions sets of which versions the targets of other zones are; nil means that
// this is not known.
func (l *Ledger) SetRemoteVersions(served map[ZoneGroup]bool) { l.remoteVersions = served }

// visitMemory is how long it is known that a request was sent to a zone.
const visitMemory = 5 * time.Second

// preference orders the zones with free slots for a request whose holder does not report a
// zone that had none for it. Of which version the free slots are is not known, and so zones
// take turns for a request that requires one: that with the most may have none for it.
func (l *Ledger) preference(now time.Time, r Request, zone string, free int) float64 {
	if r.Version == "" {
		return float64(free)
	}
	return now.Sub(l.visits[ZoneGroup{zone, r.Group, r.Version}]).Seconds()
}

// recordVisit records that a request is sent to a zone.
func (l *Ledger) recordVisit(now time.Time, zone string, r Request) {
	if r.Version == "" {
		return
	}
	maps.DeleteFunc(l.visits, func(_ ZoneGroup, at time.Time) bool { return now.Sub(at) > visitMemory })
	l.visits[ZoneGroup{zone, r.Group, r.Version}] = now
}

// mayServe reports whether the zone may have targets that the request accepts.
func (l *Ledger) mayServe(zone string, r Request) bool {
	return r.Version == "" || l.remoteVersions == nil || l.remoteVersions[ZoneGroup{zone, r.Group, r.Version}]
}
