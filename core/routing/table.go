// Package routing decides which target of a group runs an online request. It has no
// clock, I/O or random source of its own: the time, the load reports and the random seeds
// are arguments.
//
// A Table is one daemon's view of one target group. It is not safe for concurrent use;
// the daemon must lock it.
package routing

import (
	"sort"
	"time"
)

// Target is one member of the group.
type Target struct {
	// Address is IP:PORT.
	Address string
	// Zone is the target's availability zone.
	Zone string
	// Version is the version of the target's software, "" if it is not known.
	Version string
}

// LoadReport is the last load report of the target's batch dispatcher.
type LoadReport struct {
	// OnlineTotal counts the online requests of all entry hosts at the target.
	OnlineTotal int
	// BatchRunning counts the batch items at the target.
	BatchRunning int
	// Reported counts the requests, running and waiting, in the engine's own report,
	// batch included.
	Reported int
	// ReportAge is how old the engine's report was when the load report was made;
	// negative if there is none.
	ReportAge time.Duration
	// Slots is the engine's batch size limit, 0 when unknown.
	Slots int
	// PeerFailures is the highest number of consecutive failures for which another daemon
	// of the local zone has the target degraded, 0 for none.
	PeerFailures int
}

// Table is one daemon's view of one target group.
type Table struct {
	group       string
	slots       int
	order       []string
	entries     map[string]*entry
	serviceTime ServiceTime
}

// entry is the state of one target.
type entry struct {
	Target
	hash          uint64
	leaving       bool
	localRequests int
	reserved      int
	started       history
	ended         history
	received      receivedReport
	health        health
	prefixes      prefixSet
}

// receivedReport is the dispatcher's last load report and the local load when it arrived.
type receivedReport struct {
	report        LoadReport
	receivedAt    time.Time
	localRequests int
	valid         bool
}

// NewTable returns a table of the group's targets. slots is how many requests a target
// runs at once, 0 if unknown.
func NewTable(group string, targets []Target, slots int) *Table {
	t := &Table{group: group, entries: map[string]*entry{}}
	t.SetTargets(targets, slots)
	return t
}

// SetTargets replaces the group's members. The state of targets that remain is kept; the
// ends of local requests that still run at a removed target are ignored.
func (t *Table) SetTargets(targets []Target, slots int) {
	t.slots = slots
	kept := make(map[string]*entry, len(targets))
	for _, target := range targets {
		e := t.entries[target.Address]
		if e == nil {
			e = &entry{hash: hashString(target.Address), prefixes: newPrefixSet()}
		}
		e.Target = target
		kept[target.Address] = e
	}
	t.entries = kept
	t.order = t.order[:0]
	for address := range kept {
		t.order = append(t.order, address)
	}
	sort.Strings(t.order)
}

// Len returns the number of targets in the group.
func (t *Table) Len() int { return len(t.order) }

// SetLeaving sets whether the target is leaving according to the host list. A leaving
// target is never picked, even if no other is left.
func (t *Table) SetLeaving(address string, leaving bool) {
	if e := t.entries[address]; e != nil {
		e.leaving = leaving
	}
}

// ApplyReport records a load report of the target's batch dispatcher.
func (t *Table) ApplyReport(now time.Time, address string, report LoadReport) {
	if e := t.entries[address]; e != nil {
		e.received = receivedReport{report: report, receivedAt: now, localRequests: e.localRequests, valid: true}
	}
}

// Hint records a cache event. Events arrive late and some are lost, so they only order
// candidates and never exclude one.
func (t *Table) Hint(address, prefix string, stored bool) {
	if e := t.entries[address]; e != nil {
		e.prefixes.update(prefix, stored)
	}
}

// Start counts a request that is about to be sent to the target. alone reserves the
// target for it.
func (t *Table) Start(now time.Time, address string, alone bool) {
	e := t.entries[address]
	if e == nil {
		return
	}
	e.localRequests++
	if alone {
		e.reserved++
	}
	e.started.add(now)
}

// Load is the load and state of one target, for status pages and metrics.
type Load struct {
	Address string
	Zone    string
	// LocalRequests counts this daemon's requests at the target.
	LocalRequests int
	// Estimate is the estimated load, corrected for the lag of reports.
	Estimate float64
	// State is "healthy", "half_open", "removed" or "leaving".
	State string
}

// Loads returns the loads of all targets, sorted by address.
func (t *Table) Loads(now time.Time) []Load {
	loads := make([]Load, 0, len(t.order))
	for _, address := range t.order {
		e := t.entries[address]
		state := e.health.state(now).String()
		if e.leaving {
			state = "leaving"
		}
		loads = append(loads, Load{
			Address: address, Zone: e.Zone, LocalRequests: e.localRequests, Estimate: e.load(now), State: state,
		})
	}
	return loads
}

// LocalRequests returns how many of this daemon's requests run at the target.
func (t *Table) LocalRequests(address string) int {
	if e := t.entries[address]; e != nil {
		return e.localRequests
	}
	return 0
}

// Concurrent estimates how many requests, batch included, run at the target fleet-wide.
// The result is never below the local count.
func (t *Table) Concurrent(now time.Time, address string) int {
	e := t.entries[address]
	if e == nil {
		return 1
	}
	total := e.localRequests
	if e.received.fresh(now) {
		total = max(total, e.received.report.OnlineTotal+e.received.report.BatchRunning)
	}
	return total
}
