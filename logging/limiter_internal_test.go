package logging

import "testing"

// Guards against a log that drops nearly all lines after the clock was set back, until it has
// caught up.
func TestLimitAfterTheClockWasSetBack(t *testing.T) {
	l := limiter{perSecond: 1}
	for i, step := range []struct {
		second int64
		want   bool
	}{{100, true}, {100, false}, {99, false}, {40, true}, {40, false}, {41, true}} {
		if got := l.allow(step.second); got != step.want {
			t.Errorf("line %d, in second %d: %v", i, step.second, got)
		}
	}
}
