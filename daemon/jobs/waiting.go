package jobs

import (
	"cmp"
	"slices"
	"time"

	"tarragonhollow.example/tarragonhollow/core/batch"
	"tarragonhollow.example/tarragonhollow/core/route"
)

// takeoverWait is how long the items of a partition that came from another daemon
// wait, except those of new jobs: that daemon may live and finish them. It learns of
// its loss within a renewal, and then says what it still runs.
const takeoverWait = renewEvery + 300*time.Millisecond

// candidate is an item that could run now.
type candidate struct {
	key  itemKey
	item batch.Item
	host string
	// account is the client account whose job it is, "" for none.
	account string
	// route is nil if none fits.
	route *route.Route
	due   time.Time
	age   time.Duration
	// behind tells that the item can't be on time.
	behind bool
}

// routeName is empty without a route.
func (c *candidate) routeName() string {
	if c.route == nil {
		return ""
	}
	return c.route.Name
}

// waiting lists the items of the held partitions that neither run nor have a
// result, in order of their due time.
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
	r.jobs.book.Jobs(func(j *batch.Job) {
		part := r.jobs.part(j.ID)
		switch r.tenure(now, part, parts) {
		case all:
			if r.ready(now, j, part) {
				list = r.appendWaiting(list, now, j, table, func(key itemKey) bool { return len(held) == 0 || !held[key.hash()] })
			}
		case begunOnly:
			list = r.appendWaiting(list, now, j, table, r.begun)
		}
	})
	r.order(now, list)
	return list
}

// order sorts the items by their due time, those that can't be on time behind the
// others; see batch.OnTime. r.mu is held.
func (r *runner) order(now time.Time, list []candidate) {
	r.speed.Had(now, len(r.active))
	places, known := r.speed.Places()
	if known {
		works := make([]batch.Work, 0, len(list)+len(r.active))
		for i := range list {
			c := &list[i]
			works = append(works, batch.Work{Due: c.due.Sub(now), Left: r.left(c.key, c.item.Tokens)})
		}
		for _, run := range r.active {
			works = append(works, batch.Work{Due: run.due.Sub(now), Left: r.left(run.key, run.tokens)})
		}
		first := batch.OnTime(works, places)
		for i := range list {
			list[i].behind = !first[i]
		}
	}
	slices.SortFunc(list, func(a, b candidate) int {
		return cmp.Or(compareBool(a.behind, b.behind), a.due.Compare(b.due),
			cmp.Compare(a.key.job, b.key.job), cmp.Compare(a.key.item, b.key.item))
	})
}

// left estimates how long an item still runs. r.mu is held.
func (r *runner) left(key itemKey, tokens int64) time.Duration {
	had := int64(0)
	if p := r.progress[key]; p != nil {
		had = p.events()
	}
	return r.speed.Left(tokens, had)
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

// begun tells whether anything of the item is had here. r.mu is held.
func (r *runner) begun(key itemKey) bool {
	p := r.progress[key]
	return p != nil && p.begun()
}

// ready tells whether items of a held partition may run.
func (r *runner) ready(now time.Time, j *batch.Job, part int) bool {
	since := r.owned[part]
	// What was finished before the partition came here must have been read.
	if !j.Open() || !r.jobs.results[part].read.After(since) {
		return false
	}
	return since.UnixMilli() <= j.AcceptedMs || r.takenOver(now, part, since)
}

// takenOver tells whether the items of a partition that came from another daemon may
// run: that daemon had time to say what it still runs, and their progress was read.
func (r *runner) takenOver(now time.Time, part int, since time.Time) bool {
	held := now.Sub(since)
	return held >= takeoverWait && (r.restored[part].After(since) || held >= restorePatience)
}

// appendWaiting adds the items of a job that may run here and neither run nor have a
// result.
func (r *runner) appendWaiting(list []candidate, now time.Time, j *batch.Job, table *route.Table, here func(itemKey) bool) []candidate {
	if !j.Open() {
		return list
	}

	accepted := time.UnixMilli(j.AcceptedMs)
	for i := range j.Items {
		key := itemKey{j.ID, i}
		if j.Finished(i) || r.active[key] != nil || !here(key) {
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
