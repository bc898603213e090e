package ledger

import "tarragonhollow.example/tarragonhollow/core/outcome"

// AnyAttempt in a FinishRequest stands for the attempt that was granted to the request's
// nonce, whichever it is. An entry host that stopped waiting for a grant uses it to free
// the key.
const AnyAttempt = 0

// frees reports whether the end makes the key free again.
func (f *FinishRequest) frees() bool {
	return f.Answer == nil && f.Refusal != nil && f.Refusal.Run == outcome.NotRun
}

// stateAfter returns the request's state after the end.
func (f *FinishRequest) stateAfter(repeatable bool) RequestState {
	switch {
	case f.Answer != nil:
		return RequestCompleted
	case !repeatable && f.Refusal != nil && f.Refusal.Run == outcome.MayHaveRun:
		return RequestUnknown
	}
	return RequestFailed
}

// Finish handles the end of a run. The first completion on the log is the result, so the
// reply may hold the answer of another attempt.
func (o *Owner) Finish(nowMs int64, call CallID, req FinishRequest) {
	o.now = nowMs
	if req.Answer == nil && req.Refusal == nil {
		req.Refusal = unknownOutcome()
	}
	req.Answer, req.Refusal = boundAnswer(req.Answer, req.Refusal)
	if o.otherContent(&req) {
		o.replyFinished(call, &req, true)
		return
	}
	r := o.runOf(req.Key)
	if r == nil {
		r = o.lateRun(call, &req)
	}
	if r == nil || o.supersededEnd(r, call, &req) {
		return
	}
	if r.end != nil {
		o.awaitEnd(r, call)
		return
	}
	o.recordEnd(r, call, &req)
}

// otherContent reports whether the end is that of a request with other content than the
// key's: one that ran while no owner could compare them. It is not stored.
func (o *Owner) otherContent(req *FinishRequest) bool {
	if req.Begin.Key == "" {
		return false
	}
	if r := o.runOf(req.Key); r != nil {
		return r.begin.Fingerprint != req.Begin.Fingerprint
	}
	kept := o.st.requests[req.Key]
	return kept != nil && kept.Fingerprint != req.Begin.Fingerprint
}

func (o *Owner) recordEnd(r *run, call CallID, req *FinishRequest) {
	if o.queueFull() {
		o.stats.QueueRefused++
		o.replyFinished(call, req, false)
		return
	}
	r.end = req
	for _, w := range r.grantWaiters { // ended before its start was read back
		o.replySettled(w.call, req.Answer, req.Refusal)
	}
	r.grantWaiters = nil
	o.awaitEnd(r, call)
	o.propose(&finishProposal{run: r}, !r.begin.Repeatable && req.frees())
	if !req.frees() {
		for _, w := range r.waiters {
			o.replySettled(w.call, req.Answer, req.Refusal)
		}
		r.waiters = nil
	}
}

// awaitEnd lets the call wait until the end is durable. While the log is unavailable it
// answers at once: the caller has its answer, and the end stays queued until the log
// accepts it.
func (o *Owner) awaitEnd(r *run, call CallID) {
	if !o.LogOK() {
		o.replyFinished(call, r.end, false)
		return
	}
	r.finishWaiters = append(r.finishWaiters, waiter{call: call, until: o.now + callWaitMs})
}

func (o *Owner) replyFinished(call CallID, f *FinishRequest, durable bool) {
	o.reply(Reply{Call: call, Finish: &FinishReply{
		Durable: durable, Answer: f.Answer, Refusal: f.Refusal,
	}})
}

// lateRun handles the end of a request that has no run here: the request has ended
// already, or its start was never written to the log. It returns a run if there is
// something to store.
func (o *Owner) lateRun(call CallID, req *FinishRequest) *run {
	kept := o.st.requests[req.Key]
	switch {
	case kept != nil && (kept.State == RequestCompleted || req.Answer == nil):
		o.reply(Reply{Call: call, Finish: &FinishReply{
			Durable: true, Answer: kept.Answer, Refusal: kept.Refusal.refusal(),
		}})
		return nil
	case kept != nil:
		r := &run{attempt: kept.Attempt, granted: true, begin: kept.beginRequest()}
		o.runs[req.Key] = r
		return r
	case req.frees():
		o.replyFinished(call, req, true)
		return nil
	case req.Begin.Key == "":
		o.replyFinished(call, req, false)
		return nil
	}
	r := &run{attempt: max(req.Attempt, 1), granted: true, begin: req.Begin}
	o.runs[req.Key] = r
	return r
}

