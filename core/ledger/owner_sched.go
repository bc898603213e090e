package ledger

import (
	"encoding/json"
	"math"
	"strings"
)

// itemKey identifies an item on this shard.
type itemKey struct {
	job   string
	index int
}

// sched is the scheduling state of an accepted job, which exists only in the owner's
// memory.
type sched struct {
	job    *job
	caller string
	// graceUntil is when all leases given by a previous owner have expired.
	graceUntil int64
	routes     map[string]*itemQueue
	leased     int
	// served counts items handed out, for fairness between jobs.
	served float64
	// attempts maps an item to the last attempt handed out, if it is above the recorded
	// one.
	attempts map[int]int
	// rateSince, rateEnded and rate estimate the number of items that end per
	// millisecond.
	rateSince int64
	rateEnded int
	rate      float64
}

// itemQueue holds the waiting items of a job that go to the same target group.
type itemQueue struct {
	// requeued holds items that were returned to waiting; they are handed out first. The
	// items in fresh follow in order.
	requeued []int
	fresh    []int
	// unservedSince is when the route was first found to have no target group.
	unservedSince int64
}

func (q *itemQueue) len() int { return len(q.requeued) + len(q.fresh) }

func (q *itemQueue) head() int {
	if len(q.requeued) > 0 {
		return q.requeued[0]
	}
	return q.fresh[0]
}

func (q *itemQueue) pop() int {
	if len(q.requeued) > 0 {
		i := q.requeued[0]
		q.requeued = q.requeued[1:]
		return i
	}
	i := q.fresh[0]
	q.fresh = q.fresh[1:]
	return i
}

// servicePrefix is the start of an item's URL for a plain service.
const servicePrefix = "/v1/services/"

// routeOf returns the part of an item that determines its target group: the service in
// the URL, or else the URL and the model in the body.
func routeOf(it *Item) string {
	if rest, ok := strings.CutPrefix(it.URL, servicePrefix); ok {
		name, _, _ := strings.Cut(rest, "/")
		return servicePrefix + name
	}
	var body struct {
		Model string `json:"model"`
	}
	if json.Unmarshal(it.Body, &body) != nil {
		return it.URL
	}
	return it.URL + " " + body.Model
}

func callerOf(job string) string {
	caller, _, _ := strings.Cut(job, "/")
	return caller
}

// findRoutes computes the routes of a chunk's items, once. This is done as each chunk is
// read back, so that accepting a large job doesn't block its shard.
func (o *Owner) findRoutes(c *chunk) {
	if len(c.routes) == len(c.items) {
		return
	}
	c.routes = make([]string, len(c.items))
	for i := range c.items {
		if !c.items[i].ended() {
			c.routes[i] = o.intern(routeOf(&c.items[i].Item))
		}
	}
}

// intern returns a shared copy of the route.
func (o *Owner) intern(route string) string {
	if kept, ok := o.routeNames[route]; ok {
		return kept
	}
	o.routeNames[route] = route
	return route
}

// addSched starts scheduling a job's items; they are handed out once the grace period is
// over.
func (o *Owner) addSched(j *job, graceUntil int64) *sched {
	caller := callerOf(j.Job)
	s := &sched{
		job: j, caller: caller, graceUntil: graceUntil,
		routes: map[string]*itemQueue{}, attempts: map[int]int{}, rateSince: o.now,
		served: o.leastServed(caller),
	}
	s.rateEnded = j.completed + j.failed
	o.scheds[j.Job] = s
	for _, c := range j.chunks {
		o.findRoutes(c)
		for i := range c.items {
			o.schedule(s, c, i)
		}
	}
	o.closeIfDone(j)
	return s
}

// leastServed returns the served count with which a new job starts: that of the least
// served job of its caller. A new caller starts with the count of the least served
// caller. So a newcomer neither waits nor catches up on the past.
func (o *Owner) leastServed(caller string) float64 {
	least, leastCaller := math.Inf(1), math.Inf(1)
	known := false
	for _, s := range o.scheds {
		leastCaller = min(leastCaller, o.served[s.caller])
		if s.caller == caller {
			known = true
			least = min(least, s.served)
		}
	}
	if !known {
		o.served[caller] = zeroIfInf(leastCaller)
	}
	return zeroIfInf(least)
}

func zeroIfInf(v float64) float64 {
	if math.IsInf(v, 1) {
		return 0
	}
	return v
}

