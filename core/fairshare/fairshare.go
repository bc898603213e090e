// Package fairshare divides scarce slots between accounts by start-time fair queueing. It
// does no I/O and reads no clock.
//
// A request that begins to wait gets a start tag, the larger of the virtual time and its
// share's finish tag; the finish tag then becomes that start tag plus the request's cost,
// its work divided by the share's weight. A request is within its share while its start tag
// is at most two mean costs of the share beyond the virtual time. Requests of shares that
// ask for less than they may get are therefore within their share, and those that a
// flooding share has waiting lie ever further beyond it.
//
// The virtual time is the largest start tag that got a slot, but never beyond the smallest
// one that waited at the last grant. Requests within their share get slots in the order of
// their objectives, not of their tags. Without the second condition a flooding share advances
// the virtual time by its own grants, and its next requests are always within its share.
//
// A share that has not used its part keeps a credit of a few requests: the virtual time
// counts for it as that much earlier. Independent callers of a small account come in bursts,
// which would otherwise be beyond the share although the account sends little.
//
// Only requests that wait have tags. A share that is alone gets every slot.
package fairshare

import (
	"container/heap"
	"container/list"
	"math"
	"time"
)

const (
	// maxShares bounds the shares that are known. Further ones count as one share until a
	// known one has no request waiting.
	maxShares = 1000
	// shareTTL is how long a share is known after its last request.
	shareTTL = 10 * time.Second
	// maxWaitTime is when a waiting request is dropped whose end was not reported. No
	// request waits longer than routing.MaxWait, which is at most 1 s.
	maxWaitTime = 10 * time.Second
	// slack is how far beyond the virtual time a request is within its share, in mean
	// costs of the share.
	slack = 2
	// credit is how far behind the virtual time an unused share may lie, in mean costs of
	// the share. In the replay of a flood with weights that follow the accounts' rates,
	// without it up to 12 in 100 requests of the others are late.
	credit = 6
	// meanSamples is the number of requests over which the mean cost moves.
	meanSamples = 64
	// rebaseTag is the virtual time from which tags begin at 0 again when nothing waits:
	// up to there, a float64 distinguishes tags that differ by minCost.
	rebaseTag = 1e9
	// maxWork bounds the work of a request: an infinite size must not make a counter
	// infinite, and divided by an infinite weight it is not a number.
	maxWork = 1e10
	// maxCost and minCost bound a cost: a wrong size or weight must not
	// make a tag infinite, or so small that it disappears in rounding.
	maxCost, minCost = 1e8, 1e-6
)

// overflow is the name of the share of all requests beyond maxShares shares. Names of
// accounts and routes are not empty.
const overflow = ""

// Shares orders the waiting requests of one group of targets. Its memory is bounded by
// maxShares and by the number of waiting requests.
type Shares struct {
	shares map[string]*share
	// idle holds the shares without waiting requests, the longest idle first; entered
	// holds all waiting requests, the oldest first.
	idle, entered *list.List
	// waiting has the smallest start tag on top.
	waiting tagHeap
	// virtual is the virtual time, granted the largest start tag that got a slot. Neither
	// decreases while anything waits.
	virtual, granted float64
	now              time.Time
	changes          changes
	remote           map[string]*remoteUse
}

// New returns an empty state.
func New() *Shares {
	return &Shares{shares: map[string]*share{}, idle: list.New(), entered: list.New(),
		changes: changes{due: map[string]bool{}}, remote: map[string]*remoteUse{}}
}

// share is the state of an account, or of a route where no accounts are configured.
type share struct {
	name   string
	finish float64
	// mean is the moving mean cost of a request over at most meanSamples.
	mean, samples float64
	// waiting holds the waiting requests by tag, newest is the last tag given,
	// count and cost the number of waiting requests and their cost.
	waiting map[float64]*entry
	newest  float64
	count   int
	cost    float64
	// remoteCost is the cost of work in other zones since the last request here; see next.
	remoteCost float64
	// used is the work that got slots, usedCost that work divided by the weight.
	used, usedCost float64
	lastUse        time.Time
	element        *list.Element
	// beyond reports whether the last request is beyond the share; see Changes.
	beyond, reported bool
	reportedAt       time.Time
}

// entry is a waiting request.
type entry struct {
	share *share
	// start is the start tag, tag what Enter returned.
	start, tag float64
	work, cost float64
	at         time.Time
	index      int
	element    *list.Element
	// next is another request of the share with the same tag.
	next *entry
}

// Enter returns the tag of a request that begins to wait. Its tag is its start tag
// less the slack. Work and weight that are not positive count as 1.
func (s *Shares) Enter(now time.Time, name string, work, weight float64) (tag float64) {
	s.expireUnused(now)
	if !(work > 0) {
		work = 1
	}
	if !(weight > 0) {
		weight = 1
	}
	work = min(work, maxWork)
	cost := min(max(work/weight, minCost), maxCost)
	a := s.obtain(name)
	a.observe(cost)
	start := s.next(a)
	a.finish, a.remoteCost = start+cost, 0
	tag = start - slack*a.mean
	a.newest = tag
	e := &entry{share: a, start: start, tag: tag, work: work, cost: cost, at: now, next: a.waiting[tag]}
	e.element = s.entered.PushBack(e)
	a.waiting[tag] = e
	a.count++
	a.cost += cost
	heap.Push(&s.waiting, e)
	s.touch(a)
	return tag
}

