package ledger

import "tarragonhollow.example/tarragonhollow/core/outcome"

// lease is an item that a batch dispatcher holds. It exists only in the owner's memory:
// if the owner dies, its successor waits for one lease time before it hands out items
// again, and the ledger stores one end of the item, whichever dispatcher ran it.
type lease struct {
	dispatcher string
	attempt    int
	until      int64
	// handedOut reports that the dispatcher was given the item. A non-repeatable item is
	// handed out only after its start was read back.
	handedOut bool
	// handedOutSeq is the Seq of the pull whose reply handed out a non-repeatable item; 0
	// if it isn't known.
	handedOutSeq uint64
	// inherited reports that a previous owner wrote the item's start to the log; it may
	// or may not have handed the item out.
	inherited bool
	// ending reports that an end of the item waits to be read back.
	ending bool
}

// unservedRouteMs is how long a route may lack a target group before its items fail: a
// daemon may accept a job under a configuration that the shard's owner receives a few
// seconds later.
const unservedRouteMs = 10_000

// Pull hands out items to a batch dispatcher and renews the leases of those that it
// holds.
func (o *Owner) Pull(nowMs int64, req PullRequest) PullReply {
	o.now = nowMs
	reply := PullReply{LeaseMs: o.cfg.LeaseMs, Cancelled: o.renewLeases(&req)}
	o.reclaimUndelivered(&req)
	b := &pullBatch{shard: o.cfg.Shard, term: o.term, dispatcher: req.Steward, seq: req.Seq, max: req.Max, bytesLeft: req.MaxBytes}
	o.takeReady(b)
	candidates := o.candidates(req.Group)
	if !o.queueFull() {
		o.takeWaiting(b, candidates)
	}
	for _, cand := range candidates {
		n := cand.queue.len()
		reply.Backlog += n
		due := cand.sched.job.DueMs
		if n > 0 && (reply.EarliestDueMs == 0 || due < reply.EarliestDueMs) {
			reply.EarliestDueMs = due
		}
	}
	reply.Items = b.items
	return reply
}

// pullBatch collects the items of a pull.
type pullBatch struct {
	shard      int
	term       uint64
	dispatcher string
	seq        uint64
	max        int
	bytesLeft  int
	items      []LeasedItem
	// started counts items whose start was proposed, to be handed out by a later pull.
	started int
}

func (b *pullBatch) full() bool { return len(b.items)+b.started >= b.max || b.bytesLeft <= 0 }

// renewLeases renews the leases of the items that the dispatcher lists. It returns those
// that the dispatcher should stop: they were cancelled, have ended, or were handed to
// another dispatcher meanwhile.
func (o *Owner) renewLeases(req *PullRequest) []ItemRef {
	var stop []ItemRef
	for _, ref := range req.Running {
		if !o.renewLease(req.Steward, ref) {
			stop = append(stop, ref)
		}
	}
	return stop
}

func (o *Owner) renewLease(dispatcher string, ref ItemRef) bool {
	key := itemKey{ref.Job, ref.Index}
	s := o.scheds[ref.Job]
	_, it := o.st.item(ref.Job, ref.Index)
	if s == nil || it == nil || it.ended() || s.job.State != JobAccepted || !ref.SameJob(s.job.ref(ref.Index, ref.Attempt)) {
		return false
	}
	l := o.leases[key]
	if l == nil && !s.job.Repeatable {
		return false // its start isn't on the log, or the item was reclaimed
	}
	if l == nil {
		// The lease is from a previous owner, or expired while the dispatcher could not
		// be reached. It continues, and handOut skips the item when it is popped from its
		// queue.
		l = &lease{dispatcher: dispatcher, attempt: ref.Attempt, handedOut: true}
		o.leases[key] = l
		s.leased++
		s.attempts[ref.Index] = max(s.attempts[ref.Index], ref.Attempt)
	}
	if l.dispatcher != dispatcher || l.attempt != ref.Attempt {
		return false
	}
	l.until = o.now + o.cfg.LeaseMs
	return true
}

// takeReady hands out non-repeatable items whose start was read back.
func (o *Owner) takeReady(b *pullBatch) {
	keys := o.ready[b.dispatcher]
	for len(keys) > 0 && !b.full() {
		key := keys[0]
		keys = keys[1:]
		l := o.leases[key]
		s := o.scheds[key.job]
		_, it := o.st.item(key.job, key.index)
		if s == nil || it == nil || it.ended() || !l.readyFor(b.dispatcher) {
			continue
		}
		l.handedOut, l.handedOutSeq = true, b.seq
		l.until = o.now + o.cfg.LeaseMs
		b.add(s, key, it, l.attempt)
	}
	if len(keys) == 0 {
		delete(o.ready, b.dispatcher)
		return
	}
	o.ready[b.dispatcher] = keys
}

