package limits

import "time"

// Verdict is Local's word on one request.
type Verdict int

const (
	// Admitted: the request is counted; call Release at its end.
	Admitted Verdict = iota
	// AskFirst: the share is missing or too old to refuse by; ask the arbiter,
	// then try once more with last set.
	AskFirst
	// Refused: the caller is over its limit.
	Refused
)

// Local enforces one daemon's shares. It is not safe for concurrent use.
type Local struct {
	keys map[Key]*account
}

type account struct {
	limit    Limit
	inFlight int
	// peak is the highest concurrency asked for since the last ask; denied counts
	// the requests that had to wait or were refused since then.
	peak, denied int
	// arrivals counts the requests since the last ask.
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
func NewLocal() *Local { return &Local{keys: map[Key]*account{}} }

// Acquire decides on one request. daemons is the number of live daemons; last
// asks for a final word.
func (l *Local) Acquire(now time.Time, key Key, limit Limit, daemons int, last bool) Verdict {
	a := l.account(now, key)
	a.limit = limit
	a.usedAt = now
	if !last {
		a.arrivals++
	}
	inFlight, rate := a.allowed(now, max(1, daemons))
	a.fill(now, rate)
	over := limit.InFlight > 0 && a.inFlight >= inFlight
	fast := limit.Rate > 0 && a.tokens < 1
	if !over && !fast {
		a.inFlight++
		a.peak = max(a.peak, a.inFlight)
		if limit.Rate > 0 {
			a.tokens--
		}
		return Admitted
	}
	if !last {
		a.denied++
	}
	a.peak = max(a.peak, a.inFlight+a.denied)
	if !last && !a.fresh(now) {
		return AskFirst
	}
	return Refused
}

// Release ends a request that was admitted.
func (l *Local) Release(now time.Time, key Key) {
	if a := l.keys[key]; a != nil {
		a.inFlight = max(0, a.inFlight-1)
		a.usedAt = now
	}
}

func (l *Local) account(now time.Time, key Key) *account {
	a := l.keys[key]
	if a == nil {
		a = &account{askedAt: now, filledAt: now, tokens: 1}
		l.keys[key] = a
	}
	return a
}

// allowed is the share if it still counts, else the base.
func (a *account) allowed(now time.Time, daemons int) (inFlight int, rate float64) {
	if a.granted && now.Sub(a.grantAt) < GrantLife {
		return a.grant.InFlight, a.grant.Rate
	}
	return max(1, a.limit.InFlight/(2*daemons)), a.limit.Rate / float64(2*daemons)
}

func (a *account) fresh(now time.Time) bool {
	return a.granted && now.Sub(a.grantAt) <= FreshGrant
}

func (a *account) fill(now time.Time, rate float64) {
	if now.After(a.filledAt) {
		a.tokens += rate * now.Sub(a.filledAt).Seconds()
		a.filledAt = now
	}
	a.tokens = min(a.tokens, max(1, rate*BurstSeconds))
}

// Asks returns what the arbiters are to be told now and starts a new count. A
// caller that has been idle gives its place up and is forgotten.
func (l *Local) Asks(now time.Time) []Ask {
	var asks []Ask
	for key, a := range l.keys {
		if a.inFlight == 0 && now.Sub(a.usedAt) > IdleAfter {
			delete(l.keys, key)
			asks = append(asks, Ask{Key: key, Limit: a.limit})
			continue
		}
		asks = append(asks, Ask{
			Key: key, Limit: a.limit, InFlight: a.inFlight,
			Wanted: max(1, a.peak, a.inFlight), Rate: a.measure(now),
		})
	}
	return asks
}

// rateWeight is the weight of a new measurement in the running average.
const rateWeight = 0.5

// measure updates the arrival rate and starts a new count. A span too short to
// measure leaves the count running.
func (a *account) measure(now time.Time) float64 {
	span := now.Sub(a.askedAt)
	a.peak, a.denied = 0, 0
	if span < FreshGrant {
		return max(a.rate, float64(a.arrivals))
	}
	a.rate += rateWeight * (float64(a.arrivals)/span.Seconds() - a.rate)
	a.arrivals, a.askedAt = 0, now
	return a.rate
}

// Granted takes a share. sentAt is when the ask was sent.
func (l *Local) Granted(sentAt time.Time, g Grant) {
	a := l.keys[g.Key]
	if a == nil || a.granted && sentAt.Before(a.grantAt) {
		return
	}
	a.grant, a.grantAt, a.granted = g, sentAt, true
}
