package batch_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"tarragonhollow.example/tarragonhollow/core/batch"
)

// An item that waits for a version that doesn't come back, or starts over although waiting costs
// less.
func TestVersionWait(t *testing.T) {
	for _, c := range []struct {
		name        string
		redo, slack time.Duration
		served      bool
		want        time.Duration
	}{
		{"few events", 80 * time.Millisecond, time.Minute, true, 80 * time.Millisecond},
		{"many events, all targets of the version full", 20 * time.Second, time.Minute, true, 20 * time.Second},
		{"many events, no target of the version", 20 * time.Second, time.Minute, false, 2500 * time.Millisecond},
		{"short of time", 20 * time.Second, time.Second, true, time.Second},
		{"late if it starts over", 2 * time.Second, -time.Second, true, 2 * time.Second},
	} {
		if got := batch.VersionWait(c.redo, c.slack, c.served); got != c.want {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
}

// The wait ends, and starting over after it is on time if it was before.
func TestVersionWaitIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		redo := time.Duration(rapid.Int64Range(0, int64(time.Hour)).Draw(t, "redo"))
		slack := time.Duration(rapid.Int64Range(-int64(time.Hour), int64(time.Hour)).Draw(t, "slack"))
		wait := batch.VersionWait(redo, slack, rapid.Bool().Draw(t, "served"))
		if wait < 0 || wait > redo || slack > 0 && wait > slack {
			t.Fatalf("wait %v", wait)
		}
	})
}

// A holder that has just started has observed no run. Events that it restored must not count as
// nothing.
func TestRunTime(t *testing.T) {
	var e batch.Estimator
	if e.RunTime(100) <= time.Second {
		t.Fatalf("%v before any run", e.RunTime(100))
	}
	e.ObserveRun(10, time.Second)
	if got := e.RunTime(20); got != 2*time.Second {
		t.Fatalf("%v after a run of 100 ms per event", got)
	}
}
