package relay

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
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
	// maxIdleRepeatable is the longest idle time of a pooled connection that may carry a
	// repeatable request. Other requests get a new connection: the target may have dropped
	// a pooled one silently, and a request sent on it would be lost.
	maxIdleRepeatable = time.Minute
	newConnectionOnly = time.Duration(0)
	// bodyTimeout is how long a repeatable request waits for the next bytes of an answer
	// that has begun before another target is sought.
	bodyTimeout = retry.LongestWait
	// A resumable stream without data for gapTimeoutFactor times the route's gap objective,
	// within the two bounds, is resumed at another target if one is free: later than the gap
	// that callers are promised, and well before they disconnect.
	gapTimeoutFactor = 1.5
	minGapTimeout    = 300 * time.Millisecond
	maxGapTimeout    = 800 * time.Millisecond
	// minFirstEventTimeout is the minimum wait for a stream's first event, for answers whose
	// head arrived late.
	minFirstEventTimeout = 20 * time.Millisecond
	// deadlineMargin is how long before the caller's deadline a target's time may be over: 1 ms
	// each for the rounding of the time that it is given, of its clock and of its timer, and
	// 2 ms for clocks that differ by 100 ppm over 20 s.
	deadlineMargin = 5 * time.Millisecond
	// maxBuffered is the maximum size, in bytes, of an answer that is read whole before it
	// is forwarded.
	maxBuffered = 16 << 20
	// maxHeld is the maximum number of events whose place in the stream is not known yet.
	maxHeld = 16
	// readSize is the size of the read buffer, in bytes.
	readSize = 16 << 10
)

var errorNamespace = errorx.NewNamespace("relay")

// errAttemptEnded is the type of errors for attempts that this daemon ended.
var errAttemptEnded = errorNamespace.NewType("ended")

// errGap is the type of errors for runs that do not begin where the caller's part ends.
var errGap = errorNamespace.NewType("gap")

// errTargetRestarted ends the attempts at a target that has restarted.
var errTargetRestarted = errAttemptEnded.New("the target has started again")

// attemptResult is the result of one attempt at a target.
type attemptResult struct {
	// done reports that no further attempt follows: the answer was forwarded, or the caller
	// can't be written to.
	done bool
	// reached is false only if the target certainly did not run the request.
	reached bool
	// broken reports that the target broke the connection.
	broken bool
	// busy reports that the target rejected the request because of load, left that it left in order
	// right behind its answer.
	busy, left bool
	detail     string
	health     routing.Outcome
}

// serviceTime returns the time since start for an attempt that succeeded, 0 otherwise.
func (a attemptResult) serviceTime(start time.Time) time.Duration {
	if a.done && a.health == routing.Succeeded {
		return time.Since(start)
	}
	return 0
}

// mayRetry reports whether another attempt would still be allowed if the current one fails
// after the target ran the request.
func (s *requestState) mayRetry() bool {
	return s.repeatable() && s.runs+1 < s.request.Route.MaxAttempts
}

// repeatable reports whether a request that may have run may be sent again. A stream is
// resumed only if the position in it is known.
func (s *requestState) repeatable() bool {
	return s.request.Route.Repeatable() && !s.delivery.position.unnumbered
}

// attempt sends the request to the target once.
func (s *requestState) attempt(ctx context.Context, t roster.Target) attemptResult {
	options := h1.Options{MaxIdle: newConnectionOnly, Deadline: s.request.Deadline, Record: &s.answer.Record}
	if s.request.Route.Repeatable() {
		options.MaxIdle = maxIdleRepeatable
	}
	if s.mayRetry() {
		options.MaxWait = s.firstByteTimeout
		options.HeadWait = func() func() { return s.watch.begin(s.firstByteTimeout, s.stream.version) }
	}
	if s.needsIdentity() {
		options.Identity = s.relay.Wire.Identity(t)
	}
	sender := Sender{s.relay.Wire, s.relay.Pool, s.relay.Logger}
	answer, verdict, err := sender.Send(ctx, s.request, t, time.Until(s.request.Deadline), s.delivery.position.last, options)
	if err != nil {
		return s.attemptFailed(ctx, err)
	}
	switch verdict {
	case Rejected:
		return attemptResult{busy: true, detail: "turned away by " + t.ID, health: routing.Neutral}
	case WrongTarget:
		return attemptResult{detail: t.ID + " is no longer at its address", health: routing.HardFailed}
	}
	defer answer.Close()
	switch {
	case s.delivery.headSent && !s.delivery.continues(answer):
		return rejectRest(t, answer)
	case s.request.Route.Kind == route.Stream && answer.Status == http.StatusOK:
		return s.forwardStream(ctx, t, answer)
	default:
		return s.forwardWhole(ctx, t, answer)
	}
}

