// Package quotas has the requests of each client account counted over the whole fleet.
//
// The leader of the own availability zone is asked for a token before a request goes to
// a target; core/quota says why all leaders and lone daemons together never pass the
// bound. Files: quotas.go asks, tokens.go is the part of who is asked, votes.go tells
// the leader that it is followed.
package quotas

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/joomcode/errorx"
	"go.uber.org/zap"

	"tarragonhollow.example/tarragonhollow/core/accounts"
	"tarragonhollow.example/tarragonhollow/core/outcome"
	"tarragonhollow.example/tarragonhollow/core/quota"
	"tarragonhollow.example/tarragonhollow/daemon/duty"
	"tarragonhollow.example/tarragonhollow/peer"
)

const (
	// askTime bounds the asking for one token, in which the leader may ask others.
	askTime = 50 * time.Millisecond
	// leaderWait is how long a request waits for a leader to come forward; a daemon that
	// has just started has startWait for it, since all may have started together.
	leaderWait = 150 * time.Millisecond
	startWait  = 1500 * time.Millisecond
	// leaderLook is the pace at which it looks, unsureLook that at which it asks a leader
	// again that does not know enough to refuse it.
	leaderLook = 20 * time.Millisecond
	unsureLook = 50 * time.Millisecond
	// noLeaderRetryMs tells callers when to come back to a zone without a leader: one
	// comes forward within some 0.5 s, and other daemons may reach one.
	noLeaderRetryMs = 300
)

var (
	errorNamespace = errorx.NewNamespace("quotas")
	// errNotLeading is the answer of a daemon that leads no zone.
	errNotLeading = errorNamespace.NewType("not_leading")
)

// Leaders tells who leads the zones.
type Leaders interface {
	// Leader returns the peer address of the own zone's leader, perhaps this daemon's.
	Leader() (address string, found bool)
	// OtherLeaders returns the leaders of the other zones, as far as they are known.
	OtherLeaders() []string
	// NoteCall tells how a call to the own zone's leader ended; late: it ran out of time.
	NoteCall(leader string, err error, late bool)
}

// Options configure Quotas.
type Options struct {
	// Self is the own peer address.
	Self    string
	Leaders Leaders
	// Fleet tells how many daemons there are, 0 while that is not known.
	Fleet func() int
	// Accounts returns the accounts in force, nil for none.
	Accounts func() *accounts.Set
	Peers    peer.Caller
	Terms    quota.Terms
	Logger   *zap.Logger
	Metrics  *metrics.Set
}

// Quotas is safe for concurrent use.
type Quotas struct {
	Options
	meter   *meter
	started time.Time

	mu    sync.Mutex
	book  *quota.Book
	vote  quota.Vote
	votes quota.Votes
	// ticked is when the weight was last set.
	ticked time.Time
	// led is when a leader was last known, or when this daemon started.
	led      time.Time
	stopping bool
}

// New returns the quotas of a daemon that starts now.
func New(o Options) *Quotas {
	now := time.Now()
	q := &Quotas{Options: o, meter: newMeter(o.Metrics), started: now, book: quota.NewBook(now, o.Self, o.Terms),
		votes: quota.Votes{}, ticked: now, led: now}
	o.Metrics.GetOrCreateGauge("tarragonhollow_quota_weight", func() float64 {
		q.mu.Lock()
		defer q.mu.Unlock()
		return q.book.Weight()
	})
	return q
}

// Leave is the token that a request has got; the zero Leave is none.
type Leave struct {
	account string
	by      string
}

// Take takes a token for a request of the account. A refusal is true: the request must
// not run.
func (q *Quotas) Take(ctx context.Context, name string) (Leave, *outcome.Refusal) {
	account := q.Accounts().Named(name)
	if account == nil || !account.Quota.Bounded() {
		return Leave{}, nil
	}
	reply, by, answered := q.ask(ctx, account)
	if !answered {
		return q.takeAlone(account)
	}
	switch {
	case reply.Taken:
		return Leave{name, by}, nil
	case reply.Unsure:
		return Leave{}, q.refuseUnsure(account)
	}
	q.meter.refused(name)
	return Leave{}, outcome.Refuse(outcome.CallerLimit, "the account %s is over its quota of %g requests a second", name, account.Quota.Rate).
		After(max(1, reply.RetryAfterMs))
}

// takeAlone takes a token from this daemon's own part, where no leader answers.
func (q *Quotas) takeAlone(account *accounts.Account) (Leave, *outcome.Refusal) {
	q.mu.Lock()
	answer := q.book.Take(time.Now(), account)
	q.mu.Unlock()
	if answer.Verdict == quota.Taken {
		q.meter.alone.Inc()
		return Leave{account.Name, q.Self}, nil
	}
	return Leave{}, q.refuseUnsure(account)
}

// refuseUnsure refuses a request of an account that may be within its quota.
func (q *Quotas) refuseUnsure(account *accounts.Account) *outcome.Refusal {
	q.meter.unsure.Inc()
	return outcome.Refuse(outcome.NoOwner, "nobody is reached who counts the requests of the account %s", account.Name).After(noLeaderRetryMs)
}

// Back gives back the token of a request that no target ran.
func (q *Quotas) Back(l Leave) {
	switch l.by {
	case "":
	case q.Self:
		q.takeBack(l.account)
	default:
		q.Peers.Notify(l.by, backMethod, BackArgs{l.account})
	}
}

// ask asks for a token until somebody knows, for a moment at most. by is who answered.
func (q *Quotas) ask(ctx context.Context, account *accounts.Account) (reply TakeReply, by string, answered bool) {
	until := time.Now().Add(leaderWait)
	if started := q.started.Add(startWait); started.After(until) {
		until = started
	}
	for {
		reply, by, answered = q.askOnce(ctx, account)
		if answered && !reply.Unsure {
			return reply, by, true
		}
		pause := leaderLook
		if answered {
			pause = unsureLook
		}
		if time.Now().Add(pause).After(until) || !duty.Pause(ctx, pause) {
			return reply, by, answered
		}
	}
}

// askOnce asks the zone's leader, and else another zone's.
func (q *Quotas) askOnce(ctx context.Context, account *accounts.Account) (reply TakeReply, by string, answered bool) {
	if leader, found := q.Leaders.Leader(); found {
		if reply, answered = q.askLeader(ctx, leader, account); answered {
			return reply, leader, true
		}
	}
	others := q.Leaders.OtherLeaders()
	if len(others) == 0 {
		return TakeReply{}, "", false
	}
	other := others[rand.IntN(len(others))]
	reply, answered = q.call(ctx, other, account.Name)
	return reply, other, answered
}

// askLeader asks the zone's leader, this daemon perhaps.
func (q *Quotas) askLeader(ctx context.Context, leader string, account *accounts.Account) (TakeReply, bool) {
	if leader == q.Self {
		return q.decide(ctx, account), true
	}
	return q.call(ctx, leader, account.Name)
}

func (q *Quotas) call(ctx context.Context, leader, account string) (TakeReply, bool) {
	callCtx, cancel := context.WithTimeout(ctx, askTime)
	defer cancel()
	var reply TakeReply
	err := q.Peers.Call(callCtx, leader, takeMethod, TakeArgs{account}, &reply)
	if ctx.Err() == nil {
		q.Leaders.NoteCall(leader, err, errors.Is(callCtx.Err(), context.DeadlineExceeded))
	}
	if err != nil {
		q.Logger.Info("quota_not_answered", zap.String("leader", leader), zap.String("account", account), zap.Error(err))
		return TakeReply{}, false
	}
	return reply, true
}
