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

// noTargetRetryMs tells callers when to come back to a daemon that knows no
// target. It is one that has just started, or the targets' entries have lapsed;
// they write them again within some 2 s, and other daemons may know more.
const noTargetRetryMs = 500

// Ask is what the choice for an online request depends on.
type Ask struct {
	Group string
	// Exclude holds the starts of targets already tried.
	Exclude map[string]bool
	// Alone asks for a target where as little else as possible runs.
	Alone bool
	// LastChance tells that nothing may follow a failed attempt.
	LastChance bool
	// Patience is how long the request may queue in front of a target.
	Patience time.Duration
}

// Place is a target that was chosen for a request, and by what.
type Place struct {
	roster.Target
	// Running is how many requests of the fleet ran there as far as known, online
	// and batch; WordAge is how old the others' part of it may be. By is the leader
	// that chose the target, "" if it was chosen by what is known here.
	Running int
	WordAge time.Duration
	By      string
	// Alive is done once the target is known to have started again.
	Alive context.Context
	// lease is the number of the slot's lease.
	lease uint64
}

// Take chooses a target for an online request and counts the request there;
// Release must follow. A refusal is true: nothing was sent.
func (p *Places) Take(ctx context.Context, a Ask) (Place, *outcome.Refusal) {
	if p.Scheduled() && !a.Alone {
		if place, refusal, decided := p.takeGranted(ctx, a); decided {
			return place, refusal
		}
	}
	return p.takeKnown(a)
}

// takeGranted asks the leaders for a slot. It decides nothing if none answers.
func (p *Places) takeGranted(ctx context.Context, a Ask) (place Place, refusal *outcome.Refusal, decided bool) {
	ask := p.ask(a.Group, a.Exclude)
	ask.LastChance, ask.Patience = a.LastChance, a.Patience
	grant, by, answered := p.scheduler.slot(ctx, ask)
	switch {
	case !answered || grant.Verdict == slots.None:
		return Place{}, nil, false
	case grant.Verdict == slots.Overloaded:
		return Place{}, routing.TooBusy(a.Group, grant.Wait, a.Patience), true
	}
	place, known := p.accept(ask, grant, by)
	return place, nil, known
}

// ask begins an ask for a slot of the group.
func (p *Places) ask(groupName string, tried map[string]bool) slots.Ask {
	id := slots.ID{Holder: p.self, Number: p.scheduler.own.next()}
	return slots.Ask{ID: id, Group: groupName, Exclude: p.useless(groupName, tried)}
}

// useless lists the targets of the group that are of no use to a request: those it
// has tried, and those that are out for this daemon.
func (p *Places) useless(groupName string, tried map[string]bool) []string {
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
		if start := string(t.Start); !tried[start] && !g.table.Open(now, start) {
			list = append(list, start)
		}
	}
	return list
}

// accept counts a slot that a leader gave, unless the target must get no work by what
// is known here: the leader may hear later that it leaves.
func (p *Places) accept(ask slots.Ask, grant slots.Grant, by string) (Place, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	t, known := p.used[roster.Start(grant.Target)]
	if !known {
		t, known = p.granted(ask.Group, grant)
	}
	if !known {
		p.scheduler.own.abandon(ask.ID.Number, by)
		return Place{}, false
	}
	place := p.begin(t, ask.ID.Number, by, ask.Batch)
	place.Running, place.By = grant.Running, by
	return place, true
}

// granted returns a target that is in no sample held here, as the leader told it. What
// is known of it here goes before that. p.mu is held.
func (p *Places) granted(group string, grant slots.Grant) (roster.Target, bool) {
	at := grant.At
	entry, known := p.roster.Entry(at.ID)
	switch {
	case at.Address == "" || !p.lean():
		return roster.Target{}, false
	case known:
		return entry, string(entry.Start) == grant.Target && !entry.Draining
	case at.Zone == p.zone && p.roster.Complete():
		return roster.Target{}, false
	}
	return roster.Target{ID: at.ID, Born: at.Born, Start: roster.Start(at.Start), Group: group, Address: at.Address, Zone: at.Zone, Slots: at.Slots}, true
}

// begin counts work at the target. p.mu is held.
func (p *Places) begin(t roster.Target, number uint64, by string, batch bool) Place {
	now := time.Now()
	if batch {
		p.board.Add(string(t.Start), 0, 1)
	} else {
		if g := p.groups[t.Group]; g != nil {
			g.table.Start(now, string(t.Start), false)
		}
		p.board.Add(string(t.Start), 1, 0)
	}
	p.scheduler.own.begin(number, ownLease{target: t, batch: batch, by: by})
	p.touched()
	return Place{Target: t, Alive: p.starts.begin(t), lease: number}
}

// takeKnown chooses by what is known here.
func (p *Places) takeKnown(a Ask) (Place, *outcome.Refusal) {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	g := p.groups[a.Group]
	if g == nil || len(g.targets) == 0 {
		return Place{}, outcome.Refuse(outcome.NoTarget, "no target of %s is known", a.Group).After(noTargetRetryMs)
	}
	p.hear(now, g)
	if refusal := g.table.Admit(now, now.Add(a.Patience)); refusal != nil {
		return Place{}, refusal
	}
	ask := routing.Request{Zone: p.zone, Exclude: a.Exclude, LastChance: a.LastChance, SeedValue: rand.Uint64()}
	ask.FarIsStale = p.Scheduled()
	ask.WordAge = time.Duration(p.wordAge.Load())
	ask.Alone = a.Alone
	choice, ok := routing.Choice{}, false
	if !a.Alone {
		choice, ok = g.table.PickLeast(now, ask)
	}
	if !ok {
		choice, ok = g.table.Pick(now, ask)
	}
	t, known := p.used[roster.Start(choice.Address)]
	if !ok || !known {
		return Place{}, outcome.Refuse(outcome.NoTarget, "no target of %s takes requests", a.Group).After(noTargetRetryMs)
	}
	running := p.board.Total(now, string(t.Start))
	place := p.begin(t, p.scheduler.own.next(), "", false)
	place.Running, place.WordAge = running.Online+running.Batch, ask.WordAge
	return place, nil
}

