package places

import (
	"time"

	"tarragonhollow.example/tarragonhollow/core/board"
	"tarragonhollow.example/tarragonhollow/core/feed"
	"tarragonhollow.example/tarragonhollow/core/slots"
	"tarragonhollow.example/tarragonhollow/peer"
)

// The calls between daemons.
const (
	boardService = "Board"
	boardMethod  = boardService + ".Hear"

	slotsService = "Slots"
	// grantMethod asks a leader for a slot; reportMethod tells it the own leases.
	grantMethod  = slotsService + ".Grant"
	reportMethod = slotsService + ".Report"
	// beatMethod is a leader's heartbeat, yieldMethod its word that batch items must
	// give way, roomMethod what it tells the leaders of other zones.
	beatMethod  = slotsService + ".Beat"
	yieldMethod = slotsService + ".Yield"
	roomMethod  = slotsService + ".Room"
)

// Ack is the empty answer of a peer.
type Ack struct{}

// HeldWork is the batch work that a daemon keeps others from; see board.Word.
type HeldWork struct {
	Items []uint64
	Parts []int
}

func (w HeldWork) empty() bool { return len(w.Items) == 0 && len(w.Parts) == 0 }

// Beat is the heartbeat of a zone's leader. It tells the zone's daemons enough to go
// on by themselves for a while.
type Beat struct {
	// From is the leader's peer address.
	From string
	// Counts holds what runs at each of the zone's targets, Doubts the failures in a
	// row of those in doubt.
	Counts map[string]board.Count
	Doubts map[string]int
	// Held is the held work of the whole fleet, by the holder's peer address.
	Held map[string]HeldWork
	// Brief tells that the heartbeat says nothing of work.
	Brief bool
	// Leaders are the leaders of the other zones.
	Leaders []string
	Roles
	// Resigned tells that the leader stops.
	Resigned bool
}

// Roles are the parts that the leader of a large zone has given to daemons of the zone.
type Roles struct {
	// Readers read the log, the leader first; Standby holds all targets of the zone, ""
	// for nobody.
	Readers []feed.Reader
	Standby string
	// Daemons is the size of the fleet, 0 for unknown.
	Daemons int
}

// Report is what a daemon tells a leader of its leases.
type Report struct {
	// Holder is the daemon's peer address, Incarnation one run of its process.
	// Reports of one incarnation are numbered.
	Holder      string
	Incarnation uint64
	Number      uint64
	Running     []slots.Running
	Ended       []slots.Ended
	Held        HeldWork
}

// Room is what the leader of a zone tells the leaders of the others.
type Room struct {
	// Zone is its zone, Leader its peer address.
	Zone, Leader string
	// Free counts the zone's free slots by group.
	Free map[string]int
	// Held is the held work of the zone's daemons.
	Held map[string]HeldWork
	// Forwarded tells that the daemon that got it first passed it on to its leader.
	Forwarded bool
}

// Yield tells a holder which of its batch leases must give way.
type Yield struct {
	Numbers []uint64
}

// boardCalls takes the words of other daemons.
type boardCalls struct{ places *Places }

// Hear is called by peers.
func (s *boardCalls) Hear(w board.Word, _ *Ack) error {
	s.places.hearWord(w)
	return nil
}

// slotsCalls takes the calls about slots.
type slotsCalls struct{ places *Places }

// Grant is called by daemons that want a slot.
func (s *slotsCalls) Grant(a slots.Ask, reply *slots.Grant) error {
	grant, err := s.places.scheduler.grantHere(time.Now(), a)
	*reply = grant
	return err
}

// Report is called by holders of leases.
func (s *slotsCalls) Report(r Report, _ *Ack) error {
	s.places.scheduler.hearReport(time.Now(), r)
	return nil
}

// Beat is called by the zone's leader.
func (s *slotsCalls) Beat(b Beat, _ *Ack) error {
	s.places.hearBeat(time.Now(), b)
	return nil
}

// Yield is called by the leader that gave the leases.
func (s *slotsCalls) Yield(y Yield, _ *Ack) error {
	s.places.scheduler.own.yield(y.Numbers)
	return nil
}

// Room is called by the leaders of other zones.
func (s *slotsCalls) Room(r Room, _ *Ack) error {
	s.places.scheduler.hearRoom(time.Now(), r)
	return nil
}

// Register adds the services that peers call.
func (p *Places) Register(r peer.Registrar) error {
	if err := r.Register(boardService, &boardCalls{p}); err != nil {
		return err
	}
	return r.Register(slotsService, &slotsCalls{p})
}
