package steward

import (
	"context"
	"errors"
	"net/http"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"tarragonhollow.example/tarragonhollow/core/admission"
	"tarragonhollow.example/tarragonhollow/core/ledger"
	"tarragonhollow.example/tarragonhollow/target"
)

// The causes for which this daemon stops a run.
var (
	errPreempted         = errors.New("preempted by online work")
	errRevoked           = errors.New("the job was cancelled")
	errDraining          = errors.New("the daemon is draining")
	errTargetUnavailable = errors.New("the target is leaving or has another steward")
	errStartTooLate      = errors.New("the item may not start any more")
	errGap               = errors.New("the engine skipped a token")
)

// run is one start of an item at a target.
type run struct {
	id       admission.StreamID
	item     *heldItem
	target   *targetState
	streamID string
	cancel   context.CancelCauseFunc
	done     chan struct{}

	// alone stays true while nothing else was at the target; guarded by target.mu.
	alone bool

	// stopping is set by the first stop, whose cause is kept.
	stopping   atomic.Bool
	preemption *preemption
}

// stop cancels the run. Only the first call has an effect.
func (r *run) stop(cause error) {
	if r.stopping.CompareAndSwap(false, true) {
		r.cancel(cause)
	}
}

// preempt stops the run for online work; p is notified once the engine's cancel returned.
func (r *run) preempt(p *preemption) {
	if !r.stopping.CompareAndSwap(false, true) {
		p.remaining.Add(-1)
		return
	}
	r.preemption = p
	r.cancel(errPreempted)
}

// preemption measures how long it takes to cancel a target's batch streams for online work.
type preemption struct {
	began     time.Time
	remaining atomic.Int64
}

// cancelled is called for each stream once the cancel call to its engine has returned; the
// last call completes the measurement. A nil preemption measures nothing.
func (p *preemption) cancelled(now time.Time, m *meter) {
	if p == nil || p.remaining.Add(-1) > 0 || p.began.IsZero() {
		return
	}
	m.preemptSeconds.Update(now.Sub(p.began).Seconds())
}

// mayStartLocked is the last check before an item is sent. It guards against a steward that
// was paused or partitioned: its lease has expired, the owner has leased the item to
// another steward, and a start here would run it twice. The lease is counted from before
// the pull was sent, on the monotonic clock, so it expires here no later than at the owner.
//
// The check is made again right before the request's first byte is written; see confirmStart.
// A pause of the process between that and the write itself goes undetected. Then a repeatable
// item may run twice, and the ledger keeps the first completion. An item that is not repeatable
// is never leased again before the result of its first run is known, so it still runs only once.
func (s *Steward) mayStartLocked(now time.Time, it *heldItem, t *targetState) bool {
	if s.draining || it.stopped || !now.Before(it.startUntil) {
		return false
	}
	if _, revoked := s.revoked[it.ref.Job]; revoked {
		return false
	}
	return !s.opts.View.TargetLeaving(t.address) && s.isSteward(t.address)
}

// confirmStart repeats the check of mayStartLocked for a run whose first byte is about to be
// written, and stops the run if it fails.
//
// Failure guarded against: a daemon is suspended between the start of a run and its request. It
// wakes after the item's job was cancelled, and sends the item.
func (s *Steward) confirmStart(r *run) error {
	now := s.opts.Now()
	s.mu.Lock()
	ok := s.mayStartLocked(now, r.item, r.target)
	s.mu.Unlock()
	if ok {
		return nil
	}
	r.stop(errStartTooLate)
	return errStartTooLate
}

