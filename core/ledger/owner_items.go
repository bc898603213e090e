package ledger

import "tarragonhollow.example/tarragonhollow/core/outcome"

// pendingEnd is an item's end that waits to be read back.
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

// FinishItems steps the ends of leased items in. It is answered once they were
// read back, so that a steward keeps an end until it can't be lost any more; a
// call sent again joins what it proposed before.
func (o *Owner) FinishItems(nowMs int64, call CallID, req FinishItemsRequest) {
	o.now = nowMs
	if o.ringFull() { // the steward keeps its ends until there is room
		o.figures.RingRefused += uint64(len(req.Ends))
		refusal := logUnavailable().WithRun(outcome.Ran)
		o.reply(Reply{Call: call, Ends: &FinishItemsReply{Refusal: refusal}})
		return
	}
	b := &endBatch{call: call, until: nowMs + callWaitMs, left: 1}
	for i := range req.Ends {
		o.itemEnd(req.Steward, &req.Ends[i], b)
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

func (o *Owner) itemEnd(steward string, e *ItemEnd, b *endBatch) {
	key := itemKey{e.Ref.Job, e.Ref.Index}
	s := o.scheds[key.job]
	_, it := o.st.item(key.job, key.index)
	if s == nil || it == nil || it.ended() || s.job.State != JobAccepted {
		return // ended or cancelled before: the first on the log stands
	}
	if p := o.ends[key]; p != nil {
		b.left++
		p.batches = append(p.batches, b)
		return
	}
	l := o.leases[key]
	current := l != nil && l.steward == steward && l.attempt == e.Ref.Attempt
	if e.Answer == nil && !current && l != nil {
		return // a failed attempt of a lapsed lease; a later one decides
	}
	if o.handBack(s, key, it, e, l) {
		return
	}
	if l == nil {
		l = &lease{steward: steward, attempt: e.Ref.Attempt}
		o.leases[key] = l
		s.leased++
	}
	l.ending = true
	b.left++
	o.proposeEnd(key, o.judge(s, key, it, e), b)
}

// handBack returns an item that needs no record: unfinished, without tokens to
// keep, and repeatable.
func (o *Owner) handBack(s *sched, key itemKey, it *ItemBody, e *ItemEnd, l *lease) bool {
	idle := e.Answer == nil && !e.Crashed && !e.Final && len(e.Progress) <= len(it.Progress) &&
		(e.Refusal == nil || e.Refusal.Run == outcome.NotRun)
	if !idle || !s.job.Repeatable {
		return false
	}
	if l != nil {
		o.dropLease(key)
		o.putBack(key)
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

// judge turns the end of an attempt into the item's next state.
func (o *Owner) judge(s *sched, key itemKey, it *ItemBody, e *ItemEnd) ItemChange {
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
	o.judgeFailure(s, e, &ch)
	return ch
}

func (o *Owner) judgeFailure(s *sched, e *ItemEnd, ch *ItemChange) {
	refusal := e.Refusal
	if refusal == nil {
		refusal = unknownOutcome()
	}
	if e.Crashed {
		ch.crashed(e.Alone)
	}
	// A steward hands an item back without a refusal only if it may start again:
	// a non-repeatable one that a target received ends as may_have_run instead.
	handedBack := e.Refusal == nil && !e.Crashed
	switch {
	case e.Final:
		ch.fail(refusal)
	case handedBack || refusal.Run == outcome.NotRun:
		// waits for its next attempt
	case !s.job.Repeatable:
		ch.fail(refusal.WithRun(mayHaveRunAtLeast(refusal.Run)))
	case e.Crashed && ch.Crashes >= o.cfg.Limits().CrashLimit:
		ch.fail(outcome.Refuse(outcome.Condemned,
			"the item crashed %d targets while it ran there alone", ch.Crashes).WithRun(outcome.MayHaveRun))
	case e.Crashed && !e.Alone:
		// the crash may be another request's
	default:
		ch.Failures++
		if ch.Failures >= s.job.MaxAttempts {
			ch.fail(refusal)
		}
	}
}

// crashed marks the item as one to run alone; only a crash while it was alone
// on the target counts against it.
func (ch *ItemChange) crashed(alone bool) {
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
	o.ends[key] = p
	o.queue(p, false)
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

func (p *pendingEnd) settled(o *Owner) {
	delete(o.ends, p.key)
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
		o.putBack(p.key)
		return
	}
	delete(s.tries, p.key.index)
	o.closeIfDone(s.job)
}

// withdraw keeps an end in the ring through an outage; one that the log finds
// too large is kept as the word that it ran.
func (p *pendingEnd) withdraw(_ *Owner, cause *outcome.Refusal) bool {
	if cause.Code == outcome.TooLarge {
		p.change.Progress = nil
		p.change.fail(cause.WithRun(outcome.Ran))
	}
	return false
}

// tickEnds lets calls whose ends wait for the log return: the steward sends
// them again and joins what is queued.
func (o *Owner) tickEnds() {
	for _, p := range o.ends {
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
