package jobs

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"tarragonhollow.example/tarragonhollow/core/outcome"
	"tarragonhollow.example/tarragonhollow/extern/partlog"
	"tarragonhollow.example/tarragonhollow/peer"
)

const (
	// maxFleetForLogReads is the maximum size of the fleet, in daemons, at which every
	// daemon reads the results that its callers request from the log. Each result then
	// crosses the log once per daemon; requested from its holder it crosses zones once
	// per read, which costs more per byte. In a larger fleet that restarts, reading
	// everything from the log uses up the log's whole rate.
	maxFleetForLogReads = 24
	// readMethod is the RPC that reads results from the daemon that holds them.
	readMethod = "Jobs.Read"
	// endMethod is the RPC that ends a job there, and endTimeout bounds it.
	endMethod  = "Jobs.End"
	endTimeout = 1500 * time.Millisecond
	// holderGrace is how long a holder may take beyond the requested wait before the log
	// is read instead.
	holderGrace = 300 * time.Millisecond
	// ownersTTL is how long the list of partition holders is used; a wrong entry costs a
	// call.
	ownersTTL = 2 * time.Second
)

// ReadArgs requests results of a job.
type ReadArgs struct {
	// Account is the client account that makes the request, "" for none.
	Account string
	Job     string
	After   int
	WaitMs  int64
}

// ReadReply returns a view, or why there is none.
type ReadReply struct {
	View    View
	Refusal *outcome.Refusal
	// Held is false if the daemon does not hold the job's partition.
	Held bool
}

// service handles the calls of other daemons.
type service struct{ jobs *Jobs }

// Read is called by peers.
func (s *service) Read(args ReadArgs, reply *ReadReply) error {
	j := s.jobs
	if !j.holds(args.Job) {
		return nil
	}
	wait := time.Duration(args.WaitMs) * time.Millisecond
	ctx, cancel := context.WithTimeout(context.Background(), wait+holderGrace)
	defer cancel()
	reply.Held = true
	if reply.Refusal = j.requireJob(ctx, args.Account, args.Job); reply.Refusal == nil {
		reply.View, reply.Refusal = j.readLocal(ctx, args.Job, args.After, wait)
	}
	return nil
}

// EndArgs requests the end of a job.
type EndArgs struct{ Account, Job string }

// EndReply returns the outcome; no refusal means that the job has ended. Held is false if
// the daemon does not hold the job's partition.
type EndReply struct {
	Refusal *outcome.Refusal
	Held    bool
}

// End is called by peers.
func (s *service) End(args EndArgs, reply *EndReply) error {
	if !s.jobs.holds(args.Job) {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), endTimeout)
	defer cancel()
	reply.Held = true
	reply.Refusal = s.jobs.endLocal(ctx, args.Account, args.Job)
	return nil
}

// Register registers the service that peers call.
func (j *Jobs) Register(r peer.Registrar) error { return r.Register("Jobs", &service{j}) }

// readFromHolder requests results from the daemon that holds the job's partition. ok is
// false if there is no such daemon, it does not answer, or its answer isn't final; the
// log decides then.
func (j *Jobs) readFromHolder(ctx context.Context, account, id string, after int, wait time.Duration) (view View, refusal *outcome.Refusal, ok bool) {
	var reply ReadReply
	args := ReadArgs{Account: account, Job: id, After: after, WaitMs: wait.Milliseconds()}
	answered := j.callHolder(ctx, id, wait+holderGrace, readMethod, args, &reply)
	return reply.View, reply.Refusal, answered && reply.Held && isFinal(reply.Refusal)
}

// endAtHolder requests the end of the job from the daemon that holds its partition.
func (j *Jobs) endAtHolder(ctx context.Context, account, id string) (refusal *outcome.Refusal, answered bool) {
	var reply EndReply
	reached := j.callHolder(ctx, id, endTimeout, endMethod, EndArgs{account, id}, &reply)
	return reply.Refusal, reached && reply.Held && isFinal(reply.Refusal)
}

// isFinal reports whether a holder's answer is final, so that the log need not be read.
func isFinal(refusal *outcome.Refusal) bool {
	return refusal == nil || refusal.Code != outcome.LogUnavailable
}

// callHolder calls the daemon that holds the job's partition. It returns false if there
// is none, or if it did not answer in time.
func (j *Jobs) callHolder(ctx context.Context, id string, timeout time.Duration, method string, args, reply any) bool {
	address, found := j.holderOf(id)
	if !found {
		address, found = j.owners.address(ctx, j.part(id))
	}
	if !found {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if err := j.Peers.Call(ctx, address, method, args, reply); err != nil {
		j.Logger.Info("holder_not_reached", zap.String("job", id), zap.String("peer", address), zap.Error(err))
		return false
	}
	return true
}

// owners caches which daemon holds which partition.
type owners struct {
	jobs *Jobs

	mu          sync.Mutex
	fetchedAt   time.Time
	byPartition map[partlog.Partition]string
}

// address returns the peer address of another daemon that holds the partition.
func (o *owners) address(ctx context.Context, part int) (string, bool) {
	host := o.holder(ctx, partlog.Partition{Topic: o.jobs.Topics.Results, Part: part})
	if host == "" || host == o.jobs.Host {
		return "", false
	}
	return o.jobs.Address(host)
}

// holder returns the host name of the daemon, "" if unknown; while the log is
// unavailable, the last known one. The lock is held during the call, so that concurrent
// readers make only one.
func (o *owners) holder(ctx context.Context, p partlog.Partition) string {
	o.mu.Lock()
	defer o.mu.Unlock()
	if time.Since(o.fetchedAt) > ownersTTL {
		o.fetchedAt = time.Now()
		byPartition, err := o.jobs.Groups.Owners(ctx, groupName)
		if err == nil {
			o.byPartition = byPartition
		} else {
			o.jobs.Logger.Info("holders_unknown", zap.Error(err))
		}
	}
	return o.byPartition[p]
}