// startLocked starts the item at the target. It registers the run before starting its
// goroutine, so that a revoke always finds it.
func (s *Steward) startLocked(now time.Time, it *heldItem, t *targetState) {
	s.nextStream++
	it.segment++
	if len(it.progress) > 0 {
		s.meter.resumed(t)
	}
	small := it.smallPrefillLocked(t)
	r := &run{id: s.nextStream, item: it, target: t, streamID: it.streamID(), done: make(chan struct{})}
	ctx, cancel := context.WithCancelCause(context.Background())
	r.cancel = cancel
	it.run = r
	t.mu.Lock()
	for _, other := range t.runs {
		other.alone = false
	}
	t.core.Admitted(now, admission.Stream{
		ID: r.id, Due: it.due, Base: it.weight, Forecast: s.jobFinishLocked(it),
		Suspect: it.suspect, Pinned: it.pinned, SmallPrefill: small,
	})
	r.alone = t.core.Alone(now, r.id)
	t.runs[r.id] = r
	t.mu.Unlock()
	deadline := s.profile(it.profile).Deadline
	if deadline <= 0 {
		deadline = defaultDeadline
	}
	s.group.Go(func(groupCtx context.Context) {
		stopWithGroup := context.AfterFunc(groupCtx, func() { r.stop(errDraining) })
		defer stopWithGroup()
		bounded, release := context.WithTimeout(ctx, deadline)
		defer release()
		s.execute(bounded, r)
	})
}

// execute sends the item and handles the end of its run.
func (s *Steward) execute(ctx context.Context, r *run) {
	ctx = target.WithUrgency(target.WithKey(ctx, r.item.name()), target.UrgencyBatch)
	ctx = target.WithStartCheck(ctx, func() error { return s.confirmStart(r) })
	var answer *ledger.Answer
	var err error
	if r.item.isChat() {
		answer, err = s.generate(ctx, r)
	} else {
		answer, err = s.callService(ctx, r)
	}
	cause := context.Cause(ctx)
	r.cancel(nil)
	s.finishRun(r, answer, err, cause)
}

// generate streams the item's tokens. On a cancel, the engine is called and the connection
// closed at the same time: an engine may notice either first.
func (s *Steward) generate(ctx context.Context, r *run) (*ledger.Answer, error) {
	req, err := r.item.generateRequest()
	if err != nil {
		return nil, err
	}
	sent := make(chan struct{})
	stop := context.AfterFunc(ctx, func() {
		defer close(sent)
		s.cancelAtEngine(r)
	})
	finish, err := s.opts.Engine.Generate(ctx, r.target.address, req, r.onToken)
	if !stop() {
		<-sent
	}
	if err != nil {
		return nil, err
	}
	return r.item.chatAnswer(req.Model, s.opts.Now(), finish), nil
}

// cancelAtEngine asks the engine to cancel the stream. Closing the connection has the same
// effect, but an engine may notice that only at its next write.
func (s *Steward) cancelAtEngine(r *run) {
	ctx, release := context.WithTimeout(context.Background(), cancelTimeout)
	defer release()
	err := s.opts.Engine.Cancel(ctx, r.target.address, r.streamID)
	if err != nil {
		s.log.Warn("cancel_failed", zap.String("target", r.target.address), zap.String("stream", r.streamID), zap.Error(err))
	}
	r.preemption.cancelled(s.opts.Now(), s.meter)
}

// onToken appends one token. Tokens from before a resume are never appended again, and a
// gap fails the attempt: a stored answer is complete or absent.
func (r *run) onToken(tok target.Token) error {
	it := r.item
	switch {
	case tok.Index < len(it.progress):
		return nil
	case tok.Index > len(it.progress):
		return errGap
	}
	it.progress = append(it.progress, tok.Text)
	r.target.mu.Lock()
	r.target.core.Progress(r.id, len(it.progress))
	r.target.mu.Unlock()
	return nil
}

func (s *Steward) callService(ctx context.Context, r *run) (*ledger.Answer, error) {
	req, err := r.item.serviceRequest()
	if err != nil {
		return nil, err
	}
	res, err := s.opts.Service.Call(ctx, r.target.address, req)
	if err != nil {
		return nil, err
	}
	if res.Status >= http.StatusInternalServerError {
		return nil, &target.Failure{Reached: true, Status: res.Status, Detail: "service answered " + http.StatusText(res.Status)}
	}
	return &ledger.Answer{Status: res.Status, ContentType: res.Header.Get("Content-Type"), Body: res.Body}, nil
}
