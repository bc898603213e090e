// Package slots keeps which slots of an availability zone's targets are taken, and
// gives them out. It is pure.
//
// One daemon of the zone keeps the ledger; the others ask it for a slot before each
// request and tell it the end. So the count is exact at the moment of the choice,
// whatever the size of the fleet, at the price of two short messages a request. When
// every daemon chose by itself from what it had heard of the others, the messages
// grew with the square of the zone, and what started between two of them met at the
// same targets.
//
// A slot is given as a lease under a name that its holder chose. Holders tell all
// their leases again and again: a ledger that has just begun is whole after one such
// report of each, and a lease whose end was lost, or whose holder died, lapses.
// Nothing that must hold depends on the ledger: a wrong count places work worse.
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
	// LeaseLife is how long a lease counts without being told again. It bounds how
	// long the work of a daemon that died is still counted.
	LeaseLife = 1500 * time.Millisecond
	// ReportEvery is the pace at which holders tell their leases; two reports may be
	// lost.
	ReportEvery = 500 * time.Millisecond
	// inFlight is how long a lease that a report does not name may have been under
	// way to its holder when that report was sent.
	inFlight = 300 * time.Millisecond
	// yieldTime is how long a batch item that was told to give way may still run. One
	// that runs on has a holder that did not hear of it.
	yieldTime = 500 * time.Millisecond
)

// Target is where requests run.
type Target struct {
	// Start names the target's start; see roster.Start.
	Start string
	// Slots is how many requests it runs at once.
	Slots int
	// ID, Born, Address and Zone tell a holder that does not know the target where it is;
	// see roster.Target.
	ID            string
	Born          int64
	Address, Zone string
}

// ID names a lease: its holder's peer address, and a number that the holder never
// uses again.
type ID struct {
	Holder string
	Number uint64
}

// Running is a lease as its holder tells it.
type Running struct {
	Number uint64
	Target string
	Batch  bool
}

// Ended is the end of a lease as its holder tells it.
type Ended struct {
	Number uint64
	Target string
	// Outcome is what the end says of the target.
	Outcome routing.Outcome
	// Took is the time of an answered online request, 0 for anything else.
	Took time.Duration
}

// Ledger keeps the leases of one zone's targets.
type Ledger struct {
	groups  map[string]*group
	holders map[string]map[uint64]*lease
	usage   map[string]*usage
	others  map[string]*room
}

// group is one target group.
type group struct {
	targets []Target
	// speed is that of online requests.
	speed routing.Speed
}

// usage is what is known of one target.
type usage struct {
	online, batch int
	// leases holds those that run there.
	leases map[*lease]bool
	doubt  routing.Doubt
}

// lease is one taken slot.
type lease struct {
	id     ID
	group  string
	target string
	batch  bool
	// granted is when it was given or first told, told when it was last told.
	granted, told time.Time
	// yields is until when it is expected to give way.
	yields time.Time
}

// NewLedger returns a ledger without targets.
func NewLedger() *Ledger {
	return &Ledger{groups: map[string]*group{}, holders: map[string]map[uint64]*lease{}, usage: map[string]*usage{}, others: map[string]*room{}}
}

// SetTargets replaces the zone's targets that may get work, by group. What is known
// of those that stay is kept, and leases at others go on.
func (l *Ledger) SetTargets(targets map[string][]Target) {
	groups := make(map[string]*group, len(targets))
	stays := map[string]bool{}
	for name, list := range targets {
		g := &group{targets: list}
		if known := l.groups[name]; known != nil {
			g.speed = known.speed
		}
		groups[name] = g
		for _, t := range list {
			stays[t.Start] = true
		}
	}
	l.groups = groups
	for start, u := range l.usage {
		if !stays[start] && len(u.leases) == 0 {
			delete(l.usage, start)
		}
	}
}

// Report takes what a holder says of its leases: all that run, and the ends since its
// last report.
func (l *Ledger) Report(now time.Time, holder string, running []Running, ended []Ended) {
	l.End(now, holder, ended)
	named := make(map[uint64]bool, len(running))
	for _, r := range running {
		named[r.Number] = true
		l.tell(now, ID{holder, r.Number}, r)
	}
	for number, le := range l.holders[holder] {
		if !named[number] && now.Sub(le.granted) > inFlight {
			l.drop(le)
		}
	}
}

// End takes the ends of a holder's leases alone.
func (l *Ledger) End(now time.Time, holder string, ended []Ended) {
	for _, e := range ended {
		l.end(now, ID{holder, e.Number}, e)
	}
}

// tell takes a lease that runs, perhaps one that another ledger gave, or nobody.
func (l *Ledger) tell(now time.Time, id ID, r Running) {
	le := l.holders[id.Holder][id.Number]
	if le == nil || le.target != r.Target {
		if le != nil {
			l.drop(le)
		}
		le = l.add(now, id, r)
	}
	le.told = now
}

func (l *Ledger) add(now time.Time, id ID, r Running) *lease {
	le := &lease{id: id, target: r.Target, batch: r.Batch, granted: now, told: now}
	if l.holders[id.Holder] == nil {
		l.holders[id.Holder] = map[uint64]*lease{}
	}
	l.holders[id.Holder][id.Number] = le
	u := l.of(r.Target)
	u.leases[le] = true
	u.count(le, 1)
	return le
}

func (u *usage) count(le *lease, by int) {
	if le.batch {
		u.batch += by
		return
	}
	u.online += by
}

func (l *Ledger) drop(le *lease) {
	held := l.holders[le.id.Holder]
	delete(held, le.id.Number)
	if len(held) == 0 {
		delete(l.holders, le.id.Holder)
	}
	u := l.of(le.target)
	delete(u.leases, le)
	u.count(le, -1)
}

// of returns what is known of the target.
func (l *Ledger) of(start string) *usage {
	u := l.usage[start]
	if u == nil {
		u = &usage{leases: map[*lease]bool{}}
		l.usage[start] = u
	}
	return u
}

// end takes the end of a lease, also of one that is not known here: what it says of
// the target holds all the same.
func (l *Ledger) end(now time.Time, id ID, e Ended) {
	le := l.holders[id.Holder][id.Number]
	if le != nil {
		l.drop(le)
	}
	if e.Target == "" {
		return
	}
	u := l.of(e.Target)
	switch e.Outcome {
	case routing.Succeeded:
		u.doubt = routing.Doubt{}
	case routing.SoftFailed, routing.HardFailed:
		u.doubt.Failed(now, 0)
	}
	if le == nil || e.Took <= 0 {
		return
	}
	if g := l.groups[le.group]; g != nil {
		g.speed.Measured(e.Took)
	}
}

// Expire drops the leases that were not told again.
func (l *Ledger) Expire(now time.Time) {
	for _, held := range l.holders {
		for _, le := range held {
			if now.Sub(le.told) > LeaseLife {
				l.drop(le)
			}
		}
	}
}

// Counts returns what runs at each target that has leases.
func (l *Ledger) Counts() map[string]board.Count {
	counts := map[string]board.Count{}
	for start, u := range l.usage {
		if len(u.leases) > 0 {
			counts[start] = board.Count{Online: u.online, Batch: u.batch}
		}
	}
	return counts
}

// Fullest returns the counts of at most so many targets, those that the most runs at.
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

// Doubts gives the failures in a row of the targets that are in doubt.
func (l *Ledger) Doubts(now time.Time) map[string]int {
	doubts := map[string]int{}
	for start, u := range l.usage {
		if u.doubt.Lasts(now) {
			doubts[start] = u.doubt.Failures()
		}
	}
	return doubts
}
