package ledger

import "tarragonhollow.example/tarragonhollow/core/outcome"

// lease is an item in a steward's hands. It lives in the owner's memory only:
// if the owner dies, its successor waits a lease's time before it hands out
// items again, and the ledger keeps one end whoever ran the item.
type lease struct {
	steward string
	attempt int
	until   int64
	// handed tells that the steward was given the item. For a non-repeatable
	// item that is so only once its start was read back.
	handed bool
	// handedIn is the Seq of the pull whose reply handed a non-repeatable item
	// over; 0 if that isn't known.
	handedIn uint64
	// inherited tells that a predecessor put the item's start on the log, and may
	// have handed it over or not.
	inherited bool
	// ending tells that an end waits to be read back.
	ending bool
}

// unknownRouteMs is how long a route may lack a target group before its items
// fail: a daemon may take a job under a configuration that its owner gets a few
// seconds later.
const unknownRouteMs = 10_000

// Pull hands items to a steward and renews what it holds already.
func (o *Owner) Pull(nowMs int64, req PullRequest) PullReply {
	o.now = nowMs
	reply := PullReply{LeaseMs: o.cfg.LeaseMs, Cancelled: o.renew(&req)}
	o.takeBackUnseen(&req)
	b := &basket{shard: o.cfg.Shard, term: o.term, steward: req.Steward, seq: req.Seq, max: req.Max, room: req.MaxBytes}
	o.takeReady(b)
	offers := o.offers(req.Group)
	if !o.ringFull() {
		o.takeWaiting(b, offers)
	}
	for _, of := range offers {
		n := of.lane.len()
		reply.Backlog += n
		due := of.sched.job.DueMs
		if n > 0 && (reply.EarliestDueMs == 0 || due < reply.EarliestDueMs) {
			reply.EarliestDueMs = due
		}
	}
	reply.Items = b.items
	return reply
}

// basket collects a pull's items.
type basket struct {
	shard   int
	term    uint64
	steward string
	seq     uint64
	max     int
	room    int
	items   []LeasedItem
	// started counts items whose start was proposed for a later pull.
	started int
}

func (b *basket) full() bool { return len(b.items)+b.started >= b.max || b.room <= 0 }

// renew prolongs the leases that the steward lists and returns those it should
// stop: cancelled, ended, or handed to another steward meanwhile.
func (o *Owner) renew(req *PullRequest) []ItemRef {
	var stop []ItemRef
	for _, ref := range req.Running {
		if !o.renewOne(req.Steward, ref) {
			stop = append(stop, ref)
		}
	}
	return stop
}

func (o *Owner) renewOne(steward string, ref ItemRef) bool {
	key := itemKey{ref.Job, ref.Index}
	s := o.scheds[ref.Job]
	_, it := o.st.item(ref.Job, ref.Index)
	if s == nil || it == nil || it.ended() || s.job.State != JobAccepted {
		return false
	}
	l := o.leases[key]
	if l == nil && !s.job.Repeatable {
		return false // its start isn't on the log, or was taken back
	}
	if l == nil {
		// A predecessor's lease, or one that lapsed while the steward was out
		// of reach: it goes on, and pop skips the item's place in its lane.
		l = &lease{steward: steward, attempt: ref.Attempt, handed: true}
		o.leases[key] = l
		s.leased++
		s.tries[ref.Index] = max(s.tries[ref.Index], ref.Attempt)
	}
	if l.steward != steward || l.attempt != ref.Attempt {
		return false
	}
	l.until = o.now + o.cfg.LeaseMs
	return true
}

// takeReady hands over non-repeatable items whose start was read back.
func (o *Owner) takeReady(b *basket) {
	keys := o.ready[b.steward]
	for len(keys) > 0 && !b.full() {
		key := keys[0]
		keys = keys[1:]
		l := o.leases[key]
		s := o.scheds[key.job]
		_, it := o.st.item(key.job, key.index)
		if s == nil || it == nil || it.ended() || !l.waitsFor(b.steward) {
			continue
		}
		l.handed, l.handedIn = true, b.seq
		l.until = o.now + o.cfg.LeaseMs
		b.add(s, key, it, l.attempt)
	}
	if len(keys) == 0 {
		delete(o.ready, b.steward)
		return
	}
	o.ready[b.steward] = keys
}

