// Package slots records which slots of an availability zone's targets are taken, and
// assigns them. It does no I/O and reads no clock.
//
// One daemon of the zone keeps the ledger; the others request a slot from it before each
// request and report the end. The count is therefore exact at the time of the choice,
// whatever the size of the fleet, at a cost of two short messages per request. If instead
// every daemon chose from the load reports of the others, the number of messages would
// grow with the square of the zone's size, and requests started between two reports would
// go to the same targets.
//
// A slot is assigned as a lease under an ID that its holder chose. Holders report all
// their leases periodically: a new ledger is complete after one such report of each
// holder, and a lease whose end was lost, or whose holder died, expires. No guarantee
// depends on the ledger: a wrong count only places work less well.
package slots

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"tarragonhollow.example/tarragonhollow/core/board"
	"tarragonhollow.example/tarragonhollow/core/routing"
)

const (
	// LeaseTTL is how long a lease is valid without being renewed. It bounds how long the
	// work of a daemon that died is still counted.
	LeaseTTL = 1500 * time.Millisecond
	// ReportInterval is the interval at which holders report their leases. A lease
	// survives the loss of two reports.
	ReportInterval = 500 * time.Millisecond
	// maxGrantDelay is how long a grant may take to reach its holder. A report does not
	// end a younger lease that it does not name.
	maxGrantDelay = 300 * time.Millisecond
	// preemptTime is how long a batch item may still run after its preemption. If it runs
	// for longer, its holder did not receive the notice.
	preemptTime = 500 * time.Millisecond
)

// Target is a target of the zone.
type Target struct {
	// Start identifies one start of the target; see roster.Start.
	Start string
	// Slots is how many requests it runs at once.
	Slots int
	// ID, Born, Address, Zone and Version describe the target to a holder that does not
	// know it; see roster.Target.
	ID            string
	Born          int64
	Address, Zone string
	Version       string
}

// ID identifies a lease: the peer address of its holder, and a number that the holder
// never reuses.
type ID struct {
	Holder string
	Number uint64
}

// Running is a lease as reported by its holder.
type Running struct {
	Number uint64
	Target string
	Batch  bool
}

// Ended is the end of a lease as reported by its holder.
type Ended struct {
	Number uint64
	Target string
	// Outcome is what the end shows about the target's health.
	Outcome routing.Outcome
	// Took is the total time of an answered online request, 0 for anything else.
	Took time.Duration
}

// Ledger holds the leases of one zone's targets.
type Ledger struct {
	policy  Policy
	groups  map[string]*group
	holders map[string]map[uint64]*lease
	usage   map[string]*usage
	remote  map[string]*remoteZone
	// failed holds the zones that did not serve a request, by group.
	failed map[ZoneGroup]failedZone
	// remoteVersions holds the versions of the targets of other zones, nil for unknown.
	remoteVersions map[ZoneGroup]bool
	// visits holds when a request that requires a version was last sent to a zone.
	visits map[ZoneGroup]time.Time
	// zoneRule decides whether a request that gets no slot here is sent to another zone.
	zoneRule func(home, other ZoneLoad) (gain float64, sends bool)
	// slowRunsAt is when the runs were last examined for slow ones.
	slowRunsAt time.Time
	waiting    waiting
	// fairness is the state of fair shares and paced returns.
	fairness fairness
	// nextSample is when the use by online work is sampled next; see reserve.go.
	nextSample time.Time
	// scratch is the memory of candidates.
	scratch []candidate
}

type group struct {
	targets []Target
	// usages holds the state of each target.
	usages []*usage
	// versions indexes the targets by version.
	versions versionIndex
	// use is the use of the targets by online requests.
	use *onlineUse
	// serviceTime is that of online requests.
	serviceTime routing.ServiceTime
	drain       drain
	pace        pace
	// line holds the group's waiting requests.
	line line
}

