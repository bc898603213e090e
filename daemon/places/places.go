// Package places is the daemon's view of the targets: which there are, how many
// requests of the whole fleet run at each, and where the next one goes.
package places

import (
	"context"
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"tarragonhollow.example/tarragonhollow/core/board"
	"tarragonhollow.example/tarragonhollow/core/roster"
	"tarragonhollow.example/tarragonhollow/core/routing"
	"tarragonhollow.example/tarragonhollow/core/slots"
	"tarragonhollow.example/tarragonhollow/daemon/duty"
	"tarragonhollow.example/tarragonhollow/peer"
)

// Options configure Places.
type Options struct {
	// Host is the daemon's name, Zone its availability zone.
	Host, Zone string
	// PeerAddress is where other daemons reach it.
	PeerAddress string
	// Fleet tells how many daemons there are; nil is one.
	Fleet func() int
	// Lean tells whether the zone is so large that most of its daemons hold only a sample
	// of the targets, chosen by a daemon that knows all; nil is no.
	Lean func() bool
	// Counted tells whether accounts' requests are counted, for which zones need leaders
	// in a small fleet too; nil is no.
	Counted func() bool
	// Peers calls the other daemons; nil in a fleet of one. Cores is the processor
	// time that this one may use.
	Peers peer.Caller
	Cores float64
	// AskTime bounds the asking for a slot; default 40 ms.
	AskTime time.Duration
	Logger  *zap.Logger
	// Metrics receives the counters; may be nil.
	Metrics *metrics.Set
}

// Places is safe for concurrent use.
type Places struct {
	// self is the own peer address.
	self  string
	zone  string
	fleet func() int
	lean  func() bool
	// counted tells whether a small fleet needs leaders.
	counted func() bool
	logger  *zap.Logger

	mu     sync.Mutex
	roster *roster.Roster
	board  *board.Board
	// beats numbers the heartbeats of the zone's leader.
	beats  uint64
	groups map[string]*group
	// used holds the targets that may get work: all of them, or a sample.
	used map[roster.Start]roster.Target
	// pool is what samples for other daemons are taken from, nil unless all targets of a
	// large zone are known. built is the version of the roster that it and used are made
	// from.
	pool  *pool
	built uint64
	// known tells of the first list of targets, listed of each change of used.
	known, listed duty.News
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

	scheduler *scheduler
}

// neverBuilt is no version of a roster.
const neverBuilt = math.MaxUint64

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
	if o.Lean == nil {
		o.Lean = func() bool { return false }
	}
	if o.Counted == nil {
		o.Counted = func() bool { return false }
	}
	if o.Metrics == nil {
		o.Metrics = metrics.NewSet()
	}
	if o.AskTime <= 0 {
		o.AskTime = defaultAskTime
	}
	p := &Places{
		self: o.PeerAddress, zone: o.Zone, fleet: o.Fleet, lean: o.Lean, counted: o.Counted, logger: o.Logger,
		roster: roster.New(), board: board.New(o.Host, o.Zone),
		groups: map[string]*group{}, used: map[roster.Start]roster.Target{}, starts: starts{},
		dirty: make(chan struct{}, 1), changed: make(chan struct{}, 1),
		gone: func(string) {}, built: neverBuilt,
	}
	p.scheduler = newScheduler(o, p.Scheduled, p.changed)
	return p
}

// OnGone sets what is called with the address of a target that left for good.
// It is set before the view is used.
func (p *Places) OnGone(gone func(address string)) { p.gone = gone }

// Update changes the roster and works out the groups anew.
func (p *Places) Update(change func(now time.Time, r *roster.Roster)) {
	now := time.Now()
	p.mu.Lock()
	change(now, p.roster)
	if p.roster.Version(now) == p.built {
		p.mu.Unlock()
		return // heartbeats without news
	}
	left := p.rebuild(now)
	replaced := p.starts.replaced(p.roster.Current)
	p.mu.Unlock()
	for _, t := range left {
		p.gone(t.Address)
	}
	p.endReplaced(replaced)
	p.known.Tell()
	p.listed.Tell()
	duty.Wake(p.changed)
}

// endReplaced ends the work at targets that have started again.
func (p *Places) endReplaced(replaced []*runningStart) {
	for _, at := range replaced {
		p.logger.Info("target_started_again", zap.String("target", at.id), zap.Int("work_ended", at.work))
		at.end()
	}
}

// rebuild works the groups out and returns the targets that are no longer used.
func (p *Places) rebuild(now time.Time) []roster.Target {
	usable, until := p.roster.Usable(now)
	p.built = p.roster.Version(now)
	p.pool = nil
	held := usable
	if p.lean() && p.roster.Complete() {
		p.pool = newPool(p.zone, usable)
		held = p.pool.sample(p.board.Self())
	}
	left := p.hold(held)
	p.scheduler.setTargets(p.zoneTargets(usable), len(usable) > 0 && p.roster.Complete())
	p.armExpiry(now, until)
	return left
}

// hold takes the targets that may get work, and returns those that may no longer.
func (p *Places) hold(held []roster.Target) []roster.Target {
	// A first list is told in one line a group: with thousands of targets a line for
	// each would keep a small host from serving when it starts.
	first := len(p.used) == 0
	members := map[string][]roster.Target{}
	next := make(map[roster.Start]roster.Target, len(held))
	for _, t := range held {
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

// zoneTargets lists the targets of the own zone by group.
func (p *Places) zoneTargets(usable []roster.Target) map[string][]slots.Target {
	list := map[string][]slots.Target{}
	for _, t := range usable {
		if t.Zone == p.zone {
			list[t.Group] = append(list[t.Group], slots.Target{Start: string(t.Start), Slots: t.Slots, ID: t.ID, Born: t.Born, Address: t.Address, Zone: t.Zone})
		}
	}
	return list
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

// Address returns the own peer address.
func (p *Places) Address() string { return p.self }

// Known tells whether the list of targets was read at all.
func (p *Places) Known() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.roster.Known()
}

// AwaitKnown waits until the list of targets was read, or ctx is done.
func (p *Places) AwaitKnown(ctx context.Context) {
	for {
		known := p.known.Next()
		if p.Known() {
			return
		}
		select {
		case <-known:
		case <-ctx.Done():
			return
		}
	}
}

// Has tells whether the group has any usable target.
func (p *Places) Has(group string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	g := p.groups[group]
	return g != nil && len(g.targets) > 0
}

// SetHeld tells the other daemons which items they must not run and which partitions
// this one holds for certain; see board.Word. Partitions go out with the next word.
func (p *Places) SetHeld(items []uint64, parts []int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.parts = parts
	p.scheduler.own.hold(HeldWork{items, parts})
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
// online work now. Each is told once where the zone's leader says so.
func (p *Places) Yields() map[roster.Start]int {
	if p.Scheduled() {
		return p.scheduler.own.takeYields()
	}
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	yields := map[roster.Start]int{}
	for start := range p.board.Counts() {
		t, known := p.used[roster.Start(start)]
		if !known {
			continue
		}
		if n := p.board.Yield(now, start, t.Slots); n > 0 {
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