// takeBackUnseen returns non-repeatable items to waiting that were handed over in
// a reply which the steward never got: it lives, so they would stay running for
// ever. They certainly never started:
//
//   - The steward's list is of a later pull than the one that handed the item
//     over, and was made when that one's reply had been taken in or thrown away.
//     Had it been taken in, the item would be listed until its end was read back
//     here, and then it has no lease. A list that was late on its way has a lower
//     number, and doesn't count, however long ago it was sent.
//   - An item that a predecessor started is taken back only if the list comes
//     with this owner's term or a later one. The steward has dropped everything
//     from earlier terms since before it made the list: what the predecessor had
//     handed over by then is in the list, what it hands over later, paused until
//     then or late on its way, is thrown away. Only this steward can have had the
//     item, since another is given it under a start of its own, which would be
//     the one that was folded here.
//   - The lease is over too: a steward may start an item only within the lease,
//     measured from before it sent the pull.
//
// The word that the item waits again goes on the log like any end, so an owner
// that has lost its shard takes nothing back.
func (o *Owner) takeBackUnseen(req *PullRequest) {
	if !req.HeldWhole {
		return
	}
	var held map[itemKey]bool
	for key, l := range o.leases {
		s := o.scheds[key.job]
		if l.steward != req.Steward || l.ending || !o.missable(l, req) || o.now < l.until || s == nil {
			continue
		}
		if held == nil {
			held = req.heldKeys()
		}
		if !held[key] {
			l.ending = true
			o.proposeEnd(key, o.change(key, l.attempt, ItemWaiting, nil), nil)
		}
	}
}

// missable tells whether a list that lacks the lease's item proves that the
// steward never got it.
func (o *Owner) missable(l *lease, req *PullRequest) bool {
	if l.inherited {
		return req.Terms[o.cfg.Shard] >= o.term
	}
	return l.handedIn != 0 && l.handedIn < req.Seq
}

func (r *PullRequest) heldKeys() map[itemKey]bool {
	keys := make(map[itemKey]bool, len(r.Held))
	for _, ref := range r.Held {
		keys[itemKey{ref.Job, ref.Index}] = true
	}
	return keys
}

// waitsFor tells whether the lease's item was started for the steward and is
// still to be handed over. One whose time lapsed is on its way back to waiting
// and must not be: another steward may be given it next.
func (l *lease) waitsFor(steward string) bool {
	return l != nil && l.steward == steward && !l.handed && !l.ending
}

func (b *basket) add(s *sched, key itemKey, it *ItemBody, attempt int) {
	b.room -= len(it.Item.Body)
	b.items = append(b.items, LeasedItem{
		Ref:  ItemRef{Job: key.job, Index: key.index, Attempt: attempt},
		Item: it.Item, Profile: s.job.Profile, DueMs: s.job.DueMs,
		Progress: it.Progress, Suspect: it.Suspect, Shard: b.shard, Term: b.term,
	})
}

func (o *Owner) takeWaiting(b *basket, offers []offer) {
	for nth := 0; !b.full(); nth++ {
		i := o.pick(offers, nth)
		if i < 0 {
			return
		}
		of := offers[i]
		if !of.sched.job.Repeatable && !o.LogOK() {
			of.lane = &lane{} // needs the log to start; leave the lane alone
			offers[i] = of
			continue
		}
		o.hand(b, of)
	}
}

func (o *Owner) hand(b *basket, of offer) {
	s := of.sched
	key := itemKey{s.job.Job, of.lane.pop()}
	_, it := o.st.item(key.job, key.index)
	if it == nil || it.ended() || o.leases[key] != nil {
		return
	}
	attempt := max(it.Attempts, s.tries[key.index]) + 1
	s.tries[key.index] = attempt
	s.served++
	o.served[s.caller]++
	s.leased++
	o.figures.Items++
	l := &lease{steward: b.steward, attempt: attempt, until: o.now + o.cfg.LeaseMs}
	o.leases[key] = l
	if s.job.Repeatable {
		l.handed = true
		b.add(s, key, it, attempt)
		return
	}
	b.started++
	o.queue(&itemStart{key: key, lease: l}, true)
}

func (o *Owner) dropLease(key itemKey) {
	if o.leases[key] == nil {
		return
	}
	delete(o.leases, key)
	if s := o.scheds[key.job]; s != nil {
		s.leased--
	}
}

