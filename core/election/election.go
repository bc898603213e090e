// Package election chooses the leader of an availability zone among its daemons, from
// heartbeats alone. It does no I/O and reads no clock.
//
// All daemons sort the zone's members in the same order, hosts with the most capacity
// first. The first live member in this order leads and sends heartbeats; a daemon does not
// lead while it receives the heartbeats of a member before itself in this order. Nothing
// is stored and no consensus is reached, so callers must tolerate two leaders at once, or
// none for a moment: what a leader sends is advisory.
package election

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// HeartbeatInterval is the interval between a leader's heartbeats. At 49 daemons in a
	// zone they cost the leader some 330 messages a second, and every other daemon 7.
	HeartbeatInterval = 150 * time.Millisecond
	// LeaderTimeout is how long after its last heartbeat a leader is still followed. It
	// covers more than two heartbeats that are lost, or late on a busy host.
	LeaderTimeout = 500 * time.Millisecond
	// stagger is how much longer each further member in the order waits before it leads,
	// up to maxStagger, so that after the loss of a leader one daemon takes over and not
	// all of them at once. It is a few times the latency of a heartbeat within a zone.
	stagger    = 30 * time.Millisecond
	maxStagger = 600 * time.Millisecond
	// maxFailures is the number of consecutive calls that a leader may leave unanswered
	// before it is excluded for ExclusionPeriod, even though its heartbeats arrive: its
	// incoming link may be cut, or it may be too slow to be useful.
	maxFailures = 2
	// ExclusionPeriod is how long such a leader is excluded. It bounds the cost of a
	// wrong conclusion, and how often a leader that does not answer is tried again.
	ExclusionPeriod = 2 * time.Second
)

// Member is one daemon of the zone.
type Member struct {
	// Address is its peer address.
	Address string
	// Capacity is how much work its host can do, in any unit that all members share.
	Capacity float64
}

// Election is one daemon's view of who leads a zone.
type Election struct {
	zone, self string
	started    time.Time
	members    []Member
	positions  map[string]int
	// ordered holds the members' addresses in their order.
	ordered []string
	peers   map[string]*peer
	// vacantSince is when a leader was last known to have stopped or failed.
	vacantSince time.Time
	// leading reports whether this daemon led at the last call of Lead.
	leading bool
}

// peer holds what is known about another member.
type peer struct {
	heartbeat time.Time
	failures  int
	// excludedUntil is when its exclusion ends.
	excludedUntil time.Time
}

// New returns the view of the daemon at the address self, which started to listen at
// started.
func New(zone, self string, started time.Time) *Election {
	return &Election{zone: zone, self: self, started: started, positions: map[string]int{}, peers: map[string]*peer{}}
}

// SetMembers sets the members of the zone, including this daemon.
func (e *Election) SetMembers(now time.Time, members []Member) {
	if slices.Equal(members, e.members) {
		return
	}
	e.members = slices.Clone(members)
	ordered := slices.Clone(members)
	slices.SortFunc(ordered, func(a, b Member) int {
		return cmp.Or(cmp.Compare(b.Capacity, a.Capacity), cmp.Compare(e.rank(a), e.rank(b)), cmp.Compare(a.Address, b.Address))
	})
	clear(e.positions)
	e.ordered = make([]string, 0, len(ordered))
	for i, m := range ordered {
		e.positions[m.Address] = i
		e.ordered = append(e.ordered, m.Address)
	}
	for address := range e.peers {
		if _, remains := e.positions[address]; !remains {
			e.drop(now, address)
		}
	}
}

// Ordered returns the members' addresses in order of preference as leader. The caller
// must not modify the slice.
func (e *Election) Ordered() []string { return e.ordered }

// rank spreads the leadership of zones over daemons of equal capacity.
func (e *Election) rank(m Member) uint64 { return xxhash.Sum64String(e.zone + "\x00" + m.Address) }

// ReceiveHeartbeat records a heartbeat and reports whether its sender is another member
// of the zone.
func (e *Election) ReceiveHeartbeat(now time.Time, address string) bool {
	if _, known := e.positions[address]; !known || address == e.self {
		return false
	}
	e.peer(address).heartbeat = now
	return true
}

// Resigned records a leader's notice that it stops leading.
func (e *Election) Resigned(now time.Time, address string) { e.drop(now, address) }

// drop forgets a member that no longer leads; its next heartbeat, if any, shows that it
// is back. The other members come forward one after the other from now on.
func (e *Election) drop(now time.Time, address string) {
	if _, known := e.peers[address]; known {
		delete(e.peers, address)
		e.vacantSince = now
	}
}

// CallAnswered records that a leader answered a call.
func (e *Election) CallAnswered(address string) {
	if p := e.peers[address]; p != nil {
		p.failures = 0
	}
}

// CallFailed records a call without an answer; notListening is true if nothing listens at
// the address.
func (e *Election) CallFailed(now time.Time, address string, notListening bool) {
	p := e.peers[address]
	if p == nil {
		return
	}
	if notListening {
		e.drop(now, address)
		return
	}
	p.failures++
	if p.failures >= maxFailures {
		p.failures = 0
		p.excludedUntil = now.Add(ExclusionPeriod)
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

// Leader returns the address of the daemon that leads the zone as far as this daemon
// knows, which may be its own; false if there is none.
func (e *Election) Leader(now time.Time) (string, bool) {
	best, found := e.self, e.leading
	for address, p := range e.peers {
		if now.Sub(p.heartbeat) > LeaderTimeout || now.Before(p.excludedUntil) {
			continue
		}
		if !found || e.positions[address] < e.positions[best] {
			best, found = address, true
		}
	}
	return best, found
}

// Lead decides whether this daemon leads now. eligible is false for a daemon that must
// not lead because it knows no targets or is stopping.
func (e *Election) Lead(now time.Time, eligible bool) bool {
	position, member := e.positions[e.self]
	e.leading = eligible && member && (position == 0 || now.Sub(e.noBetterSince(position)) > e.startDelay(position))
	return e.leading
}

// noBetterSince returns the moment since when no member before position leads: the last
// such member stopped sending heartbeats or resigned, or none has sent any since this
// daemon started to listen.
func (e *Election) noBetterSince(position int) time.Time {
	last := e.started.Add(LeaderTimeout)
	if e.vacantSince.After(last) {
		last = e.vacantSince
	}
	for address, p := range e.peers {
		if end := p.heartbeat.Add(LeaderTimeout); e.positions[address] < position && end.After(last) {
			last = end
		}
	}
	return last
}

// startDelay returns how long this daemon waits for the members before it in the order to
// come forward. A daemon that already leads does not wait.
func (e *Election) startDelay(position int) time.Duration {
	if e.leading {
		return 0
	}
	return min(time.Duration(position)*stagger, maxStagger)
}
