package relay

import (
	"github.com/joomcode/errorx"
	"go.uber.org/zap"

	"tarragonhollow.example/tarragonhollow/core/roster"
	"tarragonhollow.example/tarragonhollow/core/routing"
	"tarragonhollow.example/tarragonhollow/daemon/places"
	"tarragonhollow.example/tarragonhollow/target/h1"
)

// EndCheck decides whether an answer without framing is complete.
type EndCheck struct {
	Places *places.Places
	Logger *zap.Logger
}

// Confirm returns no error if the end of the connection is the end of the answer; left is set if its
// target has left right behind it. Else it returns an error of type h1.Broken.
//
// A target that leaves in order ends its last answer and then its process; one that is killed ends
// both at once. So an end counts as orderly if the target had announced its leave, long enough ago
// that it need not serve any more, and the end looks like that; see h1.Ending.InOrder.
func (c EndCheck) Confirm(answer *h1.Answer, id string, t roster.Target) (left bool, err error) {
	err = answer.ConfirmEnd()
	if !errorx.IsOfType(err, h1.Gone) {
		return false, err
	}
	departure, ending := c.Places.Departure(t), answer.Ending()
	left = departure.Over && ending.InOrder()
	c.Logger.Info("answer_end_unconfirmed", zap.String("id", id), zap.String("target", t.ID), zap.Bool("left_in_order", left),
		zap.Bool("leave_announced", departure.Announced), zap.Int64("announced_ago_ms", departure.Ago.Milliseconds()), zap.Bool("leave_over", departure.Over),
		zap.Bool("target_open", ending.TargetOpen), zap.Bool("end_delay_known", ending.DelayKnown), zap.Int64("end_delay_ms", ending.Delay.Milliseconds()),
		zap.Int64("end_waited_us", ending.Waited.Microseconds()), zap.Bool("others_broken", ending.OtherBroken))
	if !left {
		return false, err
	}
	answer.Leaves()
	return true, nil
}

// keepFallback keeps an answer for the case that no further attempt gives a better one.
func (s *requestState) keepFallback(a bufferedAnswer) {
	if s.delivery.keepFallback(a) {
		s.fallback = s.answer
	}
}

// confirmEnd decides whether the answer is complete; see EndCheck.Confirm.
func (s *requestState) confirmEnd(answer *h1.Answer, t roster.Target) (left bool, err error) {
	return EndCheck{s.relay.Places, s.relay.Logger}.Confirm(answer, s.request.ID, t)
}

// targetLeft returns the result of an attempt whose target left in order right behind its answer,
// where another target may show whether anything was missing.
func targetLeft(t roster.Target) attemptResult {
	return attemptResult{reached: true, left: true, detail: t.ID + " left right behind its answer", health: routing.Neutral}
}
