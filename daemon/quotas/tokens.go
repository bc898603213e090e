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
	serviceName = "Quotas"
	// takeMethod requests a token from a leader, backMethod returns one, giveMethod requests
	// a transfer of tokens from another leader.
	takeMethod = serviceName + ".Take"
	backMethod = serviceName + ".Back"
	giveMethod = serviceName + ".Give"
	// voteMethod transfers the sender's vote to a leader, returnMethod notifies the receiver
	// that a leader has released its vote.
	voteMethod   = serviceName + ".Vote"
	returnMethod = serviceName + ".Return"
	// transferTimeout bounds one call for a transfer of tokens, collectTimeout all such calls
	// for one request.
	transferTimeout = 15 * time.Millisecond
	collectTimeout  = 25 * time.Millisecond
)

// TakeArgs requests a token for one request of the account.
type TakeArgs struct {
	Account string
}

// TakeReply reports whether a token was taken. Unsure reports that the account may be
// within its quota, but that this could not be determined.
type TakeReply struct {
	Taken, Unsure bool
	// RetryAfterMs is the time until a token is expected for a request that got none.
	RetryAfterMs int64
}

// BackArgs returns one token.
type BackArgs struct {
	Account string
}

// GiveArgs requests a transfer of at most Want tokens of the account.
type GiveArgs struct {
	Account string
	Want    float64
}

// GiveReply holds the number of tokens transferred.
type GiveReply struct {
	Given float64
}

// VoteArgs holds the peer address of the daemon that transfers its vote.
type VoteArgs struct {
	From string
}

// ReturnArgs holds the peer address of the leader that released the vote.
type ReturnArgs struct {
	From string
}

// Ack is an empty reply.
type Ack struct{}

// rpcService serves the calls of other daemons.
type rpcService struct{ quotas *Quotas }

// Register registers the service that peers call.
func (q *Quotas) Register(r peer.Registrar) error { return r.Register(serviceName, &rpcService{q}) }

// Take takes a token for a daemon of the local zone, or of another zone that reaches no
// leader of its own. It returns errNotLeading if this daemon leads no zone.
func (s *rpcService) Take(args TakeArgs, reply *TakeReply) error {
	q := s.quotas
	if !q.isLeader() {
		return errNotLeading.New("%s leads no zone", q.Self)
	}
	account := q.Accounts().ByName(args.Account)
	if account == nil {
		// The account is unknown here: the calling daemon's configuration is newer.
		reply.Taken = true
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), takeTimeout)
	defer cancel()
	*reply = q.decide(ctx, account)
	return nil
}

// Back returns an unused token to this daemon's buckets.
func (s *rpcService) Back(args BackArgs, _ *Ack) error {
	s.quotas.refundLocally(args.Account)
	return nil
}

// Give transfers tokens to another leader that has too few.
func (s *rpcService) Give(args GiveArgs, reply *GiveReply) error {
	q := s.quotas
	account := q.Accounts().ByName(args.Account)
	if account == nil || !q.isLeader() {
		return nil
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	reply.Given = q.buckets.Transfer(time.Now(), account, args.Want)
	return nil
}

// Vote records the vote of a daemon that follows this one.
func (s *rpcService) Vote(args VoteArgs, _ *Ack) error {
	q := s.quotas
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.stopping {
		return nil
	}
	now := time.Now()
	q.votes[args.From] = now
	if now.Sub(q.started) < maxStartupWait {
		q.updateWeight(now) // requests are waiting for these votes
	}
	return nil
}

// Return records that a leader that stops has released this daemon's vote.
func (s *rpcService) Return(args ReturnArgs, _ *Ack) error {
	q := s.quotas
	q.mu.Lock()
	defer q.mu.Unlock()
	q.vote.Returned(args.From)
	return nil
}

// isLeader reports whether this daemon leads its zone and is not stopping.
func (q *Quotas) isLeader() bool {
	leader, found := q.Leaders.Leader()
	q.mu.Lock()
	defer q.mu.Unlock()
	return found && leader == q.Self && !q.stopping
}

// decide decides on a request as a leader. If there are too few tokens here, it requests
// some from the other leaders.
func (q *Quotas) decide(ctx context.Context, account *accounts.Account) TakeReply {
	q.mu.Lock()
	decision := q.buckets.Take(time.Now(), account)
	q.mu.Unlock()
	if decision.Verdict == quota.Insufficient {
		got := q.collectTokens(ctx, account.Name, decision.Want)
		q.mu.Lock()
		decision = q.buckets.TakeWith(time.Now(), account, got)
		q.mu.Unlock()
	}
	q.meter.countDecision(decision.Verdict)
	taken := decision.Verdict == quota.Taken
	return TakeReply{Taken: taken, RetryAfterMs: decision.RetryAfter.Milliseconds(), Unsure: !taken && q.unsure(time.Now())}
}

// unsure reports whether an account that gets no token here may still be within its quota:
// either this daemon has just started and votes are still arriving, or it holds the votes of
// less than half of the fleet and knows no other leader, so it is probably partitioned.
func (q *Quotas) unsure(now time.Time) bool {
	if now.Sub(q.started) < maxStartupWait {
		return true
	}
	if len(q.Leaders.OtherLeaders()) > 0 {
		return false
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	return 2*len(q.votes) < q.FleetSize()
}

// collectTokens requests tokens from the other leaders, one after another in random order,
// and returns how many it got.
func (q *Quotas) collectTokens(ctx context.Context, account string, want float64) float64 {
	ctx, cancel := context.WithTimeout(ctx, collectTimeout)
	defer cancel()
	others := q.Leaders.OtherLeaders()
	rand.Shuffle(len(others), func(a, b int) { others[a], others[b] = others[b], others[a] })
	got := 0.0
	for _, other := range others {
		if got >= want || ctx.Err() != nil {
			break
		}
		got += q.requestTransfer(ctx, other, account, want-got)
	}
	return got
}

// requestTransfer requests a transfer of at most want tokens from another leader, and
// returns how many it got, 0 if the call failed.
func (q *Quotas) requestTransfer(ctx context.Context, other, account string, want float64) float64 {
	ctx, cancel := context.WithTimeout(ctx, transferTimeout)
	defer cancel()
	var reply GiveReply
	if err := q.Peers.Call(ctx, other, giveMethod, GiveArgs{account, want}, &reply); err != nil {
		q.meter.transferFailures.Inc()
		return 0
	}
	return reply.Given
}

// refundLocally returns a token to this daemon's buckets.
func (q *Quotas) refundLocally(name string) {
	account := q.Accounts().ByName(name)
	if account == nil {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.buckets.Refund(time.Now(), account)
}
