package feed

import "time"

// Standby is the leader's choice of the daemon that holds all targets of the zone beside
// it, so that the zone has a leader soon after this one has gone.
type Standby struct {
	self, named string
	// since is when the daemon was named, seen when it last asked for all targets.
	since, seen time.Time
	// passedOver are the daemons that did not ask.
	passedOver passedOver
}

// NewStandby returns the choice of the daemon at the peer address self.
func NewStandby(self string) *Standby {
	return &Standby{self: self, passedOver: passedOver{}}
}

// Seen notes that a daemon has asked for all targets.
func (s *Standby) Seen(now time.Time, address string) {
	if address == s.named {
		s.seen = now
	}
}

// Select returns the standby, "" for none. members are the daemons of the zone in order
// of preference.
func (s *Standby) Select(now time.Time, members []string) string {
	if s.named != "" && now.Sub(later(s.seen, s.since)) <= reportWithin {
		return s.named
	}
	if s.named != "" {
		s.passedOver.add(now, s.named)
		s.named = ""
	}
	for _, address := range members {
		if address != s.self && !s.passedOver.has(now, address) {
			s.named, s.since = address, now
			break
		}
	}
	s.passedOver.expire(now)
	return s.named
}
