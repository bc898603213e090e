package shards

import (
	"context"
	"sync"
	"time"

	"tarragonhollow.example/tarragonhollow/core/ledger"
	"tarragonhollow.example/tarragonhollow/core/outcome"
	"tarragonhollow.example/tarragonhollow/core/shard"
	"tarragonhollow.example/tarragonhollow/daemon/duty"
)

const (
	// maxReadAge is how long ago an owner may have read its stream when it answers a read. A
	// read of the stream without new records takes pollWait.
	maxReadAge = pollWait + time.Second
	// readCheckInterval is how often a call checks whether the stream was read.
	readCheckInterval = 10 * time.Millisecond
)

// OwnerReply is the message with which an owner replies to a call from another daemon.
type OwnerReply[T any] struct {
	// NotOwner reports that the called daemon does not hold the shard.
	NotOwner bool
	// Refusal is set if the call was refused.
	Refusal *outcome.Refusal
	// Value is the result otherwise.
	Value T
}

// runLocal starts a call at the shard's owner on this daemon and waits for the reply. It
// returns false if this daemon does not hold the shard or has lost it meanwhile, or if ctx
// has ended.
func (s *Shards) runLocal(ctx context.Context, sl *slot, start func(*ledger.Owner, ledger.CallID)) (ledger.Reply, bool) {
	sl.mu.Lock()
	if !sl.holding() {
		sl.mu.Unlock()
		return ledger.Reply{}, false
	}
	sl.lastCall++
	id := sl.lastCall
	ch := make(chan ledger.Reply, 1)
	sl.calls[id] = ch
	start(sl.owner, id)
	s.deliver(sl)
	sl.mu.Unlock()
	sl.notify()
	select {
	case r := <-ch:
		return r, !r.Lost
	case <-ctx.Done():
		sl.mu.Lock()
		delete(sl.calls, id)
		sl.mu.Unlock()
		return ledger.Reply{}, false
	}
}

// withOwner runs fn, a read or an immediate change, on the owner on this daemon. It returns
// false if this daemon does not hold the shard.
func (s *Shards) withOwner(sl *slot, fn func(*ledger.Owner)) bool {
	sl.mu.Lock()
	defer sl.mu.Unlock()
	if !sl.holding() {
		return false
	}
	fn(sl.owner)
	s.deliver(sl)
	sl.notify()
	return true
}

// readOwner is withOwner for a call that only reads. It first waits until the owner has read the
// stream lately, and leaves the call to a holder with a later term if the owner can't.
//
// Failure guarded against: a daemon is suspended while another one claims its shard, and gets
// calls before it reads the claim. It would answer that a job does not exist, or that a job has
// no more results than those it knows.
func (s *Shards) readOwner(ctx context.Context, sl *slot, fn func(*ledger.Owner)) bool {
	for s.isReadStale(sl) {
		if !duty.Pause(ctx, readCheckInterval) {
			return false
		}
	}
	holder, known := s.opt.View.Holder(sl.id)
	return s.useLocalOwner(sl, holder, known) && s.withOwner(sl, fn)
}

// isReadStale reports whether the owner on this daemon has neither read the stream nor failed to
// within maxReadAge.
func (s *Shards) isReadStale(sl *slot) bool {
	sl.mu.Lock()
	defer sl.mu.Unlock()
	return sl.holding() && s.opt.Clock().Sub(sl.readAt) > maxReadAge
}

func (s *Shards) localBegin(ctx context.Context, req ledger.BeginRequest) (reply OwnerReply[ledger.BeginReply]) {
	r, ok := s.runLocal(ctx, s.slotOf(req.Key), func(o *ledger.Owner, id ledger.CallID) {
		o.Begin(s.nowMs(), id, req)
	})
	if !ok {
		reply.NotOwner = true
		return reply
	}
	reply.Value = *r.Begin
	return reply
}

func (s *Shards) localFinish(ctx context.Context, req ledger.FinishRequest) (reply OwnerReply[ledger.FinishReply]) {
	r, ok := s.runLocal(ctx, s.slotOf(req.Key), func(o *ledger.Owner, id ledger.CallID) {
		o.Finish(s.nowMs(), id, req)
	})
	if !ok {
		reply.NotOwner = true
		return reply
	}
	reply.Value = *r.Finish
	return reply
}

func (s *Shards) localRequest(ctx context.Context, key string) (reply OwnerReply[ledger.KeptRequest]) {
	reply.NotOwner = !s.readOwner(ctx, s.slotOf(key), func(o *ledger.Owner) {
		kept, ok := o.Request(key)
		reply.Value = kept
		if !ok {
			reply.Refusal = outcome.Refuse(outcome.NotFound, "no such key")
		}
	})
	return reply
}

func (s *Shards) localOpenJob(_ context.Context, req ledger.JobOpenRequest) (reply OwnerReply[ledger.JobOpenReply]) {
	reply.NotOwner = !s.withOwner(s.slotOf(req.Job), func(o *ledger.Owner) {
		reply.Refusal = o.OpenJob(s.nowMs(), req).Refusal
	})
	return reply
}

func (s *Shards) localAddItems(ctx context.Context, req ledger.JobChunkRequest) (reply OwnerReply[ledger.JobChunkReply]) {
	r, ok := s.runLocal(ctx, s.slotOf(req.Job), func(o *ledger.Owner, id ledger.CallID) {
		o.AddItems(s.nowMs(), id, req)
	})
	if !ok {
		reply.NotOwner = true
		return reply
	}
	reply.Refusal = r.Chunk.Refusal
	return reply
}

