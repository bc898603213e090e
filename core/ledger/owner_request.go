package ledger

import "tarragonhollow.example/tarragonhollow/core/outcome"

// waiter is a call that waits until a time.
type waiter struct {
	call  CallID
	until int64
	begin BeginRequest
}

// run is a keyed request that is being executed or is about to be.
type run struct {
	begin   BeginRequest
	attempt int
	// granted reports that the entry host was told to run the request. A non-repeatable
	// request is granted only after its start was read back as valid.
	granted bool
	// refused reports that the entry host was answered "not run" while the start could
	// still appear on the log. If it does, the key is freed again.
	refused bool
	// end is the first end that was reported; it has not been read back yet.
	end *FinishRequest

	grantWaiters  []waiter // calls of the arrival itself that wait for the grant
	waiters       []waiter // calls of other arrivals of the key
	finishWaiters []waiter // calls that wait until the end is durable
}

// Begin handles an arrival of a keyed request.
func (o *Owner) Begin(nowMs int64, call CallID, req BeginRequest) {
	o.now = nowMs
	if r := o.runOf(req.Key); r != nil {
		o.joinRun(r, call, req)
		return
	}
	kept := o.st.requests[req.Key]
	if kept == nil {
		o.startRun(call, req, 1)
		return
	}
	if kept.Fingerprint != req.Fingerprint {
		o.replySettled(call, nil, conflict(req.Key))
		return
	}
	if kept.retryable() && kept.Nonce != req.Nonce {
		o.startRun(call, req, kept.Attempt+1)
		return
	}
	o.replySettled(call, kept.Answer, kept.Refusal.refusal())
}

// runOf returns the run of the key, including one that a previous owner granted, or nil.
func (o *Owner) runOf(key string) *run {
	if r := o.runs[key]; r != nil {
		return r
	}
	kept := o.st.requests[key]
	if kept == nil || kept.State != RequestRunning {
		return nil
	}
	r := &run{attempt: kept.Attempt, granted: true, begin: BeginRequest{
		Key: key, Nonce: kept.Nonce, Entry: kept.Entry, Fingerprint: kept.Fingerprint,
		Profile: kept.Profile, Repeatable: kept.Repeatable,
	}}
	o.runs[key] = r
	return r
}

// retryable reports whether a new arrival may retry a failed request: its caller has been
// told of the failure, the request is repeatable, and the failure may be temporary.
func (r *request) retryable() bool {
	if r.State != RequestFailed || !r.Repeatable {
		return false
	}
	switch outcome.Code(r.Refusal.Code) {
	case outcome.Unprocessable, outcome.Quarantined, outcome.TooLarge:
		return false
	}
	return true
}

func conflict(key string) *outcome.Refusal {
	return outcome.Refuse(outcome.Conflict, "key %q belongs to a request with other content", key)
}

func unknownOutcome() *outcome.Refusal {
	return outcome.Refuse(outcome.OutcomeUnknown,
		"the request was started and its outcome is not known").WithRun(outcome.MayHaveRun)
}

func (o *Owner) replySettled(call CallID, a *Answer, r *outcome.Refusal) {
	o.reply(Reply{Call: call, Begin: &BeginReply{Verdict: Settled, Answer: a, Refusal: r}})
}

func (o *Owner) replyGranted(call CallID, attempt int) {
	o.reply(Reply{Call: call, Begin: &BeginReply{Verdict: Granted, Attempt: attempt}})
}

// startRun begins an attempt. A repeatable request is granted at once and its start is
// written to the log in the background, so that an outage of the log doesn't block it.
func (o *Owner) startRun(call CallID, req BeginRequest, attempt int) {
	if !req.Repeatable && !o.LogOK() {
		o.replySettled(call, nil, logUnavailable())
		return
	}
	r := &run{begin: req, attempt: attempt}
	o.runs[req.Key] = r
	o.proposeStart(r, call)
}

func (o *Owner) proposeStart(r *run, call CallID) {
	p := &startProposal{run: r, attempt: r.attempt}
	if r.begin.Repeatable {
		r.granted = true
		o.replyGranted(call, r.attempt)
		if !o.queueFull() {
			o.propose(p, false)
		}
		return
	}
	r.grantWaiters = append(r.grantWaiters, waiter{call: call, until: o.now + callWaitMs})
	o.propose(p, true)
}

// joinRun handles an arrival of a key that has a run.
func (o *Owner) joinRun(r *run, call CallID, req BeginRequest) {
	switch {
	case r.begin.Fingerprint != req.Fingerprint:
		o.replySettled(call, nil, conflict(req.Key))
	case r.end != nil && !r.end.frees():
		o.replySettled(call, r.end.Answer, r.end.Refusal)
	case r.begin.Nonce == req.Nonce && r.end == nil:
		o.repeatReply(r, call)
	case req.WaitMs <= 0 && o.cfg.Live(r.begin.Entry):
		o.reply(Reply{Call: call, Begin: &BeginReply{Verdict: StillRunning}})
	default:
		r.waiters = append(r.waiters, waiter{call: call, until: o.now + req.WaitMs, begin: req})
		o.checkEntryHost(r)
	}
}

