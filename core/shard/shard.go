// Package shard decides where keys and jobs live and which daemon should try to
// claim a shard, when. It is pure: facts come in as plain data.
package shard

import (
	"fmt"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Of returns the shard of a scoped key or job name among n shards.
func Of(name string, n int) int { return int(xxhash.Sum64String(name) % uint64(n)) }

// Stream is the name of the shard's stream on the platform's log.
func Stream(shard int) string { return fmt.Sprintf("shard-%02d", shard) }

// Key is what the shard's successors are ranked by.
func Key(shard int) string { return "shard/" + strconv.Itoa(shard) }

// Facts is what a daemon knows when it considers a claim.
type Facts struct {
	Shard int
	// Self is this daemon's incarnation id.
	Self string
	// Successors are the usable members in rendezvous order, best first.
	Successors []string
	// Shards is how many shards there are, Held how many this daemon holds.
	Shards int
	Held   int
	// Named tells that the last holder released the shard to this daemon.
	Named bool
	// StepMs is the time between the tries of successive ranks.
	StepMs int64
}

// jitterShare is the part of a step by which a rank's try is spread.
const jitterShare = 2

// ClaimAfter returns how long after the shard was found without a holder this
// daemon should try a claim; ok is false if it should not.
//
// Rank by rank, the next successor tries a step later, so a dead host's shards
// are claimed once each and not by everybody: the claim is decided by the log in
// any case, waiting only saves appends and replays. A daemon that already holds
// its part waits longer, so that at a cold start the first daemon up doesn't
// take everything; it still takes over if nobody else does.
func ClaimAfter(f Facts) (ms int64, ok bool) {
	if f.Named {
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
		wait += jitter(f.Self, f.Shard, f.StepMs/jitterShare)
	}
	return wait, true
}

// FairShare is the most shards a daemon should hold among n daemons.
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

// Load is how many shards a usable member holds.
type Load struct {
	ID     string
	Shards int
}

// Rebalance picks, for a daemon that holds more than its fair share, the member
// to which it should release a shard: the best ranked one with room for it.
// ok is false if the daemon should keep what it has.
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
