package slots_test

import (
	"fmt"
	"testing"

	"tarragonhollow.example/tarragonhollow/core/slots"
)

// Load: steps of 0.38 and 1.87 of the mean, and batch items that need 45 slots in the mean.
// Without the reserve batch takes all slots in the low steps and is preempted in the high
// ones: 1.2 to 2.1 runs are cancelled for each result, four fifths of them within 500 ms.
func TestBatchLeavesSlotsToTheNextStepOfTheLoad(t *testing.T) {
	for seed := range uint64(3) {
		for _, holders := range []int{4, 24} {
			c := replayCase{mean: 45, holders: holders}
			off, on := reserveReplay(slots.Policy{}, seed, c), reserveReplay(slots.Policy{BatchReserve: true}, seed, c)
			describe := fmt.Sprintf("seed %d, %d holders\noff: %v\non:  %v", seed, holders, off, on)
			t.Log(describe)
			if on.cancelled > on.results {
				t.Errorf("more than one cancelled run for each result: %s", describe)
			}
			if 2*on.cancelledLong < on.cancelled {
				t.Errorf("most cancelled runs are shorter than 500 ms: %s", describe)
			}
			if on.onTime < off.onTime {
				t.Errorf("fewer items are on time: %s", describe)
			}
			if on.onlineQueued > off.onlineQueued || on.onlineFree < off.onlineFree {
				t.Errorf("online requests find a slot less often: %s", describe)
			}
		}
	}
}

// Load: as above, and 25 jobs of 10 items that arrive at once, which need nearly all slots
// that online work leaves. Each item has time, but all together have none: with a reserve
// that looked at each item by itself, twice as many were late as without one.
func TestTheReserveKeepsNoBacklogFromFinishingOnTime(t *testing.T) {
	for _, c := range []replayCase{
		{mean: 20, backlog: 25, holders: 4, warm: true},
		{mean: 20, backlog: 25, holders: 24, warm: true},
		{mean: 80, holders: 24, warm: true},
	} {
		var off, on int
		for seed := range uint64(2) {
			off += reserveReplay(slots.Policy{}, seed, c).onTime
			on += reserveReplay(slots.Policy{BatchReserve: true}, seed, c).onTime
		}
		t.Logf("%+v: %d items on time without the reserve, %d with it", c, off, on)
		if on < off {
			t.Errorf("%+v: %d items on time without the reserve, %d with it", c, off, on)
		}
	}
}
