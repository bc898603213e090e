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
// can accept and describe jobs. The others forward calls to the holder of the job's
// partition, which they learn from the zone's leader. Only hosts with enough capacity
// join the group that holds partitions. The load of jobs on the log then grows with the
// number of partitions and not with the number of daemons.

// Holders names the daemons that hold partitions by their peer addresses.
type Holders interface {
	// Address returns this daemon's peer address.
	Address() string
	// PartHolder returns the daemon that certainly held a partition a moment ago, and
	// PartHolders returns those that held any.
	PartHolder(part int) (string, bool)
	PartHolders() []string
}

// followCheckInterval is how often a daemon checks whether it has to follow the
// acceptances.
const followCheckInterval = 50 * time.Millisecond

// following is the loop that reads the acceptances, which runs while it is needed.
type following struct {
	mu   sync.Mutex
	loop duty.Switch
}

func (f *following) set(ctx context.Context, on bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.loop.Set(ctx, on)
}

func (f *following) running() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.loop.Running()
}

// followAccepted reads the acceptances while this daemon needs them, until ctx is done.
func (j *Jobs) followAccepted(ctx context.Context) {
	for {
		j.following.set(ctx, j.needsAccepted())
		if !duty.Pause(ctx, followCheckInterval) {
			break
		}
	}
	j.following.set(ctx, false)
}

// needsAccepted reports whether this daemon has to follow the acceptances: it holds a
// partition, or finishes what it began while it held one. The ends of jobs are in the
// same partition.
func (j *Jobs) needsAccepted() bool {
	return !j.LargeZone() || j.holdsAny() || j.runner.finishing(time.Now()) || !j.allWritten()
}

// holdsAny reports whether this daemon holds a partition.
func (j *Jobs) holdsAny() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return slices.ContainsFunc(j.results, func(c *cursor) bool { return c.unfollow != nil })
}

// finishing reports whether items run here, or items that were begun here while their
// partition was held may still be started.
func (r *runner) finishing(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.active) > 0 {
		return true
	}
	for _, at := range r.releasedAt {
		if now.Sub(at) < finishWindow {
			return true
		}
	}
	return false
}

// catchUpAccepted reads the acceptances to their end now. A daemon that does not follow
// them does so only as a last resort, for a call that no holder of a partition answers;
// the rate of such first reads is limited over the whole fleet.
func (j *Jobs) catchUpAccepted(ctx context.Context) error {
	if !j.following.running() && j.accepted.Position() < 0 && !j.loadLimiter.allow(time.Now(), j.FleetSize()) {
		return partlog.Unavailable.New("no daemon that follows the jobs is reached")
	}
	return j.catchUp(ctx, j.accepted)
}

// holderOf returns the peer address of another daemon that holds the job's partition, as
// reported by the zone's leader.
func (j *Jobs) holderOf(job string) (string, bool) {
	address, known := j.Holders.PartHolder(j.part(job))
	return address, known && address != j.Holders.Address()
}

// holders lists other daemons that hold partitions, the holder of the job's partition
// first.
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
	return list[:min(maxFallbackPeers, len(list))]
}

// retainAccepted removes the accepted jobs that the log no longer holds, given the newest
// record of each key. j.mu is held.
//
// Failure guarded against: this daemon has not read for a while, and jobs were removed
// meanwhile. Their tokens would count as waiting for ever, and jobs that fit the quota
// would be refused.
func (j *Jobs) retainAccepted(records []partlog.StoredRecord) {
	present := map[string]bool{}
	for _, k := range records {
		if id, ok := batch.ParseAcceptedKey(k.Key); ok {
			present[id] = true
		}
	}
	for _, change := range j.store.Retain(present) {
		j.runner.onChange(change)
	}
}
