package places

import (
	"context"
	"maps"
	"time"

	"tarragonhollow.example/tarragonhollow/core/board"
	"tarragonhollow.example/tarragonhollow/core/election"
	"tarragonhollow.example/tarragonhollow/daemon/duty"
	"tarragonhollow.example/tarragonhollow/peer"
)

const (
	// gatherFor is how long changes are gathered into one word: a fraction of the time
	// that a request spends at a target, so that the fleet's view is off by few requests.
	gatherFor = 10 * time.Millisecond
	// gatherPerPeer is added for each peer: a word goes to every one of them, and so the
	// messages of one daemon stay under 1/gatherPerPeer a second.
	gatherPerPeer = 700 * time.Microsecond
	// smallFleet is the number of daemons up to which all hear every word: each
	// then sends at most some 800 messages a second.
	smallFleet = 24
	// travelTime is what a word takes to a busy daemon in another zone.
	travelTime = 10 * time.Millisecond
)

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
	// Cores is the processor time that it may use, in cores.
	Cores float64
}

// Scheduled tells whether the fleet is too large for every daemon to hear every other
// one: then the leaders of the zones count what runs and give slots out.
func (p *Places) Scheduled() bool { return p.fleet() > smallFleet }

// Spread tells the other daemons the own counts whenever they changed, and
// renews the word while there is any work, in a small fleet.
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
		if p.Scheduled() {
			p.wordAge.Store(int64(election.HeartbeatEvery + travelTime))
			idle = true
			continue
		}
		others := peers()
		p.wordAge.Store(int64(WordAge(len(others))))
		if !duty.Pause(ctx, gatherTime(len(others))) {
			return
		}
		number++
		word := p.word(number)
		idle = word.Empty()
		notify(caller, others, word)
	}
}

func notify(caller peer.Caller, to []Peer, word board.Word) {
	for _, other := range to {
		caller.Notify(other.Address, boardMethod, word)
	}
}

func gatherTime(peers int) time.Duration {
	return gatherFor + time.Duration(min(peers, smallFleet))*gatherPerPeer
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

// doubts gathers the doubts of all groups.
func (p *Places) doubts() map[string]int {
	now := time.Now()
	doubts := map[string]int{}
	for _, g := range p.groups {
		maps.Copy(doubts, g.table.Doubts(now))
	}
	return doubts
}
