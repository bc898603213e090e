package ledger

import (
	"encoding/json"
	"math"
	"strings"
)

// itemKey names an item on this shard.
type itemKey struct {
	job   string
	index int
}

// sched is the volatile side of an accepted job: which items wait.
type sched struct {
	job    *job
	caller string
	// graceUntil is when leases of a predecessor have surely lapsed.
	graceUntil int64
	routes     map[string]*lane
	leased     int
	// served counts items handed out, for fairness between jobs.
	served float64
	// tries is the last attempt handed out, where that is above the recorded one.
	tries map[int]int
	// rate* estimate the items ended a millisecond.
	rateSince int64
	rateEnded int
	rate      float64
}

// lane holds the waiting items of a job that go to the same target group.
type lane struct {
	// again holds items handed back; they go first. fresh items follow in order.
	again []int
	fresh []int
	// unknownSince is when the route was first found to have no target group.
	unknownSince int64
}

func (l *lane) len() int { return len(l.again) + len(l.fresh) }

func (l *lane) head() int {
	if len(l.again) > 0 {
		return l.again[0]
	}
	return l.fresh[0]
}

func (l *lane) pop() int {
	if len(l.again) > 0 {
		i := l.again[0]
		l.again = l.again[1:]
		return i
	}
	i := l.fresh[0]
	l.fresh = l.fresh[1:]
	return i
}

// servicePrefix begins the URL of an item for a plain service.
const servicePrefix = "/v1/services/"

// routeOf tells items apart by what their target group follows from: the
// service in the URL, or else the model in the body.
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

// findRoutes works the routes of a chunk's items out, once. It is done as each
// chunk lands, so that accepting a large job doesn't hold up its shard.
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

// intern keeps one copy of each route.
func (o *Owner) intern(route string) string {
	if kept, ok := o.routeNames[route]; ok {
		return kept
	}
	o.routeNames[route] = route
	return route
}

// addSched begins to hand out a job's items, after the grace time.
func (o *Owner) addSched(j *job, graceUntil int64) *sched {
	caller := callerOf(j.Job)
	s := &sched{
		job: j, caller: caller, graceUntil: graceUntil,
		routes: map[string]*lane{}, tries: map[int]int{}, rateSince: o.now,
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

// leastServed puts a new job level with the least served one of its caller, and
// a new caller with the least served caller, so that newcomers neither wait nor
// make up for the past.
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

// schedule puts an item in its lane; one that a predecessor started and that
// may not be repeated stays with its steward until its fate is known.
func (o *Owner) schedule(s *sched, c *chunk, i int) {
	it, index := &c.items[i], c.first+i
	if it.ended() {
		return
	}
	if it.Started != "" {
		o.leases[itemKey{s.job.Job, index}] = &lease{
			steward: it.Started, attempt: it.Attempts, until: s.graceUntil, handed: true, inherited: true,
		}
		s.leased++
		return
	}
	l := s.lane(c.routes[i])
	l.fresh = append(l.fresh, index)
}

func (s *sched) lane(route string) *lane {
	l := s.routes[route]
	if l == nil {
		l = &lane{}
		s.routes[route] = l
	}
	return l
}

// resumeJob takes up a job that a predecessor left.
func (o *Owner) resumeJob(j *job) {
	switch j.State {
	case JobAccepted:
		o.addSched(j, o.graceUntil)
	case JobCancelling:
		o.beginRevoke(j.Job, o.graceUntil)
	}
}

// putBack returns an unended item to its lane, ahead of fresh ones.
func (o *Owner) putBack(key itemKey) {
	s := o.scheds[key.job]
	_, it := o.st.item(key.job, key.index)
	if s == nil || it == nil || it.ended() {
		return
	}
	l := s.lane(routeOf(&it.Item))
	l.again = append(l.again, key.index)
}

const (
	// similarDueMs is the width of a class of due times within which jobs share
	// by fairness instead of by order.
	similarDueMs = 15 * 60 * 1000
	// fairShare: every so many items one goes by fairness among all jobs
	// whatever their due time, so that no job waits for a large one to end.
	fairShare = 4
)

// offer is a lane that a pull may take from.
type offer struct {
	sched *sched
	lane  *lane
	class int64
}

// offers lists the lanes of the target group that have waiting items.
func (o *Owner) offers(group string) []offer {
	var out []offer
	for _, s := range o.scheds {
		if s.job.State != JobAccepted || o.now < s.graceUntil {
			continue
		}
		for _, l := range s.routes {
			if o.trim(s, l) && o.laneGroup(s, l) == group {
				out = append(out, offer{sched: s, lane: l, class: s.job.DueMs / similarDueMs})
			}
		}
	}
	return out
}

// trim drops items at the front of a lane that wait no longer, and tells whether
// any are left. A steward that goes on with a predecessor's lease leaves its item
// in the lane; once that has ended, its body is gone, so it must not stand for
// the lane when the target group is worked out: all items behind it would seem
// to have none, and fail.
func (o *Owner) trim(s *sched, l *lane) bool {
	for l.len() > 0 {
		key := itemKey{s.job.Job, l.head()}
		if _, it := o.st.item(key.job, key.index); it != nil && !it.ended() && o.leases[key] == nil {
			return true
		}
		l.pop()
	}
	return false
}

// laneGroup evaluates the lane's target group by its first item.
func (o *Owner) laneGroup(s *sched, l *lane) string {
	_, it := o.st.item(s.job.Job, l.head())
	if it == nil {
		return ""
	}
	group, ok := o.cfg.GroupOf(it.Item)
	if ok {
		l.unknownSince = 0
		return group
	}
	return ""
}

// pick chooses the next lane: earliest due class first, within a class (and for
// a share of items among all) the least served caller, then its least served
// job. Names break ties, so that the choice doesn't hang on map order.
func (o *Owner) pick(offers []offer, nth int) int {
	best := -1
	for i := range offers {
		if offers[i].lane.len() == 0 {
			continue
		}
		if best < 0 || o.before(&offers[i], &offers[best], nth%fairShare == fairShare-1) {
			best = i
		}
	}
	return best
}

func (o *Owner) before(a, b *offer, fairOnly bool) bool {
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
