package jobs

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"tarragonhollow.example/tarragonhollow/core/batch"
	"tarragonhollow.example/tarragonhollow/daemon/duty"
	"tarragonhollow.example/tarragonhollow/daemon/places"
	"tarragonhollow.example/tarragonhollow/extern/partlog"
)

// In a large zone only the daemons that hold a partition follow the acceptances, and so
// may accept a job and tell about one. The others forward calls to the holder of the
// job's partition, whom the zone's leader names. Roomy hosts alone join the group that
// holds partitions. What jobs cost the log then follows the number of partitions and not
// that of the daemons.

// Holders names the daemons that hold partitions, by their peer addresses.
type Holders interface {
	// Address is this daemon's.
	Address() string
	// PartHolder returns the daemon that held a partition for certain a moment ago, and
	// PartHolders those that held any.
	PartHolder(part int) (string, bool)
	PartHolders() []string
}

// followLook is the pace at which a daemon looks whether it has to follow the
// acceptances.
const followLook = 50 * time.Millisecond

// following is the reading of the acceptances, while it is needed.
type following struct {
	mu   sync.Mutex
	duty duty.Switch
}

func (f *following) set(ctx context.Context, on bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.duty.Set(ctx, on)
}

func (f *following) running() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.duty.Running()
}

// followAccepted reads the acceptances while this daemon needs them, until ctx is done.
func (j *Jobs) followAccepted(ctx context.Context) {
	for {
		j.following.set(ctx, j.needsAccepted())
		if !duty.Pause(ctx, followLook) {
			break
		}
	}
	j.following.set(ctx, false)
}

// needsAccepted tells whether this daemon follows the acceptances: it holds a partition,
// or finishes what it began while it held one. The ends of jobs come with them.
func (j *Jobs) needsAccepted() bool {
	return !j.Large() || j.holdsAny() || j.runner.finishing(time.Now()) || !j.written()
}

// holdsAny tells whether this daemon holds a partition.
func (j *Jobs) holdsAny() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return slices.ContainsFunc(j.results, func(c *cursor) bool { return c.unfollow != nil })
}

// finishing tells whether items run here, or may still be started that were begun here
// while their partition was held.
func (r *runner) finishing(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.active) > 0 {
		return true
	}
	for _, at := range r.gaveUp {
		if now.Sub(at) < finishFor {
			return true
		}
	}
	return false
}

// catchUpAccepted reads the acceptances to their end now. A daemon that does not follow
// them does so as the last way for a call that no holder of a partition answers, and the
// fleet shares the pace of first readings.
func (j *Jobs) catchUpAccepted(ctx context.Context) error {
	if !j.following.running() && j.accepted.Position() < 0 && !j.loads.take(time.Now(), j.Fleet()) {
		return partlog.Unavailable.New("no daemon that follows the jobs is reached")
	}
	return j.catchUp(ctx, j.accepted)
}

// holderOf returns the peer address of another daemon that holds the job's partition, as
// the zone's leader told.
func (j *Jobs) holderOf(job string) (string, bool) {
	address, known := j.Holders.PartHolder(j.part(job))
	return address, known && address != j.Holders.Address()
}

// holders lists other daemons that hold partitions, that of the job's partition first.
func (j *Jobs) holders(job string) []places.Peer {
	var list []places.Peer
	first, known := j.holderOf(job)
	if known {
		list = append(list, places.Peer{Address: first})
	}
	others := j.Holders.PartHolders()
	rand.Shuffle(len(others), func(a, b int) { others[a], others[b] = others[b], others[a] })
	for _, address := range others {
		if address != first && address != j.Holders.Address() {
			list = append(list, places.Peer{Address: address})
		}
	}
	return list[:min(detourMost, len(list))]
}

// forgetAllBut forgets the accepted jobs that the log no longer holds, given the newest
// records of all. j.mu is held.
//
// Failure guarded against: this daemon has not read for a while, and jobs were dropped
// meanwhile. Their tokens would count as waiting for ever, and jobs that fit would be
// refused.
func (j *Jobs) forgetAllBut(records []partlog.Kept) {
	kept := map[string]bool{}
	for _, k := range records {
		if id, ok := batch.ParseAcceptedKey(k.Key); ok {
			kept[id] = true
		}
	}
	for _, change := range j.book.Retain(kept) {
		j.runner.note(change)
	}
}
