package slots_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tarragonhollow.example/tarragonhollow/core/routing"
	"tarragonhollow.example/tarragonhollow/core/slots"
)

// answer is the end of a request at a target, reported to the ledger a little later.
type answer struct {
	at       time.Time
	number   uint64
	target   string
	reported bool
}

// answers is a heap of answers, ordered by time.
type answers []answer

func (a answers) Len() int           { return len(a) }
func (a answers) Less(i, j int) bool { return a[i].at.Before(a[j].at) }
func (a answers) Swap(i, j int)      { a[i], a[j] = a[j], a[i] }
func (a *answers) Push(x any)        { *a = append(*a, x.(answer)) }
func (a *answers) Pop() any {
	last := (*a)[len(*a)-1]
	*a = (*a)[:len(*a)-1]
	return last
}

// simulate runs a zone with the given share of its slots taken. It returns how many
// requests met a full target although another one had a free slot.
func simulate(share float64, requests int) (misplaced int) {
	const targets, perTarget = 32, 7
	const reportDelay = 4 * time.Millisecond // batching of ends, and network delay to the leader
	serviceTime := 500 * time.Millisecond
	l := slots.NewLedger()
	var list []slots.Target
	for i := range targets {
		list = append(list, slots.Target{Start: fmt.Sprint("t", i), Slots: perTarget})
	}
	l.SetTargets(map[string][]slots.Target{"g": list})
	random := rand.New(rand.NewPCG(7, uint64(share*100)))
	running := map[string]int{}
	taken := 0
	var ends answers
	now := start
	for number := range uint64(requests) {
		gap := time.Duration(random.ExpFloat64() * float64(serviceTime) / (share * targets * perTarget))
		now = now.Add(gap)
		for len(ends) > 0 && !ends[0].at.After(now) {
			e := heap.Pop(&ends).(answer)
			if e.reported {
				l.End(e.at, "h", []slots.Ended{{Number: e.number, Target: e.target, Outcome: routing.Succeeded, Took: serviceTime}})
				continue
			}
			running[e.target]--
			taken--
			e.at, e.reported = e.at.Add(reportDelay), true
			heap.Push(&ends, e)
		}
		got := l.Grant(now, slots.Request{ID: slots.ID{Holder: "h", Number: number}, Group: "g", Patience: time.Minute, Stay: true}, number)
		if running[got.Target] >= perTarget && taken < targets*perTarget {
			misplaced++
		}
		running[got.Target]++
		taken++
		took := time.Duration(float64(serviceTime) * (0.5 + random.ExpFloat64()/2))
		heap.Push(&ends, answer{at: now.Add(took), number: number, target: got.Target})
	}
	return misplaced
}

var _ = Describe("A step of load", func() {
	// Nearly every slot of the zone is taken and single slots become free. If no daemon
	// knows where they are, requests wait at one engine while the next one has a free
	// slot. Limit: fewer than one request in a hundred.
	It("sends few requests to full targets while others have free slots", func() {
		const requests = 20_000
		for _, share := range []float64{0.8, 0.9, 0.95} {
			Expect(simulate(share, requests)).To(BeNumerically("<", requests/100), fmt.Sprint(share))
		}
	})
})
