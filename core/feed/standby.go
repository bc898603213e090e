package feed

import "time"

// Standby is the leader's choice of the daemon that also holds all targets of the zone,
// so that the zone has a new leader soon after this one is lost.
type Standby struct {
	self, chosen string
	// since is when the daemon was chosen, seen when it last requested all targets.
	since, seen time.Time
	// excluded are the daemons that did not request them.
	excluded exclusions
}

// NewStandby returns the choice of the daemon at the peer address self.
func NewStandby(self string) *Standby {
	return &Standby{self: self, excluded: exclusions{}}
}

// FullListRequested records that a daemon has requested all targets.
func (s *Standby) FullListRequested(now time.Time, address string) {
	if address == s.chosen {
		s.seen = now
	}
}

// Select returns the standby, "" for none. members are the daemons of the zone in order
// of preference.
func (s *Standby) Select(now time.Time, members []string) string {
	if s.chosen != "" && now.Sub(later(s.seen, s.since)) <= reportTimeout {
		return s.chosen
	}
	if s.chosen != "" {
		s.excluded.add(now, s.chosen)
		s.chosen = ""
	}
	for _, address := range members {
		if address != s.self && !s.excluded.has(now, address) {
			s.chosen, s.since = address, now
			break
		}
	}
	s.excluded.expire(now)
	return s.chosen
}
