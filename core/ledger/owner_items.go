package ledger

import "tarragonhollow.example/tarragonhollow/core/outcome"

// pendingEnd proposes an item's end and waits until it is read back.
type pendingEnd struct {
	key     itemKey
	change  ItemChange
	batches []*endBatch
}

// endBatch is a FinishItems call: it is answered when all its ends are durable.
type endBatch struct {
	call     CallID
	left     int
	until    int64
	answered bool
}

// FinishItems handles the ends of leased items. The call is answered once they were read
// back, so that a batch dispatcher keeps an end until it can't be lost. A repeated call
// waits for the ends that an earlier one proposed.
func (o *Owner) FinishItems(nowMs int64, call CallID, req FinishItemsRequest) {
	o.now = nowMs
	if o.queueFull() { // the dispatcher keeps its ends and sends them again
		o.stats.QueueRefused += uint64(len(req.Ends))
		refusal := logUnavailable().WithRun(outcome.Ran)
		o.reply(Reply{Call: call, Ends: &FinishItemsReply{Refusal: refusal}})
		return
	}
	b := &endBatch{call: call, until: nowMs + callWaitMs, left: 1}
	for i := range req.Ends {
		o.handleItemEnd(req.Steward, &req.Ends[i], b)
	}
	o.endDone(b)
}

func (o *Owner) endDone(b *endBatch) {
	b.left--
	if b.left == 0 && !b.answered {
		b.answered = true
		o.reply(Reply{Call: b.call, Ends: &FinishItemsReply{}})
	}
}

func (o *Owner) handleItemEnd(dispatcher string, e *ItemEnd, b *endBatch) {
	key := itemKey{e.Ref.Job, e.Ref.Index}
	s := o.scheds[key.job]
	_, it := o.st.item(key.job, key.index)
	if s == nil || it == nil || it.ended() || s.job.State != JobAccepted {
		return // ended or cancelled already: the first one on the log is the result
	}
	if !e.Ref.SameJob(s.job.ref(key.index, e.Ref.Attempt)) {
		return
	}
	if p := o.pendingEnds[key]; p != nil {
		b.left++
		p.batches = append(p.batches, b)
		return
	}
	l := o.leases[key]
	current := l != nil && l.dispatcher == dispatcher && l.attempt == e.Ref.Attempt
	if e.Answer == nil && !current && l != nil {
		return // failed attempt of an expired lease: the later attempt decides
	}
	if o.handBack(s, key, it, e, l) {
		return
	}
	if l == nil {
		l = &lease{dispatcher: dispatcher, attempt: e.Ref.Attempt}
		o.leases[key] = l
		s.leased++
	}
	l.ending = true
	b.left++
	o.proposeEnd(key, o.changeForEnd(s, key, it, e), b)
}

// ref returns the reference to an attempt at one of the job's items.
func (j *job) ref(index, attempt int) ItemRef {
	return ItemRef{Job: j.Job, Index: index, Attempt: attempt, AcceptedMs: j.AcceptedMs}
}

// handBack returns an item to waiting if that needs no record: it is unfinished,
// repeatable and has no new tokens to store. It reports whether no record is needed.
func (o *Owner) handBack(s *sched, key itemKey, it *ItemBody, e *ItemEnd, l *lease) bool {
	nothingToRecord := e.Answer == nil && !e.Crashed && !e.Final && len(e.Progress) <= len(it.Progress) &&
		(e.Refusal == nil || e.Refusal.Run == outcome.NotRun)
	if !nothingToRecord || !s.job.Repeatable {
		return false
	}
	if l != nil {
		o.dropLease(key)
		o.requeueItem(key)
	}
	return true
}

func (o *Owner) change(key itemKey, attempt int, state ItemState, r *outcome.Refusal) ItemChange {
	ch := ItemChange{
		Job: key.job, Index: key.index, Attempt: attempt, State: state, Refusal: toBody(r),
	}
	if _, it := o.st.item(key.job, key.index); it != nil {
		ch.Progress, ch.Suspect = it.Progress, it.Suspect
		ch.Crashes, ch.Failures = it.Crashes, it.Failures
	}
	return ch
}

// changeForEnd returns the change of an item that follows from the end of an attempt.
func (o *Owner) changeForEnd(s *sched, key itemKey, it *ItemBody, e *ItemEnd) ItemChange {
	ch := o.change(key, e.Ref.Attempt, ItemWaiting, nil)
	if len(e.Progress) > len(it.Progress) {
		ch.Progress = e.Progress
	}
	if e.Answer != nil {
		answer, refusal := boundAnswer(e.Answer, nil)
		ch.Progress = nil
		if refusal != nil {
			ch.fail(refusal)
			return ch
		}
		ch.State, ch.Answer = ItemCompleted, answer
		return ch
	}
	o.changeForFailure(s, e, &ch)
	return ch
}

