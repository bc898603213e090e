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
	// aloneAfter is how long after a leader was last known a daemon counts itself as one:
	// its vote is bound then, and the next leader would lack it.
	aloneAfter = 700 * time.Millisecond
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
	q.mu.Lock()
	tell := false
	switch {
	case found:
		q.led = now
		tell = q.lend(now, leader)
	case now.Sub(q.led) > aloneAfter:
		q.lend(now, q.Self)
	}
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
//
// Failure guarded against: a daemon that has just started and knows of no other would
// take itself for the whole fleet.
func (q *Quotas) weigh(now time.Time) {
	held, fleet := q.votes.Count(now), q.Fleet()
	weight := 0.0
	if fleet > 0 {
		weight = float64(held) / float64(max(fleet, held))
	}
	q.book.SetWeight(now, weight)
	q.ticked = now
}

// lend lends the vote, and tells whether another daemon is to be told. q.mu is held.
func (q *Quotas) lend(now time.Time, to string) (tell bool) {
	if q.stopping && to == q.Self || !q.vote.Due(now, to) || !q.vote.Lend(now, to) {
		return false
	}
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
	q.vote.Returned(q.Self)
	q.book.SetWeight(time.Now(), 0)
	q.mu.Unlock()
	for daemon := range votes {
		if daemon != q.Self {
			q.Peers.Notify(daemon, returnMethod, ReturnArgs{q.Self})
		}
	}
}
