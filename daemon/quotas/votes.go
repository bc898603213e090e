package quotas

import (
	"context"
	"time"

	"tarragonhollow.example/tarragonhollow/core/quota"
	"tarragonhollow.example/tarragonhollow/daemon/duty"
)

const (
	// tickEvery is the pace at which the weight is set and the leader looked up, startTick
	// that of a daemon that has just started.
	tickEvery = 100 * time.Millisecond
	startTick = 20 * time.Millisecond
	// suspendedAfter is by how much more the time of day may have moved on than the
	// steady clock, which stands still while a host is suspended.
	suspendedAfter = time.Second
)

// Run keeps the weight of this daemon, and the leader's knowledge that it is followed,
// until ctx is done.
func (q *Quotas) Run(ctx context.Context) {
	pace := startTick
	for duty.Pause(ctx, pace) {
		if q.Accounts().Len() > 0 {
			q.tick(time.Now())
		}
		if time.Since(q.started) > startWait {
			pace = tickEvery
		}
	}
}

// tick looks at who leads, lends the vote and sets the weight.
func (q *Quotas) tick(now time.Time) {
	leader, found := q.Leaders.Leader()
	if !found {
		leader = q.Self
	}
	q.mu.Lock()
	tell := q.lend(now, leader)
	if now.Round(0).Sub(q.ticked.Round(0))-now.Sub(q.ticked) > suspendedAfter {
		q.book.Frozen()
	}
	q.weigh(now)
	q.mu.Unlock()
	if tell {
		q.Peers.Notify(leader, voteMethod, VoteArgs{q.Self})
	}
}

// weigh sets the weight by the votes. q.mu is held.
func (q *Quotas) weigh(now time.Time) {
	held := q.votes.Count(now)
	q.book.SetWeight(now, float64(held)/float64(max(1, q.Fleet(), held)))
	q.ticked = now
}

// lend lends the vote, and tells whether another daemon is to be told. q.mu is held.
func (q *Quotas) lend(now time.Time, to string) (tell bool) {
	if q.stopping && to == q.Self || q.told == to && now.Sub(q.renewed) < quota.VoteEvery {
		return false
	}
	if !q.vote.Lend(now, to) {
		return false
	}
	q.told, q.renewed = to, now
	if to == q.Self {
		q.votes[q.Self] = now
		return false
	}
	return true
}

// StepDown ends this daemon's part as a leader, and returns the votes that it holds.
func (q *Quotas) StepDown() {
	q.mu.Lock()
	q.stopping = true
	votes := q.votes
	q.votes = quota.Votes{}
	q.book.SetWeight(time.Now(), 0)
	q.mu.Unlock()
	for daemon := range votes {
		if daemon != q.Self {
			q.Peers.Notify(daemon, returnMethod, ReturnArgs{q.Self})
		}
	}
}
