package admission

import (
	"math"
	"sort"
	"time"
)

// Snapshot is the state of a target from which a policy decides. Running is sorted:
// streams to keep come first.
type Snapshot struct {
	Now time.Time
	// Slots is how many requests the target runs at once without queueing.
	Slots int
	// Online is the estimated number of online requests at the target.
	Online int
	// SinceOnline is the time since Online was last above zero, or since the target was
	// taken over if it has had no online work.
	SinceOnline time.Duration
	// Silent is set if signals from entry hosts are missing.
	Silent bool
	// Running lists the batch streams.
	Running []Stream
	// Waiting and Weight describe the head of the queue; SmallPrefill counts the waiting
	// items with a small prefill.
	Waiting      int
	SmallPrefill int
	Weight       float64
}

// Policy decides about one target. Implementations are pure functions of the snapshot.
type Policy interface {
	// Name is used in metrics and status pages.
	Name() string
	// Decide returns the action that the policy chooses. Target itself adds the rules
	// that apply under every policy, for leaving and failing targets and for suspects.
	Decide(s Snapshot) Action
	// Limit is how many batch streams may run at once in the snapshot's state, however
	// slowly Decide admits them. It bounds how many items are worth fetching.
	Limit(s Snapshot) int
}

// FCFS (first come, first served) fills every slot regardless of online work.
type FCFS struct{}

// Name implements Policy.
func (FCFS) Name() string { return "fcfs" }

// Decide implements Policy.
func (FCFS) Decide(s Snapshot) Action {
	return admitUpTo(s, s.Slots, ReasonFull)
}

// Limit implements Policy.
func (FCFS) Limit(s Snapshot) int { return s.Slots }

// StaticReserve keeps a fixed number of slots free of batch.
type StaticReserve struct {
	// Free is the number of slots that batch never takes.
	Free int
}

// Name implements Policy.
func (StaticReserve) Name() string { return "static_reserve" }

// Decide implements Policy.
func (p StaticReserve) Decide(s Snapshot) Action {
	return admitUpTo(s, s.Slots-p.Free, ReasonFull)
}

// Limit implements Policy.
func (p StaticReserve) Limit(s Snapshot) int { return max(s.Slots-p.Free, 0) }

// Preemptive runs batch on idle slots and preempts it when the first online request
// arrives.
type Preemptive struct {
	// Headroom is how many slots stay free of batch for the first requests of a burst.
	Headroom int
	// Fill is the number of streams, online and batch together, up to which a target is
	// filled while online work runs, whatever the weight. With this many streams the
	// target's steps are hardly slower than a burst of online requests makes them, so the
	// tail latency does not show it; a burst itself leaves batch none of these slots.
	Fill int
	// CoolDown is how long the target must be free of online work before batch starts
	// again.
	CoolDown time.Duration
	// RampInterval is the time in which the number of admitted streams may double.
	RampInterval time.Duration
}

// DefaultPreemptive returns the parameters that apply unless settings override them. The
// cool-down is short because idle capacity lasts only seconds; the ramp ensures that a
// burst which returns while it runs does not meet a full set of prefills.
func DefaultPreemptive() Preemptive {
	return Preemptive{Headroom: 1, CoolDown: 200 * time.Millisecond, RampInterval: 50 * time.Millisecond}
}

// Name implements Policy.
func (Preemptive) Name() string { return "give_way" }

// Limit implements Policy. While online work runs, and during the cool-down, the limit is
// the weight's share of the free slots, or the free slots below Fill if these are more.
func (p Preemptive) Limit(s Snapshot) int { return p.limit(s, s.Weight) }

func (p Preemptive) limit(s Snapshot, weight float64) int {
	free := p.freeSlots(s)
	if s.Online == 0 && s.SinceOnline >= p.CoolDown {
		return free
	}
	return max(weightedShare(weight, free), min(p.Fill-s.Online, free))
}

func (p Preemptive) freeSlots(s Snapshot) int {
	return max(s.Slots-s.Online-p.headroom(s.Slots), 0)
}

