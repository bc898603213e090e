package limits

import "time"

// Verdict is Local's decision on one request.
type Verdict int

const (
	// Admitted: the request is counted; call Release when it ends.
	Admitted Verdict = iota
	// ShareNeeded: the share is missing or too old for a refusal. Ask the arbiter for a
	// share, then call Acquire once more with final set.
	ShareNeeded
	// Refused: the caller is over its limit.
	Refused
)

// Local enforces one daemon's shares. It is not safe for concurrent use.
type Local struct {
	keys map[Key]*keyState
}

type keyState struct {
	limit    Limit
	inFlight int
	// peak is the highest concurrency requested since the last ask; denied is the number
	// of requests that had to wait or were refused since then.
	peak, denied int
	// arrivals is the number of requests since the last ask.
	arrivals int
	askedAt  time.Time
	rate     float64
	usedAt   time.Time
	grant    Grant
	grantAt  time.Time
	granted  bool
	tokens   float64
	filledAt time.Time
}

// NewLocal returns a Local without shares.
func NewLocal() *Local { return &Local{keys: map[Key]*keyState{}} }

// Acquire decides on one request. daemons is the number of live daemons. If final is set,
// Acquire never returns ShareNeeded.
func (l *Local) Acquire(now time.Time, key Key, limit Limit, daemons int, final bool) Verdict {
	s := l.state(now, key)
	s.limit = limit
	s.usedAt = now
	if !final {
		s.arrivals++
	}
	inFlight, rate := s.allowed(now, max(1, daemons))
	s.refill(now, rate)
	overInFlight := limit.InFlight > 0 && s.inFlight >= inFlight
	overRate := limit.Rate > 0 && s.tokens < 1
	if !overInFlight && !overRate {
		s.inFlight++
		s.peak = max(s.peak, s.inFlight)
		if limit.Rate > 0 {
			s.tokens--
		}
		return Admitted
	}
	if !final {
		s.denied++
	}
	s.peak = max(s.peak, s.inFlight+s.denied)
	if !final && !s.fresh(now) {
		return ShareNeeded
	}
	return Refused
}

// Release ends a request that was admitted.
func (l *Local) Release(now time.Time, key Key) {
	if s := l.keys[key]; s != nil {
		s.inFlight = max(0, s.inFlight-1)
		s.usedAt = now
	}
}

func (l *Local) state(now time.Time, key Key) *keyState {
	s := l.keys[key]
	if s == nil {
		s = &keyState{askedAt: now, filledAt: now, tokens: 1}
		l.keys[key] = s
	}
	return s
}

// allowed returns the share if it is still valid, else the base.
func (s *keyState) allowed(now time.Time, daemons int) (inFlight int, rate float64) {
	if s.granted && now.Sub(s.grantAt) < GrantTTL {
		return s.grant.InFlight, s.grant.Rate
	}
	return max(1, s.limit.InFlight/(2*daemons)), s.limit.Rate / float64(2*daemons)
}

func (s *keyState) fresh(now time.Time) bool {
	return s.granted && now.Sub(s.grantAt) <= FreshGrant
}

func (s *keyState) refill(now time.Time, rate float64) {
	if now.After(s.filledAt) {
		s.tokens += rate * now.Sub(s.filledAt).Seconds()
		s.filledAt = now
	}
	s.tokens = min(s.tokens, max(1, rate*BurstSeconds))
}

// Asks returns the asks to send to the arbiters now and resets the counters since the last
// ask. Callers that were idle for IdleAfter release their share and are removed.
func (l *Local) Asks(now time.Time) []Ask {
	var asks []Ask
	for key, s := range l.keys {
		if s.inFlight == 0 && now.Sub(s.usedAt) > IdleAfter {
			delete(l.keys, key)
			asks = append(asks, Ask{Key: key, Limit: s.limit})
			continue
		}
		asks = append(asks, Ask{
			Key: key, Limit: s.limit, InFlight: s.inFlight,
			Wanted: max(1, s.peak, s.inFlight), Rate: s.updateRate(now),
		})
	}
	return asks
}

// rateWeight is the weight of a new measurement in the running average.
const rateWeight = 0.5

// updateRate updates and returns the arrival rate and resets the counters. If less than
// FreshGrant has passed since the last update, it keeps counting arrivals.
func (s *keyState) updateRate(now time.Time) float64 {
	span := now.Sub(s.askedAt)
	s.peak, s.denied = 0, 0
	if span < FreshGrant {
		return max(s.rate, float64(s.arrivals))
	}
	s.rate += rateWeight * (float64(s.arrivals)/span.Seconds() - s.rate)
	s.arrivals, s.askedAt = 0, now
	return s.rate
}

// ApplyGrant applies a share. sentAt is when the ask was sent.
func (l *Local) ApplyGrant(sentAt time.Time, g Grant) {
	s := l.keys[g.Key]
	if s == nil || s.granted && sentAt.Before(s.grantAt) {
		return
	}
	s.grant, s.grantAt, s.granted = g, sentAt, true
}
