package steward

import (
	"context"
	"maps"
	"time"

	"go.uber.org/zap"

	"tarragonhollow.example/tarragonhollow/core/config"
	"tarragonhollow.example/tarragonhollow/core/ledger"
)

// pullCall is one pull in flight.
type pullCall struct {
	owner    string
	group    string
	max      int
	sentAt   time.Time
	renewing []*heldItem
}

// pullReservation is how long a pull in flight counts as used capacity. After that the
// owner is considered slow and others are pulled from, at the cost of some surplus items.
const pullReservation = 300 * time.Millisecond

// pullLoop pulls items while assigned targets have capacity for them, and lists held items
// to their owners so that their leases are renewed.
func (s *Steward) pullLoop(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
			s.pullRound()
			timer.Reset(s.interval(pullEvery))
		}
	}
}

func (s *Steward) pullRound() {
	now := s.opts.Now()
	owners := s.liveOwners()
	groups := s.assignedGroups()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.syncOwnersLocked(owners)
	if !s.draining {
		for group := range groups {
			s.pullGroupLocked(now, group)
			s.queryBacklogLocked(now, group)
		}
	}
	s.renewLocked(now)
}

// liveOwners returns the peer addresses of the members that hold shards.
func (s *Steward) liveOwners() map[string]bool {
	owners := make(map[string]bool)
	for _, m := range s.opts.View.Members() {
		if len(m.Shards) > 0 {
			owners[m.PeerAddress] = true
		}
	}
	return owners
}

func (s *Steward) assignedGroups() map[string]bool {
	groups := make(map[string]bool)
	for _, t := range s.assignedTargets() {
		groups[t.group] = true
	}
	return groups
}

// pullGroupLocked sends pulls until they cover the group's free capacity.
func (s *Steward) pullGroupLocked(now time.Time, group string) {
	for {
		wanted := s.wantedLocked(now, group)
		if wanted <= 0 {
			return
		}
		owner := s.nextOwnerLocked(now, group)
		if owner == nil {
			return
		}
		s.sendPullLocked(now, owner, group, wanted)
	}
}

// queryBacklogLocked queries the backlog of an owner that has not been pulled from for
// backlogMaxAge, without pulling items. Nothing is pulled for targets closed by online
// work, but the due times must still be known, to be shown and to raise the weight.
func (s *Steward) queryBacklogLocked(now time.Time, group string) {
	if now.Sub(s.lastQuery) < backlogQueryEvery {
		return
	}
	var oldest *ownerState
	for _, o := range s.owners {
		if o.inFlight || now.Before(o.retryAt) || now.Sub(o.group(group).pulledAt) < backlogMaxAge {
			continue
		}
		if oldest == nil || o.group(group).pulledAt.Before(oldest.group(group).pulledAt) {
			oldest = o
		}
	}
	if oldest != nil {
		s.lastQuery = now
		s.sendPullLocked(now, oldest, group, 0)
	}
}

// wantedLocked returns how many more items to pull for the group. Up to twice as many items
// are held as may run, so that a freed slot does not wait for a pull; a target that online
// work has closed does not count.
func (s *Steward) wantedLocked(now time.Time, group string) int {
	weight := s.groupWeightLocked(now, group)
	wanted := 0
	for _, t := range s.assignedTargets() {
		if t.group != group {
			continue
		}
		t.mu.Lock()
		if limit := t.core.BatchLimit(now, weight); limit > 0 {
			wanted += max(2*limit-t.core.Running(), 0)
		}
		t.mu.Unlock()
	}
	wanted -= len(s.queued[group])
	for p := range s.pulls {
		if p.group == group && now.Sub(p.sentAt) < pullReservation {
			wanted -= p.max
		}
	}
	return min(wanted, maxUndelivered-len(s.held))
}

func (s *Steward) heaviestBatchWeight() float64 {
	weight := 0.0
	if c := s.opts.Config(); c != nil {
		for _, p := range c.Profiles {
			if p.Urgency == config.Batch {
				weight = max(weight, p.BatchWeight)
			}
		}
	}
	return weight
}

// sendPullLocked starts one pull; pull handles its reply.
func (s *Steward) sendPullLocked(now time.Time, o *ownerState, group string, wanted int) {
	p := &pullCall{owner: o.address, group: group, max: wanted, sentAt: now}
	if o.renewalDue(now) {
		p.renewing = s.leasedByLocked(o.address)
	}
	req := ledger.PullRequest{Steward: s.selfID(), Group: group, Max: wanted, MaxBytes: pullMaxBytes}
	for _, it := range p.renewing {
		req.Running = append(req.Running, it.ref)
	}
	s.lastPullSeq++
	req.Seq = s.lastPullSeq
	if now.Sub(o.fullListAt) >= o.lease/renewFraction {
		o.fullListAt = now
		req.Held, req.HeldWhole = s.heldListLocked(o.address)
		req.Terms = maps.Clone(s.terms) // consistent with the list
	}
	o.inFlight = true
	s.pulls[p] = true
	s.group.Go(func(ctx context.Context) { s.pull(ctx, p, req) })
}

// heldListLocked lists all held items, so that the owner can find items whose hand-off was
// lost. The list is complete only while no other pull from that owner is in flight, whose
// reply might still bring items, and never again once an end was dropped, since its item
// ran and is no longer listed.
func (s *Steward) heldListLocked(owner string) (refs []ledger.ItemRef, complete bool) {
	if s.endsLost {
		return nil, false
	}
	for p := range s.pulls {
		if p.owner == owner {
			return nil, false
		}
	}
	for _, it := range s.held {
		refs = append(refs, it.ref)
	}
	return refs, true
}

