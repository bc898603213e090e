// Package places is the daemon's view of the targets: which there are, how many
// requests of the whole fleet run at each, and where the next one goes.
package places

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"tarragonhollow.example/tarragonhollow/core/board"
	"tarragonhollow.example/tarragonhollow/core/outcome"
	"tarragonhollow.example/tarragonhollow/core/roster"
	"tarragonhollow.example/tarragonhollow/core/routing"
	"tarragonhollow.example/tarragonhollow/daemon/duty"
)

// noTargetRetryMs tells callers when to come back to a daemon that knows no
// target. It is one that has just started, or the targets' entries have lapsed;
// they write them again within some 2 s, and other daemons may know more.
const noTargetRetryMs = 500

// Options configure Places.
type Options struct {
	// Host is the daemon's name, Zone its availability zone.
	Host, Zone string
	// PeerAddress is where other daemons reach it.
	PeerAddress string
	// Fleet tells how many daemons there are; nil is one.
	Fleet  func() int
	Logger *zap.Logger
}

// Places is safe for concurrent use.
type Places struct {
	// self is the own peer address.
	self   string
	zone   string
	fleet  func() int
	logger *zap.Logger

	mu     sync.Mutex
	roster *roster.Roster
	board  *board.Board
	groups map[string]*group
	// used holds the targets that may get work.
	used map[roster.Start]roster.Target
	// starts holds those where own work runs, used or not.
	starts starts
	// expiry wakes the view when lapsed targets count as gone.
	expiry *time.Timer
	gone   func(address string)
	// held names the items that another daemon must not run, parts the partitions
	// that this one holds for certain; see board.Word.
	held  []uint64
	parts []int

	// wordAge is how old the words of the daemons that tell each change may be, in
	// nanoseconds.
	wordAge atomic.Int64

	// dirty holds a token when own counts changed; changed wakes the batch
	// runner when room may have come or gone.
	dirty   chan struct{}
	changed chan struct{}
}

// group is one target group.
type group struct {
	table   *routing.Table
	targets []roster.Target
}

// New returns a view without targets.
func New(o Options) *Places {
	if o.Fleet == nil {
		o.Fleet = func() int { return 1 }
	}
	return &Places{
		self: o.PeerAddress, zone: o.Zone, fleet: o.Fleet, logger: o.Logger,
		roster: roster.New(), board: board.New(o.Host, o.Zone),
		groups: map[string]*group{}, used: map[roster.Start]roster.Target{}, starts: starts{},
		dirty: make(chan struct{}, 1), changed: make(chan struct{}, 1),
		gone: func(string) {},
	}
}

// OnGone sets what is called with the address of a target that left for good.
// It is set before the view is used.
func (p *Places) OnGone(gone func(address string)) { p.gone = gone }

// Update changes the roster and works out the groups anew.
func (p *Places) Update(change func(now time.Time, r *roster.Roster)) {
	now := time.Now()
	p.mu.Lock()
	change(now, p.roster)
	left := p.rebuild(now)
	replaced := p.starts.replaced(p.roster.Current)
	p.mu.Unlock()
	for _, t := range left {
		p.gone(t.Address)
	}
	for _, at := range replaced {
		p.logger.Info("target_started_again", zap.String("target", at.id), zap.Int("work_ended", at.work))
		at.end()
	}
	duty.Wake(p.changed)
}

// rebuild works the groups out and returns the targets that are no longer used.
func (p *Places) rebuild(now time.Time) []roster.Target {
	usable, until := p.roster.Usable(now)
	// A first list is told in one line a group: with thousands of targets a line for
	// each would keep a small host from serving when it starts.
	first := len(p.used) == 0
	members := map[string][]roster.Target{}
	next := make(map[roster.Start]roster.Target, len(usable))
	for _, t := range usable {
		members[t.Group] = append(members[t.Group], t)
		next[t.Start] = t
		if _, known := p.used[t.Start]; !known && !first {
			p.logger.Info("target_in", zap.String("target", t.ID), zap.Int64("born", t.Born), zap.String("group", t.Group),
				zap.String("address", t.Address), zap.String("zone", t.Zone))
		}
	}
	var left []roster.Target
	for start, t := range p.used {
		if _, stays := next[start]; !stays {
			p.logger.Info("target_out", zap.String("target", t.ID), zap.Int64("born", t.Born), zap.String("group", t.Group))
			left = append(left, t)
		}
	}
	p.used = next
	if first {
		for name, targets := range members {
			p.logger.Info("targets_loaded", zap.String("group", name), zap.Int("count", len(targets)))
		}
	}
	p.setGroups(members)
	p.armExpiry(now, until)
	return left
}

