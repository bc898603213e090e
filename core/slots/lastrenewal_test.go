package slots_test

import (
	"testing"
	"time"

	"tarragonhollow.example/tarragonhollow/core/slots"
)

// Requests wait for their whole maximum wait in vain. Refused without the leader, their callers
// would get no time of return, and would not count as returning ones.
func TestTheLastRenewalIsAnsweredWithTheTimeOfReturn(t *testing.T) {
	l := slots.NewLedgerWith(slots.Policy{Queue: true, PacedReturn: true})
	l.SetTargets(map[string][]slots.Target{"g": {{Start: "t", Slots: 1}}})
	now := start
	r := func(number uint64, patience time.Duration) slots.Request {
		return slots.Request{ID: slots.ID{Holder: "h", Number: number}, Group: "g", MayWait: true, Patience: patience,
			ObjectiveLeft: 300 * time.Millisecond, DeadlineLeft: 3 * time.Second, Content: number}
	}
	if got := l.Grant(now, r(1, time.Second), 0); got.Verdict != slots.Granted {
		t.Fatalf("the first request: %v", got)
	}
	if got := l.Grant(now, r(2, 300*time.Millisecond), 0); got.Verdict != slots.Waiting {
		t.Fatalf("the second request: %v", got)
	}
	if got := l.Grant(now.Add(200*time.Millisecond), r(2, 100*time.Millisecond), 0); got.Verdict != slots.Waiting {
		t.Fatalf("a renewal: %v", got)
	}
	now = now.Add(300*time.Millisecond - slots.LastRenewal)
	got := l.Grant(now, r(2, slots.LastRenewal), 0)
	if got.Verdict != slots.Overloaded || got.RetryAfter <= 0 || got.RetryAfter > time.Second {
		t.Fatalf("the last renewal: %v, return after %s", got.Verdict, got.RetryAfter)
	}
	if n := l.Waiting()["g"]; n != 0 {
		t.Fatalf("%d requests still wait", n)
	}
	if ended := l.Dispatch(now); len(ended) != 0 {
		t.Fatalf("the wait ends a second time: %v", ended)
	}
}
