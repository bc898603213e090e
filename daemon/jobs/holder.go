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
	// fromLogUpTo is the size of the fleet, in daemons, up to which every daemon
	// reads the results that its callers ask for from the log. Each result then
	// crosses the log once per daemon; asked at its holder it crosses the zones once
	// per read, which is dearer a byte. In a larger fleet that starts again, reading
	// all from the log takes the log's whole rate.
	fromLogUpTo = 24
	// readMethod is the call that reads results at the daemon that holds them.
	readMethod = "Jobs.Read"
	// endMethod is the call that ends a job there, and endTime bounds it.
	endMethod = "Jobs.End"
	endTime   = 1500 * time.Millisecond
	// holderSlack is how long a holder may take beyond the wait that it was
	// asked for, before the log is read instead.
	holderSlack = 300 * time.Millisecond
	// ownersFor is how long the word about who holds which partition is used; a
	// wrong one costs a call.
	ownersFor = 2 * time.Second
)

// ReadArgs asks for results of a job.
type ReadArgs struct {
	// Account is the client account that asks, "" for none.
	Account string
	Job     string
	After   int
	WaitMs  int64
}

// ReadReply is a view, or why there is none.
type ReadReply struct {
	View    View
	Refusal *outcome.Refusal
	// Held is false if the daemon does not hold the job's partition.
	Held bool
}

// service answers the reads of other daemons.
type service struct{ jobs *Jobs }

// Read is called by peers.
func (s *service) Read(args ReadArgs, reply *ReadReply) error {
	j := s.jobs
	if !j.holds(args.Job) {
		return nil
	}
	wait := time.Duration(args.WaitMs) * time.Millisecond
	ctx, cancel := context.WithTimeout(context.Background(), wait+holderSlack)
	defer cancel()
	reply.Held = true
	if reply.Refusal = j.knownTo(ctx, args.Account, args.Job); reply.Refusal == nil {
		reply.View, reply.Refusal = j.readHere(ctx, args.Job, args.After, wait)
	}
	return nil
}

// EndArgs asks for the end of a job.
type EndArgs struct{ Account, Job string }

// EndReply tells how that went; no refusal is an end. Held is false if the daemon does
// not hold the job's partition.
type EndReply struct {
	Refusal *outcome.Refusal
	Held    bool
}

// End is called by peers.
func (s *service) End(args EndArgs, reply *EndReply) error {
	if !s.jobs.holds(args.Job) {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), endTime)
	defer cancel()
	reply.Held = true
	reply.Refusal = s.jobs.endHere(ctx, args.Account, args.Job)
	return nil
}

// Register adds the service that peers call.
func (j *Jobs) Register(r peer.Registrar) error { return r.Register("Jobs", &service{j}) }

// readAtHolder asks the daemon that holds the job's partition. ok is false if there is
// none, or it does not answer, or can't be sure: the log decides then.
func (j *Jobs) readAtHolder(ctx context.Context, account, id string, after int, wait time.Duration) (view View, refusal *outcome.Refusal, ok bool) {
	var reply ReadReply
	args := ReadArgs{Account: account, Job: id, After: after, WaitMs: wait.Milliseconds()}
	answered := j.askHolder(ctx, id, wait+holderSlack, readMethod, args, &reply)
	return reply.View, reply.Refusal, answered && reply.Held && certain(reply.Refusal)
}

// endAtHolder asks the daemon that holds the job's partition to end the job.
func (j *Jobs) endAtHolder(ctx context.Context, account, id string) (refusal *outcome.Refusal, answered bool) {
	var reply EndReply
	reached := j.askHolder(ctx, id, endTime, endMethod, EndArgs{account, id}, &reply)
	return reply.Refusal, reached && reply.Held && certain(reply.Refusal)
}

// certain tells whether a holder's answer is final: it knew of no reason to ask the log.
func certain(refusal *outcome.Refusal) bool {
	return refusal == nil || refusal.Code != outcome.LogUnavailable
}

// askHolder calls the daemon that holds the job's partition. False tells that there is
// none, or that it did not answer in time.
func (j *Jobs) askHolder(ctx context.Context, id string, within time.Duration, method string, args, reply any) bool {
	address, found := j.holderOf(id)
	if !found {
		address, found = j.owners.address(ctx, j.part(id))
	}
	if !found {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	if err := j.Peers.Call(ctx, address, method, args, reply); err != nil {
		j.Logger.Info("holder_not_reached", zap.String("job", id), zap.String("peer", address), zap.Error(err))
		return false
	}
	return true
}

// owners knows which daemon holds which partition.
type owners struct {
	jobs *Jobs

	mu   sync.Mutex
	at   time.Time
	byID map[partlog.Partition]string
}

// address returns the peer address of another daemon that holds the partition.
func (o *owners) address(ctx context.Context, part int) (string, bool) {
	host := o.holder(ctx, partlog.Partition{Topic: o.jobs.Topics.Results, Part: part})
	if host == "" || host == o.jobs.Host {
		return "", false
	}
	return o.jobs.Address(host)
}

// holder returns the daemon's name; while the log is out, the last word counts.
// The lock is held over the call, so that many readers make one.
func (o *owners) holder(ctx context.Context, p partlog.Partition) string {
	o.mu.Lock()
	defer o.mu.Unlock()
	if time.Since(o.at) > ownersFor {
		o.at = time.Now()
		byID, err := o.jobs.Groups.Owners(ctx, groupName)
		if err == nil {
			o.byID = byID
		} else {
			o.jobs.Logger.Info("holders_unknown", zap.Error(err))
		}
	}
	return o.byID[p]
}
