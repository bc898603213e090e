package relay

import (
	"time"

	"go.uber.org/zap"

	"tarragonhollow.example/tarragonhollow/core/roster"
	"tarragonhollow.example/tarragonhollow/target/h1"
)

// answerSeen describes the answer that an attempt received, for logs and metrics.
type answerSeen struct {
	// status is 0 if no head was received.
	status  int
	framing h1.Framing
	// firstEvent is the ID of the first event that was forwarded, or NoEvent.
	firstEvent int64
}

func (a answerSeen) fields() []zap.Field {
	return []zap.Field{zap.Int("answer_status", a.status), zap.String("answer_framing", string(a.framing)),
		zap.Int64("answer_first_event", a.firstEvent)}
}

// logFailedAttempt logs how an attempt ended that did not complete the answer.
func (s *requestState) logFailedAttempt(t roster.Target, failed attemptResult) {
	fields := append([]zap.Field{
		zap.String("id", s.request.ID), zap.String("target", t.ID), zap.Int("attempt", s.runs+s.rejections+1),
		zap.Bool("reached", failed.reached), zap.String("cause", failed.detail),
		zap.Int64("last_event", s.delivery.position.last), zap.Int64("ms", time.Since(s.attemptStart).Milliseconds()),
	}, s.answer.fields()...)
	s.relay.Logger.Info("attempt_failed", fields...)
}
