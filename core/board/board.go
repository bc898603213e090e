// Package board adds up how many requests run at each target fleet-wide, from the load
// report of every daemon. It does no I/O and reads no clock.
package board

import (
	"maps"
	"time"
)

// LoadReportTTL is how long a daemon's load report is valid without being renewed; a
// daemon with work renews it every ReportInterval. It bounds how long the work of a
// daemon that died is still counted.
const (
	LoadReportTTL  = 1500 * time.Millisecond
	ReportInterval = 500 * time.Millisecond
)

// Count is the number of requests that one daemon runs at one target.
type Count struct {
	Online int
	Batch  int
}

// LoadReport is one daemon's counts by target ID. Reports of one daemon are numbered, so
// that a late one never replaces a newer one.
type LoadReport struct {
	From   string
	Number uint64
	Counts map[string]Count
	// Zone is the daemon's availability zone. Doubts holds the number of consecutive
	// failures that the zone has seen at each target that fails the daemon's requests.
	Zone   string
	Doubts map[string]int
	// Held lists, by hash, the batch items that the daemon still runs, or whose results
	// it has not been able to write yet, although their partition may have moved to
	// another daemon.
	Held []uint64
	// Parts lists the partitions of batch work that the daemon is certain to hold.
	Parts []int
}

// Empty reports whether the report contains nothing that others wait for. A daemon that
// only holds partitions sends no reports.
func (r *LoadReport) Empty() bool {
	return len(r.Counts) == 0 && len(r.Held) == 0 && len(r.Doubts) == 0
}

type receivedReport struct {
	report     LoadReport
	receivedAt time.Time
}

// LoadTable is one daemon's view of the fleet's load. Its local counts are exact.
//
// The counts of the other daemons are kept as a sum for each target that changes with
// each report, since it is read for every target on every request: adding up the reports
// each time would cost daemons x targets.
type LoadTable struct {
	self  string
	zone  string
	local map[string]Count

	peers map[string]receivedReport
	// sum adds up the counts in peers.
	sum map[string]Count
	// degraded caches the result of DegradedTargets; nil after a report that changed it.
	degraded map[string]int
	// oldest is no later than the arrival of the oldest report in peers.
	oldest time.Time
}

// New returns the load table of the daemon called self in an availability zone.
func New(self, zone string) *LoadTable {
	return &LoadTable{
		self: self, zone: zone, local: map[string]Count{}, peers: map[string]receivedReport{},
		sum: map[string]Count{},
	}
}

// Self returns the local daemon's name.
func (b *LoadTable) Self() string { return b.self }

// Add changes the local counts at a target.
func (b *LoadTable) Add(target string, online, batch int) { add(b.local, target, Count{online, batch}) }

// add changes one entry and deletes it if it becomes zero.
func add(counts map[string]Count, target string, by Count) {
	c := counts[target]
	c.Online += by.Online
	c.Batch += by.Batch
	if c == (Count{}) {
		delete(counts, target)
		return
	}
	counts[target] = c
}

// LocalCounts returns a copy of all local counts.
func (b *LoadTable) LocalCounts() map[string]Count { return maps.Clone(b.local) }

// ApplyReport applies another daemon's load report.
func (b *LoadTable) ApplyReport(now time.Time, report LoadReport) {
	if report.From == b.self {
		return
	}
	b.expire(now)
	last, known := b.peers[report.From]
	if known && report.Number < last.report.Number {
		return
	}
	if known {
		b.drop(last.report)
	}
	if report.Empty() {
		return
	}
	if len(b.peers) == 0 {
		b.oldest = now
	}
	b.peers[report.From] = receivedReport{report, now}
	b.addToSums(report, 1)
}

// drop removes a report that the sums include.
func (b *LoadTable) drop(report LoadReport) {
	delete(b.peers, report.From)
	b.addToSums(report, -1)
}

// addToSums adds a report to the sums; sign -1 subtracts it.
func (b *LoadTable) addToSums(report LoadReport, sign int) {
	for target, c := range report.Counts {
		add(b.sum, target, Count{sign * c.Online, sign * c.Batch})
	}
	if report.Zone == b.zone && len(report.Doubts) > 0 {
		b.degraded = nil
	}
}

// expire removes the reports that were not renewed. It scans them only when one may have
// expired.
func (b *LoadTable) expire(now time.Time) {
	if len(b.peers) == 0 || now.Sub(b.oldest) <= LoadReportTTL {
		return
	}
	b.oldest = now
	for _, received := range b.peers {
		if now.Sub(received.receivedAt) > LoadReportTTL {
			b.drop(received.report)
		} else if received.receivedAt.Before(b.oldest) {
			b.oldest = received.receivedAt
		}
	}
}

// PeerCount returns how many requests the other daemons run at a target.
func (b *LoadTable) PeerCount(now time.Time, target string) Count {
	b.expire(now)
	return b.sum[target]
}

// DegradedTargets returns, for the targets that other daemons of the local zone report as
// degraded, the highest number of consecutive failures that one of them reports. The map
// must not be changed.
func (b *LoadTable) DegradedTargets(now time.Time) map[string]int {
	b.expire(now)
	if b.degraded != nil {
		return b.degraded
	}
	b.degraded = map[string]int{}
	for _, received := range b.peers {
		if received.report.Zone != b.zone {
			continue
		}
		for target, failures := range received.report.Doubts {
			b.degraded[target] = max(b.degraded[target], failures)
		}
	}
	return b.degraded
}

// HeldByPeers returns the batch items that other daemons still run.
func (b *LoadTable) HeldByPeers(now time.Time) map[uint64]bool {
	return collect(b, now, func(w *LoadReport) []uint64 { return w.Held })
}

// PartitionsOfPeers returns the partitions that other daemons are certain to hold.
func (b *LoadTable) PartitionsOfPeers(now time.Time) map[int]bool {
	return collect(b, now, func(w *LoadReport) []int { return w.Parts })
}

// collect returns the set of everything that the peers' valid reports list.
func collect[T comparable](b *LoadTable, now time.Time, list func(*LoadReport) []T) map[T]bool {
	b.expire(now)
	all := map[T]bool{}
	for _, received := range b.peers {
		for _, one := range list(&received.report) {
			all[one] = true
		}
	}
	return all
}

// Total adds up what all daemons run at a target.
func (b *LoadTable) Total(now time.Time, target string) Count {
	sum := b.PeerCount(now, target)
	sum.Online += b.local[target].Online
	sum.Batch += b.local[target].Batch
	return sum
}

// WithoutLocal returns counts less the local counts.
func (b *LoadTable) WithoutLocal(counts map[string]Count) map[string]Count {
	peers := make(map[string]Count, len(counts))
	for target, c := range counts {
		local := b.local[target]
		c.Online = max(0, c.Online-local.Online)
		c.Batch = max(0, c.Batch-local.Batch)
		if c != (Count{}) {
			peers[target] = c
		}
	}
	return peers
}