// Decide implements Policy. While online work runs, a stream is kept only if its rank is
// below the limit for its weight. A new stream's prefill lengthens the time between
// tokens of all running streams. While online work runs, at most one prefill therefore
// runs at a time, and streams that run only because of Fill must have a small one.
func (p Preemptive) Decide(s Snapshot) Action {
	if s.Online > 0 {
		return p.decideWithOnline(s)
	}
	if s.SinceOnline < p.CoolDown {
		return p.admitOnePrefill(s, Action{Reason: ReasonCoolDown})
	}
	limit, why := p.Limit(s), ReasonFull
	if ramp := p.ramp(s.SinceOnline - p.CoolDown); ramp < limit {
		limit, why = ramp, ReasonRamp
	}
	return admitUpTo(s, p.halveIfSilent(limit, s.Silent, &why), why)
}

// headroom leaves batch at least one slot on an idle target; otherwise a target with one
// slot would never run batch.
func (p Preemptive) headroom(slots int) int {
	return min(p.Headroom, max(slots-1, 0))
}

func (p Preemptive) decideWithOnline(s Snapshot) Action {
	a := Action{Reason: ReasonOnline}
	kept := 0
	for _, r := range s.Running {
		limit := p.limit(s, r.Weight)
		if r.Tokens == 0 && !r.SmallPrefill {
			limit = weightedShare(r.Weight, p.freeSlots(s))
		}
		if r.Pinned || kept < limit {
			kept++
			continue
		}
		a.Cancel = append(a.Cancel, r.ID)
	}
	if len(a.Cancel) > 0 {
		return a
	}
	return p.admitOnePrefill(s, a)
}

// admitOnePrefill admits at most one stream, and only if no batch prefill runs.
func (p Preemptive) admitOnePrefill(s Snapshot, a Action) Action {
	why := a.Reason
	limit := p.halveIfSilent(p.Limit(s), s.Silent, &why)
	if s.Waiting == 0 || len(s.Running) >= limit {
		a.Reason = why
		return a
	}
	for _, r := range s.Running {
		if r.Tokens == 0 {
			a.Reason = ReasonPrefill
			return a
		}
	}
	small := len(s.Running) >= p.halveIfSilent(weightedShare(s.Weight, p.freeSlots(s)), s.Silent, &why)
	if small && s.SmallPrefill == 0 {
		a.Reason = ReasonLongPrefill
		return a
	}
	a.Admit, a.SmallPrefill = 1, small
	return a
}

// halveIfSilent halves the limit while signals from entry hosts are missing: their online
// load is unknown, which must mean less batch. One stream remains allowed on an otherwise
// free target, or a host that is live but partitioned would stop all batch permanently.
func (p Preemptive) halveIfSilent(limit int, silent bool, why *Reason) int {
	if !silent || limit <= 1 {
		return limit
	}
	*why = ReasonSilent
	return limit / 2
}

// ramp returns the number of streams allowed after d without online work: 1, 2, 4, …
func (p Preemptive) ramp(d time.Duration) int {
	const maxDoublings = 16
	if p.RampInterval <= 0 {
		return 1 << maxDoublings
	}
	return 1 << min(int(d/p.RampInterval), maxDoublings)
}

// weightedShare returns how many of the free slots a weight gets, rounded down so that
// weight 0 gets none.
func weightedShare(weight float64, free int) int {
	return int(math.Floor(weight*float64(free) + 1e-9))
}

func admitUpTo(s Snapshot, limit int, why Reason) Action {
	n := min(max(limit-len(s.Running), 0), s.Waiting)
	if n == s.Waiting {
		why = ReasonEmpty
	}
	return Action{Admit: n, Reason: why}
}

// sortKeepFirst sorts streams by priority for being kept while online work runs: higher
// weight, then earlier due time, then more tokens, since these need the longest prefill
// when they are resumed.
func sortKeepFirst(streams []Stream) {
	sort.Slice(streams, func(i, j int) bool {
		a, b := streams[i], streams[j]
		if a.Pinned != b.Pinned {
			return a.Pinned
		}
		if a.Weight != b.Weight {
			return a.Weight > b.Weight
		}
		if !a.Due.Equal(b.Due) {
			return a.Due.Before(b.Due)
		}
		if a.Tokens != b.Tokens {
			return a.Tokens > b.Tokens
		}
		return a.ID < b.ID
	})
}
