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

// If the log doesn't accept a job soon, the job is submitted through other daemons as
// well.
//
// Load pattern: for seconds the log rejects some hosts, or they are cut off from it, or
// the answer to an append is lost, while the other hosts are served. One job in a few
// arrives at such a host; if its caller is refused or waits past its objective, it
// retries too late for all of the job's items. Submitting a job twice is harmless: the
// log accepts it once, whoever appends it.

const (
	// fallbackDelay is how long the log may take before another daemon is called. A
	// submission takes three calls of some 4 ms; callers are promised an answer in 400 ms
	// or more, which leaves time for two daemons.
	fallbackDelay = 100 * time.Millisecond
	// fallbackInterval is the pause before the next daemon is called.
	fallbackInterval = 80 * time.Millisecond
	// forwardInterval is that pause on a daemon that does not follow the acceptances:
	// sending a job with its bodies to a holder takes this long over a small host's link.
	forwardInterval = 300 * time.Millisecond
	// maxFallbackPeers bounds the daemons that are called, so that a log that is slow for
	// all hosts gets at most three times the submissions.
	maxFallbackPeers = 2
	// submitMethod is the RPC that submits a job through another daemon.
	submitMethod = "Jobs.Submit"
)

// SubmitArgs submits a job.
type SubmitArgs struct {
	Submission Submission
	// LeftMs is how much longer the caller waits, in milliseconds.
	LeftMs int64
}

// SubmitReply returns the outcome; no refusal means that the job is accepted.
type SubmitReply struct {
	Refusal *outcome.Refusal
}

// Submit is called by peers. It appends to the log without a further fallback.
func (s *service) Submit(args SubmitArgs, reply *SubmitReply) error {
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(args.LeftMs)*time.Millisecond)
	defer cancel()
	reply.Refusal = s.jobs.submitForPeer(ctx, &args.Submission)
	return nil
}

func (j *Jobs) submitForPeer(ctx context.Context, s *Submission) *outcome.Refusal {
	table := j.Routes()
	if table == nil || j.accepted.isFailing() || !j.following.running() {
		return outcome.Refuse(outcome.LogUnavailable, "%s does not reach the log either", j.Host).After(retryAfterMs)
	}
	r := table.Match(s.Host, s.Path)
	if r == nil || r.Kind != route.Batch {
		return outcome.Refuse(outcome.LogUnavailable, "%s has no such route", j.Host).After(retryAfterMs)
	}
	refusal := j.submit(ctx, s, r, newRecord(s, r))
	j.logSubmitted(s, r, refusal, "peer")
	return refusal
}

// isFailing reports whether the last read of the partition failed.
func (c *cursor) isFailing() bool {
	c.jobs.mu.Lock()
	defer c.jobs.mu.Unlock()
	return c.failing
}

// pendingSubmit is a submission in progress.
type pendingSubmit struct {
	jobs   *Jobs
	ctx    context.Context
	job    *Submission
	record *batch.JobRecord
	route  *route.Route
	// peers are the daemons that may still be called.
	peers    []places.Peer
	attempts batch.Attempts
	done     chan *outcome.Refusal
	// direct is set once the job was sent to the log from here.
	direct bool
}

// submitWithFallback submits the job to the log and through other daemons until one
// accepts it or all have failed.
func (j *Jobs) submitWithFallback(ctx context.Context, s *Submission, r *route.Route, record *batch.JobRecord) *outcome.Refusal {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	p := &pendingSubmit{jobs: j, ctx: ctx, job: s, record: record, route: r, peers: j.fallbackPeers(s.ID),
		done: make(chan *outcome.Refusal, 1+maxFallbackPeers)}
	wait, pause := fallbackDelay, fallbackInterval
	if !j.following.running() {
		pause = forwardInterval
	}
	if (j.accepted.isFailing() || !j.following.running()) && len(p.peers) > 0 {
		wait = 0
	} else {
		p.submitDirect()
	}
	next := time.NewTimer(wait)
	defer next.Stop()
	for {
		select {
		case refusal := <-p.done:
			p.attempts.End(refusal)
			if p.attempts.Accepted() {
				return nil
			}
			if p.attempts.Final() {
				p.peers = nil
			}
			next.Reset(0)
		case <-next.C:
			if p.submitToNextPeer() {
				next.Reset(pause)
			}
		}
		if !p.attempts.Open() && len(p.peers) == 0 {
			return p.attempts.Refusal()
		}
	}
}

func (p *pendingSubmit) begin(attempt func() *outcome.Refusal) {
	p.attempts.Begin()
	go func() { p.done <- attempt() }()
}

func (p *pendingSubmit) submitDirect() {
	p.direct = true
	p.begin(func() *outcome.Refusal { return p.jobs.submit(p.ctx, p.job, p.route, p.record) })
}

// submitToNextPeer calls the next daemon; false if there is none.
func (p *pendingSubmit) submitToNextPeer() bool {
	if len(p.peers) == 0 {
		return false
	}
	to := p.peers[0]
	p.peers = p.peers[1:]
	last := len(p.peers) == 0
	p.begin(func() *outcome.Refusal {
		refusal, reached := p.submitToPeer(to)
		if !reached && last && !p.direct {
			// No daemon was reached: the log itself is the last resort.
			return p.jobs.submit(p.ctx, p.job, p.route, p.record)
		}
		return refusal
	})
	return true
}

// submitToPeer submits the job through another daemon.
func (p *pendingSubmit) submitToPeer(to places.Peer) (refusal *outcome.Refusal, reached bool) {
	timeLeft := defaultSubmitTimeout
	if deadline, ok := p.ctx.Deadline(); ok {
		timeLeft = time.Until(deadline)
	}
	var reply SubmitReply
	err := p.jobs.Peers.Call(p.ctx, to.Address, submitMethod, SubmitArgs{*p.job, timeLeft.Milliseconds()}, &reply)
	if err == nil {
		if reply.Refusal == nil {
			p.jobs.outage.record(time.Now(), nil) // the log has answered the peer
		}
		return reply.Refusal, true
	}
	p.jobs.Logger.Info("job_detour_failed", zap.String("job", p.job.ID), zap.String("peer", to.Address), zap.Error(err))
	refusal = outcome.Refuse(outcome.LogUnavailable, "%s: %v", to.Address, err).After(retryAfterMs)
	if peer.IsUnreachable(err) {
		return refusal, false
	}
	return refusal.WithRun(outcome.MayHaveRun), true
}

// defaultSubmitTimeout bounds a submission whose caller sets no deadline.
const defaultSubmitTimeout = 4 * time.Second

// fallbackPeers picks the daemons that may be called for a job: one of the local zone,
// which causes no traffic between zones, then random others; in a large zone those that
// hold partitions.
func (j *Jobs) fallbackPeers(job string) []places.Peer {
	if j.LargeZone() {
		return j.holders(job)
	}
	if j.ListPeers == nil {
		return nil
	}
	var local, remote []places.Peer
	for _, other := range j.ListPeers() {
		if other.Zone == j.Zone {
			local = append(local, other)
		} else {
			remote = append(remote, other)
		}
	}
	shuffle := func(list []places.Peer) {
		rand.Shuffle(len(list), func(a, b int) { list[a], list[b] = list[b], list[a] })
	}
	shuffle(local)
	shuffle(remote)
	first := min(1, len(local))
	picked := slices.Concat(local[:first], remote, local[first:])
	return picked[:min(maxFallbackPeers, len(picked))]
}
