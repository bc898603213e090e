package shards

import (
	"context"
	"sort"
	"time"

	"tarragonhollow.example/tarragonhollow/core/ledger"
)

// ServiceName is the net/rpc name of the ledger's service.
const ServiceName = "Ledger"

const (
	methodBegin       = ServiceName + ".Begin"
	methodFinish      = ServiceName + ".Finish"
	methodRequest     = ServiceName + ".Request"
	methodOpenJob     = ServiceName + ".OpenJob"
	methodAddItems    = ServiceName + ".AddItems"
	methodCommitJob   = ServiceName + ".CommitJob"
	methodJob         = ServiceName + ".Job"
	methodResults     = ServiceName + ".Results"
	methodItem        = ServiceName + ".Item"
	methodCancelJob   = ServiceName + ".CancelJob"
	methodPull        = ServiceName + ".Pull"
	methodFinishItems = ServiceName + ".FinishItems"
	methodTakeOver    = ServiceName + ".TakeOver"

	methodRelayPull        = ServiceName + ".RelayPull"
	methodRelayFinishItems = ServiceName + ".RelayFinishItems"
)

// serveTimeout limits a served call. Owners normally reply earlier, by their own limits.
const serveTimeout = 60 * time.Second

// ItemRequest requests the state of an item of a job.
type ItemRequest struct{ Job, CustomID string }

// TakeOverRequest notifies a successor that a shard was released to it.
type TakeOverRequest struct{ Shard int }

// Empty is an empty reply.
type Empty struct{}

// service is the net/rpc receiver; each method calls the owner on this daemon.
type service struct{ s *Shards }

func serve[Q, R any](local func(context.Context, Q) OwnerReply[R], req Q, reply *OwnerReply[R]) error {
	ctx, cancel := context.WithTimeout(context.Background(), serveTimeout)
	defer cancel()
	*reply = local(ctx, req)
	return nil
}

// Begin implements the net/rpc method.
func (v *service) Begin(req ledger.BeginRequest, reply *OwnerReply[ledger.BeginReply]) error {
	return serve(v.s.localBegin, req, reply)
}

// Finish implements the net/rpc method.
func (v *service) Finish(req ledger.FinishRequest, reply *OwnerReply[ledger.FinishReply]) error {
	return serve(v.s.localFinish, req, reply)
}

// Request implements the net/rpc method.
func (v *service) Request(key string, reply *OwnerReply[ledger.KeptRequest]) error {
	return serve(v.s.localRequest, key, reply)
}

// OpenJob implements the net/rpc method.
func (v *service) OpenJob(req ledger.JobOpenRequest, reply *OwnerReply[ledger.JobOpenReply]) error {
	return serve(v.s.localOpenJob, req, reply)
}

// AddItems implements the net/rpc method.
func (v *service) AddItems(req ledger.JobChunkRequest, reply *OwnerReply[ledger.JobChunkReply]) error {
	return serve(v.s.localAddItems, req, reply)
}

// CommitJob implements the net/rpc method.
func (v *service) CommitJob(req ledger.JobCommitRequest, reply *OwnerReply[ledger.JobCommitReply]) error {
	return serve(v.s.localCommitJob, req, reply)
}

// Job implements the net/rpc method.
func (v *service) Job(job string, reply *OwnerReply[ledger.JobStatus]) error {
	return serve(v.s.localJob, job, reply)
}

// Results implements the net/rpc method.
func (v *service) Results(req ledger.ResultsRequest, reply *OwnerReply[ledger.ResultsReply]) error {
	return serve(v.s.localResults, req, reply)
}

// Item implements the net/rpc method.
func (v *service) Item(req ItemRequest, reply *OwnerReply[ledger.ItemResult]) error {
	return serve(v.s.localItem, req, reply)
}

// CancelJob implements the net/rpc method.
func (v *service) CancelJob(job string, reply *OwnerReply[ledger.JobStatus]) error {
	return serve(v.s.localCancelJob, job, reply)
}

// Pull implements the net/rpc method.
func (v *service) Pull(req ledger.PullRequest, reply *OwnerReply[ledger.PullReply]) error {
	return serve(v.s.localPull, req, reply)
}

// FinishItems implements the net/rpc method.
func (v *service) FinishItems(req ledger.FinishItemsRequest, reply *OwnerReply[ledger.FinishItemsReply]) error {
	return serve(v.s.localFinishItems, req, reply)
}

// TakeOver implements the net/rpc method. The last holder has released the shard to this
// daemon, which claims it without waiting for its turn.
func (v *service) TakeOver(req TakeOverRequest, _ *Empty) error {
	if req.Shard < 0 || req.Shard >= len(v.s.slots) {
		return nil
	}
	sl := v.s.slots[req.Shard]
	sl.mu.Lock()
	defer sl.mu.Unlock()
	sl.isSuccessor = !sl.busy
	return nil
}

// sortByDue sorts shards by the due time of their most urgent item. For every
// fairPullEvery-th pull another shard comes first, in rotation.
func (s *Shards) sortByDue(order []*slot, due map[*slot]int64) {
	sort.SliceStable(order, func(i, j int) bool { return due[order[i]] < due[order[j]] })
	n := s.pulls.Add(1)
	if len(order) > 1 && n%fairPullEvery == 0 {
		turn := int(n/fairPullEvery) % len(order)
		order[0], order[turn] = order[turn], order[0]
	}
}
