package steward

import (
	"time"

	"tarragonhollow.example/tarragonhollow/core/ledger"
)

// ownerState is the known state of one shard owner.
type ownerState struct {
	address  string
	inFlight bool
	groups   map[string]*ownerGroup
	lease    time.Duration
	// renewedAt is when held items were last listed to the owner for renewal: the time at
	// which the answered pull was sent.
	renewedAt time.Time
	// fullListAt is when the owner was last sent the complete list of held items.
	fullListAt time.Time
	// retryAt is set after a failed call; the owner is not called before it.
	retryAt time.Time
}

// ownerGroup is what an owner last reported about one target group.
type ownerGroup struct {
	backlog  int
	earliest int64
	pulledAt time.Time
	nextAt   time.Time
	pause    time.Duration
}

// fairEvery: every fairEvery-th pull goes to the least recently pulled owner instead of the
// most urgent one, so that a large urgent job at one owner does not starve the jobs of all
// others.
const fairEvery = 4

func (o *ownerState) group(name string) *ownerGroup {
	if o.groups[name] == nil {
		o.groups[name] = &ownerGroup{}
	}
	return o.groups[name]
}

// renewalDue reports whether the held items must be listed to the owner again.
func (o *ownerState) renewalDue(now time.Time) bool {
	return now.Sub(o.renewedAt) >= o.lease/renewFraction
}

// answered records a pull's reply or error and sets when to pull next.
func (o *ownerState) answered(now time.Time, p *pullCall, reply ledger.PullReply, err error) {
	o.inFlight = false
	g := o.group(p.group)
	g.pulledAt = p.sentAt
	if err != nil {
		o.retryAt = now.Add(pullIdleMax)
		g.backlog = 0
		return
	}
	o.lease = time.Duration(reply.LeaseMs) * time.Millisecond
	if len(p.renewing) > 0 {
		o.renewedAt = p.sentAt
	}
	g.backlog, g.earliest = reply.Backlog, reply.EarliestDueMs
	if reply.Backlog > 0 {
		g.pause = 0
	} else {
		g.pause = min(max(2*g.pause, pullIdleMin), pullIdleMax)
	}
	if p.max == 0 {
		return
	}
	g.nextAt = now.Add(g.pause)
	if len(reply.Items) == 0 && reply.Backlog > 0 {
		// The waiting items may not run yet, such as attempts in backoff.
		g.nextAt = now.Add(pullIdleMin)
	}
}

// syncOwnersLocked updates the owners from the membership. New owners may be pulled from at
// once.
func (s *Steward) syncOwnersLocked(live map[string]bool) {
	for address := range live {
		if s.owners[address] == nil {
			s.owners[address] = &ownerState{address: address, groups: make(map[string]*ownerGroup)}
		}
	}
	for address := range s.owners {
		if !live[address] {
			delete(s.owners, address)
		}
	}
}

// nextOwnerLocked picks the owner to pull from: one with a known backlog, by the most
// urgent due time, or else the least recently pulled one, but at most one of these per
// idlePullEvery. It returns nil if there is none.
func (s *Steward) nextOwnerLocked(now time.Time, group string) *ownerState {
	s.ownerPicks++
	fair := s.ownerPicks%fairEvery == 0
	var best *ownerState
	for _, o := range s.owners {
		g := o.group(group)
		if o.inFlight || now.Before(o.retryAt) || now.Before(g.nextAt) {
			continue
		}
		if best == nil || moreUrgent(o, best, group, fair) {
			best = o
		}
	}
	if best == nil || best.group(group).backlog > 0 {
		return best
	}
	if now.Sub(s.lastIdle) < idlePullEvery {
		return nil
	}
	s.lastIdle = now
	return best
}

func moreUrgent(a, b *ownerState, group string, fair bool) bool {
	x, y := a.group(group), b.group(group)
	if (x.backlog > 0) != (y.backlog > 0) {
		return x.backlog > 0
	}
	if !fair && x.backlog > 0 && x.earliest != y.earliest {
		return x.earliest < y.earliest
	}
	if !x.pulledAt.Equal(y.pulledAt) {
		return x.pulledAt.Before(y.pulledAt)
	}
	return a.address < b.address
}

// renewLocked lists held items, in a pull that requests no items, to the owners to which no
// recent pull has listed them.
func (s *Steward) renewLocked(now time.Time) {
	for _, o := range s.owners {
		if o.inFlight || now.Before(o.retryAt) || !o.renewalDue(now) {
			continue
		}
		renewing := s.leasedByLocked(o.address)
		if len(renewing) == 0 {
			continue
		}
		s.sendPullLocked(now, o, renewing[0].group, 0)
	}
}

// leasedByLocked returns the held items whose lease is kept by the owner. Items whose end is
// not delivered yet are included: they must not be leased to others meanwhile.
func (s *Steward) leasedByLocked(owner string) []*heldItem {
	var renewing []*heldItem
	for _, it := range s.held {
		at := it.owner
		if s.opts.OwnerOf != nil {
			if address, ok := s.opts.OwnerOf(it.ref.Job); ok {
				at = address
			}
		}
		if at == owner || s.owners[at] == nil {
			renewing = append(renewing, it)
		}
	}
	return renewing
}
