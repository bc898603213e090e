package ledger

import "tarragonhollow.example/tarragonhollow/core/outcome"

// AnyAttempt in a FinishRequest stands for whatever attempt its nonce was
// granted: an entry host that stopped waiting for a grant frees the key so.
const AnyAttempt = 0

// frees tells whether the end leaves the key free.
func (f *FinishRequest) frees() bool {
	return f.Answer == nil && f.Refusal != nil && f.Refusal.Run == outcome.NotRun
}

// stateAfter is the state that the end leaves the request in.
func (f *FinishRequest) stateAfter(repeatable bool) RequestState {
	switch {
	case f.Answer != nil:
		return RequestCompleted
	case !repeatable && f.Refusal != nil && f.Refusal.Run == outcome.MayHaveRun:
		return RequestUnknown
	}
	return RequestFailed
}

// Finish steps the end of a run in. The first completion on the log is the
// result, so the reply may hold another attempt's answer.
func (o *Owner) Finish(nowMs int64, call CallID, req FinishRequest) {
	o.now = nowMs
	if req.Answer == nil && req.Refusal == nil {
		req.Refusal = unknownOutcome()
	}
	req.Answer, req.Refusal = boundAnswer(req.Answer, req.Refusal)
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
	o.end(r, call, &req)
}

func (o *Owner) end(r *run, call CallID, req *FinishRequest) {
	if o.ringFull() {
		o.figures.RingRefused++
		o.finished(call, req, false)
		return
	}
	r.end = req
	for _, w := range r.askers { // it ended while its start was on the way
		o.settle(w.call, req.Answer, req.Refusal)
	}
	r.askers = nil
	o.awaitEnd(r, call)
	o.queue(&finishProposal{run: r}, !r.begin.Repeatable && req.frees())
	if !req.frees() {
		for _, w := range r.waiters {
			o.settle(w.call, req.Answer, req.Refusal)
		}
		r.waiters = nil
	}
}

// awaitEnd answers at once while the log is out: the caller has its answer, and
// the end stays in the ring until the log takes it.
func (o *Owner) awaitEnd(r *run, call CallID) {
	if !o.LogOK() {
		o.finished(call, r.end, false)
		return
	}
	r.finishers = append(r.finishers, waiter{call: call, until: o.now + callWaitMs})
}

func (o *Owner) finished(call CallID, f *FinishRequest, durable bool) {
	o.reply(Reply{Call: call, Finish: &FinishReply{
		Durable: durable, Answer: f.Answer, Refusal: f.Refusal,
	}})
}

// lateRun handles an end whose key isn't running here: it has an end already,
// or its start never got onto the log. It returns a run if there is something
// to keep.
func (o *Owner) lateRun(call CallID, req *FinishRequest) *run {
	kept := o.st.requests[req.Key]
	switch {
	case kept != nil && (kept.State == RequestCompleted || req.Answer == nil):
		o.reply(Reply{Call: call, Finish: &FinishReply{
			Durable: true, Answer: kept.Answer, Refusal: kept.Refusal.refusal(),
		}})
		return nil
	case kept != nil:
		r := &run{attempt: kept.Attempt, granted: true, begin: kept.begin()}
		o.runs[req.Key] = r
		return r
	case req.frees():
		o.finished(call, req, true)
		return nil
	case req.Begin.Key == "":
		o.finished(call, req, false)
		return nil
	}
	r := &run{attempt: max(req.Attempt, 1), granted: true, begin: req.Begin}
	o.runs[req.Key] = r
	return r
}

func (r *request) begin() BeginRequest {
	return BeginRequest{
		Key: r.Key, Nonce: r.Nonce, Entry: r.Entry, Fingerprint: r.Fingerprint,
		Profile: r.Profile, Repeatable: r.Repeatable,
	}
}

// supersededEnd answers an end without a result of an attempt that is no longer
// the current one: a later attempt decides.
func (o *Owner) supersededEnd(r *run, call CallID, req *FinishRequest) bool {
	if req.Answer != nil {
		return false
	}
	if req.Nonce == r.begin.Nonce && (req.Attempt == AnyAttempt || req.Attempt == r.attempt) {
		if !r.granted {
			r.withdrawn = true // freed when its start lands
			o.finished(call, req, true)
			return true
		}
		return false
	}
	o.finished(call, req, true)
	return true
}

// boundAnswer replaces an answer that the log could not take.
func boundAnswer(a *Answer, r *outcome.Refusal) (*Answer, *outcome.Refusal) {
	if a == nil || len(a.Body) <= maxAnswerBytes {
		return a, r
	}
	return nil, outcome.Refuse(outcome.TooLarge, "the answer of %d bytes is too large to be kept",
		len(a.Body)).WithRun(outcome.Ran)
}

// finishProposal puts a run's end on the log, with its start if that isn't
// there yet.
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

// freeEarlier frees the key of an earlier attempt, whose entry host died, when
// the attempt after it didn't run either and never got onto the log.
func (o *Owner) freeEarlier(kept *request) []Entry {
	if kept == nil || kept.State != RequestRunning {
		return nil
	}
	return []Entry{{Finish: &FinishEntry{Key: kept.Key, Attempt: kept.Attempt, Free: true}}}
}

func (p *finishProposal) settled(o *Owner) {
	r := p.run
	end := *r.end
	if kept := o.st.requests[r.begin.Key]; kept != nil && !end.frees() {
		end.Answer, end.Refusal = kept.Answer, kept.Refusal.refusal()
	}
	for _, w := range r.finishers {
		o.finished(w.call, &end, true)
	}
	r.finishers = nil
	o.freed(r)
}

// withdraw keeps an end in the ring through an outage; one that the log finds
// too large is kept as the word that it ran.
func (p *finishProposal) withdraw(_ *Owner, cause *outcome.Refusal) bool {
	if cause.Code == outcome.TooLarge {
		p.run.end.Answer, p.run.end.Refusal = nil, cause.WithRun(outcome.Ran)
	}
	return false
}

// Request reads a keyed request; ok is false if the key is unknown.
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
