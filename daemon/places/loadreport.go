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
	// loadReportLinger is how long changes are collected into one load report: a fraction
	// of the time that a request spends at a target, so that the fleet's view is off by
	// few requests.
	loadReportLinger = 10 * time.Millisecond
	// lingerPerPeer is added for each peer: a report is sent to every one of them, so
	// this keeps the messages of one daemon below 1/lingerPerPeer a second.
	lingerPerPeer = 700 * time.Microsecond
	// smallFleet is the maximum number of daemons at which each receives the load reports
	// of all others: each then sends at most some 800 messages a second.
	smallFleet = 24
	// networkDelay is the time that a load report takes to a busy daemon in another zone.
	networkDelay = 10 * time.Millisecond
)

func (p *Places) applyLoadReport(report board.LoadReport) {
	p.mu.Lock()
	p.board.ApplyReport(time.Now(), report)
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

// Scheduled reports whether the fleet is too large for every daemon to receive the load
// reports of all others: then the zones' leaders count what runs and grant slots.
func (p *Places) Scheduled() bool { return p.fleetSize() > smallFleet }

// BroadcastLoad sends the local counts to the other daemons whenever they change, and
// repeats them while there is any work, until ctx is done. It sends nothing where leaders
// grant slots.
func (p *Places) BroadcastLoad(ctx context.Context, caller peer.Caller, peers func() []Peer) {
	// Numbers keep rising across a restart of the daemon.
	number := uint64(time.Now().UnixMicro())
	renew := time.NewTicker(board.ReportInterval)
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
			p.loadReportAge.Store(int64(election.HeartbeatInterval + networkDelay))
			idle = true
			continue
		}
		others := peers()
		p.loadReportAge.Store(int64(LoadReportAge(len(others))))
		if !duty.Pause(ctx, lingerTime(len(others))) {
			return
		}
		number++
		report := p.loadReport(number)
		idle = report.Empty()
		broadcast(caller, others, report)
	}
}

func broadcast(caller peer.Caller, to []Peer, report board.LoadReport) {
	for _, other := range to {
		caller.Notify(other.Address, loadReportMethod, report)
	}
}

func lingerTime(peers int) time.Duration {
	return loadReportLinger + time.Duration(min(peers, smallFleet))*lingerPerPeer
}

// LoadReportAge returns the maximum age of another daemon's load report in a fleet of the
// given size: the time to collect, send across zones and apply it.
func LoadReportAge(fleet int) time.Duration { return lingerTime(fleet) + networkDelay }

// loadReport returns the local counts and consumes the token that announced them.
func (p *Places) loadReport(number uint64) board.LoadReport {
	select {
	case <-p.dirty:
	default:
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return board.LoadReport{From: p.board.Self(), Number: number, Counts: p.board.LocalCounts(), Held: p.heldItems, Parts: p.heldParts,
		Zone: p.zone, Doubts: p.degradedTargets()}
}

// degradedTargets returns the consecutive failures of the degraded targets of all groups,
// by start.
func (p *Places) degradedTargets() map[string]int {
	now := time.Now()
	failures := map[string]int{}
	for _, g := range p.groups {
		maps.Copy(failures, g.table.DegradedTargets(now))
	}
	return failures
}
