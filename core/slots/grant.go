package slots

import "time"

// sampleSize is how many targets of a large group are examined first.
const sampleSize = 64

// Request is a request for a slot.
type Request struct {
	ID    ID
	Group string
	// Batch marks a request for a batch item: it gets only slots that online work leaves
	// free, less Headroom slots of each target.
	Batch    bool
	Headroom int
	// Exclude lists the starts of targets that the holder can't use: already tried, or
	// ejected by it.
	Exclude []string
	// Version requires a target of this version, "" for any. Leaders of earlier builds do
	// not know it, so the holder has to check the target that it is granted.
	Version string
	// LastChance marks a request that gets no further attempt after a failure.
	LastChance bool
	// Patience is the maximum time for which the request may queue, here or at a target.
	Patience time.Duration
	// Visiting is set if the holder's own zone is full: the request gets a free slot or
	// none, unless Preempts is set.
	Visiting bool
	// Stay requires a slot of this zone, even if other zones have free ones.
	Stay bool
	// Preempts lets a visiting request preempt batch items and wait. A holder that balances
	// zones sets it in each online request, also to its own leader: a request of another
	// holder could use no more than a free slot of another zone.
	Preempts bool
	// HomeWait is how long a visiting request is expected to wait in the holder's zone. It
	// joins no queue in which it would wait longer.
	HomeWait time.Duration
	// FailedZone names the zone that did not serve this request, "" for none; Unanswered
	// reports that the leader of that zone did not answer.
	FailedZone string
	Unanswered bool
	// MayWait reports that the holder understands the verdict Waiting.
	MayWait bool
	// Rank is the request's priority; 0 is the highest.
	Rank int
	// Share names the account, or else the route, whose share of the slots the request
	// uses; Weight is the account's weight, 0 for 1.
	Share  string
	Weight float64
	// Work is the size of the request; see Work. 0 means unknown.
	Work float64
	// Waited is the time since the request was read, ObjectiveLeft the time until its
	// latency objective is missed, negative once it is, and DeadlineLeft the time until its
	// deadline. They are durations because the clocks of hosts differ.
	Waited, ObjectiveLeft, DeadlineLeft time.Duration
	// FirstByte is the time that a target usually takes to the first event of an answer, 0
	// for unknown: a request that starts later than that before its objective misses it.
	FirstByte time.Duration
	// Content identifies the request's content across attempts, 0 for unknown.
	Content uint64
	// Slack is how much of its time a batch item would have left if it ran now without
	// interruption, 0 for unknown; ShortOfTime reports that this is too little to wait for
	// a slot.
	Slack       time.Duration
	ShortOfTime bool
	// Needed is how many slots the holder's batch items of the group need to finish on time.
	Needed float64
}

// outputTokenWork is the work of a generated token relative to a token of the prompt:
// prompts are processed in parallel, output one token after another.
const outputTokenWork = 10

// Work returns the size of a request from the tokens of its prompt and the maximum number
// of generated tokens.
func Work(promptTokens, outputTokens int64) float64 {
	return float64(promptTokens) + outputTokenWork*float64(outputTokens)
}

// Verdict is the result of a Request.
type Verdict int

const (
	// None: the zone has no slot for the request.
	None Verdict = iota
	// Granted: the lease has begun.
	Granted
	// Elsewhere: another zone has free slots.
	Elsewhere
	// Overloaded: the request would queue for longer than its Patience.
	Overloaded
	// Waiting: the request is in the queue.
	Waiting
)

// String returns the verdict's name for logs.
func (v Verdict) String() string {
	return [...]string{"none", "granted", "elsewhere", "overloaded", "waiting"}[v]
}

// Grant is the answer to a Request.
type Grant struct {
	Verdict Verdict
	// Target is the start of the chosen target, At its full description, and Running the
	// number of requests that ran there.
	Target  string
	At      Target
	Running int
	// Zone is the zone to request a slot from, Leader the peer address of its leader.
	Zone, Leader string
	// Reason states why the request is sent to that zone.
	Reason OverflowReason
	// Wait is how long the request would queue; Queued is the length of the queue in which
	// it waits.
	Wait   time.Duration
	Queued int
	// RetryAfter is when a refused caller should return, 0 for unknown.
	RetryAfter time.Duration
	// Yield lists the batch leases that must be preempted.
	Yield []ID
	// Reserve is how many free slots were held back from a batch item that got none.
	Reserve int
}

