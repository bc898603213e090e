// Package relay forwards a caller's request byte for byte to a target and the
// target's answer back. It sends a request again only where the route allows
// it or the target is known not to have run it, goes on with a broken stream
// at another target, and never lets a broken answer look whole.
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

	"tarragonhollow.example/tarragonhollow/bodymemory"
	"tarragonhollow.example/tarragonhollow/core/outcome"
	"tarragonhollow.example/tarragonhollow/core/retry"
	"tarragonhollow.example/tarragonhollow/core/roster"
	"tarragonhollow.example/tarragonhollow/core/route"
	"tarragonhollow.example/tarragonhollow/core/routing"
	"tarragonhollow.example/tarragonhollow/daemon/duty"
	"tarragonhollow.example/tarragonhollow/daemon/places"
	"tarragonhollow.example/tarragonhollow/daemon/quotas"
	"tarragonhollow.example/tarragonhollow/target/h1"
)

const (
	// maxRefusals bounds the targets that may turn one request away, or be
	// unreachable, before the caller is told to come back: asking the whole group
	// under overload would only add to it.
	maxRefusals = 4
	// retryShare is the part of the requests that may be sent again; see
	// retry.Budget.
	retryShare = 0.2
)

// Request is one request of a caller.
type Request struct {
	// ID is the caller's name for the request.
	ID    string
	Route *route.Route
	// Account is the client account's name, "" if there is none.
	Account string
	// Rank is the request's priority; 0 goes first.
	Rank int
	// HTTP is what the caller sent; its header holds no hop-by-hop fields.
	HTTP h1.Request
	// Arrived is when the request was read, Deadline when the caller stops
	// waiting.
	Arrived, Deadline time.Time
	// Memory bounds what is held of the answer; nil is no bound.
	Memory *bodymemory.Claim
}

// Verdict is what an answer's head says of the request.
type Verdict int

const (
	// Ran: the target dealt with the request.
	Ran Verdict = iota
	// TurnedAway: the target did not run it for load.
	TurnedAway
	// Elsewhere: another target than the one expected has the address.
	Elsewhere
)

// NoDeadline stands for a request that may take as long as it needs.
const NoDeadline time.Duration = 0

// NoEvent is the place before a stream's first event.
const NoEvent int64 = -1

// Wire turns requests into what targets expect and reads their heads.
type Wire interface {
	// Prepare returns the request for a target. left is the time that the target
	// has; after is the last event already delivered, or NoEvent.
	Prepare(r *Request, t roster.Target, left time.Duration, after int64) *h1.Request
	// Mine tells whether an answer is that of the request with the ID.
	Mine(id string, status int, header http.Header) bool
	// Judge reads an answer's head.
	Judge(status int, header http.Header) Verdict
}

// Quotas count the requests of accounts; see quotas.Quotas.
type Quotas interface {
	// Take takes a token for a request of the account, "" for none, or tells why not.
	Take(ctx context.Context, account string) (quotas.Leave, *outcome.Refusal)
	// Back gives back the token of a request that no target ran.
	Back(quotas.Leave)
}

// Options configure a Relay.
type Options struct {
	Wire    Wire
	Pool    *h1.Pool
	Places  *places.Places
	Crashes *Crashes
	// Quotas count the requests of accounts.
	Quotas  Quotas
	Logger  *zap.Logger
	Metrics *metrics.Set
}

// Relay is safe for concurrent use.
type Relay struct {
	Options
	meter *meter

	mu     sync.Mutex
	budget *retry.Budget
	// silences holds, by group, what was learned of targets' first signs.
	silences map[string]*retry.Silence
}

// New returns a relay.
func New(o Options) *Relay {
	return &Relay{Options: o, meter: newMeter(o.Metrics), budget: retry.NewBudget(retryShare, time.Now()),
		silences: map[string]*retry.Silence{}}
}

