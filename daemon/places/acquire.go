package places

import (
	"context"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"tarragonhollow.example/tarragonhollow/core/outcome"
	"tarragonhollow.example/tarragonhollow/core/roster"
	"tarragonhollow.example/tarragonhollow/core/routing"
	"tarragonhollow.example/tarragonhollow/core/slots"
)

// noTargetRetryMs is the retry delay for callers of a daemon that knows no target, in
// milliseconds. Either the daemon has just started, or the targets' entries have expired;
// targets write them again within some 2 s, and other daemons may know more.
const noTargetRetryMs = 500

// Request describes an online request for the choice of a target.
type Request struct {
	// ID names the request in log lines.
	ID    string
	Group string
	// Exclude holds the starts of targets already tried.
	Exclude map[string]bool
	// Version requires a target of this software version, "" for any. No target of another
	// or of unknown version is chosen; if none of the version is usable as far as this
	// daemon and the leaders know, the request is refused at once.
	Version string
	// Alone requests a target at which as little other work as possible runs.
	Alone bool
	// LastChance reports that a failed attempt will not be retried.
	LastChance bool
	// MaxWait is how long the request may queue in front of a target.
	MaxWait time.Duration
	// Rank, Share, Weight, Work and Content describe the request; see slots.Request.
	Rank    int
	Share   string
	Weight  float64
	Work    float64
	Content uint64
	// Arrived is when the request was read, Objective when its latency objective is
	// missed, Deadline when its caller stops waiting. Zero times mean unknown.
	Arrived, Objective, Deadline time.Time
	// FirstByte is the time that a target of the group usually takes to the first event of
	// an answer, 0 for unknown.
	FirstByte time.Duration
}

// Slot is a slot at a target that was chosen for a request, and the leader that chose it.
type Slot struct {
	roster.Target
	// Running is how many requests of the fleet, online and batch, ran there as far as
	// known; LoadReportAge is the maximum age of the other daemons' part of it. GrantedBy
	// is the leader that chose the target, "" if this daemon chose it.
	Running       int
	LoadReportAge time.Duration
	GrantedBy     string
	// Alive is cancelled once the target is known to have restarted.
	Alive context.Context
	// lease is the number of the slot's lease.
	lease uint64
}

// Acquire chooses a target for an online request and counts the request there; Release
// must follow. A refusal means that nothing was sent to any target.
func (p *Places) Acquire(ctx context.Context, r Request) (Slot, *outcome.Refusal) {
	if p.Scheduled() && !r.Alone {
		asked := time.Now()
		if slot, refusal, decided := p.acquireGranted(ctx, r); decided {
			return slot, refusal
		}
		if p.scheduler.policy.Queue {
			r.MaxWait = max(0, r.MaxWait-time.Since(asked))
		}
	}
	return p.acquireLocally(r)
}

// acquireGranted requests a slot from the leaders. decided is false if none answers or
// grants a usable one.
func (p *Places) acquireGranted(ctx context.Context, r Request) (slot Slot, refusal *outcome.Refusal, decided bool) {
	request := p.newSlotRequest(r.Group, r.Version, r.Exclude)
	request.LastChance, request.Patience = r.LastChance, r.MaxWait
	request.Rank, request.Share, request.Weight = r.Rank, r.Share, r.Weight
	request.Work, request.Content = r.Work, r.Content
	if p.scheduler.policy.Queue {
		request.FirstByte = r.FirstByte
	}
	setTimes(&request, r, time.Now())
	grant, by, answered, finish := p.scheduler.requestOrWait(ctx, request, r.ID)
	defer finish()
	switch {
	case answered && grant.Verdict == slots.Waiting:
		return Slot{}, outcome.Refuse(outcome.Cancelled, "the caller left, or the deadline passed, while the request waited for a slot"), true
	case !answered || grant.Verdict == slots.None:
		return Slot{}, nil, false
	case grant.Verdict == slots.Overloaded:
		refusal := routing.TooBusy(r.Group, grant.Wait, r.MaxWait)
		if grant.RetryAfter > 0 {
			refusal = refusal.After(max(1, grant.RetryAfter.Milliseconds()))
		}
		return Slot{}, refusal, true
	}
	slot, known := p.acceptGrant(r.ID, request, grant, by)
	return slot, nil, known
}

