package places

import (
	"fmt"
	"time"

	"tarragonhollow.example/tarragonhollow/core/slots"
)

// BatchReserve reports whether slots are held back from batch items that have time: the key
// is on, and leaders grant the slots.
func (p *Places) BatchReserve() bool { return p.scheduler.batchReserve && p.Scheduled() }

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

// Reserve returns how many free slots were held back in the last denial of a slot to a
// batch item of the group; 0 if the last request was granted.
func (p *Places) Reserve(group string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.reserves[group]
}

// recordReserve records how many slots were held back from a batch item.
func (p *Places) recordReserve(group string, reserve int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reserves[group] = reserve
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

// applyRemoteFree records the free slots that another zone's leader reports. s.mu is held.
func (s *scheduler) applyRemoteFree(now time.Time, r ZoneReport) {
	s.ledger.ApplyRemoteFree(now, r.Zone, r.Leader, r.Free)
	s.ledger.ApplyRemoteReserves(r.Zone, r.Reserved)
}

// describeItem adds to a slot request what the batch reserve decides by.
func describeItem(request *slots.Request, r BatchRequest) {
	request.Batch, request.Headroom = true, r.Headroom
	request.Work, request.Slack, request.ShortOfTime = r.Work, r.Slack, r.ShortOfTime
	request.Needed = r.Needed
}
