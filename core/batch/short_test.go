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

// An overdue item that waits for slots that online work always holds back is given up
// without a result.
func TestAnOverdueItemIsNearGivenUpAfterHalfOfTheTimeForWhichItIsKept(t *testing.T) {
	const keep = time.Minute
	for _, c := range []struct {
		name string
		work batch.Work
		age  time.Duration
		keep time.Duration
		want bool
	}{
		{"can finish on time", batch.Work{Due: 5 * time.Second, Left: 5 * time.Second}, 55 * time.Second, keep, false},
		{"exactly half left after its run", batch.Work{Due: -7 * time.Second, Left: 5 * time.Second}, 25 * time.Second, keep, false},
		{"less than half left after its run", batch.Work{Due: -7 * time.Second, Left: 5 * time.Second}, 25*time.Second + 1, keep, true},
		{"not overdue, but can't finish on time", batch.Work{Due: time.Second, Left: 5 * time.Second}, 40 * time.Second, keep, true},
		{"past that time", batch.Work{Due: -50 * time.Second}, 2 * keep, keep, true},
		{"never given up", batch.Work{Due: -50 * time.Second}, 2 * keep, 0, false},
	} {
		if got := batch.NearGivenUp(c.work, c.age, c.keep); got != c.want {
			t.Errorf("%s: near given up is %t", c.name, got)
		}
	}
}

// Items that each have time may together have none: if the number of slots that they need
// is too low, the reserve keeps slots from a backlog until it is too late for all of it.
func TestNeededIsTheNumberOfSlotsThatFinishesAllItemsOnTime(t *testing.T) {
	const s = time.Second
	for _, c := range []struct {
		name  string
		works []batch.Work
		want  float64
	}{
		{"none", nil, 0},
		{"one", []batch.Work{{Due: 10 * s, Left: 5 * s}}, 0.5},
		{"the last due time binds", []batch.Work{{Due: 10 * s, Left: 5 * s}, {Due: 12 * s, Left: 19 * s / 2}, {Due: 12 * s, Left: 19 * s / 2}}, 2},
		{"the first due time binds", []batch.Work{{Due: 20 * s, Left: 5 * s}, {Due: 5 * s, Left: 5 * s}}, 1},
		{"overdue and impossible items are ignored", []batch.Work{{Due: -s, Left: 5 * s}, {Due: 4 * s, Left: 5 * s}, {Due: 10 * s, Left: 5 * s}}, 0.5},
		{"run times not known", []batch.Work{{Due: 5 * s}}, 0},
	} {
		if got := batch.Needed(c.works); got != c.want {
			t.Errorf("%s: %v slots, want %v", c.name, got, c.want)
		}
	}
}
