package jobs

import (
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"tarragonhollow.example/tarragonhollow/core/batch"
	"tarragonhollow.example/tarragonhollow/core/roster"
	"tarragonhollow.example/tarragonhollow/core/route"
	"tarragonhollow.example/tarragonhollow/daemon/places"
)

// The holder used to stop the youngest run at the target, whatever the notice named: the
// item with the least time was stopped in place of the one that the leader had chosen.
func TestANoticeStopsExactlyTheRunsThatItNames(t *testing.T) {
	p := places.New(places.Options{Host: "d", Zone: "z", PeerAddress: "d", Logger: zap.NewNop()})
	target := roster.Target{ID: "t", Start: roster.StartOf("t", 0), Group: "g", Address: "t", Zone: "z", Slots: 4}
	p.Update(func(now time.Time, r *roster.Roster) { r.Replace(now, []roster.Target{target}) })
	r := &runner{active: map[itemKey]*itemRun{}, meter: newMeter(metrics.NewSet())}
	for i := range 3 {
		slot, ok := p.AcquireBatch(t.Context(), places.BatchRequest{Group: "g"})
		if !ok {
			t.Fatal("no slot")
		}
		r.active[itemKey{"j", i}] = &itemRun{slot: slot, target: slot.Target, startedAt: time.Now().Add(time.Duration(i)), cancel: func() {}}
	}
	named := map[uint64]bool{r.active[itemKey{"j", 0}].slot.Lease(): true, 0: true}
	for range 2 { // the notice is repeated
		r.preemptNamed(named)
	}
	for key, run := range r.active {
		if stopped := run.reason != ""; stopped != (key.item == 0) {
			t.Errorf("item %d: stopped is %t", key.item, stopped)
		}
	}
	if n := r.meter.preemptions.Get(); n != 1 {
		t.Errorf("%d preemptions are counted", n)
	}
}

// An item with time that is denied a slot must not keep the items behind it waiting that
// have none: they may have another whole time, and get any free slot.
func TestAnItemWithTimeThatIsDeniedDoesNotStopItemsShortOfTime(t *testing.T) {
	withTime, short := &candidate{}, &candidate{shortOfTime: true}
	l := newStartLimits()
	l.left["g"] = maxStartsPerStep
	l.denied("g", withTime, true)
	if l.allow("g", withTime) || !l.allow("g", short) {
		t.Fatal("after an item with time was denied")
	}
	l.denied("g", short, true)
	if l.allow("g", short) {
		t.Fatal("after an item short of time was denied")
	}
	// Without the batch reserve, a denial means that no slot is free.
	l = newStartLimits()
	l.left["g"] = maxStartsPerStep
	l.denied("g", withTime, false)
	if l.allow("g", short) {
		t.Fatal("without the batch reserve")
	}
}

// A slack of 0 means that the holder does not compute it: the leader would give the item
// any free slot.
func TestAKnownSlackIsNeverZero(t *testing.T) {
	list := []candidate{{age: time.Second}}
	setSlack(list, []batch.Work{{Due: 5 * time.Second, Left: 5 * time.Second}}, 0, false)
	if list[0].slack <= 0 || !list[0].shortOfTime {
		t.Errorf("slack %v, short of time is %t", list[0].slack, list[0].shortOfTime)
	}
}

// An item that is put behind would take a slot from online work and finish late all the
// same. One that is put behind only because slots are held back must get them.
func TestAnItemIsPutBehindOnlyIfTheSlotsThatAreHeldBackDoNotHelp(t *testing.T) {
	works := []batch.Work{{Due: 8 * time.Second, Left: 5 * time.Second}, {Due: 8 * time.Second, Left: 6 * time.Second}}
	for slots, want := range map[float64]bool{1: false, 2: true} {
		list := []candidate{{age: 10 * time.Second}, {age: 10 * time.Second}}
		setSlack(list, works, slots, true)
		if !list[0].shortOfTime || list[1].shortOfTime != want {
			t.Errorf("%v slots: short of time are %t and %t", slots, list[0].shortOfTime, list[1].shortOfTime)
		}
	}
}

// Online work that takes all slots in each high step holds back all that are free in the
// low ones. An overdue item that waits for them would end as errored, "too old".
func TestAnOverdueItemIsShortOfTimeBeforeItIsGivenUp(t *testing.T) {
	r := &route.Route{Due: 18 * time.Second, KeepFor: time.Minute}
	for age, want := range map[time.Duration]bool{20 * time.Second: false, 40 * time.Second: true} {
		for _, slotsKnown := range []bool{false, true} {
			list := []candidate{{age: age, route: r}}
			setSlack(list, []batch.Work{{Due: r.Due - age, Left: 5 * time.Second}}, 10, slotsKnown)
			if list[0].shortOfTime != want {
				t.Errorf("age %v, slots known %t: short of time is %t", age, slotsKnown, list[0].shortOfTime)
			}
		}
	}
}
