package shards

import (
	"context"
	"time"

	"tarragonhollow.example/tarragonhollow/core/ledger"
	"tarragonhollow.example/tarragonhollow/core/membership"
	"tarragonhollow.example/tarragonhollow/core/outcome"
	"tarragonhollow.example/tarragonhollow/core/shard"
	"tarragonhollow.example/tarragonhollow/daemon/duty"
	"tarragonhollow.example/tarragonhollow/peer"
)

const (
	// askTimeout bounds one call at an owner that answers from memory, waitTimeout
	// one that waits for the log, cancelTimeout a cancel.
	askTimeout    = 3 * time.Second
	waitTimeout   = 6 * time.Second
	uploadTimeout = 15 * time.Second
	cancelTimeout = 40 * time.Second
	// lookAgain is the pause before the shard's owner is looked for again.
	lookAgain = 50 * time.Millisecond
	// likelyHolders is how many members are asked in turn for a shard whose holder
	// is not known.
	likelyHolders = 3
	// noOwnerRetryMs is told to a caller whose shard has no owner.
	noOwnerRetryMs = 1000
)

// ask finds the shard's owner and calls it, again and again until ctx or the
// retry time ends. That is safe for every call of this package: a Begin has its
// nonce, an upload its name and chunk numbers, an end its item and attempt, so
// an owner knows a call that it has had before.
func ask[Q, R any](ctx context.Context, s *Shards, sl *slot, method string, timeout time.Duration,
	req Q, own func(context.Context, Q) Word[R]) (R, error) {
	var none R
	giveUp := s.opt.Clock().Add(s.opt.RetryFor)
	reached := false
	for try := 0; ; try++ {
		w, sent := askOnce(ctx, s, sl, try, method, timeout, req, own)
		reached = reached || sent
		switch {
		case !w.NotOwner && w.Refusal != nil:
			return w.Value, w.Refusal
		case !w.NotOwner:
			return w.Value, nil
		case ctx.Err() != nil || s.opt.Clock().After(giveUp):
			return none, noOwner(reached)
		}
		duty.Pause(ctx, lookAgain)
	}
}

// askOnce calls the owner as far as it is known. sent tells that the call may
// have taken effect though no answer came.
func askOnce[Q, R any](ctx context.Context, s *Shards, sl *slot, try int, method string, timeout time.Duration,
	req Q, own func(context.Context, Q) Word[R]) (w Word[R], sent bool) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	holder, ok := s.opt.View.Holder(sl.id)
	if s.holdsHere(sl, holder, ok) {
		w = own(ctx, req)
		return w, w.NotOwner
	}
	if !ok || holder.ID() == s.opt.View.Self().ID() {
		// Word of a new holder travels with the probes. Who should claim the shard
		// is known at once, and may hold it already.
		if holder, ok = s.likelyHolder(sl.id, try); !ok {
			return Word[R]{NotOwner: true}, false
		}
	}
	if err := s.call(ctx, holder.PeerAddress, method, req, &w); err != nil {
		return Word[R]{NotOwner: true}, !peer.IsUnreachable(err)
	}
	return w, false
}

// likelyHolder is one of the best ranked other members, which claim a shard that
// loses its holder; each further try asks the next of them.
func (s *Shards) likelyHolder(id, try int) (membership.Member, bool) {
	self := s.opt.View.Self().ID()
	var likely []membership.Member
	for _, m := range s.opt.View.Successors(shard.Key(id)) {
		if m.ID() != self && len(likely) < likelyHolders {
			likely = append(likely, m)
		}
	}
	if len(likely) == 0 {
		return membership.Member{}, false
	}
	return likely[try%len(likely)], true
}

// doubter is a View that can look at a member out of turn.
type doubter interface{ Doubt(address string) }

// doubt has the member at the address looked at, because a call there failed.
func (s *Shards) doubt(address string, err error) {
	if d, ok := s.opt.View.(doubter); ok && !peer.IsRemoteError(err) {
		d.Doubt(address)
	}
}

// holdsHere tells whether the owner here should be asked. One that is cut off
// from the log can't read that it lost its shard; if another daemon tells of a
// later term, that one can do what this owner would have to refuse.
func (s *Shards) holdsHere(sl *slot, holder membership.Member, known bool) bool {
	sl.mu.Lock()
	defer sl.mu.Unlock()
	if !sl.holding() {
		return false
	}
	if !known || sl.owner.LogOK() {
		return true
	}
	for _, h := range holder.Shards {
		if h.Shard == sl.id && h.Term > sl.owner.Term() {
			return false
		}
	}
	return true
}

func noOwner(reached bool) *outcome.Refusal {
	r := outcome.Refuse(outcome.NoOwner, "the shard's owner can't be reached").After(noOwnerRetryMs)
	if reached {
		return r.WithRun(outcome.MayHaveRun)
	}
	return r
}

