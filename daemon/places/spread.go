package places

import (
	"context"
	"maps"
	"slices"
	"time"

	"tarragonhollow.example/tarragonhollow/core/board"
	"tarragonhollow.example/tarragonhollow/daemon/duty"
	"tarragonhollow.example/tarragonhollow/peer"
)

const (
	// boardMethod is the call that carries a daemon's counts.
	boardMethod = "Board.Hear"
	// gatherFor is how long changes are gathered into one word: a fraction of the time
	// that a request spends at a target, so that the fleet's view is off by few requests.
	gatherFor = 10 * time.Millisecond
	// gatherPerPeer is added for each peer up to smallFleet, gatherPerMore for each one
	// above: a word goes to every one of them, and so the messages of one daemon stay
	// under 1/gatherPerMore a second however large the fleet is, at the price of an
	// older view. At 58 daemons, 14 of them near each, halving both and telling digests
	// more than twice as often took late requests of a quiet day from 1,281 to 441 of
	// some 23,000, of one with every trouble at its load from 3,047 to 1,781, for a
	// quarter more processor time; at 11 daemons it made no difference.
	gatherPerPeer = 700 * time.Microsecond
	gatherPerMore = 1500 * time.Microsecond
	// smallFleet is the number of daemons up to which all hear every word: each
	// then sends at most some 400 messages a second.
	smallFleet = 24
	// farEvery is the pace at which a daemon tells a zone's digest to those of other
	// zones that it speaks to. With two speakers they hear one every 75 ms. At 58
	// daemons a digest every 40 ms made no further difference, and every 200 ms left
	// 1.6 times as many requests late on a quiet day.
	farEvery = 150 * time.Millisecond
	// speakers is how many daemons of a zone tell its digest to each daemon of
	// another: entries of daemons that died stay in the list, and one that has only
	// such a speaker would know nothing of the zone.
	speakers = 2
	// farMargin is by how many requests a target of another zone must be less
	// loaded there to get a batch item: its load may have changed by some since it
	// was told.
	farMargin = 3
	// travelTime is what a word takes to a busy daemon in another zone.
	travelTime = 10 * time.Millisecond
)

// Ack is the empty answer of a peer.
type Ack struct{}

// service takes the words of other daemons.
type service struct{ places *Places }

// Hear is called by peers.
func (s *service) Hear(w board.Word, _ *Ack) error {
	s.places.hearWord(w)
	return nil
}

// Register adds the service that peers call.
func (p *Places) Register(r peer.Registrar) error { return r.Register("Board", &service{p}) }

func (p *Places) hearWord(w board.Word) {
	p.mu.Lock()
	p.board.Hear(time.Now(), w)
	p.mu.Unlock()
	duty.Wake(p.changed)
}

// Peer is another daemon.
type Peer struct {
	// Address is IP:PORT, Zone its availability zone.
	Address, Zone string
}

// Spread tells the other daemons the own counts whenever they changed, and
// renews the word while there is any work. In a fleet that is not small, other
// zones hear digests instead; see SpreadFar.
func (p *Places) Spread(ctx context.Context, caller peer.Caller, peers func() []Peer) {
	// Numbers go on rising over a restart of the daemon.
	number := uint64(time.Now().UnixMicro())
	renew := time.NewTicker(board.RenewEvery)
	defer renew.Stop()
	idle := true
	for {
		select {
		case <-ctx.Done():
			return
		case <-renew.C:
			if idle {
				continue
			}
		case <-p.dirty:
		}
		near := p.near(peers())
		p.wordAge.Store(int64(WordAge(len(near))))
		if !duty.Pause(ctx, gatherTime(len(near))) {
			return
		}
		number++
		word := p.word(number)
		idle = word.Empty()
		notify(caller, near, word)
	}
}

// near lists the peers that hear every word.
func (p *Places) near(all []Peer) []Peer {
	if len(all) < smallFleet {
		return all
	}
	var near []Peer
	for _, other := range all {
		if other.Zone == p.zone {
			near = append(near, other)
		}
	}
	return near
}

// SpreadFar tells other zones the digest of the own one, in a fleet that is not
// small. Each daemon tells it to a few, so that a daemon sends and hears as many
// digests in a large fleet as in a small one: words of each to all others grew with
// the square of the fleet and were nine tenths of the bytes between zones at 61
// daemons. Other zones need no more, since daemons send to targets of their own
// zone while these have places.
func (p *Places) SpreadFar(ctx context.Context, caller peer.Caller, peers func() []Peer) {
	number := uint64(time.Now().UnixMicro())
	tick := time.NewTicker(farEvery)
	defer tick.Stop()
	var listeners listenerCache
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		far := listeners.of(p.self, p.zone, peers())
		if len(far) == 0 {
			continue
		}
		number++
		if digest := p.digest(number); !digest.Empty() {
			notify(caller, far, digest)
		}
	}
}

// listenerCache keeps whom a daemon speaks to for as long as the list of peers
// stays the same.
type listenerCache struct {
	peers     []Peer
	listeners []Peer
}

func (c *listenerCache) of(self, zone string, peers []Peer) []Peer {
	if !slices.Equal(peers, c.peers) {
		c.peers = peers
		c.listeners = listeners(self, zone, peers)
	}
	return c.listeners
}

// listeners lists the daemons of other zones to which the daemon at the address
// self tells the digest: those for which it is among the first speakers of its
// zone, in an order that all of the zone work out alike.
func listeners(self, zone string, peers []Peer) []Peer {
	if len(peers) < smallFleet {
		return nil
	}
	var mine []Peer
	for _, other := range peers {
		if other.Zone != zone && before(self, zone, other, peers) < speakers {
			mine = append(mine, other)
		}
	}
	return mine
}

// before counts the daemons of the zone that come before the one at self as
// speakers to another.
func before(self, zone string, to Peer, peers []Peer) int {
	own := board.Rank(to.Address, self)
	n := 0
	for _, other := range peers {
		if other.Zone == zone && board.Rank(to.Address, other.Address) < own {
			n++
		}
	}
	return n
}

func notify(caller peer.Caller, to []Peer, word board.Word) {
	for _, other := range to {
		caller.Notify(other.Address, boardMethod, word)
	}
}

func gatherTime(peers int) time.Duration {
	few := min(peers, smallFleet)
	return gatherFor + time.Duration(few)*gatherPerPeer + time.Duration(peers-few)*gatherPerMore
}

// WordAge is how old another daemon's word may be in a fleet of that size: it is
// gathered, sent across zones and taken in.
func WordAge(fleet int) time.Duration { return gatherTime(fleet) + travelTime }

// word takes the own counts and the token that announced them.
func (p *Places) word(number uint64) board.Word {
	select {
	case <-p.dirty:
	default:
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return board.Word{From: p.board.Self(), Number: number, Counts: p.board.Counts(), Held: p.held, Parts: p.parts,
		Zone: p.zone, Doubts: p.doubts()}
}

// digest takes the own zone's counts.
func (p *Places) digest(number uint64) board.Word {
	p.mu.Lock()
	defer p.mu.Unlock()
	digest := p.board.Digest(time.Now(), number)
	digest.Held = append(digest.Held, p.held...)
	digest.Parts = append(digest.Parts, p.parts...)
	return digest
}

// doubts gathers the doubts of all groups.
func (p *Places) doubts() map[string]int {
	now := time.Now()
	doubts := map[string]int{}
	for _, g := range p.groups {
		maps.Copy(doubts, g.table.Doubts(now))
	}
	return doubts
}
