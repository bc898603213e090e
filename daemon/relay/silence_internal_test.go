package relay

import (
	"context"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"tarragonhollow.example/tarragonhollow/core/retry"
	"tarragonhollow.example/tarragonhollow/core/roster"
	"tarragonhollow.example/tarragonhollow/daemon/places"
)

// Guards against an attempt that is ended although its target has gone on: the search finds a slot
// just after the wait has ended. The slot must not stay taken, nor the retry spent.
func TestDoesNotLeaveATargetThatHasGoneOn(t *testing.T) {
	view := places.New(places.Options{Host: "h", Zone: "z", Logger: zap.NewNop()})
	view.Update(func(now time.Time, ros *roster.Roster) {
		ros.StoreAnswered(now)
		ros.Replace(now, []roster.Target{{ID: "b", Group: "g", Address: "127.0.0.1:1", Zone: "z", Slots: 1}})
	})
	relay := New(Options{Places: view, Logger: zap.NewNop(), Metrics: metrics.NewSet()})
	attempt, cancel := context.WithCancelCause(context.Background())
	defer cancel(nil)
	w := &silenceWatch{relay: relay, address: "a", ctx: attempt, cancel: cancel}
	// More often than the budget has retries.
	for range int(2 * retry.MaxTokens) {
		wait, end := context.WithCancel(attempt)
		decision := relay.decide(retry.Situation{Failure: retry.Failure{Reached: true}, Repeatable: true, Retries: 1, Deadline: time.Now().Add(time.Minute)})
		if decision.Refusal != nil {
			t.Fatalf("the retry was not refunded: %v", decision.Refusal)
		}
		slot, refusal := view.Acquire(wait, places.Request{ID: "r", Group: "g"})
		if refusal != nil {
			t.Fatal(refusal)
		}
		end()
		w.leave(wait, slot, time.Now(), 1)
		if busy := view.BusyTargets(); len(busy) != 0 {
			t.Fatalf("the slot was not released: %v", busy)
		}
	}
	if attempt.Err() != nil || w.replacement() != nil {
		t.Error("the attempt was ended")
	}
}
