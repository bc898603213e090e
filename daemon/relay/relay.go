// Package relay forwards a caller's request byte for byte to a target and the target's
// answer back. It retries a request only where the route allows it or the target is known
// not to have run it, resumes a broken stream at another target, and never lets a truncated
// answer appear complete.
package relay

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"tarragonhollow.example/tarragonhollow/core/outcome"
	"tarragonhollow.example/tarragonhollow/core/retry"
	"tarragonhollow.example/tarragonhollow/core/roster"
	"tarragonhollow.example/tarragonhollow/core/route"
	"tarragonhollow.example/tarragonhollow/core/routing"
	"tarragonhollow.example/tarragonhollow/daemon/duty"
	"tarragonhollow.example/tarragonhollow/daemon/places"
	"tarragonhollow.example/tarragonhollow/daemon/quotas"
	"tarragonhollow.example/tarragonhollow/target/h1"
	"tarragonhollow.example/tarragonhollow/target/sse"
)

const (
	// maxRejections bounds how many targets may reject one request or be unreachable
	// before the caller is told to retry later: trying the whole group under overload would
	// only add to the load. A stream that was begun can't be refused; it is tried further, with
	// growing pauses, while its caller waits.
	maxRejections = 4
	// retryBudgetShare is the share of the requests that may be retried; see retry.Budget.
	retryBudgetShare = 0.2
	// Callers leave a stream that is silent for minSilence, silenceObjectives times its
	// objective or silenceGaps times its gap objective, whichever is longest.
	minSilence        = 2 * time.Second
	silenceObjectives = 4
	silenceGaps       = 8
)

// Quotas enforces the quotas of client accounts; see quotas.Quotas.
type Quotas interface {
	// Take takes a token for a request of the account ("" for none), or returns a refusal.
	Take(ctx context.Context, account string) (quotas.Token, *outcome.Refusal)
	// Refund returns the token of a request that no target ran.
	Refund(quotas.Token)
}

// Options configure a Relay.
type Options struct {
	Wire    Wire
	Pool    *h1.Pool
	Places  *places.Places
	Crashes *CrashDetector
	// Quotas enforces the quotas of client accounts.
	Quotas Quotas
	// Streams knows at which software version streams began.
	Streams Streams
	// Stopping reports that the process is stopping; nil for never.
	Stopping func() bool
	// StopsAt returns when a planned stop ends the requests that still run, and whether there is one;
	// nil for never. Ended is done from then on; nil for never.
	StopsAt func() (at time.Time, stops bool)
	Ended   context.Context
	Logger  *zap.Logger
	Metrics *metrics.Set
}

// Relay is safe for concurrent use.
type Relay struct {
	Options
	meter *meter

	mu     sync.Mutex
	budget *retry.Budget
	// firstByteStats holds the statistics of the time to the first byte by target group.
	firstByteStats map[string]*retry.WaitEstimator
	// longestRuns holds how long requests run by route.
	longestRuns map[string]*retry.LongestRun
}

// New returns a Relay.
func New(o Options) *Relay {
	return &Relay{Options: o, meter: newMeter(o.Metrics), budget: retry.NewBudget(retryBudgetShare, time.Now()),
		firstByteStats: map[string]*retry.WaitEstimator{}, longestRuns: map[string]*retry.LongestRun{}}
}

func (r *Relay) stopping() bool { return r.Stopping != nil && r.Stopping() }

// Serve answers the request on w. If it wrote nothing and the caller is still connected,
// Result.Refusal is the answer to be written. Result.Aborted reports that an answer was
// begun but cannot be completed; the connection must then be broken.
func (r *Relay) Serve(ctx context.Context, request *Request, w http.ResponseWriter) (result Result) {
	ctx, release := r.withStop(ctx)
	defer release()
	ctx, cancel := context.WithDeadline(ctx, request.Deadline)
	defer cancel()
	r.mu.Lock()
	r.budget.CountFirst()
	r.mu.Unlock()
	content := contentHash(&request.HTTP)
	state := &requestState{relay: r, request: request, delivery: newDelivery(w, request.position()), excluded: map[string]bool{},
		content: content, fingerprint: formatFingerprint(content), answer: answerSeen{firstEvent: NoEvent}}
	panicked := true
	defer func() {
		result.Aborted = state.delivery.cutShort()
		r.recordEnd(request, state, result, panicked)
	}()
	result = state.serveWithQuota(ctx)
	panicked = false
	return result
}

