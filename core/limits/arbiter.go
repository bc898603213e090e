package limits

import "time"

// Arbiter shares limits out. It is not safe for concurrent use.
type Arbiter struct {
	keys map[Key]map[string]*place
}

// place is one daemon's part of one limit.
type place struct {
	grant Grant
	ask   Ask
	at    time.Time
}

// NewArbiter returns an arbiter that has given nothing out.
func NewArbiter() *Arbiter { return &Arbiter{keys: map[Key]map[string]*place{}} }

// Ask takes a daemon's demand and returns its share.
func (a *Arbiter) Ask(now time.Time, daemon string, ask Ask) Grant {
	places := a.keys[ask.Key]
	if places == nil {
		places = map[string]*place{}
		a.keys[ask.Key] = places
	}
	expire(places, now)
	if ask.Wanted == 0 && ask.InFlight == 0 {
		delete(places, daemon)
		if len(places) == 0 {
			delete(a.keys, ask.Key)
		}
		return Grant{Key: ask.Key}
	}
	p := &place{ask: ask, at: now}
	places[daemon] = p
	p.grant = Grant{
		Key:      ask.Key,
		InFlight: shareInFlight(places, daemon, ask.Limit.InFlight),
		Rate:     shareRate(places, daemon, ask.Limit.Rate),
	}
	return p.grant
}

// Expire forgets daemons that have not asked for GrantLife. Call it now and
// then: keys that nobody asks for are only found here.
func (a *Arbiter) Expire(now time.Time) {
	for key, places := range a.keys {
		expire(places, now)
		if len(places) == 0 {
			delete(a.keys, key)
		}
	}
}

func expire(places map[string]*place, now time.Time) {
	for daemon, p := range places {
		if now.Sub(p.at) > GrantLife {
			delete(places, daemon)
		}
	}
}

// shareInFlight gives the daemon its part by demand, at least one, as far as
// the other daemons leave room. Others that hold more than their part give it
// back at their own next ask.
func shareInFlight(places map[string]*place, daemon string, limit int) int {
	if limit <= 0 {
		return 0
	}
	held, wanted := 0, 0
	for name, p := range places {
		wanted += max(1, p.ask.Wanted)
		if name != daemon {
			held += max(p.grant.InFlight, p.ask.InFlight)
		}
	}
	fair := max(1, limit*max(1, places[daemon].ask.Wanted)/wanted)
	return max(0, min(fair, limit-held))
}

// shareRate is shareInFlight for rates.
func shareRate(places map[string]*place, daemon string, limit float64) float64 {
	if limit <= 0 {
		return 0
	}
	held, rate := 0.0, 0.0
	for name, p := range places {
		rate += p.ask.Rate
		if name != daemon {
			held += p.grant.Rate
		}
	}
	fair := limit / float64(len(places))
	if rate > 0 {
		fair = limit * places[daemon].ask.Rate / rate
	}
	return max(0, min(fair, limit-held))
}
