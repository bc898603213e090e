package front

import (
	"time"

	"go.uber.org/zap"
)

// outageLog logs the times in which the configuration's source does not answer: when one
// begins, every outageLogEvery, and when it ends, with the calls to other daemons
// meanwhile.
type outageLog struct {
	configuration *Configuration
	// since is when the source last answered, zero while it does; lastLogged is when the
	// last line was written.
	since, lastLogged time.Time
	// peerCalls, peerCallsFailed and peerBytes are the counters when the outage began.
	peerCalls, peerCallsFailed, peerBytes uint64
}

// observe records the time since the configuration was last confirmed.
func (s *outageLog) observe(now time.Time, age time.Duration) {
	stale := age >= staleAfter
	switch {
	case stale && s.since.IsZero():
		s.begin(now, age)
	case stale && now.Sub(s.lastLogged) >= outageLogEvery:
		s.log("configuration_silent", now)
	case !stale && !s.since.IsZero():
		s.log("configuration_heard", now)
		s.since = time.Time{}
	}
}

func (s *outageLog) begin(now time.Time, age time.Duration) {
	c := s.configuration
	s.since = now.Add(-age)
	if s.since.Before(c.started) {
		s.since = c.started // not confirmed since the start
	}
	s.peerCalls, s.peerCallsFailed, s.peerBytes = c.peerCalls.Get(), c.peerCallsFailed.Get(), c.peerBytes.Get()
	s.log("configuration_silent", now)
}

func (s *outageLog) log(event string, now time.Time) {
	c := s.configuration
	s.lastLogged = now
	c.Logger.Info(event, zap.Int64("version", c.Version()), zap.Int64("silent_ms", now.Sub(s.since).Milliseconds()),
		zap.Uint64("asked", c.peerCalls.Get()-s.peerCalls), zap.Uint64("not_answered", c.peerCallsFailed.Get()-s.peerCallsFailed),
		zap.Uint64("peer_bytes", c.peerBytes.Get()-s.peerBytes))
}