// Grant assigns a slot. seed makes the choice among equal targets reproducible.
//
// Load pattern: steps of load under which nine tenths of the slots are taken. Grant
// prefers a free slot anywhere in the zone; then a slot from which batch is preempted;
// then another zone, because traffic between zones is expensive; then a place in the
// queue, or in a target's. A request that would queue for longer than its Patience is
// refused at once.
//
// In a large group only some targets are examined first, so that the cost of a grant does
// not depend on the group's size while most targets have free slots.
func (l *Ledger) Grant(now time.Time, r Request, seed uint64) Grant {
	l.sample(now)
	l.recordFailedZone(now, r)
	if grant, known := l.renewWait(now, r); known {
		return grant
	}
	g := l.groups[r.Group]
	if g == nil {
		return l.otherZone(now, r)
	}
	accepted, _ := g.accepted(r)
	if accepted == 0 {
		return l.otherZone(now, r)
	}
	if g.line.length() > 0 && !r.Batch {
		return l.join(now, r, g, seed)
	}
	l.recordNeed(now, g, r)
	if l.recentlyPreempted(now, g, r) {
		return l.denyBatch(now, r, l.reserved(now, g, r))
	}
	if accepted > sampleSize {
		healthy, _ := l.candidates(now, g, r, seed, sampleSize)
		if c, ok := l.choiceFromSample(r, healthy); ok && !l.holdsBack(now, g, r, healthy) {
			return l.grantLease(now, r, c)
		}
	}
	healthy, degraded := l.candidates(now, g, r, seed, accepted)
	if r.Batch {
		return l.grantBatch(now, r, g, healthy)
	}
	if c, ok := l.preferred(healthy, (*candidate).free); ok {
		return l.grantLease(now, r, c)
	}
	if !l.mayPreempt(r) {
		return Grant{Verdict: None}
	}
	if c, ok := l.preferred(healthy, func(c *candidate) bool { return c.online < c.Slots }); ok {
		return l.grantLease(now, r, c)
	}
	if grant := l.otherZone(now, r); grant.Verdict == Elsewhere {
		return grant
	}
	if !l.mayQueue(now, r) {
		return Grant{Verdict: None}
	}
	return l.queue(now, r, g, healthy, degraded)
}

// grantBatch grants a batch item the emptiest target that leaves the headroom free. A
// slot whose item is being preempted counts as taken until that item has ended.
func (l *Ledger) grantBatch(now time.Time, r Request, g *group, from []candidate) Grant {
	held := l.reserved(now, g, r)
	if held == 0 || held < g.freeSlotsFor(now, r, from) {
		wait := l.requestsWait(g)
		if c, ok := l.preferred(from, func(c *candidate) bool {
			return c.fits(r) && c.online+c.usage.batch+r.Headroom+c.usage.heldForOnline(now, wait) < c.Slots
		}); ok {
			return l.grantLease(now, r, c)
		}
	}
	return l.denyBatch(now, r, held)
}

// freeSlotsFor returns how many of the group's slots nothing takes. healthy are the targets
// that the request can use; the reserve is that of all versions.
func (g *group) freeSlotsFor(now time.Time, r Request, healthy []candidate) int {
	if r.Version != "" {
		return g.freeSlots(now)
	}
	return freeSlots(healthy)
}

// denyBatch sends a batch item that gets no slot here to another zone, if that has a free
// one. held is how many free slots are held back from it here.
func (l *Ledger) denyBatch(now time.Time, r Request, held int) Grant {
	grant := l.otherZone(now, r)
	grant.Reserve = held
	return grant
}

// grantLease begins a lease at the target and preempts as many batch items there as then
// exceed its slots.
func (l *Ledger) grantLease(now time.Time, r Request, c candidate) Grant {
	le := l.add(now, r.ID, Running{Number: r.ID.Number, Target: c.Start, Batch: r.Batch})
	le.group, le.work, le.slack = r.Group, r.Work, r.Slack
	le.timed = !r.Batch && c.online+c.usage.batch < c.Slots
	grant := Grant{Verdict: Granted, Target: c.Start, At: *c.Target, Running: c.taken}
	if r.MayWait {
		kept := grant
		le.grant = &kept
	}
	if !r.Batch {
		grant.Yield = c.usage.preempt(now, c.taken+1-c.Slots)
		c.usage.use.recordPreemption(now, len(grant.Yield))
	}
	return grant
}
