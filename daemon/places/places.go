// Package places is the daemon's view of the targets: which targets exist, how many
// requests the whole fleet runs at each of them, and which target gets the next request.
package places

import (
	"cmp"
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
	"tarragonhollow.example/tarragonhollow/core/streamversion"
	"tarragonhollow.example/tarragonhollow/daemon/duty"
	"tarragonhollow.example/tarragonhollow/peer"
)

// Options configure Places.
type Options struct {
	// Host is the daemon's name, Zone its availability zone.
	Host, Zone string
	// PeerAddress is the address at which other daemons reach this one.
	PeerAddress string
	// FleetSize returns the number of daemons; nil means one.
	FleetSize func() int
	// LargeZone reports whether the zone is so large that most of its daemons hold only a
	// sample of the targets, chosen by a daemon that knows all of them; nil means no.
	LargeZone func() bool
	// QuotasInUse reports whether requests are counted against account quotas, which
	// requires zone leaders in a small fleet too; nil means no.
	QuotasInUse func() bool
	// Peers calls the other daemons; nil in a fleet of one. Cores is the processor time
	// that this daemon may use, in cores.
	Peers peer.Caller
	Cores float64
	// SlotTimeout bounds one call to a leader for a slot; default 40 ms.
	SlotTimeout time.Duration
	// Drain is how long targets serve on after they have announced their leave, Heartbeat the
	// interval at which they write their entries; 0 means DefaultDrain and DefaultHeartbeat.
	Drain, Heartbeat time.Duration
	// Policy states which optional parts of the scheduler are in force.
	Policy slots.Policy
	Logger *zap.Logger
	// Metrics receives the counters; may be nil.
	Metrics *metrics.Set
}

// Places is the daemon's view of the targets. It is safe for concurrent use.
type Places struct {
	// self is this daemon's peer address.
	self      string
	zone      string
	fleetSize func() int
	largeZone func() bool
	// quotasInUse reports whether account quotas require leaders in a small fleet too.
	quotasInUse func() bool
	// drain and heartbeat are those of the targets; see Options.
	drain, heartbeat time.Duration
	logger           *zap.Logger

	mu     sync.Mutex
	roster *roster.Roster
	// versions are the software versions that targets have had, readerVersions is what a reader
	// said of them.
	versions       streamversion.History
	readerVersions readerVersions
	board          *board.LoadTable
	// heartbeats numbers the heartbeats of the zone's leader.
	heartbeats uint64
	groups     map[string]*group
	// eligible holds the targets that may get work: all of them, or a sample.
	eligible map[roster.Start]roster.Target
	// pool is the set of targets from which samples for other daemons are drawn; nil
	// unless all targets of a large zone are known. builtVersion is the version of the
	// roster from which pool and eligible were built.
	pool         *pool
	builtVersion uint64
	// listReceived notifies of the first list of targets, targetsChanged of each change
	// of eligible.
	listReceived, targetsChanged duty.Notifier
	// starts holds the target starts at which this daemon's work runs, eligible or not.
	starts starts
	// expiry fires when expired targets count as removed.
	expiry    *time.Timer
	onRemoved func(address string)
	// heldItems are the items that no other daemon may run, heldParts the partitions that
	// this daemon certainly holds; both are part of the load report (see package board).
	heldItems []uint64
	heldParts []int
	// heldBack holds, by group, how many slots were last held back from this daemon's
	// batch items.
	heldBack map[string]heldBack

	// loadReportAge is the maximum age, in nanoseconds, of the load reports of daemons
	// that report each change.
	loadReportAge atomic.Int64

	// dirty holds a token when the local counts changed; changed wakes the batch runner
	// when slots may have become free or taken.
	dirty   chan struct{}
	changed chan struct{}

	scheduler *scheduler
}

// noVersion is a value that no version of a roster has.
const noVersion = math.MaxUint64

// group is one target group.
type group struct {
	table   *routing.Table
	targets []roster.Target
}

