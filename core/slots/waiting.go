package slots

import (
	"time"

	"tarragonhollow.example/tarragonhollow/core/waitqueue"
)

const (
	// RenewWaitInterval is the interval at which holders renew waiting requests.
	RenewWaitInterval = 100 * time.Millisecond
	// LastRenewal is how long before the end of its maximum wait a request is renewed for the
	// last time. If it has no slot then, that renewal is answered by the refusal.
	LastRenewal = 20 * time.Millisecond
	// waitTTL is how long a request stays in the queue without being renewed: its holder
	// may have died, or follow another leader. It survives the loss of two renewals.
	waitTTL = 300 * time.Millisecond
	// minQueue and maxQueue bound the bound of a queue's length.
	minQueue, maxQueue = 16, 10_000
	// scanInterval is the interval at which all targets are examined for slots that became
	// free without the end of a lease, for example because a target recovered.
	scanInterval = 100 * time.Millisecond
	// maxPassed is how many waiting requests that can't use a free slot are passed over
	// for one that can. It bounds the cost of a dispatch.
	maxPassed = 64
	// shortService is the mean service time below which a target may hold one request
	// beyond its slots: the hand-over of a slot takes some milliseconds, in which a target
	// of short requests would idle.
	shortService = 200 * time.Millisecond
)

// Delivery is the end of the wait of a request in the queue.
type Delivery struct {
	ID    ID
	Grant Grant
}

// entry is a waiting request in its group's queue.
type entry = waitqueue.Entry[*waiter]

// waiter is a waiting request.
type waiter struct {
	request Request
	// entered is when the request entered the queue, until when its maximum wait ends.
	entered, until time.Time
}

// line is the state of a group's queue.
type line struct {
	// queue is nil until a request waits.
	queue *waitqueue.Queue[*waiter]
	// arrivals counts the requests that have entered the queue.
	arrivals arrivals
	// demand holds the waiting requests by the version that they require; nil as queue.
	demand *demand
	// scanned is when all targets were last examined.
	scanned time.Time
}

func (q *line) length() int {
	if q.queue == nil {
		return 0
	}
	return q.queue.Len()
}

// waiting is the part of a ledger that concerns waiting requests.
type waiting struct {
	entries map[ID]*entry
	// ended holds the deliveries that the next Dispatch returns.
	ended []Delivery
	// placed says where each target is, vacated holds the targets at which a lease has
	// ended since the last Dispatch.
	placed  map[string]placement
	vacated map[string]bool
}

// placement is a target and its group.
type placement struct {
	Target
	group string
}

func newWaiting() waiting {
	return waiting{entries: map[ID]*entry{}, placed: map[string]placement{}, vacated: map[string]bool{}}
}

// Waiting returns the number of waiting requests by group.
func (l *Ledger) Waiting() map[string]int {
	lengths := map[string]int{}
	for name, g := range l.groups {
		lengths[name] = g.line.length()
	}
	return lengths
}

// newQueue returns an empty queue of a group.
func (l *Ledger) newQueue(group string) *waitqueue.Queue[*waiter] {
	return waitqueue.New[*waiter](l.shares(group))
}

// refuse returns the refusal of a request that would wait for longer than its maximum wait, or
// has. e is its entry, nil for a request that never entered the queue.
func (l *Ledger) refuse(now time.Time, g *group, r Request, e *entry, wait time.Duration) Grant {
	beyond := l.beyondShare(r)
	if e != nil {
		beyond = !g.line.queue.Within(e)
	}
	// A wait without an expected end is reported as one that is a second too long.
	reported := min(wait, r.Patience+time.Second)
	return Grant{Verdict: Overloaded, Wait: reported, RetryAfter: l.retryAfter(now, r, beyond, wait)}
}

// replaceGroups replaces the groups. The wait of requests of removed groups ends.
func (l *Ledger) replaceGroups(groups map[string]*group) {
	for name, g := range l.groups {
		if next := groups[name]; g.line.length() > 0 && (next == nil || len(next.targets) == 0) {
			l.endAll(g, Grant{Verdict: None})
		}
	}
	l.groups = groups
	if !l.policy.Queue {
		return
	}
	l.waiting.placed = map[string]placement{}
	for name, g := range groups {
		g.line.scanned = time.Time{}
		for _, t := range g.targets {
			l.waiting.placed[t.Start] = placement{t, name}
		}
	}
}

