package batch_test

import (
	"testing"
	"time"

	"tarragonhollow.example/tarragonhollow/core/batch"
)

// An item that waits for a slot although it has little time finishes late; one that takes
// a slot although it has time is preempted soon afterwards.
func TestShortOfTimeIsAnItemThatWouldHaveLessThanHalfOfItsTimeLeft(t *testing.T) {
	const whole = 18 * time.Second
	for _, c := range []struct {
		name string
		work batch.Work
		want bool
	}{
		{"accepted just now", batch.Work{Due: whole, Left: 5 * time.Second}, false},
		{"exactly half left after its run", batch.Work{Due: 14 * time.Second, Left: 5 * time.Second}, false},
		{"less than half left after its run", batch.Work{Due: 14*time.Second - 1, Left: 5 * time.Second}, true},
		{"just in time", batch.Work{Due: 5 * time.Second, Left: 5 * time.Second}, true},
		{"can't finish on time", batch.Work{Due: 5*time.Second - 1, Left: 5 * time.Second}, false},
		{"run time not known, half left", batch.Work{Due: whole / 2}, false},
		{"run time not known, less than half left", batch.Work{Due: whole/2 - 1}, true},
		{"due now", batch.Work{}, false},
		{"overdue", batch.Work{Due: -time.Second}, false},
	} {
		if got := batch.ShortOfTime(c.work, whole); got != c.want {
			t.Errorf("%s: short of time is %t", c.name, got)
		}
	}
}
