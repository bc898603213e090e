package ledger

import "tarragonhollow.example/tarragonhollow/core/outcome"

// waiter is a call that waits until a time.
type waiter struct {
	call  CallID
	until int64
	begin BeginRequest
}

// run is a keyed request that is being executed, or is about to be.
type run struct {
	begin   BeginRequest
	attempt int
	// granted tells that the entry host was told to run it. A non-repeatable
	// run is granted only once its start was read back as valid.
	granted bool
	// withdrawn tells that the entry host was told "not run" while the start
	// might still land on the log; then the key is freed again.
	withdrawn bool
	// end is the first end that was reported, not yet read back.
	end *FinishRequest

	askers    []waiter // the same arrival, asking again
	waiters   []waiter // other arrivals of the key
	finishers []waiter
}

// Begin steps a keyed arrival in.
func (o *Owner) Begin(nowMs int64, call CallID, req BeginRequest) {
	o.now = nowMs
	if r := o.runOf(req.Key); r != nil {
		o.join(r, call, req)
		return
	}
	kept := o.st.requests[req.Key]
	if kept == nil {
		o.startRun(call, req, 1)
		return
	}
	if kept.Fingerprint != req.Fingerprint {
		o.settle(call, nil, conflict(req.Key))
		return
	}
	if kept.reopens() && kept.Nonce != req.Nonce {
		o.startRun(call, req, kept.Attempt+1)
		return
	}
	o.settle(call, kept.Answer, kept.Refusal.refusal())
}

// runOf returns the run of the key, also one that a predecessor granted.
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