// New returns a view without targets.
func New(o Options) *Places {
	if o.FleetSize == nil {
		o.FleetSize = func() int { return 1 }
	}
	if o.LargeZone == nil {
		o.LargeZone = func() bool { return false }
	}
	if o.QuotasInUse == nil {
		o.QuotasInUse = func() bool { return false }
	}
	if o.Metrics == nil {
		o.Metrics = metrics.NewSet()
	}
	if o.SlotTimeout <= 0 {
		o.SlotTimeout = defaultSlotTimeout
	}
	p := &Places{
		drain: cmp.Or(o.Drain, DefaultDrain), heartbeat: cmp.Or(o.Heartbeat, DefaultHeartbeat),
		self: o.PeerAddress, zone: o.Zone, fleetSize: o.FleetSize, largeZone: o.LargeZone, quotasInUse: o.QuotasInUse, logger: o.Logger,
		roster: roster.New(), board: board.New(o.Host, o.Zone),
		groups: map[string]*group{}, eligible: map[roster.Start]roster.Target{}, starts: starts{}, heldBack: map[string]heldBack{},
		dirty: make(chan struct{}, 1), changed: make(chan struct{}, 1),
		onRemoved: func(string) {}, builtVersion: noVersion,
	}
	p.scheduler = newScheduler(o, p.Scheduled, p.changed)
	return p
}

// OnRemoved sets the function that is called with the address of a target that was
// removed. It must be called before the view is used.
func (p *Places) OnRemoved(removed func(address string)) { p.onRemoved = removed }

// Update changes the roster and rebuilds the groups if the roster's version changed.
func (p *Places) Update(change func(now time.Time, r *roster.Roster)) {
	now := time.Now()
	p.mu.Lock()
	change(now, p.roster)
	p.versions.Interrupted(p.roster.LoadedAt())
	if p.roster.Version(now) == p.builtVersion {
		p.mu.Unlock()
		return // only heartbeats, nothing changed
	}
	removed := p.rebuild(now)
	replaced := p.starts.replaced(p.roster.CurrentStart)
	p.mu.Unlock()
	for _, t := range removed {
		p.onRemoved(t.Address)
	}
	p.endReplaced(replaced)
	p.listReceived.Notify()
	p.targetsChanged.Notify()
	duty.Wake(p.changed)
}

// endReplaced cancels the work at targets that have restarted.
func (p *Places) endReplaced(replaced []activeStart) {
	for _, start := range replaced {
		p.logger.Info("target_started_again", zap.String("target", start.id), zap.Int("work_ended", start.inFlight))
		start.cancel()
	}
}

// rebuild rebuilds the groups and returns the targets that are no longer eligible.
func (p *Places) rebuild(now time.Time) []roster.Target {
	usable, until := p.roster.Usable(now)
	p.builtVersion = p.roster.Version(now)
	p.versions.Observe(now, p.roster.Versions())
	p.pool = nil
	eligible := usable
	if p.largeZone() && p.roster.Complete() {
		p.pool = newPool(p.zone, usable)
		eligible = p.pool.sample(p.board.Self())
	}
	removed := p.setEligible(eligible)
	p.scheduler.setTargets(p.zoneTargets(usable), p.remoteVersions(usable), len(usable) > 0 && p.roster.Complete())
	p.armExpiry(now, until)
	return removed
}

// setEligible sets the targets that may get work and returns those that no longer may.
func (p *Places) setEligible(eligible []roster.Target) []roster.Target {
	// The first list is logged with one line per group: with thousands of targets, a line
	// per target would keep a small host from serving when it starts.
	first := len(p.eligible) == 0
	byGroup := map[string][]roster.Target{}
	next := make(map[roster.Start]roster.Target, len(eligible))
	for _, t := range eligible {
		byGroup[t.Group] = append(byGroup[t.Group], t)
		next[t.Start] = t
		if _, known := p.eligible[t.Start]; !known && !first {
			p.logger.Info("target_in", zap.String("target", t.ID), zap.Int64("born", t.Born), zap.String("group", t.Group),
				zap.String("address", t.Address), zap.String("zone", t.Zone), zap.String("version", t.Version))
		}
	}
	var removed []roster.Target
	for start, t := range p.eligible {
		if _, stays := next[start]; !stays {
			p.logger.Info("target_out", zap.String("target", t.ID), zap.Int64("born", t.Born), zap.String("group", t.Group))
			removed = append(removed, t)
		}
	}
	p.eligible = next
	if first {
		for name, targets := range byGroup {
			p.logger.Info("targets_loaded", zap.String("group", name), zap.Int("count", len(targets)))
		}
	}
	p.setGroups(byGroup)
	return removed
}