func (o *Owner) changeForFailure(s *sched, e *ItemEnd, ch *ItemChange) {
	refusal := e.Refusal
	if refusal == nil {
		refusal = unknownOutcome()
	}
	if e.Crashed {
		ch.recordCrash(e.Alone)
	}
	// A dispatcher hands an item back without a refusal only if the item may start again:
	// a non-repeatable one that a target received ends as may_have_run instead.
	handedBack := e.Refusal == nil && !e.Crashed
	switch {
	case e.Final:
		ch.fail(refusal)
	case handedBack || refusal.Run == outcome.NotRun:
		// stays waiting for its next attempt
	case !s.job.Repeatable:
		ch.fail(refusal.WithRun(mayHaveRunAtLeast(refusal.Run)))
	case e.Crashed && ch.Crashes >= o.cfg.Limits().CrashLimit:
		ch.fail(outcome.Refuse(outcome.Quarantined,
			"the item crashed %d targets while it ran there alone", ch.Crashes).WithRun(outcome.MayHaveRun))
	case e.Crashed && !e.Alone:
		// another request may have caused the crash
	default:
		ch.Failures++
		if ch.Failures >= s.job.MaxAttempts {
			ch.fail(refusal)
		}
	}
}

// recordCrash marks the item to run alone. Only a crash while it was alone on the target
// is counted.
func (ch *ItemChange) recordCrash(alone bool) {
	ch.Suspect = true
	if alone {
		ch.Crashes++
	}
}

func (ch *ItemChange) fail(r *outcome.Refusal) {
	ch.State, ch.Refusal, ch.Answer = ItemFailed, toBody(r), nil
}

func mayHaveRunAtLeast(run outcome.RunState) outcome.RunState {
	if run == outcome.Ran {
		return outcome.Ran
	}
	return outcome.MayHaveRun
}

func (o *Owner) proposeEnd(key itemKey, ch ItemChange, b *endBatch) {
	p := &pendingEnd{key: key, change: ch}
	if b != nil {
		p.batches = []*endBatch{b}
	}
	o.pendingEnds[key] = p
	o.propose(p, false)
}

func (p *pendingEnd) subject() subject { return jobSubject(p.key.job, false) }

func (p *pendingEnd) size() int {
	n := len(p.change.Job) + objectOverhead + int(p.change.Answer.size()+p.change.Refusal.size())
	for _, token := range p.change.Progress {
		n += len(token) + 1
	}
	return n
}

func (p *pendingEnd) entries(o *Owner) []Entry {
	if s := o.scheds[p.key.job]; s == nil || s.job.State != JobAccepted {
		return nil
	}
	return []Entry{{Ends: &ItemEnds{Changes: []ItemChange{p.change}}}}
}

func (p *pendingEnd) done(o *Owner) {
	delete(o.pendingEnds, p.key)
	o.dropLease(p.key)
	for _, b := range p.batches {
		o.endDone(b)
	}
	s := o.scheds[p.key.job]
	if s == nil {
		return
	}
	_, it := o.st.item(p.key.job, p.key.index)
	if it != nil && !it.ended() {
		o.requeueItem(p.key)
		return
	}
	delete(s.attempts, p.key.index)
	o.closeIfDone(s.job)
}

// withdraw keeps an end queued during an outage. An end that is too large for the log is
// replaced by a failure which says that the item ran.
func (p *pendingEnd) withdraw(_ *Owner, cause *outcome.Refusal) bool {
	if cause.Code == outcome.TooLarge {
		p.change.Progress = nil
		p.change.fail(cause.WithRun(outcome.Ran))
	}
	return false
}

// tickEnds answers calls whose ends have waited too long for the log. The dispatcher
// sends them again and then waits for the queued ends.
func (o *Owner) tickEnds() {
	for _, p := range o.pendingEnds {
		kept := p.batches[:0]
		for _, b := range p.batches {
			if o.now >= b.until && !b.answered {
				b.answered = true
				o.reply(Reply{Call: b.call, Ends: &FinishItemsReply{
					Refusal: logUnavailable().WithRun(outcome.Ran),
				}})
			}
			if !b.answered {
				kept = append(kept, b)
			}
		}
		p.batches = kept
	}
}
