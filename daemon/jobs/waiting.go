package jobs

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"tarragonhollow.example/tarragonhollow/core/batch"
	"tarragonhollow.example/tarragonhollow/core/route"
)

// takeoverWait is how long the items of a partition that came from another daemon wait,
// except those of new jobs: that daemon may be alive and finish them. It learns of the
// reassignment within a renewal, and then reports what it still runs.
const takeoverWait = renewInterval + 300*time.Millisecond

// candidate is an item that could run now.
type candidate struct {
	key  itemKey
	item batch.Item
	host string
	// account is the client account that owns the job, "" for none.
	account string
	// route is nil if none matches.
	route *route.Route
	due   time.Time
	age   time.Duration
	// late is set if the item can't finish by its due time.
	late bool
	// slack is how much time the item would have left if it ran now without interruption;
	// shortOfTime is set if this is too little to wait for a slot.
	slack       time.Duration
	shortOfTime bool
}

// routeName returns the route's name, "" without a route.
func (c *candidate) routeName() string {
	if c.route == nil {
		return ""
	}
	return c.route.Name
}

// waiting lists the items of the held partitions that neither run nor have a result,
// ordered by due time.
func (r *runner) waiting(table *route.Table) []candidate {
	now := time.Now()
	held := r.jobs.Places.HeldElsewhere()
	parts := r.jobs.Places.PartsElsewhere()
	r.jobs.mu.Lock()
	defer r.jobs.mu.Unlock()
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.stopping {
		return nil
	}
	var list []candidate
	r.jobs.store.Jobs(func(j *batch.Job) {
		part := r.jobs.part(j.ID)
		switch r.scopeOf(now, part, parts) {
		case scopeAll:
			if r.ready(now, j, part) {
				list = r.appendWaiting(list, now, j, table, func(key itemKey) bool { return len(held) == 0 || !held[key.hash()] })
			}
		case scopeBegun:
			list = r.appendWaiting(list, now, j, table, r.begun)
		}
	})
	r.sortByDue(now, list)
	return list
}

// sortByDue sorts the items by their due time, those that can't finish by then last; see
// batch.OnTime. r.mu is held.
func (r *runner) sortByDue(now time.Time, list []candidate) {
	r.estimator.ObserveSlots(now, len(r.active))
	work := make([]batch.Work, 0, len(list)+len(r.active))
	for i := range list {
		c := &list[i]
		work = append(work, batch.Work{Due: c.due.Sub(now), Left: r.remaining(c.key, c.item.Tokens)})
	}
	running := slices.Collect(maps.Values(r.active))
	for _, run := range running {
		work = append(work, batch.Work{Due: run.due.Sub(now), Left: r.remaining(run.key, run.tokens)})
	}
	slots, known := r.estimator.Slots()
	if known {
		onTime := batch.OnTime(work, slots)
		for i := range list {
			list[i].late = !onTime[i]
		}
	}
	if r.jobs.Places.BatchReserve() {
		if known {
			slots = max(slots, float64(len(r.active)+r.jobs.Places.HeldBack()))
		}
		setSlack(list, work, slots, known)
		r.needed = neededByGroup(list, running, work)
	}
	slices.SortFunc(list, func(a, b candidate) int {
		return cmp.Or(compareBool(a.late, b.late), a.due.Compare(b.due),
			cmp.Compare(a.key.job, b.key.job), cmp.Compare(a.key.item, b.key.item))
	})
}

// remaining estimates how long an item still runs. r.mu is held.
func (r *runner) remaining(key itemKey, tokens int64) time.Duration {
	received := int64(0)
	if p := r.progress[key]; p != nil {
		received = p.eventCount()
	}
	return r.estimator.Remaining(tokens, received)
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	default:
		return 1
	}
}

// begun reports whether any event of the item was received here. r.mu is held.
func (r *runner) begun(key itemKey) bool {
	p := r.progress[key]
	return p != nil && p.begun()
}

// ready reports whether the items of a held partition may run.
func (r *runner) ready(now time.Time, j *batch.Job, part int) bool {
	since := r.heldSince[part]
	// All results from before the partition was assigned here must have been read.
	if !j.Open() || !r.jobs.results[part].readAt.After(since) {
		return false
	}
	return since.UnixMilli() <= j.AcceptedMs || r.takeoverDone(now, part, since)
}

// takeoverDone reports whether the items of a partition that came from another daemon may
// run: that daemon had time to report what it still runs, and their progress was read.
func (r *runner) takeoverDone(now time.Time, part int, since time.Time) bool {
	held := now.Sub(since)
	return held >= takeoverWait && (r.restoredAt[part].After(since) || held >= restoreMaxWait)
}

// appendWaiting appends the items of a job that may run here and neither run nor have a
// result.
func (r *runner) appendWaiting(list []candidate, now time.Time, j *batch.Job, table *route.Table, runsHere func(itemKey) bool) []candidate {
	if !j.Open() {
		return list
	}

	accepted := time.UnixMilli(j.AcceptedMs)
	for i := range j.Items {
		key := itemKey{j.ID, i}
		if j.Finished(i) || r.active[key] != nil || !runsHere(key) {
			continue
		}
		if p := r.progress[key]; p != nil && now.Before(p.notBefore) {
			continue
		}
		c := candidate{key: key, item: j.Items[i], host: j.Host, account: j.Account, age: now.Sub(accepted), due: accepted}
		if c.route = table.Match(j.Host, j.Items[i].Path); c.route == nil {
			c.route = table.Match(j.Host, j.Path)
		}
		if c.route != nil {
			c.due = accepted.Add(c.route.Due)
		}
		list = append(list, c)
	}
	return list
}