// patience returns how long a request waits for the first sign of its answer.
func (r *Relay) patience(group string, place places.Place) time.Duration {
	if place.Running >= place.Slots {
		return retry.LongestSilence // it may queue
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.silence(group).Patience()
}

// answered takes the time to the first sign of an answer.
func (r *Relay) answered(group string, took time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.silence(group).Answered(took)
}

// gaveUp takes a silence that was given up.
func (r *Relay) gaveUp(group string, patience time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.silence(group).GaveUp(patience)
}

// silence returns what was learned of a group. r.mu is held.
func (r *Relay) silence(group string) *retry.Silence {
	s := r.silences[group]
	if s == nil {
		s = &retry.Silence{}
		r.silences[group] = s
	}
	return s
}

// Serve answers the request on w. It returns a refusal if nothing was written
// yet: the caller of Serve writes it. Aborted tells that an answer was begun
// and cannot be ended; its connection must be broken.
func (r *Relay) Serve(ctx context.Context, request *Request, w http.ResponseWriter) Result {
	ctx, cancel := context.WithDeadline(ctx, request.Deadline)
	defer cancel()
	r.mu.Lock()
	r.budget.First()
	r.mu.Unlock()
	run := &run{relay: r, request: request, out: newDelivery(w), exclude: map[string]bool{},
		fingerprint: Fingerprint(&request.HTTP)}
	result := run.serveCounted(ctx)
	r.end(request, run, result)
	return result
}

// serveCounted serves the request if its account's quota has room. It counts once,
// however many targets it meets, and not at all if none ran it.
func (u *run) serveCounted(ctx context.Context) Result {
	leave, refusal := u.relay.Quotas.Take(ctx, u.request.Account)
	if refusal != nil {
		return u.refuse(refusal)
	}
	result := u.serve(ctx)
	if u.runs == 0 && (result.Left || result.Refusal != nil) {
		u.relay.Quotas.Back(leave)
	}
	return result
}

// Result is how Serve ended.
type Result struct {
	// Refusal is the answer that is still to be written; nil if one was.
	Refusal *outcome.Refusal
	// Aborted tells that a begun answer must be cut off.
	Aborted bool
	// Left tells that the caller went away.
	Left bool
}

// run is one request on its way.
type run struct {
	relay   *Relay
	request *Request
	out     *delivery
	exclude map[string]bool
	// fingerprint names the request's content; alone asks for a target where as
	// little else as possible runs.
	fingerprint string
	alone       bool
	// runs counts the attempts that may have run, refusals the others.
	runs, refusals int
	groupName      string
	lastTarget     roster.Target
	firstByte      time.Duration
	cause          string
	// began is when the running attempt began, patience how long it waits for the first
	// sign of an answer; signed tells that one has come.
	began    time.Time
	patience time.Duration
	signed   atomic.Bool
}

// serve makes attempts until one ends the request.
func (u *run) serve(ctx context.Context) Result {
	for {
		if refusal := u.mayRun(ctx); refusal != nil {
			return u.refuse(refusal)
		}
		place, refusal := u.relay.Places.Take(ctx, places.Ask{
			Group: u.group(), Exclude: u.exclude, Patience: routing.QueuePatience(time.Until(u.request.Deadline), u.request.Rank), Alone: u.alone,
			LastChance: !u.repeats(),
		})
		if refusal != nil {
			return u.refuse(refusal)
		}
		target := place.Target
		u.lastTarget = target
		u.tellSent(place)
		u.began, u.patience = time.Now(), u.relay.patience(u.group(), place)
		u.signed.Store(false)
		stopWatch := u.doubtWhenSilent(place)
		ended := u.attemptAt(ctx, place)
		stopWatch()
		u.relay.Places.Release(place, ended.health, ended.served(u.began))
		if ended.done {
			return Result{Aborted: ended.aborted}
		}
		if result, final := u.next(ctx, target, ended); final {
			return result
		}
	}
}

// doubtWhenSilent has a target doubted that leaves a request with a slot of its own
// without a sign for as long as a repeatable one would wait: one that may run once only
// goes on waiting, and others must not follow it. The function returned ends the watch.
func (u *run) doubtWhenSilent(place places.Place) (stop func()) {
	if place.Running >= place.Slots {
		return func() {}
	}
	timer := time.AfterFunc(u.patience, func() {
		if !u.signed.Load() {
			u.relay.Logger.Info("target_silent", zap.String("id", u.request.ID), zap.String("target", place.ID),
				zap.Int("running_there", place.Running), zap.Int64("ms", u.patience.Milliseconds()))
			u.relay.Places.Doubt(place)
		}
	})
	return func() { timer.Stop() }
}

// tellSent writes which target the request goes to and why. The line that ends a
// request is missing if its host loses power meanwhile; then this one tells where
// it was.
func (u *run) tellSent(p places.Place) {
	u.relay.Logger.Info("request_sent", zap.String("id", u.request.ID), zap.String("target", p.ID), zap.String("zone", p.Zone),
		zap.Int("attempt", u.runs+u.refusals+1), zap.Int("running_there", p.Running), zap.Int64("heard_ms", p.WordAge.Milliseconds()),
		zap.String("by", p.By),
		zap.Int64("left_ms", time.Until(u.request.Deadline).Milliseconds()))
}

// mayRun refuses a request that crashed the targets that ran it, and notes
// whether it must run apart from others.
func (u *run) mayRun(ctx context.Context) *outcome.Refusal {
	switch u.relay.Crashes.Verdict(ctx, u.fingerprint) {
	case retry.Condemned:
		return outcome.Refuse(outcome.NoTarget, "this request crashed the targets that ran it")
	case retry.Isolated, retry.Quarantined:
		u.alone = true
	}
	return nil
}

// attemptAt makes one attempt and tells of the target's crash, if it is one. The
// attempt ends when the target is known to have started again: it has forgotten the
// request.
func (u *run) attemptAt(ctx context.Context, place places.Place) (ended attempt) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	stop := context.AfterFunc(place.Alive, func() { cancel(errStartedAgain) })
	defer stop()
	u.relay.Crashes.Watch(ctx, place.Target, u.fingerprint, func() bool {
		ended = u.attempt(ctx, place.Target)
		return ended.broken
	})
	if ended.done && !ended.aborted {
		u.relay.Crashes.Completed(u.fingerprint)
	}
	return ended
}