// usage is the state of one target.
type usage struct {
	online, batch int
	// group is the target's group, "" if the target may get no work.
	group string
	// leases holds the leases of the target.
	leases map[*lease]bool
	// preempted holds the batch leases of the target that were preempted and have not ended.
	// Each grant counts them at each target it examines.
	preempted   []*lease
	degradation routing.Degradation
	rate        targetRate
	// slots is the number of the target's slots and use that of its group's online
	// requests, 0 and nil while the target is not listed.
	slots int
	use   *onlineUse
	// freed holds when online requests ended here within onlineHold.
	freed []time.Time
	// bySlack selects the victims of a preemption by their slack; see preempt.go.
	bySlack bool
}

// lease is one taken slot.
type lease struct {
	id     ID
	group  string
	target string
	batch  bool
	// granted is when the lease was granted or first reported, renewed when it was last
	// reported.
	granted, renewed time.Time
	// work and slack are those of the request, 0 if the lease was learned from a report.
	work  float64
	slack time.Duration
	// timed reports whether the time until its end is the target's service time: it is an
	// online request that got a free slot. slow reports whether it counted as a slow run.
	timed, slow bool
	// grant is the answer to the request, for a holder that did not receive it and asks
	// again; nil unless the holder does so.
	grant *Grant
	// preemptUntil is until when the item is expected to end after its preemption.
	preemptUntil time.Time
}

// NewLedger returns a ledger without targets and without optional parts.
func NewLedger() *Ledger { return NewLedgerWith(Policy{}) }

// NewLedgerWith returns a ledger without targets.
func NewLedgerWith(policy Policy) *Ledger {
	return &Ledger{policy: policy, groups: map[string]*group{}, holders: map[string]map[uint64]*lease{}, usage: map[string]*usage{},
		remote: map[string]*remoteZone{}, failed: map[ZoneGroup]failedZone{}, visits: map[ZoneGroup]time.Time{}, zoneRule: byEarliestStart, waiting: newWaiting(), fairness: newFairness()}
}

// SetTargets replaces the zone's targets that may get work, by group. The state of
// targets that remain is kept, and leases at removed targets continue.
func (l *Ledger) SetTargets(targets map[string][]Target) {
	groups := make(map[string]*group, len(targets))
	for _, u := range l.usage {
		u.group = ""
	}
	for name, list := range targets {
		g := &group{targets: list, use: &onlineUse{}, versions: newVersionIndex(list)}
		if known := l.groups[name]; known != nil {
			g.serviceTime, g.use, g.drain, g.pace, g.line = known.serviceTime, known.use, known.drain, known.pace, known.line
		}
		groups[name] = g
		for _, t := range list {
			u := l.usageOf(t.Start)
			u.group = name
			g.usages = append(g.usages, u)
		}
	}
	l.replaceGroups(groups)
	l.assignUse()
	for start, u := range l.usage {
		if u.group == "" && len(u.leases) == 0 {
			delete(l.usage, start)
		}
	}
}

// Report applies a holder's report of its leases: all that run, and the ends since its
// last report.
func (l *Ledger) Report(now time.Time, holder string, running []Running, ended []Ended) {
	l.sample(now)
	l.End(now, holder, ended)
	named := make(map[uint64]bool, len(running))
	for _, r := range running {
		named[r.Number] = true
		l.renew(now, ID{holder, r.Number}, r)
	}
	for number, le := range l.holders[holder] {
		if !named[number] && now.Sub(le.granted) > maxGrantDelay {
			l.drop(le)
		}
	}
}

// End applies ends of a holder's leases without a full report.
func (l *Ledger) End(now time.Time, holder string, ended []Ended) {
	l.sample(now)
	for _, e := range ended {
		l.end(now, ID{holder, e.Number}, e)
	}
}

// renew renews a running lease. It adds a lease that is not known here, for example
// because another ledger granted it.
func (l *Ledger) renew(now time.Time, id ID, r Running) {
	le := l.holders[id.Holder][id.Number]
	if le == nil || le.target != r.Target {
		if le != nil {
			l.drop(le)
		}
		le = l.add(now, id, r)
	}
	le.renewed = now
}

func (l *Ledger) add(now time.Time, id ID, r Running) *lease {
	le := &lease{id: id, target: r.Target, batch: r.Batch, granted: now, renewed: now}
	if old := l.holders[id.Holder][id.Number]; old != nil {
		l.drop(old)
	}
	if l.holders[id.Holder] == nil {
		l.holders[id.Holder] = map[uint64]*lease{}
	}
	l.holders[id.Holder][id.Number] = le
	u := l.usageOf(r.Target)
	u.leases[le] = true
	u.count(le, 1)
	if !le.batch {
		u.reuse()
	}
	return le
}