// reopens tells whether a failed request may be tried again by a new arrival:
// its caller was told of a failure, and repeating it is allowed and may help.
func (r *request) reopens() bool {
	if r.State != RequestFailed || !r.Repeatable {
		return false
	}
	switch outcome.Code(r.Refusal.Code) {
	case outcome.Unprocessable, outcome.Condemned, outcome.TooLarge:
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

func (o *Owner) settle(call CallID, a *Answer, r *outcome.Refusal) {
	o.reply(Reply{Call: call, Begin: &BeginReply{Verdict: Settled, Answer: a, Refusal: r}})
}

func (o *Owner) grant(call CallID, attempt int) {
	o.reply(Reply{Call: call, Begin: &BeginReply{Verdict: Granted, Attempt: attempt}})
}

// startRun begins an attempt. A repeatable one is granted at once and its start
// follows in the background, so that an outage of the log doesn't stop it.
func (o *Owner) startRun(call CallID, req BeginRequest, attempt int) {
	if !req.Repeatable && !o.LogOK() {
		o.settle(call, nil, logUnavailable())
		return
	}
	r := &run{begin: req, attempt: attempt}
	o.runs[req.Key] = r
	o.begin(r, call)
}

func (o *Owner) begin(r *run, call CallID) {
	p := &startProposal{run: r, attempt: r.attempt}
	if r.begin.Repeatable {
		r.granted = true
		o.grant(call, r.attempt)
		if !o.ringFull() {
			o.queue(p, false)
		}
		return
	}
	r.askers = append(r.askers, waiter{call: call, until: o.now + callWaitMs})
	o.queue(p, true)
}

// join handles an arrival of a key that is running.
func (o *Owner) join(r *run, call CallID, req BeginRequest) {
	switch {
	case r.begin.Fingerprint != req.Fingerprint:
		o.settle(call, nil, conflict(req.Key))
	case r.end != nil && !r.end.frees():
		o.settle(call, r.end.Answer, r.end.Refusal)
	case r.begin.Nonce == req.Nonce && r.end == nil:
		o.askAgain(r, call)
	case req.WaitMs <= 0 && o.cfg.Live(r.begin.Entry):
		o.reply(Reply{Call: call, Begin: &BeginReply{Verdict: StillRunning}})
	default:
		r.waiters = append(r.waiters, waiter{call: call, until: o.now + req.WaitMs, begin: req})
		o.checkEntry(r)
	}
}

// askAgain gives the same arrival the same word. A grant may be repeated: the
// entry host asks again only if it did not get the first one.
func (o *Owner) askAgain(r *run, call CallID) {
	switch {
	case r.withdrawn:
		o.settle(call, nil, logUnavailable())
	case r.granted:
		o.grant(call, r.attempt)
	default:
		r.askers = append(r.askers, waiter{call: call, until: o.now + callWaitMs})
	}
}

// checkEntry looks after a run whose entry host may have died: a repeatable one
// is granted to the next caller as a new attempt. A non-repeatable one that was
// granted is never granted again, whoever asks: its callers learn that it may
// have run. One that was not granted yet is freed once its start has landed.
func (o *Owner) checkEntry(r *run) {
	if len(r.waiters) == 0 || r.end != nil || o.cfg.Live(r.begin.Entry) {
		return
	}
	if !r.begin.Repeatable {
		if !r.granted {
			r.withdrawn = true
			return
		}
		for _, w := range r.waiters {
			o.settle(w.call, nil, unknownOutcome())
		}
		r.waiters = nil
		return
	}
	next := r.waiters[0]
	r.waiters = r.waiters[1:]
	r.begin = next.begin
	r.attempt++
	o.begin(r, next.call)
}

// tickRuns ends waits. A start that was not read back in time is refused as not
// run, which is true, because the entry host sends nothing before the grant.
func (o *Owner) tickRuns() {
	for _, r := range o.runs {
		o.checkEntry(r)
		r.waiters = o.expire(r.waiters, func(w waiter) {
			o.reply(Reply{Call: w.call, Begin: &BeginReply{Verdict: StillRunning}})
		})
		asked := len(r.askers)
		r.askers = o.expire(r.askers, func(w waiter) { o.settle(w.call, nil, logUnavailable()) })
		if asked > 0 && len(r.askers) == 0 && !r.granted {
			r.withdrawn = true
		}
		r.finishers = o.expire(r.finishers, func(w waiter) { o.finished(w.call, r.end, false) })
	}
}

func (o *Owner) expire(ws []waiter, end func(waiter)) []waiter {
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

// startProposal puts an attempt's start on the log.
type startProposal struct {
	run     *run
	attempt int
}

func (p *startProposal) subject() subject { return requestSubject(p.run.begin.Key) }

func (p *startProposal) size() int { return len(p.run.begin.Key) + objectOverhead }

func (p *startProposal) moot() bool {
	r := p.run
	return r.attempt != p.attempt || r.end != nil || (r.withdrawn && !r.granted)
}

func (p *startProposal) entries(o *Owner) []Entry {
	if p.moot() {
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

func (p *startProposal) settled(o *Owner) {
	r := p.run
	if r.attempt != p.attempt || r.granted || r.end != nil {
		return
	}
	kept := o.st.requests[r.begin.Key]
	if !r.withdrawn {
		r.granted = true
		for _, w := range r.askers {
			o.grant(w.call, r.attempt)
		}
		r.askers = nil
		return
	}
	if kept != nil && kept.State == RequestRunning && kept.Nonce == r.begin.Nonce {
		o.queue(&freeProposal{run: r}, true)
		return
	}
	o.freed(r)
}

func (p *startProposal) withdraw(o *Owner, cause *outcome.Refusal) bool {
	r := p.run
	if r.begin.Repeatable {
		return false
	}
	for _, w := range r.askers {
		o.settle(w.call, nil, cause)
	}
	r.askers, r.withdrawn = nil, true
	o.freed(r)
	return true
}

// freed ends a run that no target got; the first waiter starts anew.
func (o *Owner) freed(r *run) {
	delete(o.runs, r.begin.Key)
	waiters := r.waiters
	r.waiters = nil
	for _, w := range waiters {
		o.Begin(o.now, w.call, w.begin)
	}
}

// freeProposal frees the key of a start that landed after its caller was told
// that nothing ran.
type freeProposal struct{ run *run }

func (p *freeProposal) subject() subject { return requestSubject(p.run.begin.Key) }

func (p *freeProposal) size() int { return len(p.run.begin.Key) + objectOverhead }

func (p *freeProposal) entries(*Owner) []Entry {
	return []Entry{{Finish: &FinishEntry{Key: p.run.begin.Key, Attempt: p.run.attempt, Free: true}}}
}

func (p *freeProposal) settled(o *Owner) { o.freed(p.run) }

func (p *freeProposal) withdraw(*Owner, *outcome.Refusal) bool { return false }