func (s *Steward) pull(ctx context.Context, p *pullCall, req ledger.PullRequest) {
	bounded, release := context.WithTimeout(ctx, pullTimeout)
	defer release()
	reply, err := s.opts.Ledger.Pull(bounded, p.owner, req)
	prompts := promptsOf(reply.Items)
	now := s.opts.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.pulls, p)
	o := s.owners[p.owner]
	if o != nil {
		o.answered(now, p, reply, err)
	}
	if err != nil {
		s.log.Debug("pull_failed", zap.String("owner", p.owner), zap.String("group", p.group), zap.Error(err))
		return
	}
	s.applyReplyLocked(now, p, req, reply, prompts)
}

func (s *Steward) applyReplyLocked(now time.Time, p *pullCall, req ledger.PullRequest, reply ledger.PullReply, prompts []prompt) {
	lease := time.Duration(reply.LeaseMs) * time.Millisecond
	s.maxLease = max(s.maxLease, lease)
	until := p.sentAt.Add(lease - leaseMargin)
	s.extendLeasesLocked(p.renewing, req.Running, reply.Cancelled, until)
	for _, ref := range reply.Cancelled {
		if it := s.held[itemKey{ref.Job, ref.Index}]; it != nil && it.ref.SameJob(ref) {
			s.stopItemLocked(it)
		}
	}
	for id, term := range reply.Terms {
		s.terms[id] = max(s.terms[id], term)
	}
	for i, leased := range reply.Items {
		if leased.Term < s.terms[leased.Shard] {
			continue
		}
		s.acceptItemLocked(now, p, leased, prompts[i], until)
	}
	if len(reply.Items) > 0 {
		s.decideQueue.Offer(s.anyTarget(p.group))
	}
}

// extendLeasesLocked extends the leases of the items that the pull listed. An owner that
// was replaced and does not know it yet may renew items that it no longer owns; for a
// repeatable item that costs a second run at worst. Items that are not repeatable start
// only within their original lease, which the owner had read back from the log before it
// replied.
func (s *Steward) extendLeasesLocked(items []*heldItem, refs []ledger.ItemRef, cancelled []ledger.ItemRef, until time.Time) {
	isCancelled := make(map[ledger.ItemRef]bool, len(cancelled))
	for _, ref := range cancelled {
		isCancelled[ref] = true
	}
	for i, it := range items {
		if it.repeatable && !isCancelled[refs[i]] && until.After(it.startUntil) {
			it.startUntil = until
		}
	}
}

// acceptItemLocked queues a leased item. If the item still runs here, it was leased again
// because its renewal was lost: the run continues under the new attempt. If its end waits
// to be delivered, another run would be wasted. An item that was handed back may be leased
// again before the call that handed it back returns. An item of an earlier job of the same
// name is stopped.
func (s *Steward) acceptItemLocked(now time.Time, p *pullCall, leased ledger.LeasedItem, itemPrompt prompt, until time.Time) {
	key := itemKey{leased.Ref.Job, leased.Ref.Index}
	existing := s.held[key]
	if existing != nil && !existing.ref.SameJob(leased.Ref) {
		s.stopItemLocked(existing)
		existing = nil
	}
	if existing != nil && !existing.handedBack {
		if existing.ended {
			s.ends.Offer(endedItem{item: existing, end: ledger.ItemEnd{Ref: leased.Ref}})
			return
		}
		existing.ref, existing.owner, existing.startUntil = leased.Ref, p.owner, until
		return
	}
	profile := s.profile(leased.Profile)
	it := &heldItem{
		ref:        leased.Ref,
		item:       leased.Item,
		profile:    leased.Profile,
		group:      groupOf(s.opts.Config(), leased.Item, p.group),
		owner:      p.owner,
		due:        time.UnixMilli(leased.DueMs),
		weight:     profile.BatchWeight,
		suspect:    leased.Suspect,
		startUntil: until,
		repeatable: profile.Repeatable,
		prompt:     itemPrompt,
		progress:   append([]string(nil), leased.Progress...),
		queuedAt:   now,
	}
	it.pinned = !profile.Repeatable || !it.isChat()
	s.held[key] = it
	if _, revoked := s.revoked[it.ref.Job]; revoked || s.draining {
		s.handBackLocked(it)
		return
	}
	s.trackJobLocked(now, it)
	s.queued[it.group] = append(s.queued[it.group], it)
}

// stopItemLocked prevents a start of the item of a cancelled job, and stops the item if it
// is running.
func (s *Steward) stopItemLocked(it *heldItem) {
	it.stopped = true
	if it.run != nil {
		it.run.stop(errRevoked)
		return
	}
	if it.ended {
		return
	}
	s.dequeueLocked(it)
	s.meter.ended("cancelled")
	s.endLocked(it, ledger.ItemEnd{Ref: it.ref})
}

func (s *Steward) dequeueLocked(it *heldItem) {
	queue := s.queued[it.group]
	for i, other := range queue {
		if other == it {
			s.queued[it.group] = append(queue[:i], queue[i+1:]...)
			return
		}
	}
}

func (s *Steward) anyTarget(group string) *targetState {
	for _, t := range s.assignedTargets() {
		if t.group == group {
			return t
		}
	}
	return nil
}
