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
	errGiveWay  = errors.New("online work needs the target")
	errRevoked  = errors.New("the job was cancelled")
	errHandBack = errors.New("the daemon drains")
	errMoveOn   = errors.New("the target is left")
	errGap      = errors.New("the engine skipped a token")
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

	// stopping is set by the first stop; its cause stands.
	stopping atomic.Bool
	burst    *burst
}

// stop cancels the run; the first cause stands.
func (r *run) stop(cause error) {
	if r.stopping.CompareAndSwap(false, true) {
		r.cancel(cause)
	}
}

// stopForBurst is stop for online work; b hears when the cancel has gone out.
func (r *run) stopForBurst(b *burst) {
	if !r.stopping.CompareAndSwap(false, true) {
		b.left.Add(-1)
		return
	}
	r.burst = b
	r.cancel(errGiveWay)
}

// burst measures how long batch takes to give way.
type burst struct {
	began time.Time
	left  atomic.Int64
}

// cancelled is called for each stream once the engine was told; the last one
// closes the measurement. A nil burst measures nothing.
func (b *burst) cancelled(now time.Time, m *meter) {
	if b == nil || b.left.Add(-1) > 0 || b.began.IsZero() {
		return
	}
	m.giveWay.Update(now.Sub(b.began).Seconds())
}

// mayStartLocked is the last check before an item is sent. It guards against a
// steward that was paused or cut off: its lease has lapsed, the owner has leased
// the item to another, and a start here would run it twice. The lease is counted
// from before the pull was sent, on the monotonic clock, so it ends here no
// later than at the owner.
//
// The remaining window is the time between this check and the request's first
// byte on the wire: a pause of the process there exceeds it unseen. Then a
// repeatable item may run twice and the ledger keeps the first completion; one
// that is not repeatable is never leased again without word of its first run,
// so it still runs once.
func (s *Steward) mayStartLocked(now time.Time, it *heldItem, t *targetState) bool {
	if s.draining || it.stopped || !now.Before(it.startUntil) {
		return false
	}
	if _, revoked := s.revoked[it.ref.Job]; revoked {
		return false
	}
	return !s.opts.View.TargetLeaving(t.address) && s.isSteward(t.address)
}

// startLocked registers the run before its goroutine exists: from then on a
// revoke finds it.
func (s *Steward) startLocked(now time.Time, it *heldItem, t *targetState) {
	s.nextStream++
	it.segment++
	if len(it.progress) > 0 {
		s.meter.resumed(t)
	}
	small := it.smallAtLocked(t)
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
		Suspect: it.suspect, Pinned: it.pinned, Small: small,
	})
	r.alone = t.core.Alone(now, r.id)
	t.runs[r.id] = r
	t.mu.Unlock()
	deadline := s.profile(it.profile).Deadline
	if deadline <= 0 {
		deadline = defaultDeadline
	}
	s.group.Go(func(groupCtx context.Context) {
		stopWithGroup := context.AfterFunc(groupCtx, func() { r.stop(errHandBack) })
		defer stopWithGroup()
		bounded, release := context.WithTimeout(ctx, deadline)
		defer release()
		s.execute(bounded, r)
	})
}

// execute sends the item and settles its end.
func (s *Steward) execute(ctx context.Context, r *run) {
	ctx = target.WithUrgency(target.WithKey(ctx, r.item.name()), target.UrgencyBatch)
	var answer *ledger.Answer
	var err error
	if r.item.isChat() {
		answer, err = s.generate(ctx, r)
	} else {
		answer, err = s.callService(ctx, r)
	}
	cause := context.Cause(ctx)
	r.cancel(nil)
	s.settle(r, answer, err, cause)
}

// generate streams the item's tokens. A cancel goes to the engine at the same
// moment as the connection is dropped: an engine may notice either first.
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

// cancelAtEngine tells the engine to drop the stream. The connection's end says
// the same, but an engine may see it only when it next writes.
func (s *Steward) cancelAtEngine(r *run) {
	ctx, release := context.WithTimeout(context.Background(), cancelTimeout)
	defer release()
	err := s.opts.Engine.Cancel(ctx, r.target.address, r.streamID)
	if err != nil {
		s.log.Warn("cancel_failed", zap.String("target", r.target.address), zap.String("stream", r.streamID), zap.Error(err))
	}
	r.burst.cancelled(s.opts.Now(), s.meter)
}

// onToken appends one token. Tokens that were there before a resume are never
// appended again, and a gap fails the attempt: a kept answer is whole or absent.
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