// hear tells the group's table the fleet's counts.
func (p *Places) hear(now time.Time, g *group) {
	doubts := p.board.Doubts(now)
	for _, t := range g.targets {
		start := string(t.Start)
		total := p.board.Total(now, start)
		g.table.Hear(now, start, routing.Word{OnlineTotal: total.Online, BatchRunning: total.Batch,
			ReportAge: -1, Slots: t.Slots, Doubt: doubts[start]})
	}
}

// Release ends what Take counted. took is the whole time of an answered
// request, 0 for others.
func (p *Places) Release(place Place, result routing.Outcome, took time.Duration) {
	now := time.Now()
	t := place.Target
	p.mu.Lock()
	defer p.mu.Unlock()
	p.board.Add(string(t.Start), -1, 0)
	p.starts.done(t)
	p.noteEnd(now, t, result)
	g := p.groups[t.Group]
	if g != nil && took > 0 {
		g.table.Measured(took)
	}
	p.scheduler.own.end(place.lease, p.toldOutcome(now, g, result), took)
	p.touched()
}

// Doubt has the target doubted, here and in the zone, before the request there ends.
func (p *Places) Doubt(place Place) {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if g := p.groups[place.Group]; g != nil {
		g.table.Suspect(now, string(place.Start))
	}
	p.scheduler.own.doubt(place.lease)
	p.touched()
}

// toldOutcome is what the zone's leader is told of an end. A daemon at which more
// targets fail than can be their own fault tells of no failure; see routing.Doubts.
func (p *Places) toldOutcome(now time.Time, g *group, result routing.Outcome) routing.Outcome {
	if result == routing.Succeeded || g != nil && g.table.Doubts(now) != nil {
		return result
	}
	return routing.Neutral
}

// noteEnd tells the group's table how a request ended.
func (p *Places) noteEnd(now time.Time, t roster.Target, result routing.Outcome) {
	g := p.groups[t.Group]
	if g == nil {
		return
	}
	state, changed := g.table.End(now, string(t.Start), false, result)
	if changed {
		p.logger.Info("target_health", zap.String("target", t.ID), zap.String("group", t.Group), zap.Stringer("state", state))
	}
}

// TakeBatch chooses the emptiest target with a place that neither online nor
// batch work takes, leaving headroom places free, and counts a batch item there;
// ReleaseBatch must follow.
func (p *Places) TakeBatch(ctx context.Context, groupName string, exclude map[string]bool, headroom int) (Place, bool) {
	if !p.Scheduled() {
		return p.takeBatchKnown(groupName, exclude, headroom)
	}
	ask := p.ask(groupName, exclude)
	ask.Batch, ask.Headroom = true, headroom
	grant, by, answered := p.scheduler.slot(ctx, ask)
	if !answered || grant.Verdict != slots.Granted {
		return Place{}, false
	}
	return p.accept(ask, grant, by)
}

// takeBatchKnown chooses by what is known here.
func (p *Places) takeBatchKnown(groupName string, exclude map[string]bool, headroom int) (Place, bool) {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	g := p.groups[groupName]
	if g == nil {
		return Place{}, false
	}
	p.hear(now, g)
	best, lowest := roster.Target{}, 0
	first := rand.IntN(max(1, len(g.targets)))
	for i := range g.targets {
		t := g.targets[(first+i)%len(g.targets)]
		start := string(t.Start)
		total := p.board.Total(now, start)
		running := total.Online + total.Batch
		if exclude[start] && len(g.targets) > 1 || running+headroom >= t.Slots || !g.table.Open(now, start) {
			continue
		}
		// Twice the count leaves room for the own zone to win among equals: bytes
		// between zones cost more than the order of equal targets matters.
		weight := 2 * running
		if t.Zone != p.zone {
			weight++
		}
		if g.table.Doubtful(now, start) {
			weight += 2 * t.Slots
		}
		if best.ID == "" || weight < lowest {
			best, lowest = t, weight
		}
	}
	if best.ID == "" {
		return Place{}, false
	}
	return p.begin(best, p.scheduler.own.next(), "", true), true
}

// ReleaseBatch ends what TakeBatch counted.
func (p *Places) ReleaseBatch(place Place, result routing.Outcome) {
	now := time.Now()
	t := place.Target
	p.mu.Lock()
	defer p.mu.Unlock()
	p.board.Add(string(t.Start), 0, -1)
	p.starts.done(t)
	g := p.groups[t.Group]
	if g != nil {
		g.table.Note(now, string(t.Start), result)
	}
	p.scheduler.own.end(place.lease, p.toldOutcome(now, g, result), 0)
	p.touched()
}

// Free returns how many places of the group neither online nor batch work takes,
// headroom places of each target left out.
func (p *Places) Free(groupName string, headroom int) int {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	g := p.groups[groupName]
	if g == nil {
		return 0
	}
	free := 0
	for _, t := range g.targets {
		if g.table.Open(now, string(t.Start)) {
			total := p.board.Total(now, string(t.Start))
			free += max(0, t.Slots-headroom-total.Online-total.Batch)
		}
	}
	return free
}