// schedule adds an item to its queue. A non-repeatable item that a previous owner started
// stays leased to its dispatcher until its outcome is known.
func (o *Owner) schedule(s *sched, c *chunk, i int) {
	it, index := &c.items[i], c.first+i
	if it.ended() {
		return
	}
	if it.Started != "" {
		o.leases[itemKey{s.job.Job, index}] = &lease{
			dispatcher: it.Started, attempt: it.Attempts, until: s.graceUntil, handedOut: true, inherited: true,
		}
		s.leased++
		return
	}
	q := s.queueFor(c.routes[i])
	q.fresh = append(q.fresh, index)
}

func (s *sched) queueFor(route string) *itemQueue {
	q := s.routes[route]
	if q == nil {
		q = &itemQueue{}
		s.routes[route] = q
	}
	return q
}

// resumeJob continues a job of a previous owner.
func (o *Owner) resumeJob(j *job) {
	switch j.State {
	case JobAccepted:
		o.addSched(j, o.graceUntil)
	case JobCancelling:
		o.startRevocation(j.Job, o.graceUntil)
	}
}

// requeueItem returns an item that hasn't ended to its queue, ahead of fresh ones.
func (o *Owner) requeueItem(key itemKey) {
	s := o.scheds[key.job]
	_, it := o.st.item(key.job, key.index)
	if s == nil || it == nil || it.ended() {
		return
	}
	q := s.queueFor(routeOf(&it.Item))
	q.requeued = append(q.requeued, key.index)
}

const (
	// similarDueMs is the width of a class of due times. Jobs of the same class are
	// ordered by fairness and not by due time.
	similarDueMs = 15 * 60 * 1000
	// fairShare: one in fairShare items is chosen by fairness among all jobs, whatever
	// their due time, so that no job has to wait for a large one to end.
	fairShare = 4
)

// candidate is a queue from which a pull may take items.
type candidate struct {
	sched *sched
	queue *itemQueue
	class int64
}

// candidates returns the queues of the target group that have waiting items.
func (o *Owner) candidates(group string) []candidate {
	var out []candidate
	for _, s := range o.scheds {
		if s.job.State != JobAccepted || o.now < s.graceUntil {
			continue
		}
		for _, q := range s.routes {
			if o.trim(s, q) && o.queueGroup(s, q) == group {
				out = append(out, candidate{sched: s, queue: q, class: s.job.DueMs / similarDueMs})
			}
		}
	}
	return out
}

// trim drops the items at the front of a queue that no longer wait, and reports whether
// any items are left. If a dispatcher continues with a lease of a previous owner, the
// item stays in its queue. Once such an item has ended, its body has been removed, so it
// must not be used to determine the queue's target group: the items behind it would
// appear to have no target group and would fail.
func (o *Owner) trim(s *sched, q *itemQueue) bool {
	for q.len() > 0 {
		key := itemKey{s.job.Job, q.head()}
		if _, it := o.st.item(key.job, key.index); it != nil && !it.ended() && o.leases[key] == nil {
			return true
		}
		q.pop()
	}
	return false
}

// queueGroup returns the target group of the queue's first item, "" if there is none.
func (o *Owner) queueGroup(s *sched, q *itemQueue) string {
	_, it := o.st.item(s.job.Job, q.head())
	if it == nil {
		return ""
	}
	group, ok := o.cfg.GroupOf(it.Item)
	if ok {
		q.unservedSince = 0
		return group
	}
	return ""
}

// pick returns the index of the candidate from which to take the next item, -1 if all are
// empty. The earliest class of due times comes first; within a class (and for one in
// fairShare items among all classes) the least served caller, then its least served job.
// The job's name breaks ties, so that the choice doesn't depend on map order.
func (o *Owner) pick(candidates []candidate, nth int) int {
	best := -1
	for i := range candidates {
		if candidates[i].queue.len() == 0 {
			continue
		}
		if best < 0 || o.before(&candidates[i], &candidates[best], nth%fairShare == fairShare-1) {
			best = i
		}
	}
	return best
}

func (o *Owner) before(a, b *candidate, fairOnly bool) bool {
	if !fairOnly && a.class != b.class {
		return a.class < b.class
	}
	if x, y := o.served[a.sched.caller], o.served[b.sched.caller]; x != y {
		return x < y
	}
	if a.sched.served != b.sched.served {
		return a.sched.served < b.sched.served
	}
	return a.sched.job.Job < b.sched.job.Job
}
