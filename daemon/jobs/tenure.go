package jobs

import (
	"maps"
	"slices"
	"time"
)

// tellHeld tells the other daemons which items they must not run: those that run here,
// or whose results are not written yet, or that were begun here, although their
// partition has gone or may have gone. It tells them too which partitions are held here
// for certain.
//
// Failure guarded against: the log turns this daemon away, its partitions go to
// another one, and that runs the items a second time that run or have ended here.
func (r *runner) tellHeld() {
	unwritten := r.jobs.unwritten()
	elsewhere := r.jobs.Places.PartsElsewhere()
	now := time.Now()
	r.mu.Lock()
	certain := r.certain(now)
	var held []uint64
	tell := func(key itemKey) {
		if _, mine := r.owned[r.jobs.part(key.job)]; !mine || !certain {
			held = append(held, key.hash())
		}
	}
	for key := range r.active {
		tell(key)
	}
	for _, key := range unwritten {
		tell(key)
	}
	for key, p := range r.progress {
		if r.active[key] == nil && r.tenure(now, r.jobs.part(key.job), elsewhere) != none && p.begun() {
			tell(key)
		}
	}
	var parts []int
	if certain {
		parts = slices.Sorted(maps.Keys(r.owned))
	}
	r.mu.Unlock()
	r.jobs.Places.SetHeld(held, parts)
}

// tenure is which items of a partition this daemon runs.
type tenure int

const (
	// none: the partition is another daemon's.
	none tenure = iota
	// begunOnly: it is another daemon's by now; what was begun here is finished here,
	// since the other one has less of it, or nothing.
	begunOnly
	// all: it is held here.
	all
)

// finishFor is how long items that were begun here are still started after their
// partition has gone: about as long as an item takes beside online work.
const finishFor = 8 * time.Second

// tenure tells which items of the partition run here. elsewhere holds the partitions
// that other daemons hold for certain. r.mu is held.
func (r *runner) tenure(now time.Time, part int, elsewhere map[int]bool) tenure {
	if r.stopping {
		return none
	}
	_, held := r.owned[part]
	switch {
	case held && (r.certain(now) || !elsewhere[part]):
		return all
	case held || now.Sub(r.gaveUp[part]) < finishFor:
		return begunOnly
	default:
		return none
	}
}

// certain tells whether the partitions are held for certain: the membership was
// renewed lately, so that they can't have been dealt to others. r.mu is held.
func (r *runner) certain(now time.Time) bool { return !r.stopping && now.Sub(r.renewed) < memberTTL }
