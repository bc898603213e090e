package relay

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/joomcode/errorx"

	"tarragonhollow.example/tarragonhollow/core/outcome"
	"tarragonhollow.example/tarragonhollow/core/retry"
	"tarragonhollow.example/tarragonhollow/core/roster"
	"tarragonhollow.example/tarragonhollow/core/route"
	"tarragonhollow.example/tarragonhollow/core/routing"
	"tarragonhollow.example/tarragonhollow/target/h1"
	"tarragonhollow.example/tarragonhollow/target/sse"
)

const (
	// idleRepeatable bounds how long a kept connection may have been idle before it
	// carries a request that may be repeated. One that may not gets a new
	// connection: a target may have forgotten a kept one without a sign, and what
	// is sent on it is lost.
	idleRepeatable = time.Minute
	onlyNew        = time.Duration(0)
	// firstPatience is how long a repeatable request waits for the next bytes of an
	// answer that has begun.
	firstPatience = retry.LongestSilence
	// gapFactor and the bounds give the silence within a resumable stream after
	// which it goes on at another target: some way beyond the pause that callers
	// are promised, and well before they leave.
	gapFactor  = 1.5
	leastGap   = 300 * time.Millisecond
	longestGap = 800 * time.Millisecond
	// leastPatience is left for the first event after a head that came late.
	leastPatience = 20 * time.Millisecond
	// maxBuffered bounds an answer that is read whole before it is passed on.
	maxBuffered = 16 << 20
	// readSize is the most that is read of an answer at once.
	readSize = 16 << 10
)

var errorNamespace = errorx.NewNamespace("relay")

// errEnded is the type of errors about attempts that were ended here.
var errEnded = errorNamespace.NewType("ended")

// errStartedAgain ends the attempts at a target that has started again.
var errStartedAgain = errEnded.New("the target has started again")

// attempt is how one attempt at a target ended.
type attempt struct {
	// done tells that the caller has its answer, or that it was cut off.
	done, aborted bool
	// reached is false only if the target certainly did not run the request.
	reached bool
	// broken tells that the target broke the connection.
	broken bool
	// busy tells that the target refused for load.
	busy   bool
	detail string
	health routing.Outcome
}

// served returns the time that an answered request took.
func (a attempt) served(began time.Time) time.Duration {
	if a.done && !a.aborted && a.health == routing.Succeeded {
		return time.Since(began)
	}
	return 0
}

// repeats tells whether another attempt would be allowed after one more run.
func (u *run) repeats() bool {
	return u.request.Route.Repeatable() && u.runs+1 < u.request.Route.MaxAttempts
}

// attempt sends the request to the target once.
func (u *run) attempt(ctx context.Context, t roster.Target) attempt {
	options := h1.Options{MaxIdle: onlyNew, Deadline: u.request.Deadline}
	if u.request.Route.Repeatable() {
		options.MaxIdle = idleRepeatable
	}
	if u.repeats() {
		options.Patience = u.patience
	}
	sender := Sender{u.relay.Wire, u.relay.Pool}
	answer, verdict, err := sender.Send(ctx, u.request, t, time.Until(u.request.Deadline), u.out.lastEvent, options)
	if err != nil {
		return u.failedSend(ctx, err)
	}
	switch verdict {
	case TurnedAway:
		return attempt{busy: true, detail: "turned away by " + t.ID, health: routing.Neutral}
	case Elsewhere:
		return attempt{detail: t.ID + " is no longer at its address", health: routing.HardFailed}
	}
	defer answer.Close()
	if u.request.Route.Kind == route.Stream && answer.Status == http.StatusOK {
		return u.stream(ctx, answer)
	}
	return u.whole(ctx, t, answer)
}

// failedSend is failedSend for an attempt that may have had no sign yet.
func (u *run) failedSend(ctx context.Context, err error) attempt {
	if !u.signed.Load() && ctx.Err() == nil && errorx.IsOfType(err, h1.Silent) {
		u.relay.gaveUp(u.group(), u.patience)
	}
	return failedSend(ctx, err)
}