func (p *Places) setGroups(members map[string][]roster.Target) {
	for name := range p.groups {
		if _, stays := members[name]; !stays {
			members[name] = nil
		}
	}
	for name, targets := range members {
		list := make([]routing.Target, 0, len(targets))
		slots := 0
		for _, t := range targets {
			list = append(list, routing.Target{Address: string(t.Start), Zone: t.Zone})
			slots = t.Slots
		}
		g := p.groups[name]
		if g == nil {
			g = &group{table: routing.NewTable(name, list, slots)}
			p.groups[name] = g
		} else {
			g.table.SetTargets(list, slots)
		}
		g.targets = targets
	}
}

func (p *Places) armExpiry(now, until time.Time) {
	if p.expiry != nil {
		p.expiry.Stop()
		p.expiry = nil
	}
	if until.IsZero() {
		return
	}
	p.expiry = time.AfterFunc(until.Sub(now), func() { p.Update(func(time.Time, *roster.Roster) {}) })
}

// Known tells whether the list of targets was read at all.
func (p *Places) Known() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.roster.Known()
}

// Has tells whether the group has any usable target.
func (p *Places) Has(group string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	g := p.groups[group]
	return g != nil && len(g.targets) > 0
}

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
	// and batch; WordAge is how old the others' part of it may be.
	Running int
	WordAge time.Duration
	// Alive is done once the target is known to have started again.
	Alive context.Context
}

// Take chooses a target for an online request and counts the request there;
// Release must follow. A refusal is true: nothing was sent.
func (p *Places) Take(a Ask) (Place, *outcome.Refusal) {
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
	ask.FarIsStale = p.fleet() > smallFleet
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
	g.table.Start(now, string(t.Start), false)
	p.board.Add(string(t.Start), 1, 0)
	p.touched()
	return Place{Target: t, Running: running.Online + running.Batch, WordAge: ask.WordAge, Alive: p.starts.begin(t)}, nil
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
func (p *Places) Release(t roster.Target, result routing.Outcome, took time.Duration) {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.board.Add(string(t.Start), -1, 0)
	p.starts.done(t)
	p.noteEnd(now, t, result)
	if g := p.groups[t.Group]; g != nil && took > 0 {
		g.table.Measured(took)
	}
	p.touched()
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
func (p *Places) TakeBatch(groupName string, exclude map[string]bool, headroom int) (Place, bool) {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	g := p.groups[groupName]
	if g == nil {
		return Place{}, false
	}
	p.hear(now, g)
	farWeight := 1
	if p.fleet() > smallFleet {
		farWeight = 2 * farMargin
	}
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
			weight += farWeight
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
	p.board.Add(string(best.Start), 0, 1)
	p.touched()
	return Place{Target: best, Alive: p.starts.begin(best)}, true
}

// ReleaseBatch ends what TakeBatch counted.
func (p *Places) ReleaseBatch(t roster.Target, result routing.Outcome) {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.board.Add(string(t.Start), 0, -1)
	p.starts.done(t)
	if g := p.groups[t.Group]; g != nil {
		g.table.Note(now, string(t.Start), result)
	}
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

// SetHeld tells the other daemons which items they must not run and which partitions
// this one holds for certain; see board.Word. Partitions go out with the next word.
func (p *Places) SetHeld(items []uint64, parts []int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.parts = parts
	if len(items) == 0 && len(p.held) == 0 {
		return
	}
	p.held = items
	duty.Wake(p.dirty)
}

// PartsElsewhere returns the partitions that other daemons hold for certain.
func (p *Places) PartsElsewhere() map[int]bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.board.PartsElsewhere(time.Now())
}

// HeldElsewhere returns the items that other daemons still run.
func (p *Places) HeldElsewhere() map[uint64]bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.board.HeldElsewhere(time.Now())
}

// Yields returns, by start of a target, how many own batch items must give way to
// online work now.
func (p *Places) Yields() map[roster.Start]int {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	yields := map[roster.Start]int{}
	for start := range p.board.Counts() {
		t, known := p.used[roster.Start(start)]
		if !known {
			continue
		}
		if n := p.board.Yield(now, start, t.Zone, t.Slots); n > 0 {
			yields[t.Start] = n
		}
	}
	return yields
}

// Changed has a token when targets or counts changed.
func (p *Places) Changed() <-chan struct{} { return p.changed }

func (p *Places) touched() {
	duty.Wake(p.dirty)
	duty.Wake(p.changed)
}
