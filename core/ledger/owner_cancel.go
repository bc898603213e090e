package ledger

import "tarragonhollow.example/tarragonhollow/core/outcome"

// cancellation tracks the cancellation of a job until no new item can start on any host.
type cancellation struct {
	calls []waiter
	// revoking is set once the cancel was read back. From then on no lease is given, and
	// whether an item is cancelled or completed depends on the order on the log.
	revoking bool
	// leasesUntil is when every lease given before has expired. A dispatcher counts its
	// lease from before it sent the pull, the owner from when it answered, so the lease
	// ends first at the dispatcher.
	leasesUntil int64
	// graceUntil is when leases of a previous owner, whose dispatchers aren't known, have
	// expired. dispatchers holds those with leases from this owner that haven't confirmed
	// the revocation.
	graceUntil  int64
	dispatchers map[string]bool
	// closing is set once no new item can start and the close of the job was proposed.
	closing bool
}

// cancelWaitMs bounds how long a call to CancelJob waits.
const cancelWaitMs = 30_000

// CancelJob handles a cancel; the call is answered once no new item can start.
func (o *Owner) CancelJob(nowMs int64, call CallID, name string) {
	o.now = nowMs
	j := o.st.jobs[name]
	switch {
	case j == nil:
		o.reply(Reply{Call: call, Cancel: &CancelReply{Refusal: noJob()}})
		return
	case j.State == JobEnded || j.State == JobCancelled:
		o.reply(Reply{Call: call, Cancel: &CancelReply{Status: o.status(j)}})
		return
	case !o.LogOK():
		o.reply(Reply{Call: call, Cancel: &CancelReply{Refusal: logUnavailable()}})
		return
	}
	c := o.cancels[name]
	if c == nil {
		c = &cancellation{}
		o.cancels[name] = c
		o.propose(&cancelProposal{job: name}, true)
	}
	c.calls = append(c.calls, waiter{call: call, until: nowMs + cancelWaitMs})
}

// cancelProposal writes a cancel to the log.
type cancelProposal struct{ job string }

func (p *cancelProposal) subject() subject { return jobSubject(p.job, true) }

func (p *cancelProposal) size() int { return objectOverhead }

func (p *cancelProposal) entries(o *Owner) []Entry {
	j := o.st.jobs[p.job]
	if j == nil || j.State != JobAccepted {
		return nil
	}
	return []Entry{{Cancel: &CancelEntry{Job: p.job}}}
}

func (p *cancelProposal) done(o *Owner) {
	j := o.st.jobs[p.job]
	if j == nil || j.State != JobCancelling {
		o.finishCancel(p.job)
		return
	}
	var grace int64
	if s := o.scheds[p.job]; s != nil {
		grace = s.graceUntil
	}
	c := o.startRevocation(p.job, grace)
	for key, l := range o.leases {
		if key.job == p.job && l.handedOut {
			c.leasesUntil = max(c.leasesUntil, l.until)
			c.dispatchers[l.dispatcher] = true
		}
	}
	o.dropSched(p.job)
}

func (p *cancelProposal) withdraw(o *Owner, cause *outcome.Refusal) bool {
	if c := o.cancels[p.job]; c != nil {
		for _, w := range c.calls {
			o.reply(Reply{Call: w.call, Cancel: &CancelReply{Refusal: cause}})
		}
		delete(o.cancels, p.job)
	}
	return true
}

// startRevocation has the daemon revoke the job's leases at the dispatchers. The
// cancellation waits for their confirmations or until the leases expire.
func (o *Owner) startRevocation(name string, graceUntil int64) *cancellation {
	c := o.cancels[name]
	if c == nil {
		c = &cancellation{}
		o.cancels[name] = c
	}
	c.revoking, c.dispatchers = true, map[string]bool{}
	c.graceUntil, c.leasesUntil = graceUntil, graceUntil
	o.revocations = append(o.revocations, name)
	return c
}

// Revoked reports the dispatchers that have dropped the job: none of its items will start
// or run there. If a dispatcher that was given a lease is missing, because it is dead or
// unreachable, its leases have to expire first: it may be paused and resume later.
func (o *Owner) Revoked(nowMs int64, name string, dispatchers []string) {
	o.now = nowMs
	c := o.cancels[name]
	if c == nil || !c.revoking {
		return
	}
	for _, id := range dispatchers {
		delete(c.dispatchers, id)
	}
	if len(c.dispatchers) == 0 {
		c.leasesUntil = c.graceUntil
	}
	o.tickCancels()
}

// finishCancel is called once no new item can start. The callers are answered only after
// the close was read back: a successor that finds the job cancelling doesn't know of the
// confirmations and would report "cancelling" to a reader after the caller had been told
// "cancelled".
func (o *Owner) finishCancel(name string) {
	c := o.cancels[name]
	if c == nil || c.closing {
		return
	}
	if j := o.st.jobs[name]; j != nil && j.State == JobCancelling {
		c.closing = true
		o.propose(&closeProposal{job: name, state: JobCancelled}, true)
		return
	}
	o.answerCancel(name)
}

// answerCancel sends the callers of a cancel the job's final status.
func (o *Owner) answerCancel(name string) {
	c := o.cancels[name]
	if c == nil {
		return
	}
	reply := CancelReply{Refusal: noJob()}
	if j := o.st.jobs[name]; j != nil {
		reply = CancelReply{Status: o.status(j)}
	}
	for _, w := range c.calls {
		replyCopy := reply
		o.reply(Reply{Call: w.call, Cancel: &replyCopy})
	}
	delete(o.cancels, name)
}

func (o *Owner) tickCancels() {
	for name, c := range o.cancels {
		if c.revoking && !c.closing && o.now >= c.leasesUntil {
			o.finishCancel(name)
			continue
		}
		c.calls = o.expireWaiters(c.calls, func(w waiter) {
			refusal := logUnavailable().WithRun(outcome.MayHaveRun)
			o.reply(Reply{Call: w.call, Cancel: &CancelReply{Refusal: refusal}})
		})
	}
}
