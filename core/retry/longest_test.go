package retry_test

import (
	"testing"
	"time"

	"tarragonhollow.example/tarragonhollow/core/retry"
)

// Guards against a bound from too few runs, and against one that long runs of long ago keep high.
func TestLongestRunFollowsTheRunsOfLate(t *testing.T) {
	var l retry.LongestRun
	now := time.Unix(1_800_000_000, 0)
	for i := range 16 {
		if _, ok := l.Bound(now); ok {
			t.Fatalf("a bound after %d runs", i)
		}
		l.Ended(now, 4*time.Second)
	}
	if bound, ok := l.Bound(now.Add(59 * time.Second)); !ok || bound != 5*time.Second {
		t.Fatalf("bound %s, %t", bound, ok)
	}
	now = now.Add(61 * time.Second)
	for range 16 {
		l.Ended(now, time.Second)
	}
	if bound, ok := l.Bound(now); !ok || bound != 5*time.Second {
		t.Fatalf("bound %s, %t while the long runs are recent", bound, ok)
	}
	if bound, ok := l.Bound(now.Add(61 * time.Second)); !ok || bound != 1250*time.Millisecond {
		t.Fatalf("bound %s, %t of the later runs", bound, ok)
	}
	if _, ok := l.Bound(now.Add(3 * time.Minute)); ok {
		t.Fatal("a bound from runs of long ago")
	}
}