// tickLeases returns lapsed leases to waiting. A non-repeatable item that was
// handed out stays with its steward while that lives and names it (see
// takeBackUnseen); once the steward is dead it fails as one that may have run.
func (o *Owner) tickLeases() {
	for key, l := range o.leases {
		if l.ending || o.now < l.until {
			continue
		}
		s := o.scheds[key.job]
		if s == nil {
			o.dropLease(key)
			continue
		}
		o.lapse(s, key, l)
	}
	for _, s := range o.scheds {
		o.tickRoutes(s)
		s.tickRate(o.now)
	}
}

func (o *Owner) lapse(s *sched, key itemKey, l *lease) {
	if s.job.Repeatable {
		o.dropLease(key)
		o.putBack(key)
		return
	}
	if !l.handed {
		l.ending = true
		o.proposeEnd(key, o.change(key, l.attempt, ItemWaiting, nil), nil)
		return
	}
	if o.cfg.Live(l.steward) {
		return
	}
	l.ending = true
	o.proposeEnd(key, o.change(key, l.attempt, ItemFailed, unknownOutcome()), nil)
}

// tickRoutes fails the items of a route that no target group has served for a
// while. Only time counts in which this daemon could have heard of a group and
// an item waited for it: the configuration travels on the log, so in an outage
// the one in force here may be old, and an item that comes back to its lane must
// not be failed for what was so an hour ago.
func (o *Owner) tickRoutes(s *sched) {
	for _, l := range s.routes {
		if s.job.State != JobAccepted || !o.trim(s, l) || !o.LogOK() {
			l.unknownSince = 0
			continue
		}
		_, it := o.st.item(s.job.Job, l.head())
		if _, ok := o.cfg.GroupOf(it.Item); ok {
			l.unknownSince = 0
			continue
		}
		if l.unknownSince == 0 {
			l.unknownSince = o.now
		}
		if o.now-l.unknownSince >= unknownRouteMs {
			o.failRoute(s, l)
		}
	}
}

// failBurst bounds how many items of an unserved route fail in one tick.
const failBurst = 256

func (o *Owner) failRoute(s *sched, l *lane) {
	refusal := outcome.Refuse(outcome.UnknownTarget, "no target group serves this item")
	for n := 0; n < failBurst && l.len() > 0; n++ {
		key := itemKey{s.job.Job, l.pop()}
		_, it := o.st.item(key.job, key.index)
		if it == nil || it.ended() || o.leases[key] != nil {
			continue
		}
		o.leases[key] = &lease{attempt: it.Attempts, ending: true}
		s.leased++
		o.proposeEnd(key, o.change(key, it.Attempts, ItemFailed, refusal), nil)
	}
}

// itemStart puts the start of a non-repeatable item on the log.
type itemStart struct {
	key   itemKey
	lease *lease
}

func (p *itemStart) subject() subject { return jobSubject(p.key.job, false) }

func (p *itemStart) size() int { return objectOverhead }

func (p *itemStart) moot(o *Owner) bool {
	s := o.scheds[p.key.job]
	return s == nil || s.job.State != JobAccepted || o.leases[p.key] != p.lease || p.lease.ending
}

func (p *itemStart) entries(o *Owner) []Entry {
	if p.moot(o) {
		return nil
	}
	return []Entry{{Starts: &ItemStarts{Marks: []ItemMark{{
		Job: p.key.job, Index: p.key.index, Attempt: p.lease.attempt, Steward: p.lease.steward,
	}}}}}
}

func (p *itemStart) settled(o *Owner) {
	_, it := o.st.item(p.key.job, p.key.index)
	if p.moot(o) || it == nil || it.Started != p.lease.steward {
		return
	}
	p.lease.until = o.now + o.cfg.LeaseMs
	o.ready[p.lease.steward] = append(o.ready[p.lease.steward], p.key)
}

// withdraw returns the item to waiting: its start is certainly not on the log.
func (p *itemStart) withdraw(o *Owner, _ *outcome.Refusal) bool {
	if o.leases[p.key] == p.lease && !p.lease.ending {
		o.dropLease(p.key)
		o.putBack(p.key)
	}
	return true
}

// HasReady tells whether items started for the steward wait to be pulled.
func (o *Owner) HasReady(steward string) bool { return len(o.ready[steward]) > 0 }
