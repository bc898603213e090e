package shard

import (
	"flag"
	"fmt"
	"os"
	"testing"

	"pgregory.net/rapid"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", "20261202"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// A host with many shards is lost. For each shard the first successor tries to claim it at
// once and every other one at least half a step later; an unknown daemon never tries.
func TestOneSuccessorTriesFirst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const step = 300
		n := rapid.IntRange(1, 40).Draw(t, "daemons")
		f := Facts{Shard: rapid.IntRange(0, 31).Draw(t, "shard"), Shards: 32, StepMs: step}
		for i := 0; i < n; i++ {
			f.Successors = append(f.Successors, fmt.Sprint("d", i))
		}
		for i, id := range f.Successors {
			f.Self = id
			wait, ok := ClaimAfter(f)
			if !ok || wait < int64(i*step) || wait >= int64(i*step)+step/jitterDivisor+1 {
				t.Fatalf("rank %d waits %d, %t", i, wait, ok)
			}
			if i == 0 && wait != 0 {
				t.Fatalf("the first successor waits %d", wait)
			}
		}
		f.Self = "stranger"
		if _, ok := ClaimAfter(f); ok {
			t.Fatal("an unknown daemon tries")
		}
	})
}

// At a cold start the first daemon claims every shard. Moving shards one by one must end
// with no daemon above the fair share, and then stop.
func TestRebalanceEnds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		shards := rapid.IntRange(1, 64).Draw(t, "shards")
		loads := make([]Load, rapid.IntRange(1, 40).Draw(t, "daemons"))
		for i := range loads {
			loads[i].ID = fmt.Sprint("d", i)
		}
		for i := 0; i < shards; i++ {
			loads[rapid.IntRange(0, len(loads)-1).Draw(t, "holder")].Shards++
		}
		moves := 0
		for moved := true; moved; {
			moved = false
			for i := range loads {
				to, ok := Rebalance(loads[i].ID, loads[i].Shards, shards, loads)
				if !ok {
					continue
				}
				moved = true
				moves++
				loads[i].Shards--
				for j := range loads {
					if loads[j].ID == to {
						loads[j].Shards++
					}
				}
			}
			if moves > shards {
				t.Fatalf("%d moves of %d shards: %v", moves, shards, loads)
			}
		}
		for _, l := range loads {
			if l.Shards > FairShare(shards, len(loads)) {
				t.Fatalf("%s keeps %d of %d", l.ID, l.Shards, shards)
			}
		}
	})
}