// serveWithQuota serves the request if its account's quota allows it. The request counts
// once, however many targets it is sent to, and not at all if none ran it.
func (s *requestState) serveWithQuota(ctx context.Context) Result {
	if refusal := s.refuseOnArrival(ctx); refusal != nil {
		return s.refuse(refusal)
	}
	token, refusal := s.relay.Quotas.Take(ctx, s.request.Account)
	if refusal != nil {
		return s.refuse(refusal)
	}
	result := s.serve(ctx)
	if s.runs == 0 && (result.CallerLeft || result.Refusal != nil) {
		s.relay.Quotas.Refund(token)
	}
	return result
}

// Result is the result of Serve.
type Result struct {
	// Refusal is the answer that is still to be written; nil if one was written.
	Refusal *outcome.Refusal
	// Aborted reports that an answer was begun and must be cut off.
	Aborted bool
	// CallerLeft reports that the caller disconnected.
	CallerLeft bool
}

// requestState is the state of one request while it is served.
type requestState struct {
	relay    *Relay
	request  *Request
	delivery *delivery
	excluded map[string]bool
	// content and fingerprint identify the request's content; alone requests a target where as little
	// else as possible runs.
	content     uint64
	fingerprint string
	alone       bool
	// stream is the version at which the stream goes on.
	stream streamVersion
	// runs counts the attempts that a target may have run, rejections the others.
	runs, rejections int
	groupName        string
	lastTarget       roster.Target
	timeToFirstByte  time.Duration
	lastFailure      string
	// held are the events of the current run whose place in the stream is not known yet.
	held []sse.Event
	// watch watches the current attempt for silence. next is the slot at which the request goes
	// on after it left a silent target, nil if none is held.
	watch *silenceWatch
	next  *places.Slot
	// parts is what the prompt has to do with crashes, running the current attempt.
	parts   promptParts
	running *Running
	// answer is what the current attempt received, fallback what the one received whose answer the
	// delivery keeps.
	answer, fallback answerSeen
	// attemptStart is when the current attempt began, firstByteTimeout how long it waits for
	// the first byte of the answer; answerStarted reports that it has arrived.
	attemptStart     time.Time
	firstByteTimeout time.Duration
	answerStarted    atomic.Bool
}

// serve makes attempts until one ends the request.
func (s *requestState) serve(ctx context.Context) Result {
	defer s.releaseNext()
	defer s.endLimit()
	if refusal := s.findOrigin(ctx); refusal != nil {
		return s.refuse(refusal)
	}
	for {
		if refusal := s.checkQuarantine(ctx); refusal != nil {
			return s.refuse(refusal)
		}
		if refusal := s.checkParts(ctx); refusal != nil {
			return s.refuse(refusal)
		}
		if s.stream.bound && s.stream.version == "" {
			return s.refuse(unknownVersion())
		}
		if refusal := s.refuseLate(); refusal != nil {
			return s.refuse(refusal)
		}
		slot, refusal := s.nextSlot(ctx)
		if refusal != nil && s.decidePartsNow() {
			return s.refuse(partRefused())
		}
		if refusal != nil && refusal.Code == outcome.Cancelled {
			return s.endEarly(ctx)
		}
		if refusal != nil {
			return s.refuse(refusal)
		}
		if refusal := s.refuseLate(); refusal != nil { // it may have waited for the slot
			s.relay.Places.Release(slot, routing.Neutral, 0)
			return s.refuse(refusal)
		}
		target := slot.Target
		s.lastTarget = target
		s.logSent(slot)
		s.attemptStart, s.firstByteTimeout = time.Now(), s.relay.firstByteTimeout(s.group(), slot)
		s.answerStarted.Store(false)
		s.answer = answerSeen{firstEvent: NoEvent}
		ended := s.runInSlot(ctx, slot)
		s.relay.meter.countAttempt(s.request.Route.Kind, s.answer.End)
		if ended.done {
			return Result{}
		}
		if result, final := s.afterFailure(ctx, target, ended); final {
			return result
		}
	}
}

