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
	// queryTimeout limits one call to an owner that responds from memory, waitTimeout a
	// call that waits for the log, uploadTimeout a chunk or a commit of a job, and
	// cancelTimeout the cancellation of a job.
	queryTimeout  = 3 * time.Second
	waitTimeout   = 6 * time.Second
	uploadTimeout = 15 * time.Second
	cancelTimeout = 40 * time.Second
	// ownerRetryPause is the pause before the shard's owner is looked up again.
	ownerRetryPause = 50 * time.Millisecond
	// maxLikelyHolders is the number of members that are tried in turn for a shard whose
	// holder is not known.
	maxLikelyHolders = 3
	// noOwnerRetryMs is the retry-after time that a caller gets when the shard has no
	// owner.
	noOwnerRetryMs = 1000
)

// callOwner calls the shard's owner, and retries until ctx ends or Options.RetryFor has
// passed. local runs the call at an owner on this daemon. Retries are safe for every call
// of this package, because an owner recognizes a call that it has already received: a
// Begin by its nonce, an upload by its name and chunk numbers, the end of an item by the
// item and its attempt.
func callOwner[Q, R any](ctx context.Context, s *Shards, sl *slot, method string, timeout time.Duration,
	req Q, local func(context.Context, Q) OwnerReply[R]) (R, error) {
	var none R
	deadline := s.opt.Clock().Add(s.opt.RetryFor)
	reached := false
	for try := 0; ; try++ {
		reply, sent := callOwnerOnce(ctx, s, sl, try, method, timeout, req, local)
		reached = reached || sent
		switch {
		case !reply.NotOwner && reply.Refusal != nil:
			return reply.Value, reply.Refusal
		case !reply.NotOwner:
			return reply.Value, nil
		case ctx.Err() != nil || s.opt.Clock().After(deadline):
			return none, noOwner(reached)
		}
		duty.Pause(ctx, ownerRetryPause)
	}
}

// callOwnerOnce calls the owner, or a likely owner if no holder is known. sent reports that
// the call may have taken effect although no response arrived.
func callOwnerOnce[Q, R any](ctx context.Context, s *Shards, sl *slot, try int, method string, timeout time.Duration,
	req Q, local func(context.Context, Q) OwnerReply[R]) (reply OwnerReply[R], sent bool) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	holder, ok := s.opt.View.Holder(sl.id)
	if s.useLocalOwner(sl, holder, ok) {
		reply = local(ctx, req)
		return reply, reply.NotOwner
	}
	if !ok || holder.ID() == s.opt.View.Self().ID() {
		// Probes carry the announcement of a new holder, which may not have arrived.
		// The members that should claim the shard are known, and may hold it already.
		if holder, ok = s.likelyHolder(sl.id, try); !ok {
			return OwnerReply[R]{NotOwner: true}, false
		}
	}
	if err := s.call(ctx, holder.PeerAddress, method, req, &reply); err != nil {
		return OwnerReply[R]{NotOwner: true}, !peer.IsUnreachable(err)
	}
	return reply, false
}

// likelyHolder returns one of the highest ranked other members, which claim a shard that
// loses its holder. Each further try returns the next of them.
func (s *Shards) likelyHolder(id, try int) (membership.Member, bool) {
	self := s.opt.View.Self().ID()
	var likely []membership.Member
	for _, m := range s.opt.View.Successors(shard.Key(id)) {
		if m.ID() != self && len(likely) < maxLikelyHolders {
			likely = append(likely, m)
		}
	}
	if len(likely) == 0 {
		return membership.Member{}, false
	}
	return likely[try%len(likely)], true
}

// prober is a View that can probe a member immediately.
type prober interface{ ProbeNow(address string) }

// reportFailed makes the membership probe the member at the address, because a call to it
// failed with err. An error that the member returned itself is ignored.
func (s *Shards) reportFailed(address string, err error) {
	if p, ok := s.opt.View.(prober); ok && !peer.IsRemoteError(err) {
		p.ProbeNow(address)
	}
}