// Begin implements ledger.Client. Its refusals are not_run in any case: the
// entry host sends nothing to a target before the grant.
func (s *Shards) Begin(ctx context.Context, req ledger.BeginRequest) (ledger.BeginReply, error) {
	timeout := time.Duration(req.WaitMs)*time.Millisecond + waitTimeout
	reply, err := ask(ctx, s, s.slotOf(req.Key), methodBegin, timeout, req, s.ownBegin)
	if r, ok := err.(*outcome.Refusal); ok {
		return reply, r.WithRun(outcome.NotRun)
	}
	if reply.Refusal != nil && reply.Refusal.Code == outcome.LogUnavailable {
		return reply, reply.Refusal
	}
	if err == nil && reply.Verdict == ledger.Granted {
		s.granted.Add(req.Nonce, req)
	}
	return reply, err
}

// Finish implements ledger.Client. It adds what the run was granted on, where
// this daemon still knows it.
func (s *Shards) Finish(ctx context.Context, req ledger.FinishRequest) (ledger.FinishReply, error) {
	if begin, ok := s.granted.Get(req.Nonce); ok && req.Begin.Key == "" {
		req.Begin = begin
	}
	reply, err := ask(ctx, s, s.slotOf(req.Key), methodFinish, waitTimeout, req, s.ownFinish)
	if err == nil && reply.Durable {
		s.granted.Remove(req.Nonce)
	}
	return reply, err
}

// Request implements ledger.Client.
func (s *Shards) Request(ctx context.Context, key string) (ledger.KeptRequest, error) {
	return ask(ctx, s, s.slotOf(key), methodRequest, askTimeout, key, s.ownRequest)
}

// OpenJob implements ledger.Client.
func (s *Shards) OpenJob(ctx context.Context, req ledger.JobOpenRequest) error {
	_, err := ask(ctx, s, s.slotOf(req.Job), methodOpenJob, askTimeout, req, s.ownOpenJob)
	return notRun(err)
}

// AddItems implements ledger.Client.
func (s *Shards) AddItems(ctx context.Context, req ledger.JobChunkRequest) error {
	_, err := ask(ctx, s, s.slotOf(req.Job), methodAddItems, uploadTimeout, req, s.ownAddItems)
	return notRun(err)
}

// notRun marks a refusal of an upload that was not committed: nothing of it runs.
func notRun(err error) error {
	if r, ok := err.(*outcome.Refusal); ok {
		return r.WithRun(outcome.NotRun)
	}
	return err
}

// CommitJob implements ledger.Client.
func (s *Shards) CommitJob(ctx context.Context, req ledger.JobCommitRequest) (ledger.JobCommitReply, error) {
	return ask(ctx, s, s.slotOf(req.Job), methodCommitJob, uploadTimeout, req, s.ownCommitJob)
}

// Job implements ledger.Client.
func (s *Shards) Job(ctx context.Context, job string) (ledger.JobStatus, error) {
	return ask(ctx, s, s.slotOf(job), methodJob, askTimeout, job, s.ownJob)
}

// Results implements ledger.Client.
func (s *Shards) Results(ctx context.Context, req ledger.ResultsRequest) (ledger.ResultsReply, error) {
	return ask(ctx, s, s.slotOf(req.Job), methodResults, askTimeout, req, s.ownResults)
}

// Item implements ledger.Client.
func (s *Shards) Item(ctx context.Context, job, customID string) (ledger.ItemResult, error) {
	req := ItemRequest{Job: job, CustomID: customID}
	return ask(ctx, s, s.slotOf(job), methodItem, askTimeout, req, s.ownItem)
}

// CancelJob implements ledger.Client.
func (s *Shards) CancelJob(ctx context.Context, job string) (ledger.JobStatus, error) {
	return ask(ctx, s, s.slotOf(job), methodCancelJob, cancelTimeout, job, s.ownCancelJob)
}

// Pull implements ledger.Client.
func (s *Shards) Pull(ctx context.Context, owner string, req ledger.PullRequest) (ledger.PullReply, error) {
	if owner == s.opt.View.Self().PeerAddress {
		return s.ownPull(ctx, req).Value, nil
	}
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	var w Word[ledger.PullReply]
	if err := s.call(ctx, owner, methodPull, req, &w); err != nil {
		return ledger.PullReply{}, noOwner(!peer.IsUnreachable(err))
	}
	return w.Value, nil
}

// FinishItems implements ledger.Client. Each shard's ends go to its owner at the
// same time; those that no owner has kept are returned.
func (s *Shards) FinishItems(ctx context.Context, req ledger.FinishItemsRequest) ([]ledger.ItemEnd, error) {
	byShard := map[*slot][]ledger.ItemEnd{}
	var order []*slot
	for _, e := range req.Ends {
		sl := s.slotOf(e.Ref.Job)
		if byShard[sl] == nil {
			order = append(order, sl)
		}
		byShard[sl] = append(byShard[sl], e)
	}
	failed := make([]bool, len(order))
	fanOut(len(order), func(i int) {
		part := ledger.FinishItemsRequest{Steward: req.Steward, Ends: byShard[order[i]]}
		_, err := ask(ctx, s, order[i], methodFinishItems, waitTimeout, part, s.ownFinishItems)
		failed[i] = err != nil
	})
	var undelivered []ledger.ItemEnd
	for i, sl := range order {
		if failed[i] {
			undelivered = append(undelivered, byShard[sl]...)
		}
	}
	return undelivered, nil
}
