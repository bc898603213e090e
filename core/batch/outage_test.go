package batch_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"tarragonhollow.example/tarragonhollow/core/batch"
)

const (
	callerDeadline = 5 * time.Second
	// answerTime is how long a refusal takes: a daemon submits the job to the log and,
	// 100 ms later, through other daemons.
	answerTime = 100 * time.Millisecond
	// leastTimeLeft is what a caller must have left to return: an answer may take 400 ms.
	leastTimeLeft = 400 * time.Millisecond
)

// outageResult is what the callers of a replayed outage met.
type outageResult struct {
	// sent holds how often each job was sent, in ascending order.
	sent []int
	// late counts the jobs that were not accepted within 2 s of the outage's end although
	// their callers had the time.
	late int
}

func (r outageResult) median() int { return r.sent[len(r.sent)/2] }
func (r outageResult) most() int   { return r.sent[len(r.sent)-1] }

// replayOutage lets callers submit a job each, at any time of an outage, to daemons whose
// reads of the log fail. A caller that is refused waits for the Retry-After, but for at most
// a third of the time that it has left, and returns to another daemon.
func replayOutage(length time.Duration, pause func(o *batch.Outage, now time.Time, left time.Duration, random float64) time.Duration) outageResult {
	const callers = 2000
	began := time.Unix(1000, 0)
	ended := began.Add(length)
	random := rand.New(rand.NewPCG(uint64(length), 5))
	var result outageResult
	for range callers {
		now := began.Add(time.Duration(random.Float64() * float64(length)))
		deadline := now.Add(callerDeadline)
		sent, accepted := 0, false
		for !accepted && deadline.Sub(now) >= leastTimeLeft {
			sent++
			if now = now.Add(answerTime); !now.Before(ended) {
				accepted = true
				break
			}
			left := deadline.Sub(now)
			now = now.Add(min(pause(daemonAt(began, now, random), now, left, random.Float64()), left/3))
		}
		result.sent = append(result.sent, sent)
		if bound := ended.Add(2 * time.Second); !deadline.Before(bound) && (!accepted || now.After(bound)) {
			result.late++
		}
	}
	slices.Sort(result.sent)
	return result
}

// daemonAt returns the outage as seen by a daemon that reads the log up to every 400 ms
// and has seen its first failure up to a second after the outage began, since a read waits
// for a second.
func daemonAt(began, now time.Time, random *rand.Rand) *batch.Outage {
	o := &batch.Outage{}
	first := began.Add(time.Duration(random.Float64() * float64(time.Second)))
	for at := first; !at.After(now); at = at.Add(400 * time.Millisecond) {
		o.Failed(at)
	}
	o.Failed(now) // the submission itself
	return o
}

// Guards against submissions that return again and again while the log is out: one job was
// sent 8 times in the median and up to 24 times in 5 s. It must still be accepted soon after
// the outage.
func TestOutagePauseBoundsSubmissions(t *testing.T) {
	for _, length := range []time.Duration{5 * time.Second, 7 * time.Second} {
		got := replayOutage(length, func(o *batch.Outage, now time.Time, left time.Duration, random float64) time.Duration {
			return batch.OutagePause(o.Age(now), left, random)
		})
		if got.median() > 4 || got.most() > 8 || got.late > 0 {
			t.Errorf("%v: a job is sent %d times in the median, %d at most, %d are late", length, got.median(), got.most(), got.late)
		}
		t.Logf("%v: median %d, at most %d", length, got.median(), got.most())
		earlier := replayOutage(length, func(*batch.Outage, time.Time, time.Duration, float64) time.Duration { return 500 * time.Millisecond })
		if earlier.median() <= 4 || earlier.most() <= 8 {
			t.Errorf("%v: the replay does not show the fault: %d in the median, %d at most", length, earlier.median(), earlier.most())
		}
		t.Logf("%v, earlier rule: median %d, at most %d", length, earlier.median(), earlier.most())
	}
}

// Guards against a pause that no caller waits for, and one that makes callers return
// together.
func TestOutagePauseBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		age := time.Duration(rapid.Int64Range(0, int64(time.Hour)).Draw(t, "age"))
		left := time.Duration(rapid.Int64Range(0, int64(time.Minute)).Draw(t, "left"))
		random := rapid.Float64Range(0, 0.999).Draw(t, "random")
		got := batch.OutagePause(age, left, random)
		if got < 0 || got > 2500*time.Millisecond || left > 0 && got > left/3 {
			t.Fatalf("a pause of %v", got)
		}
		if (left == 0 || left > 10*time.Second) && got < 375*time.Millisecond {
			t.Fatalf("a pause of %v", got)
		}
	})
}

// Guards against an outage that is never over, or that is taken for a second one.
func TestOutageAge(t *testing.T) {
	var o batch.Outage
	now := time.Unix(1000, 0)
	if age := o.Age(now); age != 0 {
		t.Fatalf("an outage of %v without a failure", age)
	}
	o.Failed(now)
	o.Failed(now.Add(4 * time.Second))
	if age := o.Age(now.Add(6 * time.Second)); age != 6*time.Second {
		t.Fatalf("age %v, want 6s", age)
	}
	if age := o.Age(now.Add(time.Minute)); age != 0 {
		t.Fatalf("an outage of %v, whose last failure was 56 s ago", age)
	}
	o.Failed(now.Add(time.Minute))
	if age := o.Age(now.Add(time.Minute + time.Second)); age != time.Second {
		t.Fatalf("age %v of a second outage, want 1s", age)
	}
	o.Succeeded()
	if age := o.Age(now.Add(time.Minute + time.Second)); age != 0 {
		t.Fatalf("age %v after a success", age)
	}
}