// useLocalOwner reports whether the owner on this daemon should handle the call. An owner
// that can't reach the log can't read that it lost its shard. If another daemon announces
// a later term, that one can handle calls that this owner would have to refuse.
func (s *Shards) useLocalOwner(sl *slot, holder membership.Member, known bool) bool {
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

// Begin implements ledger.Client. All its refusals are not_run, because the entry host
// sends nothing to a target before the grant.
func (s *Shards) Begin(ctx context.Context, req ledger.BeginRequest) (ledger.BeginReply, error) {
	timeout := time.Duration(req.WaitMs)*time.Millisecond + waitTimeout
	reply, err := callOwner(ctx, s, s.slotOf(req.Key), methodBegin, timeout, req, s.localBegin)
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

// Finish implements ledger.Client. It adds the BeginRequest on which the run was granted,
// if this daemon still has it.
func (s *Shards) Finish(ctx context.Context, req ledger.FinishRequest) (ledger.FinishReply, error) {
	if begin, ok := s.granted.Get(req.Nonce); ok && req.Begin.Key == "" {
		req.Begin = begin
	}
	reply, err := callOwner(ctx, s, s.slotOf(req.Key), methodFinish, waitTimeout, req, s.localFinish)
	if err == nil && reply.Durable {
		s.granted.Remove(req.Nonce)
	}
	return reply, err
}

// Request implements ledger.Client.
func (s *Shards) Request(ctx context.Context, key string) (ledger.KeptRequest, error) {
	return callOwner(ctx, s, s.slotOf(key), methodRequest, queryTimeout, key, s.localRequest)
}

// OpenJob implements ledger.Client.
func (s *Shards) OpenJob(ctx context.Context, req ledger.JobOpenRequest) error {
	_, err := callOwner(ctx, s, s.slotOf(req.Job), methodOpenJob, queryTimeout, req, s.localOpenJob)
	return notRun(err)
}

// AddItems implements ledger.Client.
func (s *Shards) AddItems(ctx context.Context, req ledger.JobChunkRequest) error {
	_, err := callOwner(ctx, s, s.slotOf(req.Job), methodAddItems, uploadTimeout, req, s.localAddItems)
	return notRun(err)
}

// notRun marks a refusal of an upload as not_run: none of the items of a job runs before
// the job is committed.
func notRun(err error) error {
	if r, ok := err.(*outcome.Refusal); ok {
		return r.WithRun(outcome.NotRun)
	}
	return err
}

// CommitJob implements ledger.Client.
func (s *Shards) CommitJob(ctx context.Context, req ledger.JobCommitRequest) (ledger.JobCommitReply, error) {
	return callOwner(ctx, s, s.slotOf(req.Job), methodCommitJob, uploadTimeout, req, s.localCommitJob)
}

// Job implements ledger.Client.
func (s *Shards) Job(ctx context.Context, job string) (ledger.JobStatus, error) {
	return callOwner(ctx, s, s.slotOf(job), methodJob, queryTimeout, job, s.localJob)
}

// Results implements ledger.Client.
func (s *Shards) Results(ctx context.Context, req ledger.ResultsRequest) (ledger.ResultsReply, error) {
	return callOwner(ctx, s, s.slotOf(req.Job), methodResults, queryTimeout, req, s.localResults)
}

// Item implements ledger.Client.
func (s *Shards) Item(ctx context.Context, job, customID string) (ledger.ItemResult, error) {
	req := ItemRequest{Job: job, CustomID: customID}
	return callOwner(ctx, s, s.slotOf(job), methodItem, queryTimeout, req, s.localItem)
}

// CancelJob implements ledger.Client.
func (s *Shards) CancelJob(ctx context.Context, job string) (ledger.JobStatus, error) {
	return callOwner(ctx, s, s.slotOf(job), methodCancelJob, cancelTimeout, job, s.localCancelJob)
}

// Pull implements ledger.Client.
func (s *Shards) Pull(ctx context.Context, owner string, req ledger.PullRequest) (ledger.PullReply, error) {
	if owner == s.opt.View.Self().PeerAddress {
		return s.localPull(ctx, req).Value, nil
	}
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	var reply OwnerReply[ledger.PullReply]
	if err := s.call(ctx, owner, methodPull, req, &reply); err != nil {
		return ledger.PullReply{}, noOwner(!peer.IsUnreachable(err))
	}
	return reply.Value, nil
}

// FinishItems implements ledger.Client. It sends the ends of each shard to the shard's
// owner, to all owners concurrently, and returns those that no owner has recorded.
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
		_, err := callOwner(ctx, s, order[i], methodFinishItems, waitTimeout, part, s.localFinishItems)
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
