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

// serveTimeout bounds a served call; owners answer before, by limits of their own.
const serveTimeout = 60 * time.Second

// ItemRequest names an item.
type ItemRequest struct{ Job, CustomID string }

// TakeOverRequest tells a successor that a shard was released to it.
type TakeOverRequest struct{ Shard int }

// Nothing is an empty reply.
type Nothing struct{}

// service is the net/rpc receiver; each method asks the owner here.
type service struct{ s *Shards }

func serve[Q, R any](own func(context.Context, Q) Word[R], req Q, reply *Word[R]) error {
	ctx, cancel := context.WithTimeout(context.Background(), serveTimeout)
	defer cancel()
	*reply = own(ctx, req)
	return nil
}

// Begin implements the net/rpc method.
func (v *service) Begin(req ledger.BeginRequest, reply *Word[ledger.BeginReply]) error {
	return serve(v.s.ownBegin, req, reply)
}

// Finish implements the net/rpc method.
func (v *service) Finish(req ledger.FinishRequest, reply *Word[ledger.FinishReply]) error {
	return serve(v.s.ownFinish, req, reply)
}

// Request implements the net/rpc method.
func (v *service) Request(key string, reply *Word[ledger.KeptRequest]) error {
	return serve(v.s.ownRequest, key, reply)
}

// OpenJob implements the net/rpc method.
func (v *service) OpenJob(req ledger.JobOpenRequest, reply *Word[ledger.JobOpenReply]) error {
	return serve(v.s.ownOpenJob, req, reply)
}

// AddItems implements the net/rpc method.
func (v *service) AddItems(req ledger.JobChunkRequest, reply *Word[ledger.JobChunkReply]) error {
	return serve(v.s.ownAddItems, req, reply)
}

// CommitJob implements the net/rpc method.
func (v *service) CommitJob(req ledger.JobCommitRequest, reply *Word[ledger.JobCommitReply]) error {
	return serve(v.s.ownCommitJob, req, reply)
}

// Job implements the net/rpc method.
func (v *service) Job(job string, reply *Word[ledger.JobStatus]) error {
	return serve(v.s.ownJob, job, reply)
}

// Results implements the net/rpc method.
func (v *service) Results(req ledger.ResultsRequest, reply *Word[ledger.ResultsReply]) error {
	return serve(v.s.ownResults, req, reply)
}

// Item implements the net/rpc method.
func (v *service) Item(req ItemRequest, reply *Word[ledger.ItemResult]) error {
	return serve(v.s.ownItem, req, reply)
}

// CancelJob implements the net/rpc method.
func (v *service) CancelJob(job string, reply *Word[ledger.JobStatus]) error {
	return serve(v.s.ownCancelJob, job, reply)
}

// Pull implements the net/rpc method.
func (v *service) Pull(req ledger.PullRequest, reply *Word[ledger.PullReply]) error {
	return serve(v.s.ownPull, req, reply)
}

// FinishItems implements the net/rpc method.
func (v *service) FinishItems(req ledger.FinishItemsRequest, reply *Word[ledger.FinishItemsReply]) error {
	return serve(v.s.ownFinishItems, req, reply)
}

// TakeOver implements the net/rpc method: the last holder has released the shard
// to this daemon, so it claims at once.
func (v *service) TakeOver(req TakeOverRequest, _ *Nothing) error {
	if req.Shard < 0 || req.Shard >= len(v.s.slots) {
		return nil
	}
	sl := v.s.slots[req.Shard]
	sl.mu.Lock()
	defer sl.mu.Unlock()
	sl.named = !sl.busy
	return nil
}

// arrange sorts shards by their most urgent item; every so often another shard
// comes first in turn.
func (s *Shards) arrange(order []*slot, due map[*slot]int64) {
	sort.SliceStable(order, func(i, j int) bool { return due[order[i]] < due[order[j]] })
	n := s.pulls.Add(1)
	if len(order) > 1 && n%fairPull == 0 {
		turn := int(n/fairPull) % len(order)
		order[0], order[turn] = order[turn], order[0]
	}
}
