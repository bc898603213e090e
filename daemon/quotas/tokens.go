package quotas

import (
	"context"
	"math/rand/v2"
	"time"

	"tarragonhollow.example/tarragonhollow/core/accounts"
	"tarragonhollow.example/tarragonhollow/core/quota"
	"tarragonhollow.example/tarragonhollow/peer"
)

const (
	service = "Quotas"
	// takeMethod asks a leader for a token, backMethod gives one back, giveMethod asks
	// another leader for some of its tokens.
	takeMethod = service + ".Take"
	backMethod = service + ".Back"
	giveMethod = service + ".Give"
	// voteMethod lends a leader the sender's vote, returnMethod tells that a leader has
	// let go of the receiver's.
	voteMethod   = service + ".Vote"
	returnMethod = service + ".Return"
	// giveTime bounds one call for tokens, and gatherTime all of them for one request.
	giveTime   = 15 * time.Millisecond
	gatherTime = 25 * time.Millisecond
)

// TakeArgs asks for a token for one request of the account.
type TakeArgs struct {
	Account string
}

// TakeReply tells whether one was taken. Unsure tells that the account may be within its
// quota, but whoever knows is not reached.
type TakeReply struct {
	Taken, Unsure bool
	// RetryAfterMs is when a token is free for a request that got none.
	RetryAfterMs int64
}

// BackArgs gives one token back.
type BackArgs struct {
	Account string
}

// GiveArgs asks for tokens.
type GiveArgs struct {
	Account string
	Want    float64
}

// GiveReply is the tokens given.
type GiveReply struct {
	Given float64
}

// VoteArgs names the daemon that follows, by its peer address.
type VoteArgs struct {
	From string
}

// ReturnArgs names the leader that has let go of the vote.
type ReturnArgs struct {
	From string
}

// Ack is the empty answer.
type Ack struct{}

// calls answers other daemons.
type calls struct{ quotas *Quotas }

// Register adds the service that peers call.
func (q *Quotas) Register(r peer.Registrar) error { return r.Register(service, &calls{q}) }

// Take is called by the daemons of the zone, and by others that reach no leader of their
// own.
func (s *calls) Take(args TakeArgs, reply *TakeReply) error {
	q := s.quotas
	if !q.leads() {
		return errNotLeading.New("%s leads no zone", q.Self)
	}
	account := q.Accounts().Named(args.Account)
	if account == nil {
		// The asker's configuration is newer.
		reply.Taken = true
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), askTime)
	defer cancel()
	*reply = q.decide(ctx, account)
	return nil
}

// Back is called by who got a token that was not used.
func (s *calls) Back(args BackArgs, _ *Ack) error {
	s.quotas.takeBack(args.Account)
	return nil
}

// Give is called by other leaders that run short.
func (s *calls) Give(args GiveArgs, reply *GiveReply) error {
	q := s.quotas
	account := q.Accounts().Named(args.Account)
	if account == nil || !q.leads() {
		return nil
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	reply.Given = q.book.Give(time.Now(), account, args.Want)
	return nil
}

// Vote is called by daemons that follow this one.
func (s *calls) Vote(args VoteArgs, _ *Ack) error {
	q := s.quotas
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.stopping {
		return nil
	}
	now := time.Now()
	q.votes[args.From] = now
	if now.Sub(q.started) < startWait {
		q.weigh(now) // requests wait for these votes
	}
	return nil
}

// Return is called by a leader that stops.
func (s *calls) Return(args ReturnArgs, _ *Ack) error {
	q := s.quotas
	q.mu.Lock()
	defer q.mu.Unlock()
	q.vote.Returned(args.From)
	return nil
}

// leads tells whether this daemon leads its zone.
func (q *Quotas) leads() bool {
	leader, found := q.Leaders.Leader()
	q.mu.Lock()
	defer q.mu.Unlock()
	return found && leader == q.Self && !q.stopping
}

// decide decides on a request as its zone's leader, asking the other leaders for tokens
// where there is none here.
func (q *Quotas) decide(ctx context.Context, account *accounts.Account) TakeReply {
	q.mu.Lock()
	answer := q.book.Take(time.Now(), account)
	q.mu.Unlock()
	if answer.Verdict == quota.Short {
		got := q.gather(ctx, account.Name, answer.Want)
		q.mu.Lock()
		answer = q.book.Again(time.Now(), account, got)
		q.mu.Unlock()
	}
	q.meter.decided(answer.Verdict)
	taken := answer.Verdict == quota.Taken
	return TakeReply{Taken: taken, RetryAfterMs: answer.RetryAfter.Milliseconds(), Unsure: !taken && q.unsure(time.Now())}
}

// unsure tells whether an account that finds no token here may be within its quota: this
// daemon has just started, and its votes are still to come, or it leads a small part of
// the fleet and knows no other leader, and is most likely cut off.
func (q *Quotas) unsure(now time.Time) bool {
	if now.Sub(q.started) < startWait {
		return true
	}
	if len(q.Leaders.OtherLeaders()) > 0 {
		return false
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	return 2*len(q.votes) < q.Fleet()
}

// gather asks the other leaders for tokens, one after the other.
func (q *Quotas) gather(ctx context.Context, account string, want float64) float64 {
	ctx, cancel := context.WithTimeout(ctx, gatherTime)
	defer cancel()
	others := q.Leaders.OtherLeaders()
	rand.Shuffle(len(others), func(a, b int) { others[a], others[b] = others[b], others[a] })
	got := 0.0
	for _, other := range others {
		if got >= want || ctx.Err() != nil {
			break
		}
		got += q.askForTokens(ctx, other, account, want-got)
	}
	return got
}

func (q *Quotas) askForTokens(ctx context.Context, other, account string, want float64) float64 {
	ctx, cancel := context.WithTimeout(ctx, giveTime)
	defer cancel()
	var reply GiveReply
	if err := q.Peers.Call(ctx, other, giveMethod, GiveArgs{account, want}, &reply); err != nil {
		q.meter.notGiven.Inc()
		return 0
	}
	return reply.Given
}

func (q *Quotas) takeBack(name string) {
	account := q.Accounts().Named(name)
	if account == nil {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.book.Back(time.Now(), account)
}
