package slots_test

import (
	"testing"
	"time"

	"tarragonhollow.example/tarragonhollow/core/routing"
	"tarragonhollow.example/tarragonhollow/core/slots"
)

// Most targets are down, and the remaining ones get half again as many requests as they
// can run. Requests of the desk (rank 0) and the kitchen's tickets (rank 2) arrive
// equally often. Without ranks both would find the same queue, and the desk's requests
// would be refused as often as the tickets.
func TestUrgentRequestsAreServedFirstWhenSlotsAreShort(t *testing.T) {
	const (
		slotCount = 8
		took      = 200 * time.Millisecond
		every     = 16 * time.Millisecond
	)
	l := slots.NewLedger()
	l.SetTargets(map[string][]slots.Target{"g": {{Start: "t", Slots: slotCount}}})
	now := time.Unix(1000, 0)
	var running []uint64
	free := make([]time.Time, slotCount)
	ends := map[uint64]time.Time{}
	served, refused := map[int]int{}, map[int]int{}
	for n := range uint64(2000) {
		now = now.Add(every)
		for len(running) > 0 && !ends[running[0]].After(now) {
			l.End(now, "h", []slots.Ended{{Number: running[0], Target: "t", Outcome: routing.Succeeded, Took: took}})
			running = running[1:]
		}
		rank := int(n%2) * 2
		request := slots.Request{ID: slots.ID{Holder: "h", Number: n + 1}, Group: "g", Patience: routing.MaxWait(5*time.Second, rank)}
		if l.Grant(now, request, n).Verdict != slots.Granted {
			refused[rank]++
			continue
		}
		served[rank]++
		slot := int(n) % slotCount
		for i := range free {
			if free[i].Before(free[slot]) {
				slot = i
			}
		}
		begins := now
		if free[slot].After(now) {
			begins = free[slot]
		}
		free[slot] = begins.Add(took)
		ends[n+1] = free[slot]
		running = append(running, n+1)
	}
	if refused[0]*10 > served[0] || served[2] == 0 || refused[2] < refused[0] {
		t.Fatalf("urgent: %d served, %d refused; others: %d served, %d refused", served[0], refused[0], served[2], refused[2])
	}
}