func (s *Shards) localCommitJob(ctx context.Context, req ledger.JobCommitRequest) (reply OwnerReply[ledger.JobCommitReply]) {
	r, ok := s.runLocal(ctx, s.slotOf(req.Job), func(o *ledger.Owner, id ledger.CallID) {
		o.CommitJob(s.nowMs(), id, req)
	})
	if !ok {
		reply.NotOwner = true
		return reply
	}
	reply.Value, reply.Refusal = *r.Commit, r.Commit.Refusal
	return reply
}

func (s *Shards) localJob(ctx context.Context, job string) (reply OwnerReply[ledger.JobStatus]) {
	reply.NotOwner = !s.readOwner(ctx, s.slotOf(job), func(o *ledger.Owner) {
		reply.Value, reply.Refusal = o.Job(s.nowMs(), job)
	})
	return reply
}

func (s *Shards) localResults(ctx context.Context, req ledger.ResultsRequest) (reply OwnerReply[ledger.ResultsReply]) {
	reply.NotOwner = !s.readOwner(ctx, s.slotOf(req.Job), func(o *ledger.Owner) {
		reply.Value = o.Results(req)
		reply.Refusal = reply.Value.Refusal
	})
	return reply
}

func (s *Shards) localItem(ctx context.Context, req ItemRequest) (reply OwnerReply[ledger.ItemResult]) {
	reply.NotOwner = !s.readOwner(ctx, s.slotOf(req.Job), func(o *ledger.Owner) {
		reply.Value, reply.Refusal = o.Item(req.Job, req.CustomID)
	})
	return reply
}

func (s *Shards) localCancelJob(ctx context.Context, job string) (reply OwnerReply[ledger.JobStatus]) {
	r, ok := s.runLocal(ctx, s.slotOf(job), func(o *ledger.Owner, id ledger.CallID) {
		o.CancelJob(s.nowMs(), id, job)
	})
	if !ok {
		reply.NotOwner = true
		return reply
	}
	reply.Value, reply.Refusal = r.Cancel.Status, r.Cancel.Refusal
	return reply
}

func (s *Shards) localFinishItems(ctx context.Context, req ledger.FinishItemsRequest) (reply OwnerReply[ledger.FinishItemsReply]) {
	if len(req.Ends) == 0 {
		return reply
	}
	r, ok := s.runLocal(ctx, s.slotOf(req.Ends[0].Ref.Job), func(o *ledger.Owner, id ledger.CallID) {
		o.FinishItems(s.nowMs(), id, req)
	})
	if !ok {
		reply.NotOwner = true
		return reply
	}
	reply.Refusal = r.Ends.Refusal
	return reply
}

// localPull serves a batch dispatcher (steward) from all shards held on this daemon. The
// shards with the most urgent items come first. Every fairPullEvery-th pull begins with
// another shard in turn, so that a large urgent job on one shard does not starve the others.
func (s *Shards) localPull(_ context.Context, req ledger.PullRequest) (reply OwnerReply[ledger.PullReply]) {
	running := make([][]ledger.ItemRef, len(s.slots))
	for _, ref := range req.Running {
		id := shard.Of(ref.Job, len(s.slots))
		running[id] = append(running[id], ref)
	}
	reply.Value.LeaseMs = s.opt.Lease.Milliseconds()
	reply.Value.Terms = map[int]uint64{}
	order := s.pullOrder(&req, running, &reply.Value)
	for _, sl := range order {
		part := req
		part.Running, part.HeldWhole = nil, false
		part.Max = req.Max - len(reply.Value.Items)
		for _, it := range reply.Value.Items {
			part.MaxBytes -= len(it.Item.Body)
		}
		if part.Max <= 0 || part.MaxBytes <= 0 {
			break
		}
		s.withOwner(sl, func(o *ledger.Owner) {
			reply.Value.Items = append(reply.Value.Items, o.Pull(s.nowMs(), part).Items...)
		})
	}
	reply.Value.Backlog = max(0, reply.Value.Backlog-len(reply.Value.Items))
	return reply
}

// fairPullEvery is the number of pulls of which one begins with a shard in turn instead of
// the one with the earliest due time.
const fairPullEvery = 4

// pullOrder renews the leases of the batch dispatcher and returns the shards that have
// waiting items of its group, in the order in which to pull from them. It adds what the
// shards report to sum.
func (s *Shards) pullOrder(req *ledger.PullRequest, running [][]ledger.ItemRef, sum *ledger.PullReply) []*slot {
	var order []*slot
	due := map[*slot]int64{}
	for _, sl := range s.slots {
		query := *req
		query.Max, query.Running = 0, running[sl.id]
		s.withOwner(sl, func(o *ledger.Owner) {
			r := o.Pull(s.nowMs(), query)
			if req.HeldWhole {
				sum.Terms[sl.id] = o.Term()
			}
			sum.Cancelled = append(sum.Cancelled, r.Cancelled...)
			sum.Backlog += r.Backlog
			if r.EarliestDueMs > 0 && (sum.EarliestDueMs == 0 || r.EarliestDueMs < sum.EarliestDueMs) {
				sum.EarliestDueMs = r.EarliestDueMs
			}
			if r.Backlog > 0 || o.HasReady(req.Steward) {
				order = append(order, sl)
				due[sl] = r.EarliestDueMs
			}
		})
	}
	s.sortByDue(order, due)
	return order
}

// fanOut runs f for each index concurrently and waits for all.
func fanOut(n int, f func(i int)) {
	var wg sync.WaitGroup
	for i := 0; i < n; i++ {
		wg.Add(1)
		go func() {
			defer wg.Done()
			f(i)
		}()
	}
	wg.Wait()
}
