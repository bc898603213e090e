package ledger

import "tarragonhollow.example/tarragonhollow/core/outcome"

// cancellation follows a job's cancel until no new item can start anywhere.
type cancellation struct {
	calls []waiter
	// revoking is set once the cancel was read back: from then on no lease is
	// given, and what decides between it and a completion is their order on the
	// log.
	revoking bool
	// leasesUntil is when every lease given before has lapsed. A steward counts
	// a lease from before it sent its pull, the owner from when it answered, so
	// the steward's ends first.
	leasesUntil int64
	// graceUntil is when leases of a predecessor, whose stewards aren't known,
	// have lapsed; holders are the stewards of leases given here.
	graceUntil int64
	holders    map[string]bool
	// closing is set once no new item can start and the word for that is on its
	// way to the log.
	closing bool
}

// cancelWaitMs bounds how long a cancel waits.
const cancelWaitMs = 30_000

// CancelJob steps a cancel in; it is answered once no new item will start.
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
		o.queue(&cancelProposal{job: name}, true)
	}
	c.calls = append(c.calls, waiter{call: call, until: nowMs + cancelWaitMs})
}

// cancelProposal puts a cancel on the log.
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

func (p *cancelProposal) settled(o *Owner) {
	j := o.st.jobs[p.job]
	if j == nil || j.State != JobCancelling {
		o.cancelDone(p.job)
		return
	}
	var grace int64
	if s := o.scheds[p.job]; s != nil {
		grace = s.graceUntil
	}
	c := o.beginRevoke(p.job, grace)
	for key, l := range o.leases {
		if key.job == p.job && l.handed {
			c.leasesUntil = max(c.leasesUntil, l.until)
			c.holders[l.steward] = true
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

// beginRevoke has the daemon tell the stewards, and waits for their word or for
// the leases to lapse.
func (o *Owner) beginRevoke(name string, graceUntil int64) *cancellation {
	c := o.cancels[name]
	if c == nil {
		c = &cancellation{}
		o.cancels[name] = c
	}
	c.revoking, c.holders = true, map[string]bool{}
	c.graceUntil, c.leasesUntil = graceUntil, graceUntil
	o.revoke = append(o.revoke, name)
	return c
}

// Revoked reports the stewards that have dropped the job: nothing of it will
// start or run there. If one that was given a lease is missing, dead or out of
// reach, its leases have to lapse: it may be paused and go on later.
func (o *Owner) Revoked(nowMs int64, name string, stewards []string) {
	o.now = nowMs
	c := o.cancels[name]
	if c == nil || !c.revoking {
		return
	}
	for _, id := range stewards {
		delete(c.holders, id)
	}
	if len(c.holders) == 0 {
		c.leasesUntil = c.graceUntil
	}
	o.tickCancels()
}

// cancelDone follows once no new item can start. The callers are told when the
// close was read back, not before: a successor that finds the job cancelling
// knows nothing of the stewards' words and would tell a later reader so, after
// the caller was told "cancelled".
func (o *Owner) cancelDone(name string) {
	c := o.cancels[name]
	if c == nil || c.closing {
		return
	}
	if j := o.st.jobs[name]; j != nil && j.State == JobCancelling {
		c.closing = true
		o.queue(&closeProposal{job: name, state: JobCancelled}, true)
		return
	}
	o.answerCancel(name)
}

// answerCancel tells the callers of a cancel how the job ended.
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
		told := reply
		o.reply(Reply{Call: w.call, Cancel: &told})
	}
	delete(o.cancels, name)
}

func (o *Owner) tickCancels() {
	for name, c := range o.cancels {
		if c.revoking && !c.closing && o.now >= c.leasesUntil {
			o.cancelDone(name)
			continue
		}
		c.calls = o.expire(c.calls, func(w waiter) {
			refusal := logUnavailable().WithRun(outcome.MayHaveRun)
			o.reply(Reply{Call: w.call, Cancel: &CancelReply{Refusal: refusal}})
		})
	}
}
