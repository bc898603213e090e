package relay

import (
	"context"
	"time"

	"go.uber.org/zap"

	"tarragonhollow.example/tarragonhollow/core/crashparts"
	"tarragonhollow.example/tarragonhollow/core/outcome"
	"tarragonhollow.example/tarragonhollow/daemon/duty"
)

const (
	// maxLimitedWait is how long a request waits for another one with the same suspect part, whose
	// answer usually begins within that time. limitedRetryMs is the retry delay, in milliseconds,
	// of a caller that is refused then.
	maxLimitedWait = 400 * time.Millisecond
	limitedRetryMs = 400
)

// errPartRefused ends the wait or the attempt of a request that is refused because of a part of its
// prompt.
var errPartRefused = errAttemptEnded.New("a part of the prompt crashes targets")

// promptParts is what a request's prompt has to do with crashes of targets.
type promptParts struct {
	// ids are the IDs of the parts that other requests may share.
	ids []string
	// decision is the last verdict on the request.
	decision crashparts.Decision
	// crashes counts the targets that crashed before they had begun an answer to the request.
	crashes int
	// probe is the refused part in spite of which the request runs, "" for none.
	probe string
	// release ends that the request is the only one with a part that is limited; may be nil.
	release func()
}

// refuseOnArrival returns a refusal for a request with a part that crashes targets.
func (s *requestState) refuseOnArrival(ctx context.Context) *outcome.Refusal {
	s.parts.ids = s.relay.Wire.PromptParts(s.request.HTTP.Header)
	if s.decideParts(ctx).Verdict < crashparts.Pending || s.takeProbe() {
		return nil
	}
	return partRefused()
}

// decidePartsNow reports whether the request is refused because of its parts by now.
func (s *requestState) decidePartsNow() bool {
	if s.parts.probe != "" {
		return false
	}
	s.parts.decision = s.relay.Crashes.DecideNow(s.parts.ids)
	return s.parts.decision.Verdict >= crashparts.Pending
}

func (s *requestState) decideParts(ctx context.Context) crashparts.Decision {
	s.parts.decision = s.relay.Crashes.DecideParts(ctx, s.parts.ids)
	return s.parts.decision
}

// takeProbe reports whether the request runs although it is refused, to find out whether its part
// still crashes targets.
func (s *requestState) takeProbe() bool {
	if s.runs > 0 || !s.relay.Crashes.Probe(s.parts.decision.Part) {
		return false
	}
	s.parts.probe, s.alone = s.parts.decision.Part, true
	return true
}

func partRefused() *outcome.Refusal {
	return outcome.Refuse(outcome.NoTarget, "a part of the prompt crashed the targets that began an answer on it")
}

// checkParts returns a refusal for a request whose prompt may crash a further target, before each
// attempt. A request that must be the only one with its part waits for the other one.
func (s *requestState) checkParts(ctx context.Context) *outcome.Refusal {
	s.endLimit()
	if s.parts.probe != "" && s.runs == 0 {
		return nil
	}
	for until := time.Now().Add(maxLimitedWait); ; {
		d := s.decideParts(ctx)
		switch {
		case d.Verdict >= crashparts.Pending:
			return partRefused()
		case d.Verdict < crashparts.Limited:
			return nil
		case s.parts.crashes > 0 && !d.Answered:
			return partRefused()
		}
		if s.beginLimit(d.Part) {
			return nil
		}
		if time.Now().After(until) || !duty.Pause(ctx, pendingPause) {
			return outcome.Refuse(outcome.Overloaded, "another request with a part of this prompt, which may have crashed targets, has not been answered yet").After(limitedRetryMs)
		}
	}
}

// beginLimit reports whether the request may run as the only one with the part, alone if possible.
func (s *requestState) beginLimit(part string) bool {
	release, ok := s.relay.Crashes.Limit(part)
	if ok {
		s.parts.release, s.alone = release, true
	}
	return ok
}

// endLimit lets other requests with the part run.
func (s *requestState) endLimit() {
	if s.parts.release != nil {
		s.parts.release()
		s.parts.release = nil
	}
}

// waitForSlot calls wait with a context that ends with errPartRefused when the request is refused
// because of its parts.
func (s *requestState) waitForSlot(ctx context.Context, wait func(ctx context.Context)) {
	until, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	if s.parts.probe == "" {
		defer s.relay.Crashes.OnRefused(s.parts.ids, func() { cancel(errPartRefused) })()
	}
	wait(until)
}

// endWhenRefused ends the current attempt when the request is refused because of its parts, unless
// its answer has begun. The function returned stops that.
func (s *requestState) endWhenRefused(cancel context.CancelCauseFunc) (stop func()) {
	if s.parts.probe != "" {
		return func() {}
	}
	running := s.running
	return s.relay.Crashes.OnRefused(s.parts.ids, func() {
		if !running.Began() {
			cancel(errPartRefused)
		}
	})
}

// noteAnswering records that events of the answer arrive, and that all of it did if complete is set.
func (s *requestState) noteAnswering(complete bool) {
	if s.relay.Crashes.Answering(s.running, complete) {
		s.endLimit()
	}
}

// noteAttemptEnd records how an attempt ended as far as it concerns the parts of the prompt.
func (s *requestState) noteAttemptEnd(crashed bool, result attemptResult) {
	s.endLimit()
	if crashed && !s.running.livedOn(time.Now()) {
		s.parts.crashes++
	}
	if s.parts.probe != "" && !result.done && !result.reached {
		s.relay.Crashes.CancelProbe(s.parts.probe)
	}
}

// partFields returns the log fields about the verdict on the request's parts.
func (s *requestState) partFields() []zap.Field {
	d := s.parts.decision
	if d.Part == "" {
		return nil
	}
	return []zap.Field{zap.String("part", d.Part), zap.Int("part_crashes", d.Crashes), zap.Int64("part_verdict_age_ms", d.Age.Milliseconds()),
		zap.Bool("part_probe", s.parts.probe != "")}
}
