package front

import (
	"time"

	"go.uber.org/zap"
)

// silence tells in the log of the times in which the source is silent: when one begins,
// every reportSilenceEvery, and when it ends, with what was asked of other daemons
// meanwhile.
type silence struct {
	configuration *Configuration
	// since is when the source was last heard, zero while it speaks; reported is when
	// the last line was written.
	since, reported time.Time
	// asked, notAnswered and bytes are the counters when the silence began.
	asked, notAnswered, bytes uint64
}

// observe notes how old the last word about the configuration is.
func (s *silence) observe(now time.Time, age time.Duration) {
	silent := age >= silentAfter
	switch {
	case silent && s.since.IsZero():
		s.begin(now, age)
	case silent && now.Sub(s.reported) >= reportSilenceEvery:
		s.tell("configuration_silent", now)
	case !silent && !s.since.IsZero():
		s.tell("configuration_heard", now)
		s.since = time.Time{}
	}
}

func (s *silence) begin(now time.Time, age time.Duration) {
	c := s.configuration
	s.since = now.Add(-age)
	if s.since.Before(c.started) {
		s.since = c.started // nothing was heard since the start
	}
	s.asked, s.notAnswered, s.bytes = c.asked.Get(), c.notAnswered.Get(), c.borrowedBytes.Get()
	s.tell("configuration_silent", now)
}

func (s *silence) tell(event string, now time.Time) {
	c := s.configuration
	s.reported = now
	c.Logger.Info(event, zap.Int64("version", c.Version()), zap.Int64("silent_ms", now.Sub(s.since).Milliseconds()),
		zap.Uint64("asked", c.asked.Get()-s.asked), zap.Uint64("not_answered", c.notAnswered.Get()-s.notAnswered),
		zap.Uint64("peer_bytes", c.borrowedBytes.Get()-s.bytes))
}