// group is the target group of all attempts: a stream that began at one goes on
// there.
func (u *run) group() string {
	if u.groupName == "" {
		u.groupName = u.request.Route.Pick(rand.Float64())
	}
	return u.groupName
}

// next decides what follows a failed attempt.
func (u *run) next(ctx context.Context, target roster.Target, failed attempt) (Result, bool) {
	u.cause = failed.detail
	u.exclude[string(target.Start)] = true
	if failed.reached {
		u.runs++
	} else {
		u.refusals++
	}
	if ctx.Err() != nil {
		return u.outOfTime(ctx), true
	}
	if u.refusals > maxRefusals {
		return u.refuse(outcome.Refuse(outcome.Overloaded, "%s", failed.detail).After(retry.RetryAfterMs)), true
	}
	for {
		decision := u.decide(failed)
		if decision.Refusal != nil {
			return u.refuse(decision.Refusal), true
		}
		if !duty.Pause(ctx, decision.Backoff) {
			return u.outOfTime(ctx), true
		}
		if !decision.Undecided {
			u.relay.meter.retries.Inc()
			return Result{}, false
		}
	}
}

func (u *run) decide(failed attempt) retry.Decision {
	u.relay.mu.Lock()
	defer u.relay.mu.Unlock()
	return retry.Decide(retry.Situation{
		Failure:       retry.Failure{Reached: failed.reached, Busy: failed.busy, Detail: failed.detail},
		Repeatable:    u.request.Route.Repeatable(),
		ReachedBefore: u.runs > 0,
		Attempts:      u.runs,
		Retries:       u.request.Route.MaxAttempts - 1,
		Now:           time.Now(), Deadline: u.request.Deadline, WaitUntil: u.request.Deadline,
		Random: rand.Float64(),
	}, u.relay.budget)
}

// refuse ends the request without an answer of a target. An answer that was
// begun is cut off; the last failure that a target itself answered is passed
// on; otherwise the refusal is told, and only one that is true: a request that
// may have run is never said not to have.
func (u *run) refuse(refusal *outcome.Refusal) Result {
	if u.out.begun {
		return Result{Aborted: true}
	}
	if u.out.kept != nil {
		u.out.sendKept()
		return Result{}
	}
	if u.runs > 0 {
		refusal = refusal.WithRun(outcome.MayHaveRun)
	}
	return Result{Refusal: refusal}
}

// outOfTime ends a request whose caller left or whose time is up.
func (u *run) outOfTime(ctx context.Context) Result {
	if time.Now().Before(u.request.Deadline) {
		return Result{Left: true, Aborted: u.out.begun}
	}
	refusal := outcome.Refuse(outcome.DeadlineExceeded, "no answer within %s", u.request.Deadline.Sub(u.request.Arrived))
	return u.refuse(refusal)
}

// end writes the request's line and counts it.
func (r *Relay) end(request *Request, u *run, result Result) {
	took := time.Since(request.Arrived)
	word := "served"
	switch {
	case result.Left:
		word = "caller_left"
	case result.Aborted:
		word = "broken_off"
	case result.Refusal != nil:
		word = string(result.Refusal.Code)
	}
	r.meter.ended(request.Route.Kind, word, took, u.firstByte)
	fields := []zap.Field{
		zap.String("id", request.ID), zap.String("account", request.Account), zap.String("route", request.Route.Name), zap.String("group", u.groupName),
		zap.Int64("objective_ms", request.Route.Objective.Milliseconds()), zap.String("outcome", word),
		zap.Int("status", u.out.status), zap.Int("runs", u.runs), zap.Int("refusals", u.refusals),
		zap.String("target", u.lastTarget.ID), zap.Int64("ms", took.Milliseconds()),
		zap.Int64("first_ms", u.firstByte.Milliseconds()), zap.Int64("last_event", u.out.lastEvent),
	}
	if result.Refusal != nil {
		fields = append(fields, zap.String("run", string(result.Refusal.Run)), zap.Int64("retry_after_ms", result.Refusal.RetryAfterMs),
			zap.String("reason", result.Refusal.Message))
	}
	if u.cause != "" {
		fields = append(fields, zap.String("cause", u.cause))
	}
	if word == "served" {
		r.Logger.Info("request", fields...)
		return
	}
	r.Logger.Warn("request", fields...)
}
