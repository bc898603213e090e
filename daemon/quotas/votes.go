package quotas

import (
	"context"
	"time"

	"tarragonhollow.example/tarragonhollow/core/quota"
	"tarragonhollow.example/tarragonhollow/daemon/duty"
)

const (
	// tickInterval is the interval at which the weight is set and the leader looked up,
	// startupTickInterval that of a daemon that has just started.
	tickInterval        = 100 * time.Millisecond
	startupTickInterval = 20 * time.Millisecond
	// selfVoteAfter is how long after a leader was last known a daemon votes for itself. It
	// does not do so earlier, since its vote is then bound to itself and the next leader would
	// lack it.
	selfVoteAfter = 700 * time.Millisecond
	// suspendThreshold is the difference by which the wall clock must have advanced more than
	// the monotonic clock for the host to count as suspended meanwhile: the monotonic clock
	// stops while a host is suspended.
	suspendThreshold = time.Second
)

// Run keeps this daemon's weight up to date, and its vote renewed with the leader, until ctx
// is done.
func (q *Quotas) Run(ctx context.Context) {
	interval := startupTickInterval
	for duty.Pause(ctx, interval) {
		if q.Accounts().Len() > 0 {
			q.tick(time.Now())
		}
		if time.Since(q.started) > maxStartupWait {
			interval = tickInterval
		}
	}
}

// tick looks up the leader, transfers or renews the vote, and sets the weight.
func (q *Quotas) tick(now time.Time) {
	leader, found := q.Leaders.Leader()
	q.mu.Lock()
	notify := false
	switch {
	case found:
		q.leaderSeenAt = now
		notify = q.transferVote(now, leader)
	case now.Sub(q.leaderSeenAt) > selfVoteAfter:
		q.transferVote(now, q.Self)
	}
	if now.Round(0).Sub(q.weightSetAt.Round(0))-now.Sub(q.weightSetAt) > suspendThreshold {
		q.buckets.DiscardTokens()
	}
	q.updateWeight(now)
	q.mu.Unlock()
	if notify {
		q.Peers.Notify(leader, voteMethod, VoteArgs{q.Self})
	}
}

// updateWeight sets the weight from the votes held. The caller holds q.mu.
//
// Failure guarded against: a daemon that has just started and knows no other would assume
// that it is the whole fleet.
func (q *Quotas) updateWeight(now time.Time) {
	held, fleet := q.votes.Count(now), q.FleetSize()
	weight := 0.0
	if fleet > 0 {
		weight = float64(held) / float64(max(fleet, held))
	}
	q.buckets.SetWeight(now, weight)
	q.weightSetAt = now
}

// transferVote transfers the vote if that is due, and reports whether another daemon must be
// notified. The caller holds q.mu.
func (q *Quotas) transferVote(now time.Time, to string) (notify bool) {
	if q.stopping && to == q.Self || !q.vote.Due(now, to) || !q.vote.Transfer(now, to) {
		return false
	}
	if to == q.Self {
		q.votes[q.Self] = now
		return false
	}
	return true
}

// StepDown ends this daemon's leadership, and returns the votes that it holds.
func (q *Quotas) StepDown() {
	q.mu.Lock()
	q.stopping = true
	votes := q.votes
	q.votes = quota.Votes{}
	q.vote.Returned(q.Self)
	q.buckets.SetWeight(time.Now(), 0)
	q.mu.Unlock()
	for daemon := range votes {
		if daemon != q.Self {
			q.Peers.Notify(daemon, returnMethod, ReturnArgs{q.Self})
		}
	}
}