// setTimes sets the durations of a slot request as of now.
func setTimes(request *slots.Request, r Request, now time.Time) {
	if r.Arrived.IsZero() || r.Deadline.IsZero() {
		return
	}
	request.Waited, request.DeadlineLeft = now.Sub(r.Arrived), r.Deadline.Sub(now)
	request.ObjectiveLeft = request.DeadlineLeft
	if !r.Objective.IsZero() {
		request.ObjectiveLeft = r.Objective.Sub(now)
	}
}

// newSlotRequest returns a request for a slot of the group.
func (p *Places) newSlotRequest(groupName, version string, tried map[string]bool) slots.Request {
	id := slots.ID{Holder: p.self, Number: p.scheduler.leases.next()}
	return slots.Request{ID: id, Group: groupName, Version: version, Exclude: p.excluded(groupName, tried)}
}

// excluded lists the targets of the group that a request can't use: those it has tried,
// and those that this daemon has ejected.
func (p *Places) excluded(groupName string, tried map[string]bool) []string {
	now := time.Now()
	var list []string
	for start := range tried {
		list = append(list, start)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	g := p.groups[groupName]
	if g == nil {
		return list
	}
	for _, t := range g.targets {
		if start := string(t.Start); !tried[start] && !g.table.Available(now, start) {
			list = append(list, start)
		}
	}
	return list
}

// acceptGrant counts a slot that a leader granted, unless this daemon knows that the target
// must get no work, since the leader may receive the target's removal later, or the target
// is not known to be of the required version: leaders of earlier builds know no versions. id
// names the request in log lines, "" for a batch item.
func (p *Places) acceptGrant(id string, request slots.Request, grant slots.Grant, by string) (Slot, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	t, known := p.eligible[roster.Start(grant.Target)]
	if !known {
		t, known = p.grantedTarget(request.Group, grant)
	}
	if !known || request.Version != "" && t.Version != request.Version {
		p.scheduler.leases.abandon(request.ID.Number, by)
		p.logRejectedGrant(id, request, grant, by, t)
		return Slot{}, false
	}
	slot := p.begin(t, request.ID.Number, by, request.Batch)
	slot.Running, slot.GrantedBy = grant.Running, by
	return slot, true
}

// grantedTarget returns a target outside the local sample as the leader described it.
// What this daemon itself knows of the target takes precedence. p.mu is held.
func (p *Places) grantedTarget(group string, grant slots.Grant) (roster.Target, bool) {
	at := grant.At
	entry, known := p.roster.Entry(at.ID)
	switch {
	case at.Address == "" || !p.largeZone():
		return roster.Target{}, false
	case known:
		return entry, string(entry.Start) == grant.Target && !entry.Draining
	case at.Zone == p.zone && p.roster.Complete():
		return roster.Target{}, false
	}
	p.versions.Note(time.Now(), group, at.Version)
	return roster.Target{ID: at.ID, Born: at.Born, Start: roster.Start(at.Start), Group: group, Address: at.Address, Zone: at.Zone, Version: at.Version, Slots: at.Slots}, true
}

// begin counts work at the target. p.mu is held.
func (p *Places) begin(t roster.Target, number uint64, by string, batch bool) Slot {
	now := time.Now()
	if batch {
		p.board.Add(string(t.Start), 0, 1)
	} else {
		if g := p.groups[t.Group]; g != nil {
			g.table.Start(now, string(t.Start), false)
		}
		p.board.Add(string(t.Start), 1, 0)
	}
	p.scheduler.leases.begin(number, localLease{target: t, batch: batch, grantedBy: by})
	p.notifyChange()
	return Slot{Target: t, Alive: p.starts.begin(t), lease: number}
}

// acquireLocally chooses a target from this daemon's view.
func (p *Places) acquireLocally(r Request) (Slot, *outcome.Refusal) {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	g := p.groups[r.Group]
	if g == nil || len(g.targets) == 0 {
		return Slot{}, outcome.Refuse(outcome.NoTarget, "no target of %s is known", r.Group).After(noTargetRetryMs)
	}
	if !g.serves(r.Version) {
		return Slot{}, outcome.Refuse(outcome.NoTarget, "no target of %s with version %s is known", r.Group, r.Version).After(noTargetRetryMs)
	}
	p.applyFleetCounts(now, g)
	if refusal := g.table.Admit(now, now.Add(r.MaxWait), r.Version); refusal != nil {
		return Slot{}, refusal
	}
	request := routing.Request{Zone: p.zone, Exclude: r.Exclude, Version: r.Version, LastChance: r.LastChance, SeedValue: rand.Uint64()}
	request.RemoteStale = p.Scheduled()
	request.LoadReportAge = time.Duration(p.loadReportAge.Load())
	request.Alone = r.Alone
	choice, ok := routing.Choice{}, false
	if !r.Alone {
		choice, ok = g.table.PickLeastLoaded(now, request)
	}
	if !ok {
		choice, ok = g.table.Pick(now, request)
	}
	t, known := p.eligible[roster.Start(choice.Address)]
	if !ok || !known {
		return Slot{}, outcome.Refuse(outcome.NoTarget, "no target of %s takes requests", r.Group).After(noTargetRetryMs)
	}
	running := p.board.Total(now, string(t.Start))
	slot := p.begin(t, p.scheduler.leases.next(), "", false)
	slot.Running, slot.LoadReportAge = running.Online+running.Batch, request.LoadReportAge
	return slot, nil
}

// applyFleetCounts applies the fleet's counts to the group's table.
func (p *Places) applyFleetCounts(now time.Time, g *group) {
	degraded := p.board.DegradedTargets(now)
	for _, t := range g.targets {
		start := string(t.Start)
		total := p.board.Total(now, start)
		g.table.ApplyReport(now, start, routing.LoadReport{OnlineTotal: total.Online, BatchRunning: total.Batch,
			ReportAge: -1, Slots: t.Slots, PeerFailures: degraded[start]})
	}
}

// Release ends what Acquire counted. took is the whole time of an answered request, 0 for
// others.
func (p *Places) Release(slot Slot, result routing.Outcome, took time.Duration) {
	now := time.Now()
	t := slot.Target
	p.mu.Lock()
	defer p.mu.Unlock()
	p.board.Add(string(t.Start), -1, 0)
	p.starts.done(t)
	p.recordEnd(now, t, result)
	g := p.groups[t.Group]
	if g != nil && took > 0 {
		g.table.ObserveServiceTime(took)
	}
	p.scheduler.leases.end(slot.lease, p.reportedOutcome(now, g, result), took)
	p.notifyChange()
}

// MarkDegraded marks the target as degraded, here and in the zone, before the request
// there ends.
func (p *Places) MarkDegraded(slot Slot) {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if g := p.groups[slot.Group]; g != nil {
		g.table.MarkDegraded(now, string(slot.Start))
	}
	p.scheduler.leases.reportDegraded(slot.lease)
	p.notifyChange()
}

// reportedOutcome returns the outcome that is reported to the zone's leader. A daemon at
// which more targets fail than can be at fault themselves reports no failure; see package
// routing.
func (p *Places) reportedOutcome(now time.Time, g *group, result routing.Outcome) routing.Outcome {
	if result == routing.Succeeded || g != nil && g.table.DegradedTargets(now) != nil {
		return result
	}
	return routing.Neutral
}

// recordEnd records in the group's table how a request ended.
func (p *Places) recordEnd(now time.Time, t roster.Target, result routing.Outcome) {
	g := p.groups[t.Group]
	if g == nil {
		return
	}
	state, changed := g.table.End(now, string(t.Start), false, result)
	if changed {
		p.logger.Info("target_health", zap.String("target", t.ID), zap.String("group", t.Group), zap.Stringer("state", state))
	}
}

// FreeSlots returns how many slots of the group neither online nor batch work takes, not
// counting headroom slots at each target.
func (p *Places) FreeSlots(groupName string, headroom int) int {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	g := p.groups[groupName]
	if g == nil {
		return 0
	}
	free := 0
	for _, t := range g.targets {
		if g.table.Available(now, string(t.Start)) {
			total := p.board.Total(now, string(t.Start))
			free += max(0, t.Slots-headroom-total.Online-total.Batch)
		}
	}
	return free
}
