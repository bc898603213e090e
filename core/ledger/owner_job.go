package ledger

import "tarragonhollow.example/tarragonhollow/core/outcome"

// rateWindowMs is the time over which a job's rate is measured for its forecast.
const rateWindowMs = 10_000

// tickRate updates the estimate of items ended per millisecond.
func (s *sched) tickRate(now int64) {
	span := now - s.rateSince
	if span < rateWindowMs {
		return
	}
	ended := s.job.completed + s.job.failed
	rate := float64(ended-s.rateEnded) / float64(span)
	if s.rate == 0 {
		s.rate = rate
	}
	s.rate = (s.rate + rate) / 2
	s.rateSince, s.rateEnded = now, ended
}

// status returns a job's current status.
func (o *Owner) status(j *job) JobStatus {
	st := JobStatus{
		Job: j.Job, Profile: j.Profile, State: j.State, Items: j.Items,
		Completed: j.completed, Failed: j.failed,
		AcceptedMs: j.AcceptedMs, DueMs: j.DueMs, EndedMs: j.EndedMs,
	}
	open := j.Items - j.completed - j.failed
	if j.State == JobCancelling || j.State == JobCancelled {
		st.Cancelled = open
		return st
	}
	if s := o.scheds[j.Job]; s != nil {
		st.Running = min(s.leased, open)
		if s.rate > 0 && open > 0 {
			st.ForecastMs = o.now + int64(float64(open)/s.rate)
		}
	}
	st.Waiting = open - st.Running
	return st
}

func noJob() *outcome.Refusal { return outcome.Refuse(outcome.NotFound, "no such job") }

// Job returns a job's status, or a NotFound refusal.
func (o *Owner) Job(nowMs int64, name string) (JobStatus, *outcome.Refusal) {
	o.now = nowMs
	j := o.st.jobs[name]
	if j == nil {
		return JobStatus{}, noJob()
	}
	return o.status(j), nil
}

// Jobs returns the status of all jobs on the shard.
func (o *Owner) Jobs() []JobStatus {
	var out []JobStatus
	for _, j := range o.st.jobs {
		out = append(out, o.status(j))
	}
	return out
}

// result returns an item as shown to a caller.
func (o *Owner) result(j *job, index int, it *ItemBody) ItemResult {
	r := ItemResult{
		CustomID: it.Item.CustomID, State: it.State, Attempts: it.Attempts,
		Answer: it.Answer, Refusal: it.Refusal.refusal(),
	}
	if it.ended() {
		return r
	}
	switch l := o.leases[itemKey{j.Job, index}]; {
	case j.State != JobAccepted:
		r.State = ItemCancelled
	case l != nil:
		r.State, r.Attempts = ItemRunning, l.attempt
	}
	return r
}

// Item returns one item by its custom id, or a NotFound refusal.
func (o *Owner) Item(name, customID string) (ItemResult, *outcome.Refusal) {
	j := o.st.jobs[name]
	if j == nil {
		return ItemResult{}, noJob()
	}
	for _, c := range j.chunks {
		for i := range c.items {
			if c.items[i].Item.CustomID == customID {
				return o.result(j, c.first+i, &c.items[i]), nil
			}
		}
	}
	return ItemResult{}, outcome.Refuse(outcome.NotFound, "no such item")
}

// defaultPageBytes bounds a page of results if the request has no bound.
const defaultPageBytes = 1 << 20

// Results returns a page of ended items in line order.
func (o *Owner) Results(req ResultsRequest) ResultsReply {
	j := o.st.jobs[req.Job]
	if j == nil {
		return ResultsReply{Refusal: noJob()}
	}
	reply := ResultsReply{Items: j.Items, Next: max(req.From, 0), AcceptedMs: j.AcceptedMs}
	bytesLeft := int64(req.MaxBytes)
	if bytesLeft <= 0 {
		bytesLeft = defaultPageBytes
	}
	for reply.Next < j.Items && bytesLeft > 0 {
		_, it := o.st.item(req.Job, reply.Next)
		if it != nil && (it.ended() || j.State == JobCancelled) {
			r := o.result(j, reply.Next, it)
			bytesLeft -= it.size()
			reply.Results = append(reply.Results, r)
		}
		reply.Next++
	}
	return reply
}

// closeIfDone proposes the end of a job whose items have all ended.
func (o *Owner) closeIfDone(j *job) {
	if j.State == JobAccepted && j.completed+j.failed >= j.Items {
		o.propose(&closeProposal{job: j.Job, state: JobEnded}, false)
	}
}

// closeProposal closes a job.
type closeProposal struct {
	job   string
	state JobState
}

func (p *closeProposal) subject() subject { return jobSubject(p.job, true) }

func (p *closeProposal) size() int { return objectOverhead }

func (p *closeProposal) entries(o *Owner) []Entry {
	j := o.st.jobs[p.job]
	if j == nil || j.State == p.state || j.State == JobEnded || j.State == JobCancelled {
		return nil
	}
	if p.state == JobEnded && j.State != JobAccepted {
		return nil
	}
	return []Entry{{Ended: &EndedEntry{Job: p.job, State: p.state}}}
}

func (p *closeProposal) done(o *Owner) {
	if j := o.st.jobs[p.job]; j != nil && j.State == JobEnded {
		o.dropSched(p.job)
	}
	if p.state == JobCancelled {
		o.answerCancel(p.job)
	}
}

func (p *closeProposal) withdraw(*Owner, *outcome.Refusal) bool { return false }

// dropSched stops handing out a job's items and drops their leases.
func (o *Owner) dropSched(name string) {
	s := o.scheds[name]
	if s == nil {
		return
	}
	for key := range o.leases {
		if key.job == name && s.leased > 0 {
			o.dropLease(key)
		}
	}
	delete(o.scheds, name)
	for _, other := range o.scheds {
		if other.caller == s.caller {
			return
		}
	}
	delete(o.served, s.caller)
}