// runInSlot makes one attempt in the slot and releases it, also if the attempt panics.
func (s *requestState) runInSlot(ctx context.Context, slot places.Slot) attemptResult {
	ended := attemptResult{health: routing.Neutral}
	stopWatch := s.degradeWhenSilent(slot)
	defer func() {
		stopWatch()
		took := ended.serviceTime(s.attemptStart)
		s.relay.noteRun(s.request.Route.Name, took)
		s.relay.Places.Release(slot, ended.health, took)
	}()
	ended = s.runAttempt(ctx, slot)
	return ended
}

// logSent logs which target the request is sent to and why. If the host loses power before
// the request's final log line, this line still shows where the request was.
func (s *requestState) logSent(slot places.Slot) {
	fields := []zap.Field{zap.String("id", s.request.ID), zap.String("target", slot.ID), zap.String("zone", slot.Zone),
		zap.String("version", slot.Version),
		zap.Int("attempt", s.runs+s.rejections+1), zap.Int("running_there", slot.Running), zap.Int64("heard_ms", slot.LoadReportAge.Milliseconds()),
		zap.String("by", slot.GrantedBy),
		zap.Int64("left_ms", time.Until(s.request.Deadline).Milliseconds())}
	if s.stream.bound {
		fields = append(fields, s.versionFields()...)
	}
	if s.watch != nil {
		fields = append(fields, s.watch.fields()...)
	}
	s.relay.Logger.Info("request_sent", fields...)
}

// checkQuarantine returns a refusal for a request that is quarantined because it crashed the
// targets that ran it, and records whether the request should run alone.
func (s *requestState) checkQuarantine(ctx context.Context) *outcome.Refusal {
	switch s.relay.Crashes.Verdict(ctx, s.fingerprint) {
	case retry.Quarantined:
		return outcome.Refuse(outcome.NoTarget, "this request crashed the targets that ran it")
	case retry.PreferAlone, retry.RunAlone:
		s.alone = true
	}
	return nil
}

// runAttempt makes one attempt, and reports a crash of the target to the crash detector.
// The attempt ends when the target is known to have restarted, since the restart lost the
// request.
func (s *requestState) runAttempt(ctx context.Context, slot places.Slot) (result attemptResult) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	stop := context.AfterFunc(slot.Alive, func() { cancel(errTargetRestarted) })
	defer stop()
	s.watch = s.watchSilence(ctx, cancel, slot)
	defer func() { s.next = s.watch.replacement() }()
	s.running = &Running{ID: s.request.ID, Fingerprint: s.fingerprint, Parts: s.parts.ids}
	defer s.endWhenRefused(cancel)()
	crashed := s.relay.Crashes.Watch(ctx, slot.Target, s.running, func() bool {
		result = s.attempt(ctx, slot.Target)
		return result.broken
	})
	s.noteAttemptEnd(crashed, result)
	if context.Cause(ctx) == errTargetRestarted {
		s.noteRestart(slot.Target)
	}
	if result.done && !s.delivery.cutShort() {
		s.relay.Crashes.Completed(s.fingerprint)
	}
	return result
}

// group returns the target group, which is the same for all attempts: a stream must be
// resumed in the group where it began.
func (s *requestState) group() string {
	if s.groupName == "" {
		s.groupName = s.request.Route.Pick(rand.Float64())
	}
	return s.groupName
}

