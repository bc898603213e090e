package slots

import (
	"maps"
	"slices"
	"time"
)

// Dispatch gives slots that have become free to waiting requests, and ends the wait of
// those whose maximum wait has passed. It is called after each change that may free a slot.
func (l *Ledger) Dispatch(now time.Time) []Delivery {
	l.dispatch(now)
	ended := l.waiting.ended
	l.waiting.ended = nil
	return ended
}

// dispatch collects the deliveries. Waits that have ended get no slot: the holder of a
// request that was not renewed may be dead, and the slot would stay taken until the lease
// expires.
func (l *Ledger) dispatch(now time.Time) {
	waiting := l.groupsWithWaiting()
	for _, name := range waiting {
		l.expireWaits(now, l.groups[name])
	}
	for _, start := range slices.Sorted(maps.Keys(l.waiting.vacated)) {
		delete(l.waiting.vacated, start)
		if at, known := l.waiting.placed[start]; known {
			l.fill(now, l.groups[at.group], &at.Target)
		}
	}
	for _, name := range waiting {
		g := l.groups[name]
		if g.line.length() > 0 && now.Sub(g.line.scanned) >= scanInterval {
			g.line.scanned = now
			l.scan(now, g)
		}
	}
}

func (l *Ledger) groupsWithWaiting() []string {
	if len(l.waiting.entries) == 0 {
		return nil
	}
	var names []string
	for name, g := range l.groups {
		if g.line.length() > 0 {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// expireWaits ends the waits whose maximum has passed, and removes requests that were not
// renewed.
func (l *Ledger) expireWaits(now time.Time, g *group) {
	for e := g.line.queue.Expired(now); e != nil; e = g.line.queue.Expired(now) {
		w := e.Value
		if !w.until.After(now) {
			more := l.expectedWait(now, g, e)
			l.deliver(e, l.refuse(now, g, w.request, e, now.Sub(w.entered)+more))
		}
		l.remove(g, e)
	}
}

// scan examines all targets of a group for room. Requests that can use no healthy one wait at
// targets instead, as without a queue.
func (l *Ledger) scan(now time.Time, g *group) {
	without := g.withoutHealthy(now)
	var room []candidate
	for i := range g.targets {
		t, u := &g.targets[i], g.usages[i]
		if u.degraded(now, false) || !g.line.demand.wants(t.Version) {
			continue
		}
		if u.online < t.Slots+g.ahead() {
			room = append(room, l.candidateOf(now, t, u))
		}
	}
	for _, c := range l.order(room) {
		l.fill(now, g, c.Target)
	}
	for _, version := range without {
		l.waitAtTargets(now, g, version)
	}
}

// waitAtTargets ends the waits in the queue of the requests that require the version, "" for
// those that accept any, and have no healthy target.
func (l *Ledger) waitAtTargets(now time.Time, g *group, version string) {
	_, degraded := l.candidates(now, g, Request{Version: version}, 0, len(g.targets))
	for e := g.line.firstRequiring(now, version); e != nil; e = g.line.firstRequiring(now, version) {
		r := e.Value.request
		r.Patience = e.Value.until.Sub(now)
		i := max(0, slices.IndexFunc(degraded, func(c candidate) bool { return !slices.Contains(r.Exclude, c.Start) }))
		grant := l.queueAtTarget(now, r, g, degraded[i:])
		if grant.Verdict != Granted {
			l.remove(g, e)
			l.deliver(e, grant)
			continue
		}
		l.grantWaiting(now, g, e, grant)
		degraded[i] = l.candidateAt(now, degraded[i].Target)
		degraded = l.order(degraded)
	}
}

// fill grants the room of a target to the first waiting requests that can use it.
func (l *Ledger) fill(now time.Time, g *group, t *Target) {
	for g.line.length() > 0 {
		c := l.candidateAt(now, t)
		if c.online >= c.Slots+g.ahead() {
			return
		}
		e := l.firstFor(now, g, c)
		if e == nil {
			return
		}
		l.grantWaiting(now, g, e, l.grantLease(now, e.Value.request, c))
	}
}

// firstFor returns the waiting request that gets a slot of the target, nil for none. Requests
// that require other versions don't count as passed over: they may wait for long, and would
// block those behind them.
func (l *Ledger) firstFor(now time.Time, g *group, c candidate) *entry {
	if !g.line.demand.wants(c.Version) {
		return nil
	}
	usable := func(e *entry) bool {
		r := e.Value.request
		return e.Value.until.After(now.Add(g.waitAt(c))) && !slices.Contains(r.Exclude, c.Start) && !c.usage.degraded(now, r.LastChance)
	}
	var found *entry
	passed := 0
	g.line.queue.Each(now, func(e *entry) bool {
		if !e.Value.request.accepts(c.Target) {
			return true
		}
		if !usable(e) {
			passed++
			return passed < maxPassed
		}
		found = e
		return false
	})
	return g.requiredFirst(found, c.Target, usable)
}

// grantWaiting ends the wait of a request that has got a slot.
func (l *Ledger) grantWaiting(now time.Time, g *group, e *entry, grant Grant) {
	g.line.queue.Grant(now, e)
	g.line.demand.remove(e)
	delete(l.waiting.entries, e.Value.request.ID)
	l.deliver(e, grant)
}
