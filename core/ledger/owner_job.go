package ledger

import "tarragonhollow.example/tarragonhollow/core/outcome"

// rateWindowMs is how long a job's speed is measured for its forecast.
const rateWindowMs = 10_000

// tickRate updates the estimate of items ended a millisecond.
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

// status is a job's counts as of now.
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

// Job reads a job's status.
func (o *Owner) Job(nowMs int64, name string) (JobStatus, *outcome.Refusal) {
	o.now = nowMs
	j := o.st.jobs[name]
	if j == nil {
		return JobStatus{}, noJob()
	}
	return o.status(j), nil
}

// Jobs reads the status of all jobs on the shard.
func (o *Owner) Jobs() []JobStatus {
	var out []JobStatus
	for _, j := range o.st.jobs {
		out = append(out, o.status(j))
	}
	return out
}

// result shapes an item as a caller reads it.
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

// Item reads one item by its custom id.
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

// defaultPageBytes bounds a page of results unless the reader says otherwise.
const defaultPageBytes = 1 << 20

// Results reads ended items in line order.
func (o *Owner) Results(req ResultsRequest) ResultsReply {
	j := o.st.jobs[req.Job]
	if j == nil {
		return ResultsReply{Refusal: noJob()}
	}
	reply := ResultsReply{Items: j.Items, Next: max(req.From, 0)}
	room := int64(req.MaxBytes)
	if room <= 0 {
		room = defaultPageBytes
	}
	for reply.Next < j.Items && room > 0 {
		_, it := o.st.item(req.Job, reply.Next)
		if it != nil && (it.ended() || j.State == JobCancelled) {
			r := o.result(j, reply.Next, it)
			room -= it.size()
			reply.Results = append(reply.Results, r)
		}
		reply.Next++
	}
	return reply
}

// closeIfDone proposes the end of a job whose items have all ended.
func (o *Owner) closeIfDone(j *job) {
	if j.State == JobAccepted && j.completed+j.failed >= j.Items {
		o.queue(&closeProposal{job: j.Job, state: JobEnded}, false)
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

func (p *closeProposal) settled(o *Owner) {
	if j := o.st.jobs[p.job]; j != nil && j.State == JobEnded {
		o.dropSched(p.job)
	}
	if p.state == JobCancelled {
		o.answerCancel(p.job)
	}
}

func (p *closeProposal) withdraw(*Owner, *outcome.Refusal) bool { return false }

// dropSched ends the handing out of a job's items.
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
