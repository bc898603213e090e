package jobs

import (
	"maps"
	"slices"
	"time"
)

// publishHeld sends the other daemons the items that they must not run although the
// partition was, or may have been, reassigned: those that run here, those whose results
// are not written yet, and those that were begun here. It also sends which partitions are
// certainly held here.
//
// Failure guarded against: the log rejects this daemon, its partitions are assigned to
// another one, and the items that run or have ended here run there again.
func (r *runner) publishHeld() {
	unwritten := r.jobs.unwritten()
	elsewhere := r.jobs.Places.PartsElsewhere()
	now := time.Now()
	r.mu.Lock()
	valid := r.isMember(now)
	var held []uint64
	publish := func(key itemKey) {
		if _, isHeld := r.heldSince[r.jobs.part(key.job)]; !isHeld || !valid {
			held = append(held, key.hash())
		}
	}
	for key := range r.active {
		publish(key)
	}
	for _, key := range unwritten {
		publish(key)
	}
	for key, p := range r.progress {
		if r.active[key] == nil && r.scopeOf(now, r.jobs.part(key.job), elsewhere) != scopeNone && p.begun() {
			publish(key)
		}
	}
	var parts []int
	if valid {
		parts = slices.Sorted(maps.Keys(r.heldSince))
	}
	r.mu.Unlock()
	r.jobs.Places.SetHeldWork(held, parts)
}

// runScope is which items of a partition this daemon runs.
type runScope int

const (
	// scopeNone means none: the partition is held by another daemon.
	scopeNone runScope = iota
	// scopeBegun means only those begun here: the partition was reassigned, but its new
	// holder has less of their progress, or none.
	scopeBegun
	// scopeAll means all: the partition is held here.
	scopeAll
)

// finishWindow is how long after the loss of a partition the items that were begun here
// are still started: about as long as an item takes beside online work.
const finishWindow = 8 * time.Second

// scopeOf returns which items of the partition run here. elsewhere holds the partitions
// that other daemons certainly hold. r.mu is held.
func (r *runner) scopeOf(now time.Time, part int, elsewhere map[int]bool) runScope {
	if r.stopping {
		return scopeNone
	}
	_, held := r.heldSince[part]
	switch {
	case held && (r.isMember(now) || !elsewhere[part]):
		return scopeAll
	case held || now.Sub(r.releasedAt[part]) < finishWindow:
		return scopeBegun
	default:
		return scopeNone
	}
}

// isMember reports whether the partitions are certainly held: the membership was renewed
// recently enough that they can't have been assigned to other daemons. r.mu is held.
func (r *runner) isMember(now time.Time) bool { return !r.stopping && now.Sub(r.renewedAt) < memberTTL }
