package relay

import (
	"math"
	"time"

	"go.uber.org/zap"

	"tarragonhollow.example/tarragonhollow/core/roster"
	"tarragonhollow.example/tarragonhollow/logging"
	"tarragonhollow.example/tarragonhollow/target/h1"
)

// answerSeen describes the answer that an attempt received, for logs and metrics.
type answerSeen struct {
	h1.Record
	// firstEvent is the ID of the first event that was forwarded, or NoEvent.
	firstEvent int64
}

// answerFields returns the fields about the last attempt's answer.
func (s *requestState) answerFields() []zap.Field {
	a := &s.answer
	return append(ExchangeFields(&a.Record), zap.Int64("answer_first_event", a.firstEvent),
		zap.Int64("left_ms", s.leftMs()), zap.Bool("stopping", s.relay.stopping()))
}

// ExchangeFields returns the log fields about an exchange with a target.
func ExchangeFields(r *h1.Record) []zap.Field {
	return []zap.Field{zap.Int("answer_status", r.Status), zap.String("answer_framing", string(r.Framing)),
		zap.String("answer_end", string(r.End)), zap.Bool("connection_reused", r.Reused)}
}

// resumedAfter returns the ID of the last event that the caller had when it sent the request, or
// NoEvent.
func (r *Request) resumedAfter() int64 {
	if !r.Resumes {
		return NoEvent
	}
	return r.After
}

// leftMs returns the time to the deadline at the end of the last attempt's answer, or now if
// there was none. It is rounded down: a negative number is an end after the deadline.
func (s *requestState) leftMs() int64 {
	at := s.answer.EndedAt
	if at.IsZero() {
		at = time.Now()
	}
	return int64(math.Floor(float64(s.request.Deadline.Sub(at)) / float64(time.Millisecond)))
}

// logFailedAttempt logs how an attempt ended that did not complete the answer.
func (s *requestState) logFailedAttempt(t roster.Target, failed attemptResult) {
	fields := append([]zap.Field{
		zap.String("id", s.request.ID), zap.String("target", t.ID), zap.String("version", t.Version), zap.Int("attempt", s.runs+s.rejections+1),
		zap.Bool("reached", failed.reached), zap.String("cause", failed.detail),
		zap.Int64("last_event", s.delivery.position.last), zap.Int64("ms", time.Since(s.attemptStart).Milliseconds()),
	}, s.answerFields()...)
	fields = append(fields, s.watch.fields()...)
	s.relay.Logger.Info("attempt_failed", fields...)
}

// responseEnd is what the relay made of the response to a caller, for logs.
func (s *requestState) responseEnd(result Result) string {
	switch {
	case s.delivery.cutShort():
		return "cut_off"
	case s.delivery.complete:
		return "complete"
	case result.Refusal != nil:
		return "refusal"
	default:
		return "none"
	}
}

// recordEnd logs the end of a request and updates its metrics.
func (r *Relay) recordEnd(request *Request, state *requestState, result Result, panicked bool) {
	took := time.Since(request.Arrived)
	outcomeLabel := "served"
	switch {
	case panicked:
		outcomeLabel = "panic"
	case result.CallerLeft:
		outcomeLabel = "caller_left"
	case result.Aborted:
		outcomeLabel = "broken_off"
	case result.Refusal != nil:
		outcomeLabel = string(result.Refusal.Code)
	}
	r.meter.observe(request.Route.Kind, outcomeLabel, took, state.timeToFirstByte)
	if outcomeLabel == "served" {
		r.meter.countAnswer(request.Route.Kind, state.answer)
	}
	fields := []zap.Field{
		zap.String("id", request.ID), zap.String("account", request.Account), zap.String("route", request.Route.Name), zap.String("group", state.groupName),
		zap.Int64("objective_ms", request.Route.Objective.Milliseconds()), zap.String("outcome", outcomeLabel),
		zap.Int("status", state.delivery.status), zap.Int("runs", state.runs), zap.Int("refusals", state.rejections),
		zap.String("target", state.lastTarget.ID), zap.String("version", state.lastTarget.Version),
		zap.Int64("ms", took.Milliseconds()),
		zap.Int64("first_ms", state.timeToFirstByte.Milliseconds()), zap.Int64("last_event", state.delivery.position.last),
		zap.String("response", state.responseEnd(result)), zap.Int("events", state.delivery.events), zap.Int64("bytes", state.delivery.sent.bytes),
	}
	fields = append(fields, state.answerFields()...)
	if state.stream.bound {
		fields = append(fields, state.versionFields()...)
	}
	fields = append(fields, state.partFields()...)
	if result.Refusal != nil {
		fields = append(fields, zap.String("run", string(result.Refusal.Run)), zap.Int64("retry_after_ms", result.Refusal.RetryAfterMs),
			zap.String("reason", result.Refusal.Message))
	}
	if state.lastFailure != "" {
		fields = append(fields, zap.String("cause", state.lastFailure))
	}
	if outcomeLabel == "served" {
		r.Logger.Info("request", append(fields, logging.EndOfRequest())...)
		return
	}
	r.Logger.Warn("request", fields...)
}
