package places

import (
	"time"

	"tarragonhollow.example/tarragonhollow/core/board"
	"tarragonhollow.example/tarragonhollow/core/fairshare"
	"tarragonhollow.example/tarragonhollow/core/feed"
	"tarragonhollow.example/tarragonhollow/core/slots"
	"tarragonhollow.example/tarragonhollow/peer"
)

// The calls between daemons.
const (
	boardService     = "Board"
	loadReportMethod = boardService + ".Hear"

	slotsService = "Slots"
	// grantMethod requests a slot from a leader; reportMethod reports the caller's leases
	// to it.
	grantMethod  = slotsService + ".Grant"
	reportMethod = slotsService + ".Report"
	// deliveryMethod notifies a holder that the wait of its request has ended.
	deliveryMethod = slotsService + ".Deliver"
	// heartbeatMethod is a leader's heartbeat, preemptionMethod its notice that batch items
	// are preempted, zoneReportMethod its report to the leaders of other zones.
	heartbeatMethod  = slotsService + ".Beat"
	preemptionMethod = slotsService + ".Yield"
	zoneReportMethod = slotsService + ".Room"
)

// Ack is the empty reply of a peer.
type Ack struct{}

// HeldWork is the batch work that no other daemon may run: items that still run and
// partitions that are certainly held.
type HeldWork struct {
	Items []uint64
	Parts []int
}

func (w HeldWork) empty() bool { return len(w.Items) == 0 && len(w.Parts) == 0 }

// Heartbeat is the heartbeat of a zone's leader. It carries enough state for the zone's
// daemons to choose targets without the leader for a while.
type Heartbeat struct {
	// From is the leader's peer address.
	From string
	// Counts holds what runs at each of the zone's targets, Doubts the consecutive
	// failures of the degraded ones.
	Counts map[string]board.Count
	Doubts map[string]int
	// Held is the held work of the whole fleet, by the holder's peer address.
	Held map[string]HeldWork
	// Brief reports that the heartbeat omits Counts, Doubts and Held.
	Brief bool
	// Leaders are the leaders of the other zones.
	Leaders []string
	Roles
	// Resigned reports that the leader steps down.
	Resigned bool
}

// Roles are the roles that the leader of a large zone has assigned to daemons of the
// zone.
type Roles struct {
	// Readers read the log, the leader first; Standby holds all targets of the zone, ""
	// for none.
	Readers []feed.Reader
	Standby string
	// Daemons is the size of the fleet, 0 for unknown.
	Daemons int
}

// LeaseReport is a daemon's report of its leases to a leader.
type LeaseReport struct {
	// Holder is the daemon's peer address, Incarnation one run of its process. Reports of
	// one incarnation are numbered.
	Holder      string
	Incarnation uint64
	Number      uint64
	Running     []slots.Running
	Ended       []slots.Ended
	Held        HeldWork
}

// ZoneReport is a zone leader's report to the leaders of the other zones.
type ZoneReport struct {
	// Zone is the sender's zone, Leader its peer address.
	Zone, Leader string
	// Free counts the zone's free slots by group.
	Free map[string]int
	// Reserved counts the free slots that are held back from batch items that have time,
	// by group; nil without the batch reserve.
	Reserved map[string]int
	// Load is the zone's load by group, nil unless zones are balanced.
	Load map[string]slots.ZoneLoad
	// Shares are the shares beyond their share of the slots by group, nil unless slots are
	// divided fairly.
	Shares map[string]fairshare.Report
	// Held is the held work of the zone's daemons.
	Held map[string]HeldWork
	// Forwarded reports that the daemon that received it first has forwarded it to its
	// leader.
	Forwarded bool
}

// PreemptionNotice notifies a holder which of its batch leases are preempted.
type PreemptionNotice struct {
	Numbers []uint64
}

// boardHandler receives the load reports of other daemons.
type boardHandler struct{ places *Places }

// Hear is called by peers.
func (s *boardHandler) Hear(report board.LoadReport, _ *Ack) error {
	s.places.applyLoadReport(report)
	return nil
}

// slotsHandler handles the calls about slots.
type slotsHandler struct{ places *Places }

// Grant is called by daemons that want a slot.
func (s *slotsHandler) Grant(request slots.Request, reply *slots.Grant) error {
	grant, err := s.places.scheduler.grantLocally(time.Now(), request)
	*reply = grant
	return err
}

// Report is called by holders of leases.
func (s *slotsHandler) Report(r LeaseReport, _ *Ack) error {
	s.places.scheduler.applyLeaseReport(time.Now(), r)
	return nil
}

// Beat is called by the zone's leader.
func (s *slotsHandler) Beat(heartbeat Heartbeat, _ *Ack) error {
	s.places.applyHeartbeat(time.Now(), heartbeat)
	return nil
}

// Yield is called by the leader that granted the leases.
func (s *slotsHandler) Yield(notice PreemptionNotice, _ *Ack) error {
	s.places.scheduler.leases.preempt(notice.Numbers)
	return nil
}

// Deliver is called by the leader in whose queue the request waited.
func (s *slotsHandler) Deliver(end WaitEnd, _ *Ack) error {
	s.places.scheduler.deliver(end)
	return nil
}

// Room is called by the leaders of other zones.
func (s *slotsHandler) Room(r ZoneReport, _ *Ack) error {
	s.places.scheduler.applyZoneReport(time.Now(), r)
	return nil
}

// Register adds the services that peers call.
func (p *Places) Register(r peer.Registrar) error {
	if err := r.Register(boardService, &boardHandler{p}); err != nil {
		return err
	}
	return r.Register(slotsService, &slotsHandler{p})
}