// reclaimUndelivered returns to waiting the non-repeatable items that were handed out in
// a reply which the dispatcher never received. As the dispatcher is live, they would
// otherwise stay running forever. They certainly never started:
//
//   - The dispatcher's list belongs to a later pull than the one that handed the item
//     out, and was made after the reply to that pull had been processed or discarded.
//     Had it been processed, the item would be listed until its end was read back
//     here, and then it has no lease. A list that was delayed has a lower number and
//     is ignored, however long ago it was sent.
//   - An item that a previous owner started is reclaimed only if the list comes with
//     this owner's term or a later one. The dispatcher has discarded everything from
//     earlier terms since before it made the list: items that the previous owner had
//     handed out by then are in the list, items that it hands out later, because it
//     was paused or its reply was delayed, are discarded. No other dispatcher can have
//     the item, because it would be given the item under a start of its own, and that
//     start would be the one applied here.
//   - The lease has expired too: a dispatcher may start an item only within the lease,
//     measured from before it sent the pull.
//
// That the item is waiting again is written to the log like any end, so an owner that has
// lost its shard can't reclaim anything.
func (o *Owner) reclaimUndelivered(req *PullRequest) {
	if !req.HeldWhole {
		return
	}
	var held map[itemKey]bool
	for key, l := range o.leases {
		s := o.scheds[key.job]
		if l.dispatcher != req.Steward || l.ending || !o.provesUndelivered(l, req) || o.now < l.until || s == nil {
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

// provesUndelivered reports whether the absence of the lease's item from the list in the
// request proves that the dispatcher never received it.
func (o *Owner) provesUndelivered(l *lease, req *PullRequest) bool {
	if l.inherited {
		return req.Terms[o.cfg.Shard] >= o.term
	}
	return l.handedOutSeq != 0 && l.handedOutSeq < req.Seq
}

func (r *PullRequest) heldKeys() map[itemKey]bool {
	keys := make(map[itemKey]bool, len(r.Held))
	for _, ref := range r.Held {
		keys[itemKey{ref.Job, ref.Index}] = true
	}
	return keys
}

// readyFor reports whether the lease's item was started for the dispatcher and can be
// handed out to it. An item with an expired lease is being returned to waiting and must
// not be handed out: another dispatcher may get it next.
func (l *lease) readyFor(dispatcher string) bool {
	return l != nil && l.dispatcher == dispatcher && !l.handedOut && !l.ending
}

func (b *pullBatch) add(s *sched, key itemKey, it *ItemBody, attempt int) {
	b.bytesLeft -= len(it.Item.Body)
	b.items = append(b.items, LeasedItem{
		Ref:  s.job.ref(key.index, attempt),
		Item: it.Item, Profile: s.job.Profile, DueMs: s.job.DueMs,
		Progress: it.Progress, Suspect: it.Suspect, Shard: b.shard, Term: b.term,
	})
}

func (o *Owner) takeWaiting(b *pullBatch, candidates []candidate) {
	for nth := 0; !b.full(); nth++ {
		i := o.pick(candidates, nth)
		if i < 0 {
			return
		}
		cand := candidates[i]
		if !cand.sched.job.Repeatable && !o.LogOK() {
			cand.queue = &itemQueue{} // starting needs the log: skip the queue in this pull
			candidates[i] = cand
			continue
		}
		o.handOut(b, cand)
	}
}

func (o *Owner) handOut(b *pullBatch, cand candidate) {
	s := cand.sched
	key := itemKey{s.job.Job, cand.queue.pop()}
	_, it := o.st.item(key.job, key.index)
	if it == nil || it.ended() || o.leases[key] != nil {
		return
	}
	attempt := max(it.Attempts, s.attempts[key.index]) + 1
	s.attempts[key.index] = attempt
	s.served++
	o.served[s.caller]++
	s.leased++
	o.stats.ItemsHandedOut++
	l := &lease{dispatcher: b.dispatcher, attempt: attempt, until: o.now + o.cfg.LeaseMs}
	o.leases[key] = l
	if s.job.Repeatable {
		l.handedOut = true
		b.add(s, key, it, attempt)
		return
	}
	b.started++
	o.propose(&itemStart{key: key, lease: l}, true)
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

// tickLeases returns the items of expired leases to waiting. A non-repeatable item that
// was handed out stays with its dispatcher while that is live (see reclaimUndelivered for
// the exception); once the dispatcher is dead, the item fails as one that may have run.
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
		o.expireLease(s, key, l)
	}
	for _, s := range o.scheds {
		o.tickRoutes(s)
		s.tickRate(o.now)
	}
}

func (o *Owner) expireLease(s *sched, key itemKey, l *lease) {
	if s.job.Repeatable {
		o.dropLease(key)
		o.requeueItem(key)
		return
	}
	if !l.handedOut {
		l.ending = true
		o.proposeEnd(key, o.change(key, l.attempt, ItemWaiting, nil), nil)
		return
	}
	if o.cfg.Live(l.dispatcher) {
		return
	}
	l.ending = true
	o.proposeEnd(key, o.change(key, l.attempt, ItemFailed, unknownOutcome()), nil)
}

// tickRoutes fails the items of a route that no target group has served for
// unservedRouteMs. Only time counts during which the log was available and an item was
// waiting in the queue: the configuration travels on the log, so the one in force here
// may be outdated during an outage, and an item that returns to its queue must not fail
// because the route had no target group an hour ago.
func (o *Owner) tickRoutes(s *sched) {
	for _, q := range s.routes {
		if s.job.State != JobAccepted || !o.trim(s, q) || !o.LogOK() {
			q.unservedSince = 0
			continue
		}
		_, it := o.st.item(s.job.Job, q.head())
		if _, ok := o.cfg.GroupOf(it.Item); ok {
			q.unservedSince = 0
			continue
		}
		if q.unservedSince == 0 {
			q.unservedSince = o.now
		}
		if o.now-q.unservedSince >= unservedRouteMs {
			o.failRoute(s, q)
		}
	}
}

// maxFailuresPerTick bounds how many items of an unserved route fail in one tick.
const maxFailuresPerTick = 256

func (o *Owner) failRoute(s *sched, q *itemQueue) {
	refusal := outcome.Refuse(outcome.UnknownTarget, "no target group serves this item")
	for n := 0; n < maxFailuresPerTick && q.len() > 0; n++ {
		key := itemKey{s.job.Job, q.pop()}
		_, it := o.st.item(key.job, key.index)
		if it == nil || it.ended() || o.leases[key] != nil {
			continue
		}
		o.leases[key] = &lease{attempt: it.Attempts, ending: true}
		s.leased++
		o.proposeEnd(key, o.change(key, it.Attempts, ItemFailed, refusal), nil)
	}
}

// itemStart writes the start of a non-repeatable item to the log.
type itemStart struct {
	key   itemKey
	lease *lease
}

func (p *itemStart) subject() subject { return jobSubject(p.key.job, false) }

func (p *itemStart) size() int { return objectOverhead }

func (p *itemStart) obsolete(o *Owner) bool {
	s := o.scheds[p.key.job]
	return s == nil || s.job.State != JobAccepted || o.leases[p.key] != p.lease || p.lease.ending
}

func (p *itemStart) entries(o *Owner) []Entry {
	if p.obsolete(o) {
		return nil
	}
	return []Entry{{Starts: &ItemStarts{Marks: []ItemMark{{
		Job: p.key.job, Index: p.key.index, Attempt: p.lease.attempt, Steward: p.lease.dispatcher,
	}}}}}
}

func (p *itemStart) done(o *Owner) {
	_, it := o.st.item(p.key.job, p.key.index)
	if p.obsolete(o) || it == nil || it.Started != p.lease.dispatcher {
		return
	}
	p.lease.until = o.now + o.cfg.LeaseMs
	o.ready[p.lease.dispatcher] = append(o.ready[p.lease.dispatcher], p.key)
}

// withdraw returns the item to waiting: its start is certainly not on the log.
func (p *itemStart) withdraw(o *Owner, _ *outcome.Refusal) bool {
	if o.leases[p.key] == p.lease && !p.lease.ending {
		o.dropLease(p.key)
		o.requeueItem(p.key)
	}
	return true
}

// HasReady reports whether items started for the dispatcher are ready to be pulled.
func (o *Owner) HasReady(dispatcher string) bool { return len(o.ready[dispatcher]) > 0 }
