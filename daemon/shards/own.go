package shards

import (
	"context"
	"sync"

	"tarragonhollow.example/tarragonhollow/core/ledger"
	"tarragonhollow.example/tarragonhollow/core/outcome"
	"tarragonhollow.example/tarragonhollow/core/shard"
)

// Word is an owner's answer as it crosses the peers' connection.
type Word[T any] struct {
	// NotOwner tells that this daemon doesn't hold the shard.
	NotOwner bool
	// Refusal is set if the call was refused.
	Refusal *outcome.Refusal
	// Value is the answer otherwise.
	Value T
}

// step runs a call at the shard's owner here and waits for its reply. ok is
// false if this daemon doesn't hold the shard, or lost it meanwhile.
func (s *Shards) step(ctx context.Context, sl *slot, in func(*ledger.Owner, ledger.CallID)) (ledger.Reply, bool) {
	sl.mu.Lock()
	if !sl.holding() {
		sl.mu.Unlock()
		return ledger.Reply{}, false
	}
	sl.lastCall++
	id := sl.lastCall
	ch := make(chan ledger.Reply, 1)
	sl.calls[id] = ch
	in(sl.owner, id)
	s.deliver(sl)
	sl.mu.Unlock()
	sl.poke()
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

// look runs a read or an immediate change at the owner here.
func (s *Shards) look(sl *slot, at func(*ledger.Owner)) bool {
	sl.mu.Lock()
	defer sl.mu.Unlock()
	if !sl.holding() {
		return false
	}
	at(sl.owner)
	s.deliver(sl)
	sl.poke()
	return true
}

func (s *Shards) ownBegin(ctx context.Context, req ledger.BeginRequest) (w Word[ledger.BeginReply]) {
	r, ok := s.step(ctx, s.slotOf(req.Key), func(o *ledger.Owner, id ledger.CallID) {
		o.Begin(s.nowMs(), id, req)
	})
	if !ok {
		w.NotOwner = true
		return w
	}
	w.Value = *r.Begin
	return w
}

func (s *Shards) ownFinish(ctx context.Context, req ledger.FinishRequest) (w Word[ledger.FinishReply]) {
	r, ok := s.step(ctx, s.slotOf(req.Key), func(o *ledger.Owner, id ledger.CallID) {
		o.Finish(s.nowMs(), id, req)
	})
	if !ok {
		w.NotOwner = true
		return w
	}
	w.Value = *r.Finish
	return w
}

func (s *Shards) ownRequest(_ context.Context, key string) (w Word[ledger.KeptRequest]) {
	w.NotOwner = !s.look(s.slotOf(key), func(o *ledger.Owner) {
		kept, ok := o.Request(key)
		w.Value = kept
		if !ok {
			w.Refusal = outcome.Refuse(outcome.NotFound, "no such key")
		}
	})
	return w
}

func (s *Shards) ownOpenJob(_ context.Context, req ledger.JobOpenRequest) (w Word[ledger.JobOpenReply]) {
	w.NotOwner = !s.look(s.slotOf(req.Job), func(o *ledger.Owner) {
		w.Refusal = o.OpenJob(s.nowMs(), req).Refusal
	})
	return w
}

func (s *Shards) ownAddItems(ctx context.Context, req ledger.JobChunkRequest) (w Word[ledger.JobChunkReply]) {
	r, ok := s.step(ctx, s.slotOf(req.Job), func(o *ledger.Owner, id ledger.CallID) {
		o.AddItems(s.nowMs(), id, req)
	})
	if !ok {
		w.NotOwner = true
		return w
	}
	w.Refusal = r.Chunk.Refusal
	return w
}

func (s *Shards) ownCommitJob(ctx context.Context, req ledger.JobCommitRequest) (w Word[ledger.JobCommitReply]) {
	r, ok := s.step(ctx, s.slotOf(req.Job), func(o *ledger.Owner, id ledger.CallID) {
		o.CommitJob(s.nowMs(), id, req)
	})
	if !ok {
		w.NotOwner = true
		return w
	}
	w.Value, w.Refusal = *r.Commit, r.Commit.Refusal
	return w
}

func (s *Shards) ownJob(_ context.Context, job string) (w Word[ledger.JobStatus]) {
	w.NotOwner = !s.look(s.slotOf(job), func(o *ledger.Owner) {
		w.Value, w.Refusal = o.Job(s.nowMs(), job)
	})
	return w
}

func (s *Shards) ownResults(_ context.Context, req ledger.ResultsRequest) (w Word[ledger.ResultsReply]) {
	w.NotOwner = !s.look(s.slotOf(req.Job), func(o *ledger.Owner) {
		w.Value = o.Results(req)
		w.Refusal = w.Value.Refusal
	})
	return w
}

func (s *Shards) ownItem(_ context.Context, req ItemRequest) (w Word[ledger.ItemResult]) {
	w.NotOwner = !s.look(s.slotOf(req.Job), func(o *ledger.Owner) {
		w.Value, w.Refusal = o.Item(req.Job, req.CustomID)
	})
	return w
}

func (s *Shards) ownCancelJob(ctx context.Context, job string) (w Word[ledger.JobStatus]) {
	r, ok := s.step(ctx, s.slotOf(job), func(o *ledger.Owner, id ledger.CallID) {
		o.CancelJob(s.nowMs(), id, job)
	})
	if !ok {
		w.NotOwner = true
		return w
	}
	w.Value, w.Refusal = r.Cancel.Status, r.Cancel.Refusal
	return w
}

func (s *Shards) ownFinishItems(ctx context.Context, req ledger.FinishItemsRequest) (w Word[ledger.FinishItemsReply]) {
	if len(req.Ends) == 0 {
		return w
	}
	r, ok := s.step(ctx, s.slotOf(req.Ends[0].Ref.Job), func(o *ledger.Owner, id ledger.CallID) {
		o.FinishItems(s.nowMs(), id, req)
	})
	if !ok {
		w.NotOwner = true
		return w
	}
	w.Refusal = r.Ends.Refusal
	return w
}

// ownPull serves a steward from all shards held here. The shards with the most
// urgent work go first; every fairPull-th pull begins with another shard in
// turn, so that a large urgent job on one shard doesn't starve the others.
func (s *Shards) ownPull(_ context.Context, req ledger.PullRequest) (w Word[ledger.PullReply]) {
	running := make([][]ledger.ItemRef, len(s.slots))
	for _, ref := range req.Running {
		id := shard.Of(ref.Job, len(s.slots))
		running[id] = append(running[id], ref)
	}
	w.Value.LeaseMs = s.opt.Lease.Milliseconds()
	w.Value.Terms = map[int]uint64{}
	order := s.pullOrder(&req, running, &w.Value)
	for _, sl := range order {
		part := req
		part.Running, part.HeldWhole = nil, false
		part.Max = req.Max - len(w.Value.Items)
		for _, it := range w.Value.Items {
			part.MaxBytes -= len(it.Item.Body)
		}
		if part.Max <= 0 || part.MaxBytes <= 0 {
			break
		}
		s.look(sl, func(o *ledger.Owner) {
			w.Value.Items = append(w.Value.Items, o.Pull(s.nowMs(), part).Items...)
		})
	}
	w.Value.Backlog = max(0, w.Value.Backlog-len(w.Value.Items))
	return w
}

// fairPull is how often a pull goes by turn instead of by due time.
const fairPull = 4

// pullOrder renews the steward's leases and returns the shards that have waiting
// items of its group, in the order they should be asked.
func (s *Shards) pullOrder(req *ledger.PullRequest, running [][]ledger.ItemRef, sum *ledger.PullReply) []*slot {
	var order []*slot
	due := map[*slot]int64{}
	for _, sl := range s.slots {
		ask := *req
		ask.Max, ask.Running = 0, running[sl.id]
		s.look(sl, func(o *ledger.Owner) {
			r := o.Pull(s.nowMs(), ask)
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
	s.arrange(order, due)
	return order
}

// fanOut runs f for each index at once and waits for all.
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