func (p *Places) setGroups(byGroup map[string][]roster.Target) {
	for name := range p.groups {
		if _, stays := byGroup[name]; !stays {
			byGroup[name] = nil
		}
	}
	for name, targets := range byGroup {
		list := make([]routing.Target, 0, len(targets))
		slotsPerTarget := 0
		for _, t := range targets {
			list = append(list, routing.Target{Address: string(t.Start), Zone: t.Zone, Version: t.Version})
			slotsPerTarget = t.Slots
		}
		g := p.groups[name]
		if g == nil {
			g = &group{table: routing.NewTable(name, list, slotsPerTarget)}
			p.groups[name] = g
		} else {
			g.table.SetTargets(list, slotsPerTarget)
		}
		g.targets = targets
	}
}

// zoneTargets lists the targets of the local zone by group.
func (p *Places) zoneTargets(usable []roster.Target) map[string][]slots.Target {
	list := map[string][]slots.Target{}
	for _, t := range usable {
		if t.Zone == p.zone {
			list[t.Group] = append(list[t.Group], slots.Target{Start: string(t.Start), Slots: t.Slots, ID: t.ID, Born: t.Born, Address: t.Address, Zone: t.Zone, Version: t.Version})
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

// Address returns this daemon's peer address.
func (p *Places) Address() string { return p.self }

// TargetsKnown reports whether the list of targets has been read at least once.
func (p *Places) TargetsKnown() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.roster.Known()
}

// AwaitTargets waits until the list of targets has been read, or ctx is done.
func (p *Places) AwaitTargets(ctx context.Context) {
	for {
		known := p.listReceived.Next()
		if p.TargetsKnown() {
			return
		}
		select {
		case <-known:
		case <-ctx.Done():
			return
		}
	}
}

// HasTargets reports whether the group has any usable target.
func (p *Places) HasTargets(group string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	g := p.groups[group]
	return g != nil && len(g.targets) > 0
}

// SetHeldWork publishes to the other daemons which items they must not run and which
// partitions this daemon certainly holds (see package board). Changed partitions alone
// send no report at once; they are part of the next one.
func (p *Places) SetHeldWork(items []uint64, parts []int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.heldParts = parts
	p.scheduler.leases.setHeldWork(HeldWork{items, parts})
	if len(items) == 0 && len(p.heldItems) == 0 {
		return
	}
	p.heldItems = items
	duty.Wake(p.dirty)
}

// PartsElsewhere returns the partitions that other daemons certainly hold.
func (p *Places) PartsElsewhere() map[int]bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.board.PartitionsOfPeers(time.Now())
}

// HeldElsewhere returns the items that other daemons still run.
func (p *Places) HeldElsewhere() map[uint64]bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.board.HeldByPeers(time.Now())
}

// Preemptions returns, by target start, how many of this daemon's batch items online work
// preempts now. Where the zone's leader sends the notices, each of them is returned once.
func (p *Places) Preemptions() map[roster.Start]int {
	if p.Scheduled() {
		return p.scheduler.leases.takePreemptions()
	}
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	preemptions := map[roster.Start]int{}
	for start := range p.board.LocalCounts() {
		t, known := p.eligible[roster.Start(start)]
		if !known {
			continue
		}
		if n := p.board.PreemptCount(now, start, t.Slots); n > 0 {
			preemptions[t.Start] = n
		}
	}
	return preemptions
}

// Changed returns a channel that holds a token when targets or counts changed.
func (p *Places) Changed() <-chan struct{} { return p.changed }

func (p *Places) notifyChange() {
	duty.Wake(p.dirty)
	duty.Wake(p.changed)
}
