// Package shard maps keys and jobs to shards and decides which daemon should try to claim a
// shard, and when. It does no I/O.
package shard

import (
	"fmt"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Of returns the shard, in [0,n), of a scoped key or job name.
func Of(name string, n int) int { return int(xxhash.Sum64String(name) % uint64(n)) }

// Stream returns the name of the shard's stream on the platform's log.
func Stream(shard int) string { return fmt.Sprintf("shard-%02d", shard) }

// Key returns the rendezvous hashing key that ranks the shard's successors.
func Key(shard int) string { return "shard/" + strconv.Itoa(shard) }

// Facts is the input for a daemon's decision whether to claim a shard.
type Facts struct {
	Shard int
	// Self is this daemon's incarnation id.
	Self string
	// Successors are the usable members in rendezvous order, best first.
	Successors []string
	// Shards is how many shards there are, Held how many this daemon holds.
	Shards int
	Held   int
	// ReleasedToSelf reports whether the last holder released the shard to this daemon.
	ReleasedToSelf bool
	// StepMs is the time between the attempts of successive ranks, in milliseconds.
	StepMs int64
}

// jitterDivisor sets the maximum jitter of an attempt to StepMs/jitterDivisor.
const jitterDivisor = 2

// ClaimAfter returns how many milliseconds after the shard was found without a holder this
// daemon should try to claim it; ok is false if it should not.
//
// Each successor waits one step longer than the one ranked before it, so that usually one
// daemon and not all of them claims each shard of a dead host. The log decides between
// concurrent claims in any case; waiting only saves appends and replays. A daemon that
// already holds more than its fair share waits longer, so that at a cold start the first
// daemon doesn't claim every shard; it still claims the shard if no other daemon does.
func ClaimAfter(f Facts) (ms int64, ok bool) {
	if f.ReleasedToSelf {
		return 0, true
	}
	rank := -1
	for i, id := range f.Successors {
		if id == f.Self {
			rank = i
			break
		}
	}
	if rank < 0 {
		return 0, false
	}
	over := max(0, f.Held-FairShare(f.Shards, len(f.Successors)))
	wait := int64(rank+over) * f.StepMs
	if rank > 0 || over > 0 {
		wait += jitter(f.Self, f.Shard, f.StepMs/jitterDivisor)
	}
	return wait, true
}

// FairShare returns the maximum number of shards that each of n daemons should hold.
func FairShare(shards, n int) int {
	if n == 0 {
		return shards
	}
	return (shards + n - 1) / n
}

func jitter(self string, shard int, spread int64) int64 {
	if spread <= 0 {
		return 0
	}
	return int64(xxhash.Sum64String(self+Key(shard)) % uint64(spread))
}

// Load is the number of shards that a usable member holds.
type Load struct {
	ID     string
	Shards int
}

// Rebalance returns, for a daemon that holds more than its fair share, the member to which
// it should release a shard: the best ranked one that holds less than its fair share. ok is
// false if the daemon should keep its shards.
func Rebalance(self string, held, shards int, ranked []Load) (to string, ok bool) {
	fair := FairShare(shards, len(ranked))
	if held <= fair {
		return "", false
	}
	for _, m := range ranked {
		if m.ID != self && m.Shards < fair {
			return m.ID, true
		}
	}
	return "", false
}
