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
	// finishRing bounds the ends that wait for the log. In a long outage the
	// ring fills; what is refused by it was told to its caller, and its key
	// stays running until the owner learns that this entry host is gone.
	finishRing = 4096
	// finishWorkers report at once, so that one dead owner does not hold up the
	// ends for the others.
	finishWorkers = 16
	// finishTimeout bounds one report.
	finishTimeout = 5 * time.Second
	// finishBackoff is the wait between two tries of one end.
	finishBackoff = 100 * time.Millisecond
	// finishLife bounds how long an end is tried: later than that the owner has
	// long ruled on the key.
	finishLife = 10 * time.Minute
)

// finisher reports the ends of keyed runs until they are durable.
type finisher struct {
	opt     Options
	ring    *duty.Ring[*ending]
	waiting atomic.Int64
	lost    *metrics.Counter
}

// ending is one end on its way to the ledger.
type ending struct {
	// begin is set for a run that was asked for but given up before its grant
	// was known: it is asked for again, by the same nonce, and freed.
	begin  *ledger.BeginRequest
	report ledger.FinishRequest
	until  time.Time
	// done gets the reply once; it has room, so nobody needs to listen.
	done chan ledger.FinishReply
}

func newFinisher(o Options) *finisher {
	f := &finisher{
		opt: o, ring: duty.NewRing[*ending](finishRing),
		lost: o.Metrics.GetOrCreateCounter("tarragonhollow_online_finish_lost_total"),
	}
	o.Metrics.GetOrCreateGauge("tarragonhollow_online_finish_waiting", func() float64 { return float64(f.pending()) })
	return f
}

// pending returns how many ends are not durable yet.
func (f *finisher) pending() int { return int(f.waiting.Load()) }

// report hands an end over and waits up to FinishWait for its durability.
func (f *finisher) report(r ledger.FinishRequest) (ledger.FinishReply, bool) {
	e := f.newEnding(r)
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

// later hands an end over without waiting for it.
func (f *finisher) later(r ledger.FinishRequest) { f.offer(f.newEnding(r)) }

// abandon frees a key whose Begin went unanswered: the grant may have been
// given with the answer lost, and the key would look running for as long as
// this daemon lives.
func (f *finisher) abandon(begin ledger.BeginRequest) {
	refusal := outcome.Refuse(outcome.Cancelled, "given up before it was granted")
	e := f.newEnding(ledger.FinishRequest{Key: begin.Key, Nonce: begin.Nonce, Refusal: refusal})
	begin.WaitMs = 0
	e.begin = &begin
	f.offer(e)
}

func (f *finisher) newEnding(r ledger.FinishRequest) *ending {
	return &ending{
		report: r, until: f.opt.Clock().Add(finishLife), done: make(chan ledger.FinishReply, 1),
	}
}

func (f *finisher) offer(e *ending) bool {
	f.waiting.Add(1)
	if f.ring.Offer(e) {
		return true
	}
	f.drop(e, "the ring is full")
	return false
}

func (f *finisher) drop(e *ending, cause string) {
	f.waiting.Add(-1)
	f.lost.Inc()
	f.opt.Logger.Error("keyed_end_not_kept",
		zap.String("key", e.report.Key), zap.String("cause", cause))
}

// finishLoop runs the workers and returns when all have ended.
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
		case e := <-f.ring.C():
			f.settle(ctx, e)
		}
	}
}

// settle makes one try. An end that is not durable goes back to the end of the
// ring after a wait, behind those that have not been tried yet.
func (f *finisher) settle(ctx context.Context, e *ending) {
	if f.opt.Clock().After(e.until) {
		f.drop(e, "the owner could not be reached")
		return
	}
	if f.try(ctx, e) {
		f.waiting.Add(-1)
		return
	}
	if !duty.Pause(ctx, finishBackoff) {
		return
	}
	if !f.ring.Offer(e) {
		f.drop(e, "the ring is full")
	}
}

func (f *finisher) try(ctx context.Context, e *ending) bool {
	call, cancel := context.WithTimeout(ctx, finishTimeout)
	defer cancel()
	if e.begin != nil {
		granted, known := f.resolve(call, e)
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

// resolve learns what became of an abandoned Begin.
func (f *finisher) resolve(ctx context.Context, e *ending) (granted, known bool) {
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
