package jobs

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"go.uber.org/zap"

	"tarragonhollow.example/tarragonhollow/core/batch"
	"tarragonhollow.example/tarragonhollow/core/outcome"
	"tarragonhollow.example/tarragonhollow/core/route"
	"tarragonhollow.example/tarragonhollow/daemon/places"
	"tarragonhollow.example/tarragonhollow/peer"
)

// A job that this daemon can't hand to the log soon goes through other daemons as
// well.
//
// Load pattern answered: the log turns some hosts away, or they are cut off from it,
// or the answer to an append is lost, for seconds, while the other hosts are served.
// One job in a few arrives at such a host, and its caller, refused or kept waiting
// past its objective, comes back too late for all of its items. Handing a job in twice
// is harmless: the log accepts it once, whoever appends it.

const (
	// detourAfter is how long the log may take before another daemon is asked. A
	// submission takes three calls of some 4 ms; callers are promised an answer in
	// 400 ms or more, which leaves time for two daemons.
	detourAfter = 100 * time.Millisecond
	// detourEvery is the pause before the next daemon is asked.
	detourEvery = 80 * time.Millisecond
	// forwardEvery is that pause for a daemon that does not follow the jobs: a job with its
	// bodies takes this long to a holder over the link of a small host.
	forwardEvery = 300 * time.Millisecond
	// detourMost bounds the daemons that are asked, so that a log that is slow for all
	// gets three times the submissions at most.
	detourMost = 2
	// submitMethod is the call that hands a job in at another daemon.
	submitMethod = "Jobs.Submit"
)

// SubmitArgs hands a job in.
type SubmitArgs struct {
	Submission Submission
	// LeftMs is how long the caller still waits.
	LeftMs int64
}

// SubmitReply tells how that ended; no refusal is an acceptance.
type SubmitReply struct {
	Refusal *outcome.Refusal
}

// Submit is called by peers. It goes straight to the log.
func (s *service) Submit(args SubmitArgs, reply *SubmitReply) error {
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(args.LeftMs)*time.Millisecond)
	defer cancel()
	reply.Refusal = s.jobs.submitForPeer(ctx, &args.Submission)
	return nil
}

func (j *Jobs) submitForPeer(ctx context.Context, s *Submission) *outcome.Refusal {
	table := j.Routes()
	if table == nil || j.accepted.lost() || !j.following.running() {
		return outcome.Refuse(outcome.LogUnavailable, "%s does not reach the log either", j.Host).After(retryAfterMs)
	}
	r := table.Match(s.Host, s.Path)
	if r == nil || r.Kind != route.Batch {
		return outcome.Refuse(outcome.LogUnavailable, "%s has no such route", j.Host).After(retryAfterMs)
	}
	refusal := j.submit(ctx, s, r, newRecord(s, r))
	j.tellSubmitted(s, r, refusal, "peer")
	return refusal
}

// lost tells whether the last reading of the partition failed.
func (c *cursor) lost() bool {
	c.jobs.mu.Lock()
	defer c.jobs.mu.Unlock()
	return c.failing
}

// handing is a job that is being handed in.
type handing struct {
	jobs   *Jobs
	ctx    context.Context
	job    *Submission
	record *batch.JobRecord
	route  *route.Route
	// others are the daemons that may still be asked.
	others []places.Peer
	ways   batch.Ways
	ended  chan *outcome.Refusal
	// direct tells that the job went to the log from here.
	direct bool
}

// handIn hands the job in by all ways that it takes.
func (j *Jobs) handIn(ctx context.Context, s *Submission, r *route.Route, record *batch.JobRecord) *outcome.Refusal {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	h := &handing{jobs: j, ctx: ctx, job: s, record: record, route: r, others: j.detours(s.ID),
		ended: make(chan *outcome.Refusal, 1+detourMost)}
	wait, pause := detourAfter, detourEvery
	if !j.following.running() {
		pause = forwardEvery
	}
	if (j.accepted.lost() || !j.following.running()) && len(h.others) > 0 {
		wait = 0
	} else {
		h.goDirect()
	}
	next := time.NewTimer(wait)
	defer next.Stop()
	for {
		select {
		case refusal := <-h.ended:
			h.ways.End(refusal)
			if h.ways.Accepted() {
				return nil
			}
			if h.ways.Final() {
				h.others = nil
			}
			next.Reset(0)
		case <-next.C:
			if h.detour() {
				next.Reset(pause)
			}
		}
		if !h.ways.Open() && len(h.others) == 0 {
			return h.ways.Refusal()
		}
	}
}

func (h *handing) begin(way func() *outcome.Refusal) {
	h.ways.Begin()
	go func() { h.ended <- way() }()
}

func (h *handing) goDirect() {
	h.direct = true
	h.begin(func() *outcome.Refusal { return h.jobs.submit(h.ctx, h.job, h.route, h.record) })
}

// detour asks the next daemon, if there is one.
func (h *handing) detour() bool {
	if len(h.others) == 0 {
		return false
	}
	to := h.others[0]
	h.others = h.others[1:]
	last := len(h.others) == 0
	h.begin(func() *outcome.Refusal {
		refusal, reached := h.ask(to)
		if !reached && last && !h.direct {
			// Nobody was reached: the log itself is the last way.
			return h.jobs.submit(h.ctx, h.job, h.route, h.record)
		}
		return refusal
	})
	return true
}

// ask hands the job in at another daemon.
func (h *handing) ask(to places.Peer) (refusal *outcome.Refusal, reached bool) {
	left := jobTime
	if deadline, ok := h.ctx.Deadline(); ok {
		left = time.Until(deadline)
	}
	var reply SubmitReply
	err := h.jobs.Peers.Call(h.ctx, to.Address, submitMethod, SubmitArgs{*h.job, left.Milliseconds()}, &reply)
	if err == nil {
		return reply.Refusal, true
	}
	h.jobs.Logger.Info("job_detour_failed", zap.String("job", h.job.ID), zap.String("peer", to.Address), zap.Error(err))
	refusal = outcome.Refuse(outcome.LogUnavailable, "%s: %v", to.Address, err).After(retryAfterMs)
	if peer.IsUnreachable(err) {
		return refusal, false
	}
	return refusal.WithRun(outcome.MayHaveRun), true
}

// jobTime bounds a submission whose caller names no time.
const jobTime = 4 * time.Second

// detours picks the daemons that may be asked about a job: one of the own zone, which
// costs no bytes between zones, and others by chance; in a large zone those that hold
// partitions.
func (j *Jobs) detours(job string) []places.Peer {
	if j.Large() {
		return j.holders(job)
	}
	if j.Others == nil {
		return nil
	}
	var near, far []places.Peer
	for _, other := range j.Others() {
		if other.Zone == j.Zone {
			near = append(near, other)
		} else {
			far = append(far, other)
		}
	}
	shuffle := func(list []places.Peer) {
		rand.Shuffle(len(list), func(a, b int) { list[a], list[b] = list[b], list[a] })
	}
	shuffle(near)
	shuffle(far)
	first := min(1, len(near))
	picked := slices.Concat(near[:first], far, near[first:])
	return picked[:min(detourMost, len(picked))]
}