// rejectRest returns the result of an attempt to go on with an answer that the caller has a
// part of, where the target answered with anything but the rest.
func rejectRest(t roster.Target, answer *h1.Answer) attemptResult {
	answer.Drain(drainTimeout)
	a := attemptResult{reached: true, detail: t.ID + " answered " + strconv.Itoa(answer.Status) + " in place of the rest", health: routing.Neutral}
	if answer.Status >= http.StatusInternalServerError {
		a.health = routing.SoftFailed
	}
	return a
}

// attemptFailed classifies the error of a failed attempt, and records a timeout if the
// target sent no first byte in time.
func (s *requestState) attemptFailed(ctx context.Context, err error) attemptResult {
	if !s.answerStarted.Load() && leftSilent(ctx) {
		s.relay.noteFirstByteTimeout(s.group(), s.firstByteTimeout)
	}
	return classifyError(ctx, err)
}

// classifyError returns the result of an attempt that failed with err before its answer
// was read whole.
func classifyError(ctx context.Context, err error) attemptResult {
	a := attemptResult{reached: true, detail: err.Error(), health: routing.SoftFailed}
	switch {
	case errorx.IsOfType(err, h1.Unidentified):
		a.reached = false
		a.health = routing.Neutral
	case errorx.IsOfType(err, h1.NotSent):
		a.reached = false
		a.health = routing.HardFailed
	case errorx.IsOfType(err, h1.Broken):
		a.broken = true
	case errorx.IsOfType(err, h1.Unattributed):
		a.health = routing.Neutral
	}
	switch {
	case leftSilent(ctx):
		a.detail = context.Cause(ctx).Error()
	case ctx.Err() != nil:
		// This daemon closed the connection; the target is not at fault.
		a.health = routing.Neutral
		a.detail = "ended here: " + context.Cause(ctx).Error()
	}
	return a
}

// forwardWhole reads the answer to its end before it forwards it, so that a truncated one
// can be retried or reported as failed.
func (s *requestState) forwardWhole(ctx context.Context, t roster.Target, answer *h1.Answer) attemptResult {
	s.noteFirstByte()
	if answer.Status == http.StatusOK {
		s.noteAnswering(false)
	}
	var body []byte
	buffer := make([]byte, readSize)
	for {
		n, err := s.read(answer, buffer, s.bodyReadTimeout())
		if refusal := s.request.reserveMemory(n); refusal != nil {
			return attemptResult{reached: true, detail: refusal.Message, health: routing.Neutral}
		}
		body = append(body, buffer[:n]...)
		if err == io.EOF {
			break
		}
		if err != nil {
			return classifyError(ctx, err)
		}
		if len(body) > maxBuffered {
			return attemptResult{reached: true, detail: "the answer is too long", health: routing.SoftFailed}
		}
	}
	if answer.Status < http.StatusMultipleChoices && answer.Framing != h1.FramedByLength && s.targetTimeOver() {
		return endedAtDeadline()
	}
	left, err := s.confirmEnd(answer, t)
	if err != nil {
		return classifyError(ctx, err)
	}
	whole := bufferedAnswer{status: answer.Status, header: answer.Header, framing: answer.Framing, length: int64(len(body)), body: body}
	if s.request.HTTP.Method == http.MethodHead {
		whole.length = answer.Length
	}
	if left && s.mayRetry() {
		s.keepFallback(whole)
		return targetLeft(t)
	}
	if answer.Status == http.StatusInternalServerError {
		s.keepFallback(whole)
		if s.mayRetry() {
			return attemptResult{reached: true, detail: "failed at " + t.ID, health: routing.SoftFailed}
		}
		s.delivery.sendFallback()
		return attemptResult{done: true, health: routing.SoftFailed}
	}
	if answer.Status == http.StatusOK {
		s.noteAnswering(true)
	}
	s.delivery.sendWhole(whole)
	return attemptResult{done: true, health: routing.Succeeded}
}

// reserveMemory reserves the memory for n more bytes of an answer. Reservations of failed
// attempts add up; all are released when the request ends.
func (r *Request) reserveMemory(n int) *outcome.Refusal {
	if r.Memory == nil || n == 0 {
		return nil
	}
	return r.Memory.Grow(int64(n))
}

// read reads from the answer. After a silence of the given length, 0 for any, the request goes
// on at another target once that has a slot for it.
func (s *requestState) read(answer *h1.Answer, buffer []byte, silence time.Duration) (int, error) {
	defer s.watch.begin(silence, s.stream.version)()
	return answer.Read(buffer, 0)
}

// bodyReadTimeout returns after which silence in an answer's body another target is sought, 0
// for none.
func (s *requestState) bodyReadTimeout() time.Duration {
	if s.mayRetry() {
		return bodyTimeout
	}
	return 0
}

// noteFirstByte records that an answer has started: with the head of an answer that is read
// whole, or with the first new event of a stream. The attempt's time counts in the
// statistics of the target group.
func (s *requestState) noteFirstByte() {
	if s.timeToFirstByte == 0 {
		s.timeToFirstByte = time.Since(s.request.Arrived)
	}
	if s.answerStarted.CompareAndSwap(false, true) {
		s.relay.noteFirstByte(s.group(), time.Since(s.attemptStart))
	}
}

