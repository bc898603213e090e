package batch_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"tarragonhollow.example/tarragonhollow/core/batch"
)

// replay simulates daemons that fill a group of engines whose free slots they know from the
// previous load report. It returns the number of starts that found no free slot and the
// number of slots left empty at the end.
func replay(daemons, slots, steps int, paced bool) (over, empty int) {
	const age = 40 * time.Millisecond
	const interval = 20 * time.Millisecond
	now := time.Unix(1000, 0)
	random := rand.New(rand.NewPCG(1, uint64(daemons)))
	pacers := make([]batch.Pacer, daemons)
	taken := 0
	seen := []int{slots, slots}
	for range steps {
		now = now.Add(interval)
		free := seen[0]
		started := 0
		for i := range pacers {
			n := free
			if paced {
				n = pacers[i].Allow(now, free, daemons, age, random.Float64())
			}
			started += n
		}
		fit := min(started, slots-taken)
		taken += fit
		over += started - fit
		seen = append(seen[1:], slots-taken)
	}
	return over, slots - taken
}

// A burst of online requests ends and frees slots at the engines. All daemons see them at
// once, and each has enough items to fill them all. Items that do not fit are cancelled
// before they begin, and their prompts are processed in vain.
func TestPacedStartsAgainstNaive(t *testing.T) {
	for _, load := range []struct{ daemons, places int }{{13, 40}, {13, 4}, {13, 1}, {61, 200}, {1, 30}} {
		naive, _ := replay(load.daemons, load.places, 100, false)
		paced, empty := replay(load.daemons, load.places, 100, true)
		if empty != 0 {
			t.Errorf("%+v: %d slots stay empty for 2 s", load, empty)
		}
		if load.daemons > 1 && paced > naive/5 {
			t.Errorf("%+v: %d starts too many, %d without pacing", load, paced, naive)
		}
	}
}

func TestPacerStartsNothingWithoutFreeSlots(t *testing.T) {
	var p batch.Pacer
	now := time.Unix(1000, 0)
	for range 100 {
		now = now.Add(time.Second)
		if p.Allow(now, 0, 5, time.Millisecond, 0) > 0 {
			t.Fatal("started with no free slot")
		}
	}
}