// endAll ends the wait of all requests of a group.
func (l *Ledger) endAll(g *group, grant Grant) {
	var all []*entry
	g.line.queue.Each(time.Time{}, func(e *entry) bool {
		all = append(all, e)
		return true
	})
	for _, e := range all {
		l.remove(g, e)
		l.deliver(e, grant)
	}
}

func (l *Ledger) deliver(e *entry, grant Grant) {
	l.waiting.ended = append(l.waiting.ended, Delivery{ID: e.Value.request.ID, Grant: grant})
}

// remove removes a request that gets no slot from its queue.
func (l *Ledger) remove(g *group, e *entry) {
	g.line.queue.Remove(e)
	g.line.demand.remove(e)
	delete(l.waiting.entries, e.Value.request.ID)
}

// slotFreed records that a lease at the target has ended.
func (l *Ledger) slotFreed(target string) {
	if at, known := l.waiting.placed[target]; known && l.groups[at.group].line.length() > 0 {
		l.waiting.vacated[target] = true
	}
}

// leave removes a request whose caller left from the queue.
func (l *Ledger) leave(id ID) {
	e := l.waiting.entries[id]
	if e == nil {
		return
	}
	l.remove(l.groups[e.Value.request.Group], e)
}

// renewWait answers a request whose number is known: one that waits, or one that has got a
// slot meanwhile. known is false for a new request.
func (l *Ledger) renewWait(now time.Time, r Request) (grant Grant, known bool) {
	if !r.MayWait {
		return Grant{}, false
	}
	if le := l.holders[r.ID.Holder][r.ID.Number]; le != nil && le.grant != nil {
		le.renewed = now
		return *le.grant, true
	}
	e := l.waiting.entries[r.ID]
	if e == nil {
		return Grant{}, false
	}
	w := e.Value
	r.Group, r.Version = w.request.Group, w.request.Version
	g := l.groups[r.Group]
	w.request = r
	w.until = earlier(w.until, now.Add(r.Patience))
	g.line.queue.Renew(e, earlier(w.until, now.Add(waitTTL)))
	if other := l.otherZoneBefore(now, r, l.loadBefore(now, g, e)); other.Verdict == Elsewhere {
		return other, true
	}
	if r.Patience <= LastRenewal {
		refusal := l.refuse(now, g, r, e, now.Sub(w.entered)+l.expectedWait(now, g, e))
		l.remove(g, e)
		return refusal, true
	}
	return l.waitingGrant(now, g, e), true
}

