package online

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"tarragonhollow.example/tarragonhollow/core/ledger"
	"tarragonhollow.example/tarragonhollow/core/outcome"
	"tarragonhollow.example/tarragonhollow/daemon/duty"
)

const (
	// finishQueueSize bounds the results that wait for the log. The queue fills in a
	// long outage. The caller of a result that is dropped then has its answer, but the
	// key stays running until the owner learns that this entry host is down.
	finishQueueSize = 4096
	// finishWorkers is the number of concurrent workers, so that one dead owner does not
	// delay reports to the others.
	finishWorkers = 16
	// finishTimeout bounds one report.
	finishTimeout = 5 * time.Second
	// finishBackoff is the wait before a failed report is queued again.
	finishBackoff = 100 * time.Millisecond
	// finishTTL bounds how long a report is retried; by then the owner has long since
	// resolved the key.
	finishTTL = 10 * time.Minute
)

// finisher reports the results of keyed runs to the ledger until they are durable.
type finisher struct {
	opt     Options
	queue   *duty.Queue[*pendingFinish]
	waiting atomic.Int64
	lost    *metrics.Counter
}

// pendingFinish is one result that is not yet durable in the ledger.
type pendingFinish struct {
	// begin is set for a request that was abandoned before the reply to its Begin
	// arrived: Begin is repeated with the same nonce, and the key is then freed.
	begin  *ledger.BeginRequest
	report ledger.FinishRequest
	until  time.Time
	// done receives the reply once. It is buffered, so no receiver is required.
	done chan ledger.FinishReply
}

func newFinisher(o Options) *finisher {
	f := &finisher{
		opt: o, queue: duty.NewQueue[*pendingFinish](finishQueueSize),
		lost: o.Metrics.GetOrCreateCounter("tarragonhollow_online_finish_lost_total"),
	}
	o.Metrics.GetOrCreateGauge("tarragonhollow_online_finish_waiting", func() float64 { return float64(f.pending()) })
	return f
}

// pending returns the number of results that are not durable yet.
func (f *finisher) pending() int { return int(f.waiting.Load()) }

// report queues a result and waits up to FinishWait for it to become durable. The second
// result is false if it is not durable yet.
func (f *finisher) report(r ledger.FinishRequest) (ledger.FinishReply, bool) {
	e := f.newPending(r)
	if !f.offer(e) {
		return ledger.FinishReply{}, false
	}
	timer := time.NewTimer(f.opt.FinishWait)
	defer timer.Stop()
	select {
	case reply := <-e.done:
		return reply, reply.Durable
	case <-timer.C:
		return ledger.FinishReply{}, false
	}
}

// enqueue queues a result without waiting for it to become durable.
func (f *finisher) enqueue(r ledger.FinishRequest) { f.offer(f.newPending(r)) }

// abandon frees a key whose Begin was not answered. The owner may have granted it with
// the reply lost, and the key would then look running for as long as this daemon lives.
func (f *finisher) abandon(begin ledger.BeginRequest) {
	refusal := outcome.Refuse(outcome.Cancelled, "given up before it was granted")
	e := f.newPending(ledger.FinishRequest{Key: begin.Key, Nonce: begin.Nonce, Refusal: refusal})
	begin.WaitMs = 0
	e.begin = &begin
	f.offer(e)
}

func (f *finisher) newPending(r ledger.FinishRequest) *pendingFinish {
	return &pendingFinish{
		report: r, until: f.opt.Clock().Add(finishTTL), done: make(chan ledger.FinishReply, 1),
	}
}

func (f *finisher) offer(e *pendingFinish) bool {
	f.waiting.Add(1)
	if f.queue.Offer(e) {
		return true
	}
	f.drop(e, "the finish queue is full")
	return false
}

func (f *finisher) drop(e *pendingFinish, cause string) {
	f.waiting.Add(-1)
	f.lost.Inc()
	f.opt.Logger.Error("keyed_end_not_kept",
		zap.String("key", e.report.Key), zap.String("cause", cause))
}

// finishLoop runs the workers and returns when all have stopped.
func (f *finisher) finishLoop(ctx context.Context) {
	workers := duty.NewGroup(ctx)
	for range finishWorkers {
		workers.Go(f.worker)
	}
	workers.Wait()
}

func (f *finisher) worker(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case e := <-f.queue.C():
			f.process(ctx, e)
		}
	}
}

// process reports a result once. If it is not durable then, it is queued again after
// finishBackoff, behind the results that have not been tried yet.
func (f *finisher) process(ctx context.Context, e *pendingFinish) {
	if f.opt.Clock().After(e.until) {
		f.drop(e, "the owner could not be reached")
		return
	}
	if f.deliver(ctx, e) {
		f.waiting.Add(-1)
		return
	}
	if !duty.Pause(ctx, finishBackoff) {
		return
	}
	if !f.queue.Offer(e) {
		f.drop(e, "the finish queue is full")
	}
}

func (f *finisher) deliver(ctx context.Context, e *pendingFinish) bool {
	call, cancel := context.WithTimeout(ctx, finishTimeout)
	defer cancel()
	if e.begin != nil {
		granted, known := f.resolveBegin(call, e)
		if !known || !granted {
			return known
		}
	}
	reply, err := f.opt.Ledger.Finish(call, e.report)
	if err != nil {
		refusal := beginRefusal(err)
		return !unreachable(refusal) && refusal.Code != outcome.DeadlineExceeded
	}
	if reply.Durable {
		e.done <- reply
	}
	return reply.Durable
}

// resolveBegin repeats an abandoned Begin to find out whether it was granted. known is
// false if the ledger could not be reached.
func (f *finisher) resolveBegin(ctx context.Context, e *pendingFinish) (granted, known bool) {
	reply, err := f.opt.Ledger.Begin(ctx, *e.begin)
	if err != nil {
		return false, !unreachable(beginRefusal(err))
	}
	if reply.Verdict != ledger.Granted {
		return false, true
	}
	e.report.Attempt = reply.Attempt
	e.begin = nil
	return true, true
}
