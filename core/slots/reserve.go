package slots

import (
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// sampleInterval is the interval at which the slots that online requests take are
	// sampled, and sampleCount how many samples are kept: a window of 12 s, which covers two
	// periods of a load that changes in steps of about 3 s.
	sampleInterval = 50 * time.Millisecond
	sampleCount    = 240
	// minSamples is a second of samples; with fewer nothing is reserved.
	minSamples = 20
	// maxSampleGap is the time without a call after which earlier samples are discarded: a
	// leader is called at least every 50 ms, so this ledger was not in use.
	maxSampleGap = time.Second
	// reserveQuantile is the quantile of the samples that is kept available to online work.
	reserveQuantile = 0.9
	// recentSamples are those of a quarter of a second. Gaps between online requests are
	// shorter; after a high step of the load, batch should not lose much of the low one.
	recentSamples = 5
	// preemptHold is how long after a preemption items with time get no slot. While online
	// work takes more than the quantile, the reserve is 0; without this pause each slot that
	// became free went to an item that the next request preempted at once.
	preemptHold = 300 * time.Millisecond
	// needFactor is how many slots batch items may take for each one that they need to
	// finish on time.
	needFactor = 2
	// needTTL is how long a holder's statement of what its items need is valid. A holder with
	// waiting items makes one in each step, at least every 200 ms.
	needTTL = 500 * time.Millisecond
	// onlineHold is how long a slot that an online request has used is not given to batch
	// while other requests wait.
	onlineHold = 50 * time.Millisecond
)

// onlineUse is how the online requests of a group use its targets' slots. A nil onlineUse
// records nothing.
type onlineUse struct {
	// slots is the number of slots, taken how many of them online requests take, and beyond
	// how many online requests are at a target beyond its slots.
	slots, taken, beyond int
	// batch is how many slots batch items take.
	batch int
	// preemptedAt is when online work last preempted batch.
	preemptedAt time.Time
	// needed is what the holders of batch items last stated that their items need.
	needed  map[string]need
	samples sampleWindow
}

// change records a change of the online requests at a target with the given slots.
func (o *onlineUse) change(slots, before, after int) {
	if o == nil {
		return
	}
	o.taken += min(after, slots) - min(before, slots)
	o.beyond += max(0, after-slots) - max(0, before-slots)
}

// changeBatch records a change of the batch items at a target.
func (o *onlineUse) changeBatch(by int) {
	if o != nil {
		o.batch += by
	}
}

// need is how many slots a holder's batch items need to finish on time, as of at.
type need struct {
	slots float64
	at    time.Time
}

// recordNeed records what a holder's batch items need.
func (l *Ledger) recordNeed(now time.Time, g *group, r Request) {
	if !l.policy.BatchReserve || !r.Batch {
		return
	}
	if g.use.needed == nil {
		g.use.needed = map[string]need{}
	}
	g.use.needed[r.ID.Holder] = need{r.Needed, now}
}

// share is how many slots batch items may take of those that are held back from them: twice
// what they need to finish on time, so that they use half of their time.
//
// Load pattern: batch needs more than the slots that the highest step of online load leaves.
// A reserve that is either held back or given up would let items run in all slots of each
// low step, and cancel most of them in the next high one.
func (o *onlineUse) share(now time.Time) int {
	sum := 0.0
	for holder, n := range o.needed {
		if now.Sub(n.at) > needTTL {
			delete(o.needed, holder)
			continue
		}
		sum += n.slots
	}
	return int(math.Ceil(needFactor * sum))
}

// reserve is how many free slots online work is expected to need soon: the difference
// between the 90% quantile of its recent use and its present use, at most half of the
// slots.
func (o *onlineUse) reserve() int {
	if o.samples.len() < minSamples {
		return 0
	}
	return max(0, min(o.samples.quantile(reserveQuantile)-o.taken, o.slots/2))
}

// dip returns how many fewer slots online requests take now than at most within the last
// recentSamples samples.
//
// Load pattern: online work that takes nearly all slots, and a few more or less from moment
// to moment. An item that started in such a gap would be preempted some milliseconds later,
// and online requests would meet its connection and prompt at the target.
func (o *onlineUse) dip() int { return max(0, o.samples.recentMax(recentSamples)-o.taken) }

// sampleWindow holds the last sampleCount samples in the order of their arrival and, for
// the quantile, by size. A sample costs two binary searches and a move of at most 1 KB, a
// quantile one access.
type sampleWindow struct {
	arrived []int32
	oldest  int
	sorted  []int32
}

func (w *sampleWindow) len() int { return len(w.sorted) }

func (w *sampleWindow) add(value int) {
	v := int32(value)
	if len(w.arrived) < sampleCount {
		w.arrived = append(w.arrived, v)
	} else {
		i, _ := slices.BinarySearch(w.sorted, w.arrived[w.oldest])
		w.sorted = slices.Delete(w.sorted, i, i+1)
		w.arrived[w.oldest] = v
		w.oldest = (w.oldest + 1) % sampleCount
	}
	i, _ := slices.BinarySearch(w.sorted, v)
	w.sorted = slices.Insert(w.sorted, i, v)
}

// recentMax returns the largest of the last n samples, 0 without any.
func (w *sampleWindow) recentMax(n int) int {
	largest, count := int32(0), len(w.arrived)
	for i := range min(n, count) {
		// The newest sample precedes the oldest one in the ring.
		largest = max(largest, w.arrived[(w.oldest-1-i+2*count)%count])
	}
	return int(largest)
}

