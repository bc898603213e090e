package places

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"tarragonhollow.example/tarragonhollow/core/roster"
	"tarragonhollow.example/tarragonhollow/core/routing"
	"tarragonhollow.example/tarragonhollow/core/slots"
	"tarragonhollow.example/tarragonhollow/daemon/duty"
)

// reportGather is how long ends are gathered into one report: much less than the time
// that a request spends at a target, since the slot stays taken for as long.
const reportGather = 3 * time.Millisecond

// noLease is the number of no lease: an end that tells of the target alone.
const noLease = 0

// ownLease is a slot that this daemon's work takes.
type ownLease struct {
	target roster.Target
	batch  bool
	// by is the peer address of the leader that gave it, "" if nobody did.
	by string
}

// ownEnd is an end that is still to be told.
type ownEnd struct {
	slots.Ended
	// zone is the target's zone, by the leader that gave the lease.
	zone, by string
}

// ownLeases are the leases of this daemon. It is safe for concurrent use.
type ownLeases struct {
	// told tells whether there are leaders to tell; in a small fleet there are none.
	told func() bool
	// news has a token when a leader has to be told, yielding when work has to give way.
	news     chan struct{}
	yielding chan<- struct{}

	mu      sync.Mutex
	last    uint64
	running map[uint64]ownLease
	ended   []ownEnd
	held    HeldWork
	// yields counts the batch items that must give way, by start of their target.
	yields map[roster.Start]int
	// reports numbers the reports; spoke tells whether the last one to the leader said
	// anything.
	reports uint64
	spoke   bool
}

func newOwnLeases(told func() bool, yielding chan<- struct{}) *ownLeases {
	// Numbers begin anywhere: a daemon that starts again must not use one again that
	// may still count.
	return &ownLeases{told: told, news: make(chan struct{}, 1), yielding: yielding, last: rand.Uint64() >> 1,
		running: map[uint64]ownLease{}, yields: map[roster.Start]int{}}
}

func (o *ownLeases) wake() { duty.Wake(o.news) }

// next returns a new lease's number.
func (o *ownLeases) next() uint64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.last++
	return o.last
}

// begin counts a lease. One that no leader gave is told soon.
func (o *ownLeases) begin(number uint64, lease ownLease) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.running[number] = lease
	if lease.by == "" && o.told() {
		o.wake()
	}
}

// end ends a lease; what it says of the target is told.
func (o *ownLeases) end(number uint64, result routing.Outcome, took time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	lease, known := o.running[number]
	if !known {
		return
	}
	delete(o.running, number)
	o.tell(ownEnd{
		Ended: slots.Ended{Number: number, Target: string(lease.target.Start), Outcome: result, Took: took},
		zone:  lease.target.Zone, by: lease.by,
	})
}

// tell keeps an end for the next report. o.mu is held.
func (o *ownLeases) tell(e ownEnd) {
	if !o.told() {
		return
	}
	o.ended = append(o.ended, e)
	o.wake()
}

// doubt has the target of a lease that goes on doubted.
func (o *ownLeases) doubt(number uint64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	lease, known := o.running[number]
	if !known {
		return
	}
	o.tell(ownEnd{
		Ended: slots.Ended{Number: noLease, Target: string(lease.target.Start), Outcome: routing.SoftFailed},
		zone:  lease.target.Zone, by: lease.by,
	})
}

// abandon gives a slot back that a leader may have given without being heard.
func (o *ownLeases) abandon(number uint64, by string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.tell(ownEnd{Ended: slots.Ended{Number: number}, by: by})
}

// hold takes what others must not run; see Places.SetHeld.
func (o *ownLeases) hold(held HeldWork) {
	o.mu.Lock()
	defer o.mu.Unlock()
	news := len(held.Items) > 0 || len(o.held.Items) > 0
	o.held = held
	if news && o.told() {
		o.wake()
	}
}

// yield notes the leases that must give way.
func (o *ownLeases) yield(numbers []uint64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, number := range numbers {
		if lease, runs := o.running[number]; runs {
			o.yields[lease.target.Start]++
			duty.Wake(o.yielding)
		}
	}
}

// takeYields returns, once, how many batch items must give way at each target.
func (o *ownLeases) takeYields() map[roster.Start]int {
	o.mu.Lock()
	defer o.mu.Unlock()
	yields := o.yields
	o.yields = map[roster.Start]int{}
	return yields
}

// reportsTo makes the reports that are due, by leader: that of the own zone is told of
// all work in the zone, another one of what it gave.
func (o *ownLeases) reportsTo(zone, leader string) map[string]*Report {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.reports++
	due := dueReports{zone: zone, leader: leader, number: o.reports, reports: map[string]*Report{}}
	for number, lease := range o.running {
		r := due.of(lease.target.Zone, lease.by)
		r.Running = append(r.Running, slots.Running{Number: number, Target: string(lease.target.Start), Batch: lease.batch})
	}
	for _, e := range o.ended {
		r := due.of(e.zone, e.by)
		r.Ended = append(r.Ended, e.Ended)
	}
	o.ended = nil
	if !o.held.empty() {
		due.of(zone, leader).Held = o.held
	}
	o.tellEnd(&due)
	return due.reports
}

// tellEnd has the own zone's leader told once that nothing runs or is held any more.
func (o *ownLeases) tellEnd(due *dueReports) {
	speaks := due.reports[due.leader] != nil
	if !speaks && o.spoke && due.leader != "" {
		due.of(due.zone, due.leader)
	}
	o.spoke = speaks
}

// dueReports gathers reports by the leader that gets them.
type dueReports struct {
	zone, leader string
	number       uint64
	reports      map[string]*Report
}

// of returns the report that tells of a lease in a zone, given by a leader.
func (d *dueReports) of(zone, by string) *Report {
	address := by
	if zone == d.zone {
		address = d.leader
	}
	if address == "" {
		return &Report{} // nobody to tell: it lapses, or the next leader is told
	}
	if d.reports[address] == nil {
		d.reports[address] = &Report{Number: d.number}
	}
	return d.reports[address]
}

// Report tells the leaders of the own leases until ctx is done.
func (p *Places) Report(ctx context.Context) {
	renew := time.NewTicker(slots.ReportEvery)
	defer renew.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-renew.C:
		case <-p.scheduler.own.news:
		}
		if !duty.Pause(ctx, reportGather) {
			return
		}
		if p.Scheduled() {
			p.scheduler.report(time.Now())
		}
	}
}

// report tells the leaders of the own leases once.
func (s *scheduler) report(now time.Time) {
	leader, _ := s.currentLeader(now)
	for address, r := range s.own.reportsTo(s.zone, leader) {
		r.Holder, r.Incarnation = s.self, s.incarnation
		if address == s.self {
			s.hearReport(now, *r)
			continue
		}
		s.caller.Notify(address, reportMethod, *r)
	}
}