// forwardStream forwards complete events as they arrive. If the stream breaks, the delivery
// is at its last complete event, from which another target can resume.
func (s *requestState) forwardStream(ctx context.Context, t roster.Target, answer *h1.Answer) attemptResult {
	var events sse.Splitter
	buffer := make([]byte, readSize)
	s.delivery.position.beginRun()
	s.held = nil
	for {
		n, err := s.read(answer, buffer, s.eventReadTimeout())
		events.Write(buffer[:n])
		forwardErr := s.forwardEvents(answer, &events)
		if len(events.Rest()) > 0 || len(s.held) > 0 || errorx.IsOfType(forwardErr, errGap) {
			s.delivery.moreFollows()
		}
		switch {
		case errorx.IsOfType(forwardErr, errGap):
			return attemptResult{reached: true, detail: forwardErr.Error(), health: routing.SoftFailed}
		case forwardErr != nil:
			return attemptResult{done: true, detail: forwardErr.Error(), health: routing.Neutral}
		case err == io.EOF && len(events.Rest()) == 0:
			return s.endStream(ctx, t, answer)
		case err == io.EOF:
			answer.NoteBreak()
			return attemptResult{reached: true, detail: "the stream ended within an event", health: routing.SoftFailed}
		case err != nil:
			return s.attemptFailed(ctx, err)
		case events.Overlong():
			return attemptResult{reached: true, detail: "an event is too long", health: routing.SoftFailed}
		}
	}
}

// endStream ends the stream after its target's last event, if the target's end is that of the
// caller's answer.
func (s *requestState) endStream(ctx context.Context, t roster.Target, answer *h1.Answer) attemptResult {
	if s.targetTimeOver() {
		return endedAtDeadline()
	}
	if s.delivery.position.runIsBehind() || len(s.held) > 0 {
		return attemptResult{reached: true, detail: "the stream ended before the caller's last event", health: routing.SoftFailed}
	}
	left, err := s.confirmEnd(answer, t)
	if err != nil {
		return s.attemptFailed(ctx, err)
	}
	if left && s.mayRetry() && s.delivery.firstUnframedEnd() {
		return targetLeft(t)
	}
	if !s.delivery.endsWith(answer, s.mayRetry()) {
		return attemptResult{reached: true, detail: "the rest ended with its connection", health: routing.Neutral}
	}
	s.noteAnswering(true)
	s.delivery.finish(answer)
	return attemptResult{done: true, health: routing.Succeeded}
}

// targetTimeOver reports whether the time that the target was given may be over. A target stops
// work then, and may end what it has sent so far in the regular way: that end does not show that
// nothing is missing. A length, which targets state only for a whole body that is known, does.
func (s *requestState) targetTimeOver() bool {
	return time.Until(s.request.Deadline) <= deadlineMargin
}

func endedAtDeadline() attemptResult {
	return attemptResult{reached: true, detail: "the answer ended when its target's time was over", health: routing.Neutral}
}

// forwardEvents forwards the complete events that the splitter holds, and skips those that
// the caller already has. Its errors are errGap and those of writing to the caller.
func (s *requestState) forwardEvents(answer *h1.Answer, events *sse.Splitter) error {
	forwarded := false
	for {
		e, ok := events.Next()
		if !ok {
			break
		}
		switch s.delivery.position.place(e) {
		case placeRepeated:
			s.held = nil
			continue
		case placeAfterGap:
			return errGap.New("event %d came after %d", e.ID, s.delivery.position.last)
		case placeUnknown:
			if err := s.hold(e); err != nil {
				return err
			}
			continue
		}
		s.noteFirstByte()
		s.noteBegin()
		if s.answer.firstEvent == NoEvent {
			s.answer.firstEvent = e.ID
		}
		for _, next := range append(s.held, e) {
			if err := s.delivery.sendEvent(answer, next); err != nil {
				return err
			}
		}
		s.held = nil
		forwarded = true
	}
	if forwarded {
		s.noteAnswering(false)
		return s.delivery.flush()
	}
	return nil
}

// hold keeps an event until its place is known. Comments are dropped.
func (s *requestState) hold(e sse.Event) error {
	if !e.HasData {
		return nil
	}
	if len(s.held) == maxHeld {
		return errGap.New("more than %d events without ID came first", maxHeld)
	}
	e.Raw = bytes.Clone(e.Raw)
	s.held = append(s.held, e)
	return nil
}

// eventReadTimeout returns how long a stream may send nothing before another target is sought
// for it, 0 for no limit.
func (s *requestState) eventReadTimeout() time.Duration {
	if !s.mayRetry() {
		return 0
	}
	if !s.answerStarted.Load() {
		return max(s.firstByteTimeout-time.Since(s.attemptStart), minFirstEventTimeout)
	}
	timeout := time.Duration(gapTimeoutFactor * float64(s.request.Route.GapObjective))
	return min(max(timeout, minGapTimeout), maxGapTimeout)
}