// Within reports whether a request is within its share. Once it is, it remains so while it
// waits; those that are not are served in the order of their tags.
func (s *Shares) Within(tag float64) bool { return tag <= s.virtual }

// Granted records that a waiting request got a slot.
func (s *Shares) Granted(now time.Time, name string, tag float64) {
	s.now = now
	if e := s.find(name, tag); e != nil {
		s.granted = max(s.granted, e.start)
		// The request that gets the slot still counts as waiting: otherwise an account with
		// one request at a time loses its place whenever that request gets a slot.
		s.virtual = max(s.virtual, min(s.granted, s.waiting[0].start))
		e.share.used += e.work
		e.share.usedCost += e.cost
		s.remove(e)
	}
}

// Left records that a request stopped waiting without a slot. Its work does not count for
// the later requests of its share.
func (s *Shares) Left(name string, tag float64) {
	if e := s.find(name, tag); e != nil {
		s.leave(e)
	}
}

func (s *Shares) leave(e *entry) {
	e.share.finish -= e.cost
	s.remove(e)
}

// Expire drops the shares that had no request for shareTTL, and waiting requests whose end
// was not reported.
func (s *Shares) Expire(now time.Time) {
	s.expireUnused(now)
	s.expireRemote(now)
}

func (s *Shares) expireUnused(now time.Time) {
	s.now = now
	for front := s.entered.Front(); front != nil; front = s.entered.Front() {
		e := front.Value.(*entry)
		if now.Sub(e.at) <= maxWaitTime {
			break
		}
		s.leave(e)
	}
	for front := s.idle.Front(); front != nil; front = s.idle.Front() {
		a := front.Value.(*share)
		if now.Sub(a.lastUse) <= shareTTL {
			break
		}
		s.forget(a)
	}
	s.rebase()
}

// Len returns the number of shares that are known.
func (s *Shares) Len() int { return len(s.shares) }

// next returns the start tag of the share's next request. Work in other zones moves it to at
// most maxRemoteLead beyond the virtual time.
func (s *Shares) next(a *share) float64 {
	start := max(s.virtual-credit*a.mean, a.finish)
	if a.remoteCost > 0 {
		start = max(start, min(max(s.virtual, a.finish)+a.remoteCost, s.virtual+maxRemoteLead*a.mean))
	}
	return start
}

// observe adds a request to the mean cost.
func (a *share) observe(cost float64) {
	a.samples = min(a.samples+1, meanSamples)
	a.mean += (cost - a.mean) / a.samples
}

// obtain returns the state of a share and creates it if necessary.
func (s *Shares) obtain(name string) *share {
	if a := s.shares[name]; a != nil {
		return a
	}
	if len(s.shares) >= maxShares {
		if front := s.idle.Front(); front != nil {
			s.forget(front.Value.(*share))
		} else {
			name = overflow
		}
	}
	if a := s.shares[name]; a != nil {
		return a
	}
	a := &share{name: name, finish: math.Inf(-1), waiting: map[float64]*entry{}}
	s.shares[name] = a
	return a
}

// find returns the waiting request of a share with the start tag, nil for none.
func (s *Shares) find(name string, tag float64) *entry {
	for _, n := range []string{name, overflow} {
		if a := s.shares[n]; a != nil && a.waiting[tag] != nil {
			return a.waiting[tag]
		}
	}
	return nil
}

// remove removes a request that no longer waits.
func (s *Shares) remove(e *entry) {
	a := e.share
	if first := a.waiting[e.tag]; first == e {
		a.waiting[e.tag] = e.next
	} else {
		for first.next != e {
			first = first.next
		}
		first.next = e.next
	}
	if a.waiting[e.tag] == nil {
		delete(a.waiting, e.tag)
	}
	a.count--
	a.cost -= e.cost
	heap.Remove(&s.waiting, e.index)
	s.entered.Remove(e.element)
	s.touch(a)
}

// touch records a use of the share: among the idle ones it becomes the last to be dropped.
func (s *Shares) touch(a *share) {
	a.lastUse = s.now
	if a.element != nil {
		s.idle.Remove(a.element)
		a.element = nil
	}
	if a.count == 0 {
		a.cost = 0 // the sum of costs added and subtracted may differ from 0
		a.element = s.idle.PushBack(a)
	}
	s.updateBeyond(a)
}

// forget drops a share that has no request waiting.
func (s *Shares) forget(a *share) {
	s.idle.Remove(a.element)
	delete(s.shares, a.name)
	s.changes.forgotten(a)
}

// rebase lets the tags begin at 0 again if nothing waits.
func (s *Shares) rebase() {
	if len(s.waiting) > 0 || s.virtual < rebaseTag && len(s.shares) > 0 {
		return
	}
	for _, a := range s.shares {
		a.finish -= s.virtual
	}
	s.virtual, s.granted = 0, 0
}

// tagHeap is a heap of waiting requests by start tag.
type tagHeap []*entry

func (h tagHeap) Len() int           { return len(h) }
func (h tagHeap) Less(i, j int) bool { return h[i].start < h[j].start }
func (h tagHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}
func (h *tagHeap) Push(x any) {
	e := x.(*entry)
	e.index = len(*h)
	*h = append(*h, e)
}
func (h *tagHeap) Pop() any {
	last := (*h)[len(*h)-1]
	(*h)[len(*h)-1] = nil
	*h = (*h)[:len(*h)-1]
	return last
}
