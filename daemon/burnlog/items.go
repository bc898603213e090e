package burnlog

import (
	"context"

	"tarragonhollow.example/tarragonhollow/core/burn"
	"tarragonhollow.example/tarragonhollow/core/ledger"
)

// itemKey names an item whatever its attempt.
type itemKey struct {
	job   string
	index int
}

// lease is what the end of an item is judged by.
type lease struct {
	profile, group, customID string
	dueMs                    int64
}

// doubtfulEnd is a failed attempt of which only the item's owner knows whether
// it was the last.
type doubtfulEnd struct {
	// ledger is where to ask.
	ledger ledger.Client
	key    itemKey
	lease  lease
	atMs   int64
}

// Items returns a ledger client for the steward that counts the ends of the
// items that pass through it. All else goes to next untouched.
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

// FinishItems implements ledger.Client. An end counts once its owner has taken
// it over, which is after its read-back; a report that is sent again finds the
// lease gone and counts no more.
func (i *itemClient) FinishItems(ctx context.Context, req ledger.FinishItemsRequest) ([]ledger.ItemEnd, error) {
	undelivered, err := i.Client.FinishItems(ctx, req)
	if err != nil && len(undelivered) == 0 {
		return undelivered, err
	}
	left := make(map[ledger.ItemRef]bool, len(undelivered))
	for _, e := range undelivered {
		left[e.Ref] = true
	}
	for n := range req.Ends {
		if !left[req.Ends[n].Ref] {
			i.ended(&req.Ends[n])
		}
	}
	return undelivered, err
}

func (i *itemClient) ended(e *ledger.ItemEnd) {
	key := itemKey{e.Ref.Job, e.Ref.Index}
	l, ok := i.c.leases.Peek(key)
	if !ok {
		return
	}
	i.c.leases.Remove(key)
	if e.Answer == nil && e.Refusal == nil {
		return // handed back, it goes on elsewhere
	}
	end := doubtfulEnd{ledger: i.Client, key: key, lease: l, atMs: i.c.nowMs()}
	if e.Answer != nil {
		outcome, reason := burn.ClassifyStatus(e.Answer.Status)
		i.c.observeItem(end, outcome, reason)
		return
	}
	if !i.c.items.Offer(end) {
		i.c.meter.dropped.Inc()
	}
}

func (c *Collector) observeItem(end doubtfulEnd, outcome burn.Outcome, reason string) {
	c.Observe(burn.Event{
		AtMs: end.atMs, Profile: end.lease.profile, Group: end.lease.group,
		Outcome: outcome, Reason: reason,
		DueMissed: end.lease.dueMs > 0 && end.atMs > end.lease.dueMs,
	})
}

// itemLoop asks the owners what became of items after a failed attempt: whether
// an item has failed for good is the owner's rule, and stands only there.
func (c *Collector) itemLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case end := <-c.items.C():
			c.settle(ctx, end)
		}
	}
}

func (c *Collector) settle(ctx context.Context, end doubtfulEnd) {
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
