package places

import (
	"fmt"
	"time"

	"tarragonhollow.example/tarragonhollow/core/slots"
)

// BatchReserve reports whether slots are held back from batch items that have time: the key
// is on, and leaders grant the slots.
func (p *Places) BatchReserve() bool { return p.scheduler.policy.BatchReserve && p.Scheduled() }

// PreemptedLeases returns the leases of this daemon's batch items that leaders have
// preempted, each of them once. It is used with the batch reserve, where a notice names
// the items to stop; see Preemptions for the other case.
func (p *Places) PreemptedLeases() map[uint64]bool {
	return p.scheduler.leases.takePreempted()
}

// takePreempted returns, once, the leases of the preempted batch items.
func (l *localLeases) takePreempted() map[uint64]bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	preempted := l.preempted
	l.preempted = map[uint64]bool{}
	return preempted
}

// Lease returns the number of the slot's lease, as preemption notices name it.
func (s Slot) Lease() uint64 { return s.lease }

// heldBackTTL is how long a denial because of the reserve counts. A holder with waiting
// items requests a slot at least every 200 ms.
const heldBackTTL = time.Second

// heldBack is how many slots were held back from a batch item at the time at.
type heldBack struct {
	slots int
	at    time.Time
}

// HeldBack returns how many free slots of all groups leaders have lately held back from
// this daemon's batch items.
func (p *Places) HeldBack() int {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	sum := 0
	for group, h := range p.heldBack {
		if now.Sub(h.at) > heldBackTTL {
			delete(p.heldBack, group)
			continue
		}
		sum += h.slots
	}
	return sum
}

// recordHeldBack records how many slots a leader held back from a batch item.
func (p *Places) recordHeldBack(group string, slots int) {
	if slots == 0 {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.heldBack[group] = heldBack{slots, time.Now()}
}

// repeatPreemptions notifies the holders of preempted items that have not ended again.
func (s *scheduler) repeatPreemptions(now time.Time) {
	s.mu.Lock()
	repeated := s.ledger.RepeatPreemptions(now)
	s.mu.Unlock()
	s.notifyPreempted(repeated)
}

// publishReserves sets the metrics of the zone's reserves; nil where this daemon does not
// lead. s.mu is held.
func (s *scheduler) publishReserves(reserves map[string]int) {
	for group := range s.reserves {
		if _, stays := reserves[group]; !stays {
			s.reserveGauge(group, 0)
		}
	}
	for group, n := range reserves {
		s.reserveGauge(group, n)
	}
	s.reserves = reserves
}

func (s *scheduler) reserveGauge(group string, n int) {
	s.set.GetOrCreateGauge(fmt.Sprintf("tarragonhollow_batch_reserve{group=%q}", group), nil).Set(float64(n))
}

// describeItem adds to a slot request what the batch reserve decides by.
func describeItem(request *slots.Request, r BatchRequest) {
	request.Batch, request.Headroom = true, r.Headroom
	request.Work, request.Slack, request.ShortOfTime = r.Work, r.Slack, r.ShortOfTime
	request.Needed = r.Needed
}
