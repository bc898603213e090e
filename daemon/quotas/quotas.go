// Package quotas enforces the quotas of client accounts over the whole fleet.
//
// Before a request is sent to a target, the daemon takes a token from the leader of its
// availability zone. core/quota explains why all leaders, and daemons that count on their
// own, together never exceed the bound. Files: quotas.go requests tokens, tokens.go serves
// such requests, votes.go transfers votes and sets this daemon's weight.
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
	// takeTimeout bounds one call for a token, during which the leader may request tokens
	// from other leaders.
	takeTimeout = 50 * time.Millisecond
	// maxLeaderWait is how long a request waits for a leader to be known. A daemon that has
	// just started waits until maxStartupWait after its start, since the whole fleet may have
	// started together.
	maxLeaderWait  = 150 * time.Millisecond
	maxStartupWait = 1500 * time.Millisecond
	// leaderPollInterval is the interval at which the request looks for a leader;
	// unsurePollInterval, at which it calls a leader again that could not decide.
	leaderPollInterval = 20 * time.Millisecond
	unsurePollInterval = 50 * time.Millisecond
	// noLeaderRetryMs is the retry-after, in milliseconds, for requests in a zone without a
	// leader: a new one is known within about 0.5 s, and other daemons may reach one.
	noLeaderRetryMs = 300
)

var (
	errorNamespace = errorx.NewNamespace("quotas")
	// errNotLeading is the error type of calls to a daemon that leads no zone.
	errNotLeading = errorNamespace.NewType("not_leading")
)

// Leaders provides the leaders of the availability zones.
type Leaders interface {
	// Leader returns the peer address of the local zone's leader, which may be this daemon.
	Leader() (address string, found bool)
	// OtherLeaders returns the peer addresses of the known leaders of the other zones.
	OtherLeaders() []string
	// RecordCall records the result of a call to a leader; late reports that it timed out.
	RecordCall(leader string, err error, late bool)
}

// Options configure Quotas.
type Options struct {
	// Self is this daemon's peer address.
	Self    string
	Leaders Leaders
	// FleetSize returns the number of daemons in the fleet, 0 while it is unknown.
	FleetSize func() int
	// Accounts returns the client accounts in force, nil for none.
	Accounts  func() *accounts.Set
	Peers     peer.Caller
	Tolerance quota.Tolerance
	Logger    *zap.Logger
	Metrics   *metrics.Set
}

// Quotas is safe for concurrent use.
type Quotas struct {
	Options
	meter   *meter
	started time.Time

	mu      sync.Mutex
	buckets *quota.Limiter
	vote    quota.Vote
	votes   quota.Votes
	// weightSetAt is when the weight was last set.
	weightSetAt time.Time
	// leaderSeenAt is when a leader was last known, initially when this daemon started.
	leaderSeenAt time.Time
	stopping     bool
}

// New returns the Quotas of a daemon that starts now.
func New(o Options) *Quotas {
	now := time.Now()
	q := &Quotas{Options: o, meter: newMeter(o.Metrics), started: now, buckets: quota.NewLimiter(now, o.Self, o.Tolerance),
		votes: quota.Votes{}, weightSetAt: now, leaderSeenAt: now}
	o.Metrics.GetOrCreateGauge("tarragonhollow_quota_weight", func() float64 {
		q.mu.Lock()
		defer q.mu.Unlock()
		return q.buckets.Weight()
	})
	return q
}

// Token is a token that a request took; the zero Token is none.
type Token struct {
	account string
	from    string
}

// Take takes a token for a request of the account. If it returns a refusal, the request
// must not run. An account without a bounded quota needs no token.
func (q *Quotas) Take(ctx context.Context, name string) (Token, *outcome.Refusal) {
	account := q.Accounts().ByName(name)
	if account == nil || !account.Quota.Bounded() {
		return Token{}, nil
	}
	reply, from, answered := q.requestToken(ctx, account)
	if !answered {
		return q.takeLocally(account)
	}
	switch {
	case reply.Taken:
		return Token{name, from}, nil
	case reply.Unsure:
		return Token{}, q.refuseUnsure(account)
	}
	q.meter.countRefusal(name)
	return Token{}, outcome.Refuse(outcome.CallerLimit, "the account %s is over its quota of %g requests a second", name, account.Quota.Rate).
		After(max(1, reply.RetryAfterMs))
}