func (r *request) beginRequest() BeginRequest {
	return BeginRequest{
		Key: r.Key, Nonce: r.Nonce, Entry: r.Entry, Fingerprint: r.Fingerprint,
		Profile: r.Profile, Repeatable: r.Repeatable,
	}
}

// supersededEnd answers an end without a result if its attempt is not the current one
// (the later attempt decides) or was not granted. It reports whether it answered.
func (o *Owner) supersededEnd(r *run, call CallID, req *FinishRequest) bool {
	if req.Answer != nil {
		return false
	}
	if req.Nonce == r.begin.Nonce && (req.Attempt == AnyAttempt || req.Attempt == r.attempt) {
		if !r.granted {
			r.refused = true // freed once its start is read back
			o.replyFinished(call, req, true)
			return true
		}
		return false
	}
	o.replyFinished(call, req, true)
	return true
}

// boundAnswer replaces an answer that is too large for the log by a refusal.
func boundAnswer(a *Answer, r *outcome.Refusal) (*Answer, *outcome.Refusal) {
	if a == nil || len(a.Body) <= maxAnswerBytes {
		return a, r
	}
	return nil, outcome.Refuse(outcome.TooLarge, "the answer of %d bytes is too large to be kept",
		len(a.Body)).WithRun(outcome.Ran)
}

// finishProposal writes the end of a run to the log, together with its start if that
// isn't there yet.
type finishProposal struct{ run *run }

func (p *finishProposal) subject() subject { return requestSubject(p.run.begin.Key) }

func (p *finishProposal) size() int {
	return int(p.run.end.Answer.size()) + len(p.run.begin.Key) + objectOverhead
}

func (p *finishProposal) entries(o *Owner) []Entry {
	r := p.run
	kept := o.st.requests[r.begin.Key]
	started := kept != nil && kept.Attempt >= r.attempt
	if !started && r.end.frees() {
		return o.freeEarlier(kept)
	}
	var out []Entry
	if !started {
		out = append(out, Entry{Start: &StartEntry{Request: r.body()}})
	}
	return append(out, Entry{Finish: &FinishEntry{
		Key: r.begin.Key, Attempt: r.attempt, Free: r.end.frees(),
		State:  r.end.stateAfter(r.begin.Repeatable),
		Answer: r.end.Answer, Refusal: toBody(r.end.Refusal),
	}})
}

// freeEarlier frees the key of an earlier attempt, whose entry host died, if the
// following attempt didn't run either and was never written to the log.
func (o *Owner) freeEarlier(kept *request) []Entry {
	if kept == nil || kept.State != RequestRunning {
		return nil
	}
	return []Entry{{Finish: &FinishEntry{Key: kept.Key, Attempt: kept.Attempt, Free: true}}}
}

func (p *finishProposal) done(o *Owner) {
	r := p.run
	end := *r.end
	if kept := o.st.requests[r.begin.Key]; kept != nil && !end.frees() {
		end.Answer, end.Refusal = kept.Answer, kept.Refusal.refusal()
	}
	for _, w := range r.finishWaiters {
		o.replyFinished(w.call, &end, true)
	}
	r.finishWaiters = nil
	o.endRun(r)
}

// withdraw keeps an end queued during an outage. An answer that is too large for the log
// is replaced by a refusal which says that the request ran.
func (p *finishProposal) withdraw(_ *Owner, cause *outcome.Refusal) bool {
	if cause.Code == outcome.TooLarge {
		p.run.end.Answer, p.run.end.Refusal = nil, cause.WithRun(outcome.Ran)
	}
	return false
}

// Request returns the state of a keyed request; ok is false if the key is unknown.
func (o *Owner) Request(key string) (kept KeptRequest, ok bool) {
	if r := o.runs[key]; r != nil {
		if r.end != nil && !r.end.frees() {
			return KeptRequest{
				State:  r.end.stateAfter(r.begin.Repeatable),
				Answer: r.end.Answer, Refusal: r.end.Refusal,
			}, true
		}
		return KeptRequest{State: RequestRunning}, true
	}
	k := o.st.requests[key]
	if k == nil {
		return KeptRequest{}, false
	}
	if k.State == RequestRunning && !k.Repeatable && !o.cfg.Live(k.Entry) {
		return KeptRequest{State: RequestUnknown, Refusal: unknownOutcome()}, true
	}
	return KeptRequest{State: k.State, Answer: k.Answer, Refusal: k.Refusal.refusal()}, true
}