func (u *usage) count(le *lease, by int) {
	if le.batch {
		u.batch += by
		u.use.changeBatch(by)
		return
	}
	u.use.change(u.slots, u.online, u.online+by)
	u.online += by
}

func (l *Ledger) drop(le *lease) {
	held := l.holders[le.id.Holder]
	delete(held, le.id.Number)
	if len(held) == 0 {
		delete(l.holders, le.id.Holder)
	}
	u := l.usageOf(le.target)
	delete(u.leases, le)
	if !le.preemptUntil.IsZero() {
		u.preempted = slices.DeleteFunc(u.preempted, func(p *lease) bool { return p == le })
	}
	u.count(le, -1)
	l.slotFreed(le.target)
}

// usageOf returns the state of the target and creates it if necessary.
func (l *Ledger) usageOf(start string) *usage {
	u := l.usage[start]
	if u == nil {
		u = &usage{leases: map[*lease]bool{}, bySlack: l.policy.BatchReserve}
		l.usage[start] = u
	}
	return u
}

// end applies the end of a lease. If the lease is not known here, the outcome still
// counts for the target.
func (l *Ledger) end(now time.Time, id ID, e Ended) {
	l.leave(id)
	le := l.holders[id.Holder][id.Number]
	if le != nil {
		l.drop(le)
		l.recordFreed(now, le)
	}
	if e.Target == "" {
		return
	}
	u := l.usageOf(e.Target)
	l.countFreed(now, le, u)
	switch e.Outcome {
	case routing.Succeeded:
		u.degradation = routing.Degradation{}
	case routing.SoftFailed, routing.HardFailed:
		u.degradation.RecordFailure(now, 0)
	}
	if le == nil || e.Took <= 0 {
		return
	}
	if g := l.groups[le.group]; g != nil {
		g.serviceTime.Observe(e.Took)
	}
	l.observeRate(now, le, e.Took)
}

// countFreed counts the slot that the end of a lease frees. The slot of a preempted item
// already belongs to the request that preempted it, and that of a removed target is of no
// use.
func (l *Ledger) countFreed(now time.Time, le *lease, u *usage) {
	if g := l.groups[u.group]; g != nil && le != nil && le.preemptUntil.IsZero() {
		g.drain.add(now, 1)
	}
}

// Expire drops the leases that were not renewed within LeaseTTL, and records the requests
// that take unexpectedly long.
func (l *Ledger) Expire(now time.Time) {
	l.expireFairness(now)
	l.sample(now)
	for _, held := range l.holders {
		for _, le := range held {
			if now.Sub(le.renewed) > LeaseTTL {
				l.drop(le)
			}
		}
	}
	l.observeSlowRuns(now)
}

// Counts returns the number of requests at each target that has leases.
func (l *Ledger) Counts() map[string]board.Count {
	counts := map[string]board.Count{}
	for start, u := range l.usage {
		if len(u.leases) > 0 {
			counts[start] = board.Count{Online: u.online, Batch: u.batch}
		}
	}
	return counts
}

// Fullest returns the counts of the most loaded targets, at most as many as given.
func (l *Ledger) Fullest(most int) map[string]board.Count {
	counts := l.Counts()
	if len(counts) <= most {
		return counts
	}
	starts := slices.SortedFunc(maps.Keys(counts), func(a, b string) int {
		return cmp.Or(cmp.Compare(counts[b].Online+counts[b].Batch, counts[a].Online+counts[a].Batch), cmp.Compare(a, b))
	})
	for _, start := range starts[most:] {
		delete(counts, start)
	}
	return counts
}

// DegradedTargets returns the number of consecutive failures of each degraded target.
func (l *Ledger) DegradedTargets(now time.Time) map[string]int {
	degraded := map[string]int{}
	for start, u := range l.usage {
		if u.degradation.Active(now) {
			degraded[start] = u.degradation.Failures()
		}
	}
	return degraded
}