// takeLocally takes a token from this daemon's own share, where no leader answers.
func (q *Quotas) takeLocally(account *accounts.Account) (Token, *outcome.Refusal) {
	q.mu.Lock()
	decision := q.buckets.Take(time.Now(), account)
	q.mu.Unlock()
	if decision.Verdict == quota.Taken {
		q.meter.takenLocally.Inc()
		return Token{account.Name, q.Self}, nil
	}
	return Token{}, q.refuseUnsure(account)
}

// refuseUnsure returns the refusal for a request whose account may be within its quota.
func (q *Quotas) refuseUnsure(account *accounts.Account) *outcome.Refusal {
	q.meter.unsure.Inc()
	return outcome.Refuse(outcome.NoOwner, "nobody is reached who counts the requests of the account %s", account.Name).After(noLeaderRetryMs)
}

// Refund returns the token of a request that no target ran.
func (q *Quotas) Refund(token Token) {
	switch token.from {
	case "":
	case q.Self:
		q.refundLocally(token.account)
	default:
		q.Peers.Notify(token.from, backMethod, BackArgs{token.account})
	}
}

// requestToken requests a token until a leader decides, or until maxLeaderWait or the
// startup wait has passed. from is the leader that answered last.
func (q *Quotas) requestToken(ctx context.Context, account *accounts.Account) (reply TakeReply, from string, answered bool) {
	waitUntil := time.Now().Add(maxLeaderWait)
	if startupEnd := q.started.Add(maxStartupWait); startupEnd.After(waitUntil) {
		waitUntil = startupEnd
	}
	for {
		reply, from, answered = q.requestTokenOnce(ctx, account)
		if answered && !reply.Unsure {
			return reply, from, true
		}
		pause := leaderPollInterval
		if answered {
			pause = unsurePollInterval
		}
		if time.Now().Add(pause).After(waitUntil) || !duty.Pause(ctx, pause) {
			return reply, from, answered
		}
	}
}

// requestTokenOnce calls the local zone's leader or, if none answers, another zone's.
func (q *Quotas) requestTokenOnce(ctx context.Context, account *accounts.Account) (reply TakeReply, from string, answered bool) {
	if leader, found := q.Leaders.Leader(); found {
		if reply, answered = q.requestFromLeader(ctx, leader, account); answered {
			return reply, leader, true
		}
	}
	others := q.Leaders.OtherLeaders()
	if len(others) == 0 {
		return TakeReply{}, "", false
	}
	other := others[rand.IntN(len(others))]
	reply, answered = q.callLeader(ctx, other, account.Name)
	return reply, other, answered
}

// requestFromLeader requests a token from the local zone's leader, which may be this daemon.
func (q *Quotas) requestFromLeader(ctx context.Context, leader string, account *accounts.Account) (TakeReply, bool) {
	if leader == q.Self {
		return q.decide(ctx, account), true
	}
	return q.callLeader(ctx, leader, account.Name)
}

// callLeader calls a leader for a token. It returns false if the call failed.
func (q *Quotas) callLeader(ctx context.Context, leader, account string) (TakeReply, bool) {
	callCtx, cancel := context.WithTimeout(ctx, takeTimeout)
	defer cancel()
	var reply TakeReply
	err := q.Peers.Call(callCtx, leader, takeMethod, TakeArgs{account}, &reply)
	if ctx.Err() == nil {
		q.Leaders.RecordCall(leader, err, errors.Is(callCtx.Err(), context.DeadlineExceeded))
	}
	if err != nil {
		q.Logger.Info("quota_not_answered", zap.String("leader", leader), zap.String("account", account), zap.Error(err))
		return TakeReply{}, false
	}
	return reply, true
}
