package burnlog

import (
	"context"

	"tarragonhollow.example/tarragonhollow/core/burn"
	"tarragonhollow.example/tarragonhollow/core/ledger"
)

// itemKey identifies an item, independent of the attempt.
type itemKey struct {
	job   string
	index int
}

// lease holds the properties of a pulled item that are needed to count its end. dueMs is a
// time in milliseconds, 0 for none.
type lease struct {
	profile, group, customID string
	dueMs                    int64
}

// unresolvedEnd is a failed attempt of an item. Only the item's owner knows whether it was
// the last attempt.
type unresolvedEnd struct {
	// ledger is the client that queries the owner.
	ledger ledger.Client
	key    itemKey
	lease  lease
	atMs   int64
}

// Items returns a ledger client for the batch dispatcher (steward) that counts the ends of
// the items that pass through it. It passes all calls on to next unchanged.
func (c *Collector) Items(next ledger.Client) ledger.Client { return &itemClient{Client: next, c: c} }

type itemClient struct {
	ledger.Client
	c *Collector
}

// Pull implements ledger.Client.
func (i *itemClient) Pull(ctx context.Context, owner string, req ledger.PullRequest) (ledger.PullReply, error) {
	reply, err := i.Client.Pull(ctx, owner, req)
	for _, it := range reply.Items {
		i.c.leases.Add(itemKey{it.Ref.Job, it.Ref.Index}, lease{
			profile: it.Profile, group: req.Group, customID: it.Item.CustomID, dueMs: it.DueMs,
		})
	}
	return reply, err
}

// FinishItems implements ledger.Client. An end is counted once its owner has accepted it,
// which is after the owner has read it back from the log. An end that is reported again is
// not counted again, because its lease has been removed.
func (i *itemClient) FinishItems(ctx context.Context, req ledger.FinishItemsRequest) ([]ledger.ItemEnd, error) {
	undelivered, err := i.Client.FinishItems(ctx, req)
	if err != nil && len(undelivered) == 0 {
		return undelivered, err
	}
	unfinished := make(map[ledger.ItemRef]bool, len(undelivered))
	for _, e := range undelivered {
		unfinished[e.Ref] = true
	}
	for n := range req.Ends {
		if !unfinished[req.Ends[n].Ref] {
			i.countEnd(&req.Ends[n])
		}
	}
	return undelivered, err
}

func (i *itemClient) countEnd(e *ledger.ItemEnd) {
	key := itemKey{e.Ref.Job, e.Ref.Index}
	l, ok := i.c.leases.Peek(key)
	if !ok {
		return
	}
	i.c.leases.Remove(key)
	if e.Answer == nil && e.Refusal == nil {
		return // handed back, another dispatcher runs it
	}
	end := unresolvedEnd{ledger: i.Client, key: key, lease: l, atMs: i.c.nowMs()}
	if e.Answer != nil {
		outcome, reason := burn.ClassifyStatus(e.Answer.Status)
		i.c.observeItem(end, outcome, reason)
		return
	}
	if !i.c.items.Offer(end) {
		i.c.meter.dropped.Inc()
	}
}

func (c *Collector) observeItem(end unresolvedEnd, outcome burn.Outcome, reason string) {
	c.Observe(burn.Event{
		AtMs: end.atMs, Profile: end.lease.profile, Group: end.lease.group,
		Outcome: outcome, Reason: reason,
		DueMissed: end.lease.dueMs > 0 && end.atMs > end.lease.dueMs,
	})
}

// itemLoop queries the owners for the state of items after a failed attempt. Only the owner
// decides whether an item has finally failed.
func (c *Collector) itemLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case end := <-c.items.C():
			c.resolve(ctx, end)
		}
	}
}

func (c *Collector) resolve(ctx context.Context, end unresolvedEnd) {
	call, cancel := context.WithTimeout(ctx, itemTimeout)
	defer cancel()
	result, err := end.ledger.Item(call, end.key.job, end.lease.customID)
	switch {
	case err != nil:
		c.meter.dropped.Inc()
	case result.State == ledger.ItemFailed:
		outcome, reason := burn.Classify(result.Refusal)
		c.observeItem(end, outcome, reason)
	}
}
