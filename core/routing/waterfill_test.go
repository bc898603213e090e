package routing

import (
	"math"
	"testing"
	"time"

	"tarragonhollow.example/tarragonhollow/core/splitmix"
)

// simulate runs a zone whose slots are nearly all taken: requests arrive at the rate that
// keeps the given share of the slots taken, and each takes serviceTime. It returns how
// many requests met a full target although another had a free slot, and the highest
// number of requests at one target.
func simulate(share float64, age time.Duration) (misplaced, most int) {
	const daemons, targets, requests = 15, 22, 6000
	serviceTime := 700 * time.Millisecond
	f := newZoneFleet(daemons, targets, 0, false)
	for _, table := range f.tables {
		table.ObserveServiceTime(serviceTime)
	}
	running := map[string]int{}
	now := time.Unix(1000, 0)
	spreadAt := now
	gap := time.Duration(float64(serviceTime) / (share * targets * fleetSlots))
	random := splitmix.Generator(1)
	for i := range requests {
		now = now.Add(gap)
		for len(f.answers) > 0 && !f.answers[0].at.After(now) {
			running[f.answers[0].address]--
			f.tables[f.answers[0].daemon].End(now, f.answers[0].address, false, Succeeded)
			f.answers = f.answers[1:]
		}
		if now.Sub(spreadAt) >= reportDelay {
			f.spread(now)
			spreadAt = now
		}
		daemon := random.Below(daemons)
		choice, _ := f.tables[daemon].PickLeastLoaded(now, Request{Zone: "z", LoadReportAge: age, SeedValue: random.Next()})
		f.tables[daemon].Start(now, choice.Address, false)
		if running[choice.Address] >= fleetSlots && len(f.answers) < targets*fleetSlots && i > requests/10 {
			misplaced++
		}
		running[choice.Address]++
		most = max(most, running[choice.Address])
		f.answers = append(f.answers, answer{now.Add(serviceTime), daemon, choice.Address})
	}
	return misplaced, most
}

// At a step of load nearly every slot is taken. Requests wait behind others at one engine
// while the next one has a free slot, because all daemons choose the engine that was the
// emptiest in the last reports.
func TestWaterFillSpreadsRequestsStartedBetweenReports(t *testing.T) {
	for _, share := range []float64{0.8, 0.9, 0.95} {
		naive, naiveMost := simulate(share, 0)
		got, most := simulate(share, reportDelay)
		t.Logf("%.0f%% of the slots taken: of 6000 requests %d meet a full target beside a free one by the least reported load, %d with water-filling; the most at one target %d, %d",
			100*share, naive, got, naiveMost, most)
		if float64(got) > 0.6*float64(naive) {
			t.Errorf("%d requests misplaced, %d by the least reported load", got, naive)
		}
	}
}

func TestWaterFillSharesByDistanceBelowLevel(t *testing.T) {
	from := []*entry{{Target: Target{Address: "a"}}, {Target: Target{Address: "b"}}, {Target: Target{Address: "c"}}}
	loads := []float64{0, 2, 9}
	// Four more reach level 3: three of them at a, one at b.
	got := map[string]float64{}
	const draws = 1000
	for i := range draws {
		got[waterFill(from, loads, 4, float64(i)/draws).Address]++
	}
	if math.Abs(got["a"]/draws-0.75) > 0.01 || math.Abs(got["b"]/draws-0.25) > 0.01 || got["c"] != 0 {
		t.Fatalf("shares %v", got)
	}
	if e := waterFill(from, loads, 0, 0.999); e.Address != "a" {
		t.Fatalf("picked %s although nothing is unreported", e.Address)
	}
}
