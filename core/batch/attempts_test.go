package batch_test

import (
	"testing"

	"pgregory.net/rapid"

	"tarragonhollow.example/tarragonhollow/core/batch"
	"tarragonhollow.example/tarragonhollow/core/outcome"
)

// A job is submitted to the log and through two other daemons. Its caller may be told that
// it does not run only if every attempt has ended and is known not to have run it.
func TestAttemptsNeverDenyWhatMayRun(t *testing.T) {
	refusals := []*outcome.Refusal{
		nil,
		outcome.Refuse(outcome.LogUnavailable, "out"),
		outcome.Refuse(outcome.LogUnavailable, "no answer").WithRun(outcome.MayHaveRun),
		outcome.Refuse(outcome.CallerLimit, "full"),
	}
	rapid.Check(t, func(t *rapid.T) {
		var a batch.Attempts
		accepted, mayHaveRun, limit := false, false, false
		n := rapid.IntRange(1, 4).Draw(t, "attempts")
		for range n {
			a.Begin()
		}
		for i := range n {
			if !a.Open() {
				t.Fatalf("%d of %d attempts have ended, and none is open", i, n)
			}
			refusal := rapid.SampledFrom(refusals).Draw(t, "end")
			a.End(refusal)
			accepted = accepted || refusal == nil
			mayHaveRun = mayHaveRun || refusal != nil && refusal.Run != outcome.NotRun
			limit = limit || refusal != nil && refusal.Code == outcome.CallerLimit
		}
		got := a.Refusal()
		switch {
		case a.Open() || a.Accepted() != accepted || accepted != (got == nil):
			t.Fatalf("accepted %v, got %v", accepted, got)
		case accepted:
		case mayHaveRun != (got.Run == outcome.MayHaveRun):
			t.Fatalf("may have run: %v, got %v", mayHaveRun, got)
		case limit != (got.Code == outcome.CallerLimit) || limit != a.Final():
			t.Fatalf("refused by the quota: %v, got %v", limit, got)
		}
	})
}