// afterFailure handles a failed attempt. It returns false after the backoff if another
// attempt follows, or the final result and true.
func (s *requestState) afterFailure(ctx context.Context, target roster.Target, failed attemptResult) (Result, bool) {
	s.lastFailure = failed.detail
	s.excluded[string(target.Start)] = true
	s.logFailedAttempt(target, failed)
	if failed.reached {
		s.runs++
	} else {
		s.rejections++
	}
	if ctx.Err() != nil {
		return s.endEarly(ctx), true
	}
	if s.rejections > maxRejections && !s.mustGoOn() {
		return s.refuse(outcome.Refuse(outcome.Overloaded, "%s", failed.detail).After(retry.RetryAfterMs)), true
	}
	if s.nextFits() { // the decision was made before the silent target was left
		s.relay.meter.retries.Inc()
		return Result{}, false
	}
	s.releaseNext()
	if !failed.reached && s.mustGoOn() {
		return s.tryElsewhere(ctx)
	}
	for {
		decision := s.decideRetry(failed)
		if decision.Refusal != nil {
			s.lastFailure = decision.Refusal.Message // tells if the budget was spent
			return s.refuse(decision.Refusal), true
		}
		if !duty.Pause(ctx, decision.Backoff) {
			return s.endEarly(ctx), true
		}
		if !decision.Undecided {
			s.relay.meter.retries.Inc()
			return Result{}, false
		}
	}
}

// decideRetry returns the decision on a failed attempt, which may spend the retry budget.
func (s *requestState) decideRetry(failed attemptResult) retry.Decision {
	return s.relay.decide(retry.Situation{
		Failure:       retry.Failure{Reached: failed.reached, Busy: failed.busy, Left: failed.left, Detail: failed.detail},
		Repeatable:    s.repeatable(),
		ReachedBefore: s.runs > 0,
		Attempts:      s.runs,
		Retries:       s.request.Route.MaxAttempts - 1,
		Deadline:      s.request.Deadline, WaitUntil: s.callerStaysUntil(),
	})
}

// callerStaysUntil returns when the caller stops waiting if it receives nothing more: callers
// leave a stream after a silence, also before its first event.
func (s *requestState) callerStaysUntil() time.Time {
	if s.request.Route.Kind != route.Stream {
		return s.request.Deadline
	}
	since := s.request.Arrived
	if s.delivery.lastEventAt.After(since) {
		since = s.delivery.lastEventAt
	}
	leaves := since.Add(max(minSilence, silenceObjectives*s.request.Route.Objective, silenceGaps*s.request.Route.GapObjective))
	if leaves.After(s.request.Deadline) {
		return s.request.Deadline
	}
	return leaves
}

// refuse ends the request without a successful answer. An answer that was begun stays cut short;
// otherwise the last error answer of a target is forwarded if there is one, else the
// refusal is returned. The refusal never claims that a request did not run if it may have.
func (s *requestState) refuse(refusal *outcome.Refusal) Result {
	if s.delivery.headSent {
		s.delivery.endUnconfirmed()
		return Result{}
	}
	if s.delivery.fallback != nil {
		s.answer = s.fallback
		s.delivery.sendFallback()
		return Result{}
	}
	if s.runs > 0 {
		refusal = refusal.WithRun(outcome.MayHaveRun)
	}
	return Result{Refusal: refusal}
}

// endEarly ends a request whose caller disconnected, whose deadline has passed, or that a planned stop
// ends.
func (s *requestState) endEarly(ctx context.Context) Result {
	if refusal := stopped(ctx); refusal != nil {
		return s.refuse(refusal)
	}
	if time.Now().Before(s.request.Deadline) {
		return Result{CallerLeft: true}
	}
	refusal := outcome.Refuse(outcome.DeadlineExceeded, "no answer within %s", s.request.Deadline.Sub(s.request.Arrived))
	return s.refuse(refusal)
}
