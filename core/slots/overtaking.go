package slots

import "time"

// precedence is the part of the queue's order that later arrivals can't change: a request
// of a higher rank, or within its share, goes ahead of all others whenever it arrives.
type precedence struct {
	rank   int
	beyond bool
}

// before reports whether every request of p goes ahead of those of other.
func (p precedence) before(other precedence) bool {
	return p.rank < other.rank || p.rank == other.rank && !p.beyond && other.beyond
}

// arrivals counts the requests that enter a group's queue, by precedence.
type arrivals map[precedence]*drain

func (a arrivals) add(now time.Time, p precedence) {
	if a[p] == nil {
		a[p] = &drain{}
	}
	a[p].add(now, 1)
}

// overtaking returns how many requests a second enter the queue ahead of those of p.
func (a arrivals) overtaking(now time.Time, p precedence) float64 {
	sum := 0.0
	for other, d := range a {
		if other.before(p) {
			sum += d.soFar(now)
		}
	}
	return sum
}

// precedenceOf returns the precedence of a waiting request.
func (g *group) precedenceOf(e *entry) precedence {
	return precedence{e.Rank, !g.line.queue.Within(e)}
}

// perSecondFor returns how many of the slots that become free a second, perSecond of those
// that the waiting request could use, are left for the
// waiting request and those beside it: not those that go to requests that overtake it, 0 if
// these get all.
//
// Load pattern: more urgent requests than slots for several seconds. A less urgent one
// that looked only at the queue as it is would wait for its whole maximum wait in vain.
func perSecondFor(now time.Time, g *group, e *entry, perSecond float64) float64 {
	overtaking := g.line.arrivals.overtaking(now, g.precedenceOf(e))
	return max(0, perSecond-overtaking*g.versionShare(now, e.Value.request))
}

// expectedWait returns how long a waiting request will wait. It is 0 while the rate at which
// slots become free is not known, and maxStart if no slot is expected. The first in the queue
// is expected to start at once unless it requires a version: then few targets are of use.
func (l *Ledger) expectedWait(now time.Time, g *group, e *entry) time.Duration {
	requests, r := g.aheadOf(now, e), e.Value.request
	if r.Version != "" {
		requests++
	}
	if requests == 0 {
		return 0
	}
	perSecond := l.perSecond(now, g)
	if perSecond <= 0 {
		return 0
	}
	return waitBehind(requests, perSecondFor(now, g, e, perSecond*g.versionShare(now, r)))
}

// waitBehind returns how long requests take to get slots that become free at the rate.
func waitBehind(requests int, perSecond float64) time.Duration {
	if perSecond <= 0 {
		return maxStart
	}
	return min(maxStart, time.Duration(float64(requests)/perSecond*float64(time.Second)))
}
