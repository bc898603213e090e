package admission

import (
	"math"
	"sort"
	"time"
)

// Snapshot is what a policy decides from. Running is sorted: streams worth
// keeping come first.
type Snapshot struct {
	Now time.Time
	// Slots is how many requests the target runs at once without queueing.
	Slots int
	// Online is the number of online requests believed to be at the target.
	Online int
	// Quiet is the time since online was last above zero; a target never seen
	// with online work is quiet since it was taken over.
	Quiet time.Duration
	// Silent tells that entry hosts which should be heard are not.
	Silent bool
	// Running lists the batch streams.
	Running []Stream
	// Waiting and Weight describe the queue's head; Small counts the waiting
	// items with a small prefill.
	Waiting int
	Small   int
	Weight  float64
}

// Policy decides about one target. Implementations are pure.
type Policy interface {
	// Name is used in metrics and status.
	Name() string
	// Decide returns the wished action. The state machine itself adds what holds
	// under every policy: leaving, failing and suspect rules.
	Decide(s Snapshot) Action
	// Limit is how many batch streams may run at once in the snapshot's state,
	// however slowly Decide lets them in: that many are worth fetching.
	Limit(s Snapshot) int
}

// FCFS is the naive version: it fills every slot whatever online does.
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

// GiveWay takes idle slots and gives them back at the first online request.
type GiveWay struct {
	// Headroom is how many slots stay free of batch for the first requests of a burst.
	Headroom int
	// Fill is up to how many streams, online and batch together, a target is
	// filled beside online work whatever the weight. A target with this many
	// steps hardly slower than a burst of online requests makes it, so the tail
	// does not show it; a burst itself leaves batch none of it.
	Fill int
	// CoolDown is how long the target must be free of online work before batch
	// starts again.
	CoolDown time.Duration
	// RampEvery is the time in which the number of admitted streams may double.
	RampEvery time.Duration
}

// DefaultGiveWay returns the parameters in force unless settings say otherwise.
// The cool-down is short since idle capacity lasts only seconds; the ramp keeps
// a burst that comes back within it from meeting a full set of prefills.
func DefaultGiveWay() GiveWay {
	return GiveWay{Headroom: 1, CoolDown: 200 * time.Millisecond, RampEvery: 50 * time.Millisecond}
}

// Name implements Policy.
func (GiveWay) Name() string { return "give_way" }

// Limit implements Policy. Beside online work a weight earns its share of the
// spare slots, and Fill what is left below it.
func (p GiveWay) Limit(s Snapshot) int { return p.limit(s, s.Weight) }

func (p GiveWay) limit(s Snapshot, weight float64) int {
	spare := p.spare(s)
	if s.Online == 0 && s.Quiet >= p.CoolDown {
		return spare
	}
	return max(share(weight, spare), min(p.Fill-s.Online, spare))
}

func (p GiveWay) spare(s Snapshot) int {
	return max(s.Slots-s.Online-p.headroom(s.Slots), 0)
}

// Decide implements Policy. While online work runs, a stream is kept only if
// its rank is below the limit that its weight earns. A new stream's prefill
// stretches the time between tokens of all running streams, so beside online
// work at most one prefill runs at a time, and what runs on account of Fill
// alone must have a small one.
func (p GiveWay) Decide(s Snapshot) Action {
	if s.Online > 0 {
		return p.besideOnline(s)
	}
	if s.Quiet < p.CoolDown {
		return p.onePrefill(s, Action{Why: ReasonCoolDown})
	}
	limit, why := p.Limit(s), ReasonFull
	if ramp := p.ramp(s.Quiet - p.CoolDown); ramp < limit {
		limit, why = ramp, ReasonRamp
	}
	return admitUpTo(s, p.quota(limit, s.Silent, &why), why)
}

// headroom leaves at least one slot to batch on an idle target; otherwise a
// target with one slot would never run batch at all.
func (p GiveWay) headroom(slots int) int {
	return min(p.Headroom, max(slots-1, 0))
}

func (p GiveWay) besideOnline(s Snapshot) Action {
	a := Action{Why: ReasonOnline}
	kept := 0
	for _, r := range s.Running {
		limit := p.limit(s, r.Weight)
		if r.Tokens == 0 && !r.Small {
			limit = share(r.Weight, p.spare(s))
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
	return p.onePrefill(s, a)
}

// onePrefill admits at most one stream, and only when no batch prefill runs.
func (p GiveWay) onePrefill(s Snapshot, a Action) Action {
	why := a.Why
	limit := p.quota(p.Limit(s), s.Silent, &why)
	if s.Waiting == 0 || len(s.Running) >= limit {
		a.Why = why
		return a
	}
	for _, r := range s.Running {
		if r.Tokens == 0 {
			a.Why = ReasonPrefill
			return a
		}
	}
	small := len(s.Running) >= p.quota(share(s.Weight, p.spare(s)), s.Silent, &why)
	if small && s.Small == 0 {
		a.Why = ReasonLongPrefill
		return a
	}
	a.Admit, a.Small = 1, small
	return a
}

// quota halves the limit while entry hosts that should be heard are silent:
// their online load is unknown, and unknown must mean less batch. One stream
// stays allowed on an otherwise free target, or a host that is live but cut off
// would stop all batch for good.
func (p GiveWay) quota(limit int, silent bool, why *Reason) int {
	if !silent || limit <= 1 {
		return limit
	}
	*why = ReasonSilent
	return limit / 2
}

// ramp is the number of streams allowed after d without online work: 1, 2, 4, …
func (p GiveWay) ramp(d time.Duration) int {
	const maxDoublings = 16
	if p.RampEvery <= 0 {
		return 1 << maxDoublings
	}
	return 1 << min(int(d/p.RampEvery), maxDoublings)
}

// share is how many of the spare slots a weight earns, rounded down so that
// weight 0 earns none.
func share(weight float64, spare int) int {
	return int(math.Floor(weight*float64(spare) + 1e-9))
}

func admitUpTo(s Snapshot, limit int, why Reason) Action {
	n := min(max(limit-len(s.Running), 0), s.Waiting)
	if n == s.Waiting {
		why = ReasonEmpty
	}
	return Action{Admit: n, Why: why}
}

// sortKeepFirst orders streams by what is worth keeping beside online work:
// higher weight, then earlier due, then more tokens, since their resume costs
// the longest prefill.
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