// failedSend tells what an error before the answer's head means.
func failedSend(ctx context.Context, err error) attempt {
	a := attempt{reached: true, detail: err.Error(), health: routing.SoftFailed}
	switch {
	case errorx.IsOfType(err, h1.NotSent):
		a.reached = false
		a.health = routing.HardFailed
	case errorx.IsOfType(err, h1.Broken):
		a.broken = true
	}
	if ctx.Err() != nil {
		// The connection was closed here; the target did nothing wrong.
		a.health = routing.Neutral
		a.detail = "ended here: " + context.Cause(ctx).Error()
	}
	return a
}

// whole reads the answer to its end before it is passed on, so that one that
// breaks off can be asked for again or told as broken.
func (u *run) whole(ctx context.Context, t roster.Target, answer *h1.Answer) attempt {
	u.sign()
	var body []byte
	buffer := make([]byte, readSize)
	for {
		n, err := answer.Read(buffer, u.bodyPatience())
		if refusal := u.request.hold(n); refusal != nil {
			return attempt{reached: true, detail: refusal.Message, health: routing.Neutral}
		}
		body = append(body, buffer[:n]...)
		if err == io.EOF {
			break
		}
		if err != nil {
			return failedSend(ctx, err)
		}
		if len(body) > maxBuffered {
			return attempt{reached: true, detail: "the answer is too long", health: routing.SoftFailed}
		}
	}
	if answer.Status == http.StatusInternalServerError {
		u.out.keep(answer.Status, answer.Header, body)
		if u.repeats() {
			return attempt{reached: true, detail: "failed at " + t.ID, health: routing.SoftFailed}
		}
		u.out.sendKept()
		return attempt{done: true, health: routing.SoftFailed}
	}
	u.out.send(answer.Status, answer.Header, body)
	return attempt{done: true, health: routing.Succeeded}
}

// hold reserves the memory for n more bytes of an answer. Attempts add up: what a failed
// one reserved is free when the request ends.
func (r *Request) hold(n int) *outcome.Refusal {
	if r.Memory == nil || n == 0 {
		return nil
	}
	return r.Memory.Grow(int64(n))
}

func (u *run) bodyPatience() time.Duration {
	if u.repeats() {
		return firstPatience
	}
	return 0
}

// sign notes the first sign of an answer.
func (u *run) sign() {
	if u.firstByte == 0 {
		u.firstByte = time.Since(u.request.Arrived)
	}
	if u.signed.CompareAndSwap(false, true) {
		u.relay.answered(u.group(), time.Since(u.began))
	}
}

// stream passes whole events on as they come. A break leaves the delivery at
// the last whole event, from which another target can go on.
func (u *run) stream(ctx context.Context, answer *h1.Answer) attempt {
	var events sse.Splitter
	buffer := make([]byte, readSize)
	for {
		n, err := answer.Read(buffer, u.eventPatience())
		events.Write(buffer[:n])
		if sent := u.forward(answer, &events); sent != nil {
			return attempt{done: true, aborted: true, detail: sent.Error(), health: routing.Neutral}
		}
		switch {
		case err == io.EOF && len(events.Rest()) == 0:
			u.out.finish(answer)
			return attempt{done: true, health: routing.Succeeded}
		case err == io.EOF:
			return attempt{reached: true, detail: "the stream ended within an event", health: routing.SoftFailed}
		case err != nil:
			return u.failedSend(ctx, err)
		case events.Overlong():
			return attempt{reached: true, detail: "an event is too long", health: routing.SoftFailed}
		}
	}
}

// forward passes the whole events on.
func (u *run) forward(answer *h1.Answer, events *sse.Splitter) error {
	passed := false
	for {
		e, ok := events.Next()
		if !ok {
			break
		}
		if e.ID >= 0 && e.ID <= u.out.lastEvent {
			continue
		}
		u.sign()
		if err := u.out.event(answer, e); err != nil {
			return err
		}
		passed = true
	}
	if passed {
		u.out.flush()
	}
	return nil
}

// eventPatience is the silence after which a stream is given up at its target,
// 0 for none.
func (u *run) eventPatience() time.Duration {
	if !u.repeats() {
		return 0
	}
	if !u.signed.Load() {
		return max(u.patience-time.Since(u.began), leastPatience)
	}
	gap := time.Duration(gapFactor * float64(u.request.Route.GapObjective))
	return min(max(gap, leastGap), longestGap)
}
