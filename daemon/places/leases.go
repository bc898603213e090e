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

// reportLinger is how long ended leases are collected into one report: much less than the
// time that a request spends at a target, since the slot stays taken for that long.
const reportLinger = 3 * time.Millisecond

// noLease is the lease number of an end that reports only the target's outcome and ends no
// lease.
const noLease = 0

// localLease is a slot that this daemon's work takes.
type localLease struct {
	target roster.Target
	batch  bool
	// grantedBy is the peer address of the leader that granted it, "" for none.
	grantedBy string
}

// localEnd is an ended lease that has not been reported yet.
type localEnd struct {
	slots.Ended
	// zone is the target's zone, grantedBy the leader that granted the lease.
	zone, grantedBy string
}

// localLeases are the leases of this daemon. It is safe for concurrent use.
type localLeases struct {
	// scheduled reports whether there are leaders to report to; in a small fleet there
	// are none.
	scheduled func() bool
	// reportDue holds a token when a leader needs a report; preempting gets one when
	// local batch work is preempted.
	reportDue  chan struct{}
	preempting chan<- struct{}

	mu      sync.Mutex
	last    uint64
	running map[uint64]localLease
	ended   []localEnd
	held    HeldWork
	// preemptions counts the preempted batch items by target start; preempted holds their
	// leases instead if byLease is set.
	preemptions map[roster.Start]int
	preempted   map[uint64]bool
	byLease     bool
	// reports numbers the reports; reportedWork reports whether the last one to the
	// zone's leader named any lease or held work.
	reports      uint64
	reportedWork bool
}

func newLocalLeases(scheduled func() bool, preempting chan<- struct{}, byLease bool) *localLeases {
	// Numbers start at a random value: a restarted daemon must not reuse a number that
	// may still count.
	return &localLeases{scheduled: scheduled, reportDue: make(chan struct{}, 1), preempting: preempting, last: rand.Uint64() >> 1,
		running: map[uint64]localLease{}, preemptions: map[roster.Start]int{}, preempted: map[uint64]bool{}, byLease: byLease}
}

func (l *localLeases) wake() { duty.Wake(l.reportDue) }

// next returns the number of a new lease.
func (l *localLeases) next() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.last++
	return l.last
}

// begin counts a lease. One that no leader granted is reported soon.
func (l *localLeases) begin(number uint64, lease localLease) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.running[number] = lease
	if lease.grantedBy == "" && l.scheduled() {
		l.wake()
	}
}

// end ends a lease and queues its outcome for the next report.
func (l *localLeases) end(number uint64, result routing.Outcome, took time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	lease, known := l.running[number]
	if !known {
		return
	}
	delete(l.running, number)
	l.queueEnd(localEnd{
		Ended: slots.Ended{Number: number, Target: string(lease.target.Start), Outcome: result, Took: took},
		zone:  lease.target.Zone, grantedBy: lease.grantedBy,
	})
}

// queueEnd keeps an ended lease for the next report. l.mu is held.
func (l *localLeases) queueEnd(e localEnd) {
	if !l.scheduled() {
		return
	}
	l.ended = append(l.ended, e)
	l.wake()
}

// reportDegraded reports the target of a running lease as degraded.
func (l *localLeases) reportDegraded(number uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	lease, known := l.running[number]
	if !known {
		return
	}
	l.queueEnd(localEnd{
		Ended: slots.Ended{Number: noLease, Target: string(lease.target.Start), Outcome: routing.SoftFailed},
		zone:  lease.target.Zone, grantedBy: lease.grantedBy,
	})
}

// abandon returns a slot that a leader may have granted although its answer did not
// arrive.
func (l *localLeases) abandon(number uint64, grantedBy string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.queueEnd(localEnd{Ended: slots.Ended{Number: number}, grantedBy: grantedBy})
}

// runs reports whether the lease runs and the leader granted it.
func (l *localLeases) runs(number uint64, grantedBy string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	lease, known := l.running[number]
	return known && lease.grantedBy == grantedBy
}

// setHeldWork sets the work that others must not run; see Places.SetHeldWork.
func (l *localLeases) setHeldWork(held HeldWork) {
	l.mu.Lock()
	defer l.mu.Unlock()
	changed := len(held.Items) > 0 || len(l.held.Items) > 0
	l.held = held
	if changed && l.scheduled() {
		l.wake()
	}
}

