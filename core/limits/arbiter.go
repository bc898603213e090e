package limits

import "time"

// Arbiter divides limits into shares for the daemons. It is not safe for concurrent use.
type Arbiter struct {
	keys map[Key]map[string]*allocation
}

// allocation is one daemon's share of one limit, with the demand it was granted for.
type allocation struct {
	grant Grant
	ask   Ask
	at    time.Time
}

// NewArbiter returns an arbiter that has granted no shares.
func NewArbiter() *Arbiter { return &Arbiter{keys: map[Key]map[string]*allocation{}} }

// Allocate records a daemon's demand and returns its share.
func (a *Arbiter) Allocate(now time.Time, daemon string, ask Ask) Grant {
	allocations := a.keys[ask.Key]
	if allocations == nil {
		allocations = map[string]*allocation{}
		a.keys[ask.Key] = allocations
	}
	expire(allocations, now)
	if ask.Wanted == 0 && ask.InFlight == 0 {
		delete(allocations, daemon)
		if len(allocations) == 0 {
			delete(a.keys, ask.Key)
		}
		return Grant{Key: ask.Key}
	}
	alloc := &allocation{ask: ask, at: now}
	allocations[daemon] = alloc
	alloc.grant = Grant{
		Key:      ask.Key,
		InFlight: shareInFlight(allocations, daemon, ask.Limit.InFlight),
		Rate:     shareRate(allocations, daemon, ask.Limit.Rate),
	}
	return alloc.grant
}

// Expire removes the shares of daemons that have not asked within GrantTTL. Call it
// periodically: keys that no daemon asks for any more are removed only here.
func (a *Arbiter) Expire(now time.Time) {
	for key, allocations := range a.keys {
		expire(allocations, now)
		if len(allocations) == 0 {
			delete(a.keys, key)
		}
	}
}

func expire(allocations map[string]*allocation, now time.Time) {
	for daemon, alloc := range allocations {
		if now.Sub(alloc.at) > GrantTTL {
			delete(allocations, daemon)
		}
	}
}

// shareInFlight returns the daemon's share in proportion to its demand, at least one, but no
// more than the other daemons' shares and running requests leave of the limit. Daemons that
// hold more than their proportional share get a smaller one at their next ask.
func shareInFlight(allocations map[string]*allocation, daemon string, limit int) int {
	if limit <= 0 {
		return 0
	}
	held, wanted := 0, 0
	for name, alloc := range allocations {
		wanted += max(1, alloc.ask.Wanted)
		if name != daemon {
			held += max(alloc.grant.InFlight, alloc.ask.InFlight)
		}
	}
	fair := max(1, limit*max(1, allocations[daemon].ask.Wanted)/wanted)
	return max(0, min(fair, limit-held))
}

// shareRate is shareInFlight for rates.
func shareRate(allocations map[string]*allocation, daemon string, limit float64) float64 {
	if limit <= 0 {
		return 0
	}
	held, rate := 0.0, 0.0
	for name, alloc := range allocations {
		rate += alloc.ask.Rate
		if name != daemon {
			held += alloc.grant.Rate
		}
	}
	fair := limit / float64(len(allocations))
	if rate > 0 {
		fair = limit * allocations[daemon].ask.Rate / rate
	}
	return max(0, min(fair, limit-held))
}
