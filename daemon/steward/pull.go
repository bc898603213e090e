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
	owner  string
	group  string
	max    int
	sentAt time.Time
	named  []*heldItem
}

// reserveFor is how long a pull in flight counts as capacity taken; beyond it
// the owner is slow and others are asked, at the price of some items too many.
const reserveFor = 300 * time.Millisecond

// pullLoop fetches items while own targets have room for them, and names held
// items to their owners so that their leases are renewed.
func (s *Steward) pullLoop(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
			s.pullRound()
			timer.Reset(s.pace(pullEvery))
		}
	}
}

func (s *Steward) pullRound() {
	now := s.opts.Now()
	owners := s.liveOwners()
	groups := s.ownGroups()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.syncOwnersLocked(owners)
	if !s.draining {
		for group := range groups {
			s.pullGroupLocked(now, group)
			s.lookLocked(now, group)
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

func (s *Steward) ownGroups() map[string]bool {
	groups := make(map[string]bool)
	for _, t := range s.ownTargets() {
		groups[t.group] = true
	}
	return groups
}

// pullGroupLocked sends pulls until the group's room is asked for.
func (s *Steward) pullGroupLocked(now time.Time, group string) {
	for {
		want := s.wantLocked(now, group)
		if want <= 0 {
			return
		}
		owner := s.nextOwnerLocked(now, group)
		if owner == nil {
			return
		}
		s.sendPullLocked(now, owner, group, want)
	}
}

// lookLocked asks an owner that has not been asked for long what waits there,
// without taking anything. Targets closed by online work pull nothing, but the
// due times must be known all the same, to be shown and to raise the weight.
func (s *Steward) lookLocked(now time.Time, group string) {
	if now.Sub(s.lastLook) < lookGap {
		return
	}
	var oldest *ownerState
	for _, o := range s.owners {
		if o.inFlight || now.Before(o.retryAt) || now.Sub(o.group(group).pulledAt) < lookAfter {
			continue
		}
		if oldest == nil || o.group(group).pulledAt.Before(oldest.group(group).pulledAt) {
			oldest = o
		}
	}
	if oldest != nil {
		s.lastLook = now
		s.sendPullLocked(now, oldest, group, 0)
	}
}

// wantLocked is how many more items the group's open targets have room for. As
// many again are held ready as may run, so that a slot that falls free does not
// wait for a pull; a target that online work has closed counts for nothing.
func (s *Steward) wantLocked(now time.Time, group string) int {
	weight := s.groupWeightLocked(now, group)
	want := 0
	for _, t := range s.ownTargets() {
		if t.group != group {
			continue
		}
		t.mu.Lock()
		if room := t.core.Room(now, weight); room > 0 {
			want += max(2*room-t.core.Running(), 0)
		}
		t.mu.Unlock()
	}
	want -= len(s.queued[group])
	for p := range s.pulls {
		if p.group == group && now.Sub(p.sentAt) < reserveFor {
			want -= p.max
		}
	}
	return min(want, maxUndelivered-len(s.held))
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

// sendPullLocked starts one pull; its reply is dealt with in pull.
func (s *Steward) sendPullLocked(now time.Time, o *ownerState, group string, want int) {
	p := &pullCall{owner: o.address, group: group, max: want, sentAt: now}
	if o.renewalDue(now) {
		p.named = s.namedLocked(o.address)
	}
	req := ledger.PullRequest{Steward: s.selfID(), Group: group, Max: want, MaxBytes: pullMaxBytes}
	for _, it := range p.named {
		req.Running = append(req.Running, it.ref)
	}
	s.pullNo++
	req.Seq = s.pullNo
	if now.Sub(o.listedAt) >= o.lease/renewShare {
		o.listedAt = now
		req.Held, req.HeldWhole = s.heldWholeLocked(o.address)
		req.Terms = maps.Clone(s.terms) // of the same moment as the list
	}
	o.inFlight = true
	s.pulls[p] = true
	s.group.Go(func(ctx context.Context) { s.pull(ctx, p, req) })
}

// heldWholeLocked lists all held items for an owner that looks for those whose
// handing over went astray. The list is whole only while no other pull at that
// owner is in flight, whose reply might still bring items; and never again once
// an end was dropped, since its item ran and is listed no more.
func (s *Steward) heldWholeLocked(owner string) (refs []ledger.ItemRef, whole bool) {
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
	s.takeReplyLocked(now, p, req, reply, prompts)
}

func (s *Steward) takeReplyLocked(now time.Time, p *pullCall, req ledger.PullRequest, reply ledger.PullReply, prompts []prompt) {
	lease := time.Duration(reply.LeaseMs) * time.Millisecond
	s.maxLease = max(s.maxLease, lease)
	until := p.sentAt.Add(lease - leaseMargin)
	s.renewedLocked(p.named, req.Running, reply.Cancelled, until)
	for _, ref := range reply.Cancelled {
		if it := s.held[itemKey{ref.Job, ref.Index}]; it != nil {
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
		s.takeItemLocked(now, p, leased, prompts[i], until)
	}
	if len(reply.Items) > 0 {
		s.pokes.Offer(s.anyTarget(p.group))
	}
}

// renewedLocked moves the leases of the items that the pull named. An owner
// that was replaced and does not know it yet renews what is no longer its own;
// for a repeatable item that costs a second run at worst. Items that are not
// repeatable start only within the lease that brought them, which the owner had
// read back from the log before it answered.
func (s *Steward) renewedLocked(named []*heldItem, refs []ledger.ItemRef, cancelled []ledger.ItemRef, until time.Time) {
	gone := make(map[ledger.ItemRef]bool, len(cancelled))
	for _, ref := range cancelled {
		gone[ref] = true
	}
	for i, it := range named {
		if it.repeatable && !gone[refs[i]] && until.After(it.startUntil) {
			it.startUntil = until
		}
	}
}

// takeItemLocked queues a leased item. If it still runs here, it was leased to us
// again because its renewal went astray: the run goes on under the new attempt.
// If its end waits to be delivered, running it again would be wasted. An item
// that was handed back may return before the call that took it over does.
func (s *Steward) takeItemLocked(now time.Time, p *pullCall, leased ledger.LeasedItem, read prompt, until time.Time) {
	key := itemKey{leased.Ref.Job, leased.Ref.Index}
	if have := s.held[key]; have != nil && !have.handedBack {
		if have.ended {
			s.ends.Offer(endedItem{item: have, end: ledger.ItemEnd{Ref: leased.Ref}})
			return
		}
		have.ref, have.owner, have.startUntil = leased.Ref, p.owner, until
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
		prompt:     read,
		progress:   append([]string(nil), leased.Progress...),
		queuedAt:   now,
	}
	it.pinned = !profile.Repeatable || !it.isChat()
	s.held[key] = it
	if _, revoked := s.revoked[it.ref.Job]; revoked || s.draining {
		s.handBackLocked(it)
		return
	}
	s.noteJobLocked(now, it)
	s.queued[it.group] = append(s.queued[it.group], it)
}

// stopItemLocked makes sure that the item of a cancelled job does not start
// here, and stops it if it runs.
func (s *Steward) stopItemLocked(it *heldItem) {
	it.stopped = true
	if it.run != nil {
		it.run.stop(errRevoked)
		return
	}
	if it.ended {
		return
	}
	s.unqueueLocked(it)
	s.meter.ended("cancelled")
	s.endLocked(it, ledger.ItemEnd{Ref: it.ref})
}

func (s *Steward) unqueueLocked(it *heldItem) {
	queue := s.queued[it.group]
	for i, other := range queue {
		if other == it {
			s.queued[it.group] = append(queue[:i], queue[i+1:]...)
			return
		}
	}
}

func (s *Steward) anyTarget(group string) *targetState {
	for _, t := range s.ownTargets() {
		if t.group == group {
			return t
		}
	}
	return nil
}