// preempt records the leases that are preempted.
func (l *localLeases) preempt(numbers []uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, number := range numbers {
		lease, runs := l.running[number]
		if !runs {
			continue
		}
		if l.byLease {
			l.preempted[number] = true
		} else {
			l.preemptions[lease.target.Start]++
		}
		duty.Wake(l.preempting)
	}
}

// takePreemptions returns, once, how many batch items are preempted at each target.
func (l *localLeases) takePreemptions() map[roster.Start]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	preemptions := l.preemptions
	l.preemptions = map[roster.Start]int{}
	return preemptions
}

// reportsTo builds the reports that are due, by leader: the local zone's leader gets all
// work in the zone, any other leader the leases that it granted.
func (l *localLeases) reportsTo(zone, leader string) map[string]*LeaseReport {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reports++
	due := dueReports{zone: zone, leader: leader, number: l.reports, reports: map[string]*LeaseReport{}}
	for number, lease := range l.running {
		r := due.reportFor(lease.target.Zone, lease.grantedBy)
		r.Running = append(r.Running, slots.Running{Number: number, Target: string(lease.target.Start), Batch: lease.batch})
	}
	for _, e := range l.ended {
		r := due.reportFor(e.zone, e.grantedBy)
		r.Ended = append(r.Ended, e.Ended)
	}
	l.ended = nil
	if !l.held.empty() {
		due.reportFor(zone, leader).Held = l.held
	}
	l.addFinalReport(&due)
	return due.reports
}

// addFinalReport adds one empty report to the local zone's leader once nothing runs or is
// held any more.
func (l *localLeases) addFinalReport(due *dueReports) {
	hasWork := due.reports[due.leader] != nil
	if !hasWork && l.reportedWork && due.leader != "" {
		due.reportFor(due.zone, due.leader)
	}
	l.reportedWork = hasWork
}

// dueReports collects reports by the leader that receives them.
type dueReports struct {
	zone, leader string
	number       uint64
	reports      map[string]*LeaseReport
}

// reportFor returns the report that covers a lease in a zone, granted by a leader.
func (d *dueReports) reportFor(zone, grantedBy string) *LeaseReport {
	address := grantedBy
	if zone == d.zone {
		address = d.leader
	}
	if address == "" {
		return &LeaseReport{} // no receiver: the lease expires, or the next leader gets a report
	}
	if d.reports[address] == nil {
		d.reports[address] = &LeaseReport{Number: d.number}
	}
	return d.reports[address]
}

// ReportLeases reports this daemon's leases to the leaders until ctx is done.
func (p *Places) ReportLeases(ctx context.Context) {
	renew := time.NewTicker(slots.ReportInterval)
	defer renew.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-renew.C:
		case <-p.scheduler.leases.reportDue:
		}
		if !duty.Pause(ctx, reportLinger) {
			return
		}
		if p.Scheduled() {
			p.scheduler.report(time.Now())
		}
	}
}

// report sends the reports that are due once.
func (s *scheduler) report(now time.Time) {
	leader, _ := s.currentLeader(now)
	for address, r := range s.leases.reportsTo(s.zone, leader) {
		r.Holder, r.Incarnation = s.self, s.incarnation
		if address == s.self {
			s.applyLeaseReport(now, *r)
			continue
		}
		s.caller.Notify(address, reportMethod, *r)
	}
}

// applyLeaseReport applies a daemon's leases.
func (s *scheduler) applyLeaseReport(now time.Time, r LeaseReport) {
	s.mu.Lock()
	s.recordLeaseReport(now, r)
	notify := s.dispatch(now)
	s.mu.Unlock()
	notify()
}

// recordLeaseReport records a daemon's leases in the ledger. s.mu is held.
func (s *scheduler) recordLeaseReport(now time.Time, r LeaseReport) {
	last := s.holderStates[r.Holder]
	if last == nil || last.incarnation != r.Incarnation {
		last = &holderState{incarnation: r.Incarnation}
		s.holderStates[r.Holder] = last
	}
	if r.Number < last.number {
		// A later report was applied before: only the ended leases are new.
		s.ledger.End(now, r.Holder, r.Ended)
		return
	}
	last.number, last.held, last.at = r.Number, r.Held, now
	s.ledger.Report(now, r.Holder, r.Running, r.Ended)
}
