package jobs

import (
	"context"
	"time"

	"go.uber.org/zap"

	"tarragonhollow.example/tarragonhollow/core/batch"
	"tarragonhollow.example/tarragonhollow/core/outcome"
	"tarragonhollow.example/tarragonhollow/extern/partlog"
)

const (
	// bodyMethod is the RPC that reads a body from the daemon that holds it.
	bodyMethod = "Jobs.Body"
	// bodyTimeout bounds that call; then the log is read instead.
	bodyTimeout = 500 * time.Millisecond
)

// BodyArgs requests the body of an item.
type BodyArgs struct {
	// Account is the client account that makes the request, "" for none.
	Account, Job, Item string
}

// BodyReply returns the body. Held is false if the daemon does not have it in memory.
type BodyReply struct {
	Body []byte
	Held bool
}

// Body is called by peers.
func (s *service) Body(args BodyArgs, reply *BodyReply) error {
	if !s.jobs.hasJob(args.Job, func(known *batch.Job) bool { return known.BelongsTo(args.Account) }) {
		return nil
	}
	index, size := s.jobs.findItem(args.Job, args.Item)
	if index >= 0 {
		reply.Body, reply.Held = s.jobs.bodies.cached(args.Job, index, size)
	}
	return nil
}

// Body returns the body of an item that has no result yet. The account is the client
// account that makes the request, "" for none.
func (j *Jobs) Body(ctx context.Context, account, id, item string) ([]byte, *outcome.Refusal) {
	forwards := j.forwards(id)
	if forwards {
		if body, ok := j.bodyFromHolder(ctx, account, id, item); ok {
			return body, nil
		}
	}
	if refusal := j.requireJob(ctx, account, id); refusal != nil {
		return nil, refusal
	}
	if !forwards && !j.holds(id) && j.FleetSize() > maxFleetForLogReads {
		if body, ok := j.bodyFromHolder(ctx, account, id, item); ok {
			return body, nil
		}
	}
	if err := j.loadItems(ctx, id); err != nil {
		return nil, refuseUnavailable(err)
	}
	index, size := j.findItem(id, item)
	if index < 0 {
		return nil, outcome.Refuse(outcome.NotFound, "no item %s in job %s", item, id)
	}
	body, err := j.bodies.get(ctx, id, index, size)
	if err != nil {
		return nil, refuseUnavailable(err)
	}
	return body, nil
}

// bodyFromHolder requests the body from the daemon that holds the job's partition: read
// from the log, it would come in a page of up to 1 MB.
func (j *Jobs) bodyFromHolder(ctx context.Context, account, id, item string) ([]byte, bool) {
	var reply BodyReply
	answered := j.callHolder(ctx, id, bodyTimeout, bodyMethod, BodyArgs{account, id, item}, &reply)
	return reply.Body, answered && reply.Held
}

// loadItems makes sure that the job's items are known: if they are stored apart from the
// acceptance, only the daemon that runs them has read them.
func (j *Jobs) loadItems(ctx context.Context, id string) error {
	j.mu.Lock()
	known := j.store.Job(id)
	hasItems := known != nil && known.HasItems()
	j.mu.Unlock()
	if known == nil || hasItems {
		return nil
	}
	page, err := j.Log.Newest(ctx, j.bodies.partition(j.part(id)), batch.BeforeItemsKey(id))
	if err != nil {
		return err
	}
	if len(page.Records) == 0 || page.Records[0].Key != batch.ItemsKey(id) {
		return partlog.Invalid.New("the log has no list of the items of %s", id)
	}
	return j.applyItems(page.Records[0])
}

// applyItems applies a list of items to the store.
func (j *Jobs) applyItems(k partlog.StoredRecord) error {
	j.mu.Lock()
	defer j.mu.Unlock()
	change, err := j.store.ApplyItems(k.Key, k.Value)
	if err != nil {
		j.Logger.Error("record_unreadable", zap.String("key", k.Key), zap.Int64("offset", k.Offset), zap.Error(err))
		return err
	}
	if change.Job != "" {
		j.runner.onChange(change)
		j.changes.Notify()
	}
	return nil
}

func (j *Jobs) findItem(id, item string) (index, size int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	known := j.store.Job(id)
	if known == nil {
		return -1, 0
	}
	index = known.ItemByID(item)
	if index < 0 {
		return -1, 0
	}
	return index, known.Items[index].BodyBytes
}
