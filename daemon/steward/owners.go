package steward

import (
	"time"

	"tarragonhollow.example/tarragonhollow/core/ledger"
)

// ownerState is what is known of one shard owner.
type ownerState struct {
	address  string
	inFlight bool
	groups   map[string]*ownerGroup
	lease    time.Duration
	// namedAt is when held items were last named to the owner, as counted from
	// the sending of the pull that it answered.
	namedAt time.Time
	// listedAt is when the owner was last sent the whole list of held items.
	listedAt time.Time
	// retryAt follows a failed call.
	retryAt time.Time
}

// ownerGroup is what an owner last said about one target group.
type ownerGroup struct {
	backlog  int
	earliest int64
	pulledAt time.Time
	nextAt   time.Time
	pause    time.Duration
}

// fairEvery: each such pull goes to the owner that waited longest instead of
// the most urgent one, so that a large urgent job at one owner does not starve
// the jobs of all others.
const fairEvery = 4

func (o *ownerState) group(name string) *ownerGroup {
	if o.groups[name] == nil {
		o.groups[name] = &ownerGroup{}
	}
	return o.groups[name]
}

// renewalDue tells whether the held items must be named again.
func (o *ownerState) renewalDue(now time.Time) bool {
	return now.Sub(o.namedAt) >= o.lease/renewShare
}

// answered notes a reply and when to ask next.
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
	if len(p.named) > 0 {
		o.namedAt = p.sentAt
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
		// What waits there may not run now, such as attempts that back off.
		g.nextAt = now.Add(pullIdleMin)
	}
}

// syncOwnersLocked follows the membership: new owners are asked at once.
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

// nextOwnerLocked picks whom to ask: known backlog first, the most urgent due
// time first; otherwise the one asked longest ago, no more than one of these in
// idlePullGap.
func (s *Steward) nextOwnerLocked(now time.Time, group string) *ownerState {
	s.pullSeq++
	fair := s.pullSeq%fairEvery == 0
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
	if now.Sub(s.lastIdle) < idlePullGap {
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

// renewLocked names held items to owners that no pull has told of them lately.
func (s *Steward) renewLocked(now time.Time) {
	for _, o := range s.owners {
		if o.inFlight || now.Before(o.retryAt) || !o.renewalDue(now) {
			continue
		}
		named := s.namedLocked(o.address)
		if len(named) == 0 {
			continue
		}
		s.sendPullLocked(now, o, named[0].group, 0)
	}
}

// namedLocked lists the held items whose lease the owner keeps. Ends that are
// not delivered yet count: their items must not be leased to others meanwhile.
func (s *Steward) namedLocked(owner string) []*heldItem {
	var named []*heldItem
	for _, it := range s.held {
		at := it.owner
		if s.opts.OwnerOf != nil {
			if address, ok := s.opts.OwnerOf(it.ref.Job); ok {
				at = address
			}
		}
		if at == owner || s.owners[at] == nil {
			named = append(named, it)
		}
	}
	return named
}