// loadBefore returns the zone's load as a waiting request finds it.
func (l *Ledger) loadBefore(now time.Time, g *group, e *entry) ZoneLoad {
	load := l.localLoad(now, e.Value.request)
	load.Waiting = g.aheadOf(now, e)
	if load.PerSecond > 0 {
		load.PerSecond = perSecondFor(now, g, e, load.PerSecond)
	}
	return load
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// join decides for a request of a group in which others wait: it gets a free slot that
// these can't use, a slot in another zone, or a place in the queue. If nearly all slots that
// it could use are known to be taken, only some targets are examined.
func (l *Ledger) join(now time.Time, r Request, g *group, seed uint64) Grant {
	l.dispatch(now)
	sample := sampleSize
	if !g.line.demand.competes(r) {
		sample = len(g.targets)
	}
	healthy, _ := l.candidates(now, g, r, seed, sample)
	fits := (*candidate).free
	if l.mayPreempt(r) {
		fits = func(c *candidate) bool { return c.online < c.Slots }
	}
	for _, c := range l.order(healthy) {
		if !fits(&c) {
			continue
		}
		l.fill(now, g, c.Target)
		if left := l.candidateAt(now, c.Target); fits(&left) {
			return l.grantLease(now, r, left)
		}
	}
	if !l.mayPreempt(r) {
		return Grant{Verdict: None}
	}
	if grant := l.otherZone(now, r); grant.Verdict == Elsewhere {
		return grant
	}
	if !l.mayQueue(now, r) {
		return Grant{Verdict: None}
	}
	if len(healthy) > 0 && l.mayWait(r) {
		return l.enqueue(now, r, g)
	}
	healthy, degraded := l.candidates(now, g, r, seed, len(g.targets))
	return l.queue(now, r, g, healthy, degraded)
}

// mayWait reports whether the request may wait in the queue.
func (l *Ledger) mayWait(r Request) bool { return l.policy.Queue && r.MayWait && !r.Batch }

// queue decides for a request that finds no slot. It waits in the queue, or, if it or its
// holder can't, at the target with the shortest queue if that is short enough. The same
// holds if the request can use no healthy target: it is then uncertain whether a slot that
// becomes free is of use to it.
func (l *Ledger) queue(now time.Time, r Request, g *group, healthy, degraded []candidate) Grant {
	if l.mayWait(r) && len(healthy) > 0 {
		fits := func(c *candidate) bool { return c.online < c.Slots+g.ahead() && g.waitAt(*c) <= r.Patience }
		if c, ok := l.preferred(healthy, fits); ok && g.line.length() == 0 {
			return l.grantLease(now, r, c)
		}
		return l.enqueue(now, r, g)
	}
	return l.queueAtTarget(now, r, g, append(l.order(healthy), degraded...))
}

// queueAtTarget grants the target with the shortest queue if that is short enough.
func (l *Ledger) queueAtTarget(now time.Time, r Request, g *group, from []candidate) Grant {
	if len(from) == 0 {
		return Grant{Verdict: None}
	}
	best := from[0]
	wait := g.waitAt(best)
	if wait > r.Patience {
		return l.refuse(now, g, r, nil, wait)
	}
	return l.grantLease(now, r, best)
}

// waitAt returns how long a request would queue at a target.
func (g *group) waitAt(c candidate) time.Duration {
	return g.serviceTime.Wait(float64(c.online), c.Slots)
}

// ahead returns how many requests a target of the group may hold beyond its slots.
func (g *group) ahead() int {
	if mean := g.serviceTime.Mean(); mean > 0 && mean < shortService {
		return 1
	}
	return 0
}

// enqueue puts a request into the queue unless it would wait for too long there.
func (l *Ledger) enqueue(now time.Time, r Request, g *group) Grant {
	q := &g.line
	if q.queue == nil {
		q.queue, q.arrivals, q.demand = l.newQueue(r.Group), arrivals{}, newDemand()
	}
	e := newEntry(now, r)
	e.Returning = l.returning(now, r)
	q.queue.Add(now, e, earlier(e.Value.until, now.Add(waitTTL)))
	q.demand.add(e)
	l.waiting.entries[r.ID] = e
	grant := l.waitingGrant(now, g, e)
	if r.Patience <= 0 || grant.Wait > r.Patience {
		l.remove(g, e)
		return l.refuse(now, g, r, e, grant.Wait)
	}
	q.arrivals.add(now, g.precedenceOf(e))
	if q.queue.Len() <= l.lengthBound(now, g) {
		return grant
	}
	last := q.queue.Last(now)
	refusal := l.refuse(now, g, last.Value.request, last, l.expectedWait(now, g, last))
	l.remove(g, last)
	if last == e {
		return refusal
	}
	l.deliver(last, refusal)
	return grant
}

// newEntry returns the entry of a request. A holder that doesn't know the caller's times
// states its maximum wait only.
func newEntry(now time.Time, r Request) *entry {
	objective, deadline := r.ObjectiveLeft, r.DeadlineLeft
	if deadline <= 0 {
		objective, deadline = r.Patience, r.Patience
	}
	return &entry{
		Value: &waiter{request: r, entered: now, until: now.Add(r.Patience)},
		Rank:  r.Rank, Share: r.Share, Work: r.Work, Weight: r.Weight,
		Arrived: now.Add(-r.Waited), LatestStart: now.Add(objective - r.FirstByte), Deadline: now.Add(deadline),
	}
}

// waitingGrant returns the answer to a request in the queue.
func (l *Ledger) waitingGrant(now time.Time, g *group, e *entry) Grant {
	return Grant{Verdict: Waiting, Wait: l.expectedWait(now, g, e), Queued: g.line.queue.Len()}
}

// lengthBound returns how many requests of the group may wait.
func (l *Ledger) lengthBound(now time.Time, g *group) int {
	rate := l.perSecond(now, g)
	if rate <= 0 {
		return maxQueue
	}
	return min(max(int(rate), minQueue), maxQueue)
}
