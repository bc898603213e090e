package relay

import (
	"context"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"tarragonhollow.example/tarragonhollow/core/retry"
	"tarragonhollow.example/tarragonhollow/core/roster"
	"tarragonhollow.example/tarragonhollow/core/route"
	"tarragonhollow.example/tarragonhollow/daemon/places"
)

// Guards against a stream that is joined from two versions, or after an event without ID: its
// first or next event arrives while its target is left for a slot that was sought without it.
func TestDoesNotUseASlotThatNoLongerFitsTheStream(t *testing.T) {
	for name, arrived := range map[string]func(s *requestState){
		"another version": func(s *requestState) { s.stream = streamVersion{bound: true, version: "v1"} },
		"event without ID": func(s *requestState) {
			s.stream = streamVersion{bound: true, version: "v2"}
			s.delivery.headSent, s.delivery.position.unnumbered = true, true
		},
	} {
		t.Run(name, func(t *testing.T) {
			view := places.New(places.Options{Host: "h", Zone: "z", Logger: zap.NewNop()})
			view.Update(func(now time.Time, ros *roster.Roster) {
				ros.StoreAnswered(now)
				ros.Replace(now, []roster.Target{{ID: "b", Group: "g", Address: "127.0.0.1:1", Zone: "z", Version: "v2", Slots: 1}})
			})
			relay := New(Options{Places: view, Logger: zap.NewNop(), Metrics: metrics.NewSet()})
			now := time.Now()
			s := &requestState{relay: relay, delivery: newDelivery(nil, newPosition()), excluded: map[string]bool{}, watch: &silenceWatch{},
				request: &Request{ID: "r", Arrived: now, Deadline: now.Add(time.Minute), Route: &route.Route{
					Kind: route.Stream, Resumable: true, MaxAttempts: 3, Groups: []route.Share{{Group: "g", Weight: 1}}}}}
			slot, refusal := view.Acquire(context.Background(), s.placesRequest())
			if refusal != nil {
				t.Fatal(refusal)
			}
			relay.decide(retry.Situation{Failure: retry.Failure{Reached: true}, Repeatable: true, Retries: 2, Deadline: s.request.Deadline})
			s.next = &slot
			arrived(s)

			result, final := s.afterFailure(context.Background(), roster.Target{ID: "a", Start: "a"}, attemptResult{reached: true, detail: "left"})
			if s.next != nil {
				t.Error("the slot would be used")
			}
			if busy := view.BusyTargets(); len(busy) != 0 {
				t.Errorf("the slot was not released: %v", busy)
			}
			if name == "event without ID" && (!final || result.Refusal != nil) {
				t.Errorf("the stream was not cut off: %v %v", result, final)
			}
		})
	}
}
