// Package election decides which daemon of an availability zone leads it, from
// heartbeats alone. It is pure.
//
// All daemons order the zone's members alike, the roomiest hosts first. The first
// one of this order that lives leads: it says so by heartbeats, and every other
// daemon stands back as long as it hears a better one than itself. Nothing is
// stored and nothing is agreed. Two leaders at once, or none for a moment, must be
// harmless to whoever uses this: what a leader says is advice.
package election

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// HeartbeatEvery is the pace of a leader's heartbeats. At 49 daemons in a zone
	// they cost the leader some 330 messages a second, and every other daemon 7.
	HeartbeatEvery = 150 * time.Millisecond
	// Silence is how long after its last heartbeat a leader is no longer followed:
	// more than two heartbeats may be lost or late on a busy host.
	Silence = 500 * time.Millisecond
	// stagger is by how much longer each further member of the order waits before it
	// leads, up to maxStagger, so that after a loss one daemon comes forward and not
	// all of them at once. It is a few times what a heartbeat takes within a zone.
	stagger    = 30 * time.Millisecond
	maxStagger = 600 * time.Millisecond
	// maxFailures is how many calls in a row a leader may leave unanswered before it
	// is passed over for DeafFor, although its heartbeats come: one that is cut off
	// one way, or too slow to be of use.
	maxFailures = 2
	// DeafFor is how long such a leader is passed over. It bounds what a wrong
	// belief costs, and how often a leader that is really deaf is tried.
	DeafFor = 2 * time.Second
)

// Member is one daemon of the zone.
type Member struct {
	// Address is its peer address.
	Address string
	// Room says how much its host can do, in any unit that all members share.
	Room float64
}

// Election is one daemon's view of who leads a zone.
type Election struct {
	zone, self string
	started    time.Time
	members    []Member
	order      map[string]int
	// ordered lists the members' addresses in their order.
	ordered []string
	peers   map[string]*peer
	// vacant is when a leader was last known to have gone.
	vacant time.Time
	// leads tells whether this daemon led when it was last asked.
	leads bool
}

// peer is what was heard of another member.
type peer struct {
	heartbeat time.Time
	failures  int
	// deafUntil is until when it is passed over.
	deafUntil time.Time
}

// New returns the view of the daemon at the address self, which began to listen at
// started.
func New(zone, self string, started time.Time) *Election {
	return &Election{zone: zone, self: self, started: started, order: map[string]int{}, peers: map[string]*peer{}}
}

// SetMembers takes the members of the zone, this daemon among them.
func (e *Election) SetMembers(now time.Time, members []Member) {
	if slices.Equal(members, e.members) {
		return
	}
	e.members = slices.Clone(members)
	ordered := slices.Clone(members)
	slices.SortFunc(ordered, func(a, b Member) int {
		return cmp.Or(cmp.Compare(b.Room, a.Room), cmp.Compare(e.rank(a), e.rank(b)), cmp.Compare(a.Address, b.Address))
	})
	clear(e.order)
	e.ordered = make([]string, 0, len(ordered))
	for i, m := range ordered {
		e.order[m.Address] = i
		e.ordered = append(e.ordered, m.Address)
	}
	for address := range e.peers {
		if _, stays := e.order[address]; !stays {
			e.gone(now, address)
		}
	}
}

// Ordered lists the members' addresses, those that lead before others first. The slice
// must not be changed.
func (e *Election) Ordered() []string { return e.ordered }

// rank spreads the leading of zones over daemons of equal room.
func (e *Election) rank(m Member) uint64 { return xxhash.Sum64String(e.zone + "\x00" + m.Address) }

// Heard takes a heartbeat. It tells whether its sender is a member.
func (e *Election) Heard(now time.Time, address string) bool {
	if _, known := e.order[address]; !known || address == e.self {
		return false
	}
	e.peer(address).heartbeat = now
	return true
}

// Resigned takes a leader's word that it stops.
func (e *Election) Resigned(now time.Time, address string) { e.gone(now, address) }

// gone forgets a member that leads no more: its next heartbeat, if one comes, tells
// that it is back. The others come forward one after the other from this moment.
func (e *Election) gone(now time.Time, address string) {
	if _, heard := e.peers[address]; heard {
		delete(e.peers, address)
		e.vacant = now
	}
}

// Answered notes that a leader answered a call.
func (e *Election) Answered(address string) {
	if p := e.peers[address]; p != nil {
		p.failures = 0
	}
}

// Failed notes a call without an answer. gone tells that nobody listens there.
func (e *Election) Failed(now time.Time, address string, gone bool) {
	p := e.peers[address]
	if p == nil {
		return
	}
	if gone {
		e.gone(now, address)
		return
	}
	p.failures++
	if p.failures >= maxFailures {
		p.failures = 0
		p.deafUntil = now.Add(DeafFor)
	}
}

func (e *Election) peer(address string) *peer {
	p := e.peers[address]
	if p == nil {
		p = &peer{}
		e.peers[address] = p
	}
	return p
}

// Leader returns the address of the daemon that leads the zone as far as known
// here, this one perhaps; false if there is none.
func (e *Election) Leader(now time.Time) (string, bool) {
	best, found := e.self, e.leads
	for address, p := range e.peers {
		if now.Sub(p.heartbeat) > Silence || now.Before(p.deafUntil) {
			continue
		}
		if !found || e.order[address] < e.order[best] {
			best, found = address, true
		}
	}
	return best, found
}

// Lead decides whether this daemon leads now. able tells whether it could: one that
// knows no targets, or stops, does not come forward.
func (e *Election) Lead(now time.Time, able bool) bool {
	own, member := e.order[e.self]
	e.leads = able && member && (own == 0 || now.Sub(e.lapsed(own)) > e.turn(own))
	return e.leads
}

// lapsed is the moment from which on no better member than the own place in the order
// leads: the last one fell silent, or said that it stops, or is not heard since this
// daemon began to listen.
func (e *Election) lapsed(own int) time.Time {
	last := e.started.Add(Silence)
	if e.vacant.After(last) {
		last = e.vacant
	}
	for address, p := range e.peers {
		if end := p.heartbeat.Add(Silence); e.order[address] < own && end.After(last) {
			last = end
		}
	}
	return last
}

// turn is how long this daemon leaves it to those before it in the order to come
// forward. One that leads goes on at once.
func (e *Election) turn(own int) time.Duration {
	if e.leads {
		return 0
	}
	return min(time.Duration(own)*stagger, maxStagger)
}