// quantile returns the smallest sample that at least the share q of the samples do not
// exceed. There must be a sample.
func (w *sampleWindow) quantile(q float64) int {
	return int(w.sorted[min(len(w.sorted)-1, int(q*float64(len(w.sorted))))])
}

// sample records the samples that are due. It is called before the ledger changes, so the
// counts are those since the last call.
func (l *Ledger) sample(now time.Time) {
	if !l.policy.BatchReserve || now.Before(l.nextSample) {
		return
	}
	if now.Sub(l.nextSample) > maxSampleGap {
		l.nextSample = now
		for _, g := range l.groups {
			g.use.samples = sampleWindow{}
		}
	}
	for ; !l.nextSample.After(now); l.nextSample = l.nextSample.Add(sampleInterval) {
		for _, g := range l.groups {
			g.use.samples.add(g.use.taken)
		}
	}
}

// assignUse counts the use of all listed targets again after the list changed.
func (l *Ledger) assignUse() {
	for _, u := range l.usage {
		u.slots, u.use = 0, nil
	}
	for _, g := range l.groups {
		g.use.slots, g.use.taken, g.use.beyond, g.use.batch = 0, 0, 0, 0
		for _, t := range g.targets {
			u := l.usageOf(t.Start)
			u.slots, u.use = t.Slots, g.use
			g.use.slots += t.Slots
			g.use.change(t.Slots, 0, u.online)
			g.use.changeBatch(u.batch)
		}
	}
}

// recordPreemption records that online work preempted n items at a target.
func (o *onlineUse) recordPreemption(now time.Time, n int) {
	if o != nil && n > 0 {
		o.preemptedAt = now
	}
}

// reserved returns how many free slots of the group are held back from a batch item.
func (l *Ledger) reserved(now time.Time, g *group, r Request) int {
	switch {
	case !l.policy.BatchReserve || !r.slackKnown():
		return 0
	case l.mustWait(now, g, r):
		return max(g.use.reserve(), g.use.dip())
	default:
		return g.use.dip()
	}
}

// mustWait reports whether the batch item leaves free slots to online work: it is not short
// of time, and items have their share of the slots that are held back.
func (l *Ledger) mustWait(now time.Time, g *group, r Request) bool {
	return l.policy.BatchReserve && r.hasTime() && g.use.batch >= g.use.share(now)
}

// slackKnown reports whether the holder of a batch item states its slack. An item of one
// that does not compute it gets any free slot.
func (r Request) slackKnown() bool { return r.Batch && (r.ShortOfTime || r.Slack != 0) }

// hasTime reports whether a batch item can wait.
func (r Request) hasTime() bool { return r.slackKnown() && !r.ShortOfTime }

// recentlyPreempted reports whether the item must wait because online work has just
// preempted others of the group.
func (l *Ledger) recentlyPreempted(now time.Time, g *group, r Request) bool {
	return l.mustWait(now, g, r) && now.Sub(g.use.preemptedAt) < preemptHold
}

// holdsBack reports whether any free slot may be held back from the request.
func (l *Ledger) holdsBack(now time.Time, g *group, r Request) bool {
	return r.Batch && l.policy.BatchReserve &&
		(l.reserved(now, g, r) > 0 || l.recentlyPreempted(now, g, r) || l.requestsWait(g))
}

// requestsWait reports whether online requests of the group wait for a slot, in the queue
// or at a target that has more of them than slots.
func (l *Ledger) requestsWait(g *group) bool { return g.line.length() > 0 || g.use.beyond > 0 }

// recordFreed records the end of an online lease.
func (l *Ledger) recordFreed(now time.Time, le *lease) {
	if !l.policy.BatchReserve || le.batch {
		return
	}
	u := l.usageOf(le.target)
	u.forgetFreed(now)
	if len(u.freed) < u.slots {
		u.freed = append(u.freed, now)
	}
}

// reuse records that an online request takes a slot, which may be one that another one
// has just left.
func (u *usage) reuse() {
	if len(u.freed) > 0 {
		u.freed = u.freed[1:]
	}
}

// heldForOnline returns how many of the target's slots online work used within onlineHold,
// if requests wait.
func (u *usage) heldForOnline(now time.Time, requestsWait bool) int {
	if !requestsWait {
		return 0
	}
	u.forgetFreed(now)
	return len(u.freed)
}

func (u *usage) forgetFreed(now time.Time) {
	for len(u.freed) > 0 && now.Sub(u.freed[0]) > onlineHold {
		u.freed = u.freed[1:]
	}
}

// Reserves returns the batch reserve of each group that has one, nil without the batch
// reserve.
func (l *Ledger) Reserves(now time.Time) map[string]int {
	if !l.policy.BatchReserve {
		return nil
	}
	l.sample(now)
	reserves := map[string]int{}
	for name, g := range l.groups {
		if n := g.use.reserve(); n > 0 {
			reserves[name] = n
		}
	}
	return reserves
}

// ApplyRemoteReserves records how many of another zone's free slots are held back from
// batch there. It follows ApplyRemoteFree for the same report.
func (l *Ledger) ApplyRemoteReserves(zone string, reserves map[string]int) {
	if report := l.remote[zone]; report != nil {
		report.reserved = maps.Clone(reserves)
	}
}

// reservedFor returns how many free slots of the zone are held back from the request. An
// item that would be denied there must not be subtracted from the slots that online
// requests may use.
func (z *remoteZone) reservedFor(r Request) int {
	if !r.hasTime() {
		return 0
	}
	return z.reserved[r.Group]
}