// repeatReply gives a repeated call of the same arrival the same reply. A grant may be
// sent again, because the entry host repeats the call only if it didn't receive the first
// reply.
func (o *Owner) repeatReply(r *run, call CallID) {
	switch {
	case r.refused:
		o.replySettled(call, nil, logUnavailable())
	case r.granted:
		o.replyGranted(call, r.attempt)
	default:
		r.grantWaiters = append(r.grantWaiters, waiter{call: call, until: o.now + callWaitMs})
	}
}

// checkEntryHost handles a run whose entry host may have died. A repeatable request is
// granted to the next waiting arrival as a new attempt. A non-repeatable request that was
// granted is never granted again; its waiting arrivals are told that it may have run. A
// non-repeatable request that was not granted yet is freed once its start was read back.
func (o *Owner) checkEntryHost(r *run) {
	if len(r.waiters) == 0 || r.end != nil || o.cfg.Live(r.begin.Entry) {
		return
	}
	if !r.begin.Repeatable {
		if !r.granted {
			r.refused = true
			return
		}
		for _, w := range r.waiters {
			o.replySettled(w.call, nil, unknownOutcome())
		}
		r.waiters = nil
		return
	}
	next := r.waiters[0]
	r.waiters = r.waiters[1:]
	r.begin = next.begin
	r.attempt++
	o.proposeStart(r, next.call)
}

// tickRuns expires waiting calls. A start that was not read back in time is refused as
// not run, which is correct, because the entry host sends nothing before the grant.
func (o *Owner) tickRuns() {
	for _, r := range o.runs {
		o.checkEntryHost(r)
		r.waiters = o.expireWaiters(r.waiters, func(w waiter) {
			o.reply(Reply{Call: w.call, Begin: &BeginReply{Verdict: StillRunning}})
		})
		waiting := len(r.grantWaiters)
		r.grantWaiters = o.expireWaiters(r.grantWaiters, func(w waiter) { o.replySettled(w.call, nil, logUnavailable()) })
		if waiting > 0 && len(r.grantWaiters) == 0 && !r.granted {
			r.refused = true
		}
		r.finishWaiters = o.expireWaiters(r.finishWaiters, func(w waiter) { o.replyFinished(w.call, r.end, false) })
	}
}

func (o *Owner) expireWaiters(ws []waiter, end func(waiter)) []waiter {
	var kept []waiter
	for _, w := range ws {
		if o.now < w.until {
			kept = append(kept, w)
			continue
		}
		end(w)
	}
	return kept
}

// startProposal writes the start of an attempt to the log.
type startProposal struct {
	run     *run
	attempt int
}

func (p *startProposal) subject() subject { return requestSubject(p.run.begin.Key) }

func (p *startProposal) size() int { return len(p.run.begin.Key) + objectOverhead }

func (p *startProposal) obsolete() bool {
	r := p.run
	return r.attempt != p.attempt || r.end != nil || (r.refused && !r.granted)
}

func (p *startProposal) entries(o *Owner) []Entry {
	if p.obsolete() {
		return nil
	}
	return []Entry{{Start: &StartEntry{Request: p.run.body()}}}
}

func (r *run) body() RequestBody {
	b := r.begin
	return RequestBody{
		Key: b.Key, Fingerprint: b.Fingerprint, Profile: b.Profile, Repeatable: b.Repeatable,
		Nonce: b.Nonce, Entry: b.Entry, Attempt: r.attempt, State: RequestRunning,
	}
}

func (p *startProposal) done(o *Owner) {
	r := p.run
	if r.attempt != p.attempt || r.granted || r.end != nil {
		return
	}
	kept := o.st.requests[r.begin.Key]
	if !r.refused {
		r.granted = true
		for _, w := range r.grantWaiters {
			o.replyGranted(w.call, r.attempt)
		}
		r.grantWaiters = nil
		return
	}
	if kept != nil && kept.State == RequestRunning && kept.Nonce == r.begin.Nonce {
		o.propose(&freeProposal{run: r}, true)
		return
	}
	o.endRun(r)
}

func (p *startProposal) withdraw(o *Owner, cause *outcome.Refusal) bool {
	r := p.run
	if r.begin.Repeatable {
		return false
	}
	for _, w := range r.grantWaiters {
		o.replySettled(w.call, nil, cause)
	}
	r.grantWaiters, r.refused = nil, true
	o.endRun(r)
	return true
}

// endRun removes the run; the calls of the waiting arrivals are handled anew.
func (o *Owner) endRun(r *run) {
	delete(o.runs, r.begin.Key)
	waiters := r.waiters
	r.waiters = nil
	for _, w := range waiters {
		o.Begin(o.now, w.call, w.begin)
	}
}

// freeProposal frees the key of a start that appeared on the log after its caller was
// told that the request did not run.
type freeProposal struct{ run *run }

func (p *freeProposal) subject() subject { return requestSubject(p.run.begin.Key) }

func (p *freeProposal) size() int { return len(p.run.begin.Key) + objectOverhead }

func (p *freeProposal) entries(*Owner) []Entry {
	return []Entry{{Finish: &FinishEntry{Key: p.run.begin.Key, Attempt: p.run.attempt, Free: true}}}
}

func (p *freeProposal) done(o *Owner) { o.endRun(p.run) }

func (p *freeProposal) withdraw(*Owner, *outcome.Refusal) bool { return false }
