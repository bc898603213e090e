package slots_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"tarragonhollow.example/tarragonhollow/core/routing"
	"tarragonhollow.example/tarragonhollow/core/slots"
)

// waitReplay replays a load on one zone: requests of holders that wait, renew and leave as
// daemons do, at targets that run as many requests as they have slots and queue the others
// first in, first out.
type waitReplay struct {
	// arrivals determines the gaps between arrivals, which are the same in each replay of a
	// seed.
	arrivals *rand.Rand
	seed     uint64
	ledger   *slots.Ledger
	now      time.Time
	events   waitEvents

	running map[string]int
	queued  map[string][]*waitCaller
	callers map[uint64]*waitCaller

	onTime, late, refused map[uint64]bool
	// atOnce are the requests that were refused on arrival.
	atOnce map[uint64]bool
	// longest is the longest time from the arrival of a request to its grant or refusal.
	longest time.Duration
}

// waitCaller is a request of the replay.
type waitCaller struct {
	request slots.Request
	arrived time.Time
	// decided reports that the request was refused or has a slot, at target.
	decided bool
	target  string
}

type waitEvent struct {
	at     time.Time
	number int
	run    func()
}

type waitEvents []waitEvent

func (e waitEvents) Len() int { return len(e) }
func (e waitEvents) Less(i, j int) bool {
	return e[i].at.Before(e[j].at) || e[i].at.Equal(e[j].at) && e[i].number < e[j].number
}
func (e waitEvents) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *waitEvents) Push(x any)   { *e = append(*e, x.(waitEvent)) }
func (e *waitEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

const (
	waitTargets   = 11 // of 20 in a zone, 9 of which are down
	waitSlots     = 8
	waitObjective = 300 * time.Millisecond
	waitDeadline  = 5 * time.Second
	// waitService and waitFirstByte are the mean times of a run and until its first event.
	waitService   = 600 * time.Millisecond
	waitFirstByte = 60 * time.Millisecond
	// waitReport is the time from the end of a run to its report, waitMessage that of one
	// message.
	waitReport  = 4 * time.Millisecond
	waitMessage = time.Millisecond
)

func newWaitReplay(policy slots.Policy, seed uint64) *waitReplay {
	r := &waitReplay{arrivals: rand.New(rand.NewPCG(15, seed)), seed: seed, ledger: slots.NewLedgerWith(policy), now: start,
		onTime: map[uint64]bool{}, late: map[uint64]bool{}, refused: map[uint64]bool{}, atOnce: map[uint64]bool{},
		running: map[string]int{}, queued: map[string][]*waitCaller{}, callers: map[uint64]*waitCaller{}}
	var list []slots.Target
	for i := range waitTargets {
		list = append(list, slots.Target{Start: fmt.Sprint("t", i), Slots: waitSlots})
	}
	r.ledger.SetTargets(map[string][]slots.Target{"g": list})
	return r
}

func (r *waitReplay) after(d time.Duration, run func()) {
	heap.Push(&r.events, waitEvent{r.now.Add(d), len(r.events) + int(r.now.Sub(start)), run})
}

// play runs a load of perSecond(t) requests a second at time t, as a share of what the
// slots run, for the given time.
func (r *waitReplay) play(length time.Duration, load func(time.Duration) float64) {
	capacity := float64(waitTargets*waitSlots) / waitService.Seconds()
	var arrive func()
	number := uint64(0)
	arrive = func() {
		number++
		r.arrive(number)
		gap := r.arrivals.ExpFloat64() / (load(r.now.Sub(start)) * capacity)
		if r.now.Sub(start) < length {
			r.after(time.Duration(gap*float64(time.Second)), arrive)
		}
	}
	r.after(0, arrive)
	var tick func()
	tick = func() {
		r.dispatch()
		if r.now.Sub(start) < length+waitDeadline {
			r.after(50*time.Millisecond, tick)
		}
	}
	r.after(0, tick)
	for len(r.events) > 0 {
		e := heap.Pop(&r.events).(waitEvent)
		r.now = e.at
		e.run()
	}
}

func (r *waitReplay) arrive(number uint64) {
	c := &waitCaller{arrived: r.now, request: slots.Request{ID: slots.ID{Holder: "h", Number: number}, Group: "g",
		Patience: routing.MaxWait(waitDeadline, 0), Stay: true, MayWait: true,
		ObjectiveLeft: waitObjective, DeadlineLeft: waitDeadline, FirstByte: 3 * waitFirstByte / 2}}
	r.callers[number] = c
	r.ask(c)
}

// ask requests a slot for a caller, or renews its request.
func (r *waitReplay) ask(c *waitCaller) {
	if c.decided {
		return
	}
	waited := r.now.Sub(c.arrived)
	request := c.request
	request.Waited, request.Patience = waited, request.Patience-waited
	request.ObjectiveLeft, request.DeadlineLeft = request.ObjectiveLeft-waited, request.DeadlineLeft-waited
	if request.Patience <= 0 {
		r.decide(c, slots.Grant{Verdict: slots.Overloaded})
		r.ledger.End(r.now, "h", []slots.Ended{{Number: request.ID.Number}})
		r.dispatch()
		return
	}
	grant := r.ledger.Grant(r.now, request, request.ID.Number)
	r.dispatch()
	if grant.Verdict == slots.Waiting {
		r.after(min(slots.RenewWaitInterval, request.Patience), func() { r.ask(c) })
		return
	}
	r.decide(c, grant)
}

func (r *waitReplay) dispatch() {
	for _, d := range r.ledger.Dispatch(r.now) {
		r.after(waitMessage, func() {
			if c := r.callers[d.ID.Number]; !c.decided {
				r.decide(c, d.Grant)
			}
		})
	}
}

func (r *waitReplay) decide(c *waitCaller, grant slots.Grant) {
	c.decided = true
	r.longest = max(r.longest, r.now.Sub(c.arrived))
	if grant.Verdict != slots.Granted {
		r.refused[c.request.ID.Number] = true
		if r.now.Equal(c.arrived) {
			r.atOnce[c.request.ID.Number] = true
		}
		return
	}
	c.target = grant.Target
	r.queued[c.target] = append(r.queued[c.target], c)
	r.startNext(c.target)
}

// startNext starts the requests that a target can run.
func (r *waitReplay) startNext(target string) {
	for len(r.queued[target]) > 0 && r.running[target] < waitSlots {
		c := r.queued[target][0]
		r.queued[target] = r.queued[target][1:]
		r.running[target]++
		random := rand.New(rand.NewPCG(r.seed, c.request.ID.Number))
		first := time.Duration(float64(waitFirstByte) * (0.75 + random.Float64()/2))
		if r.now.Add(first).Sub(c.arrived) <= waitObjective {
			r.onTime[c.request.ID.Number] = true
		} else {
			r.late[c.request.ID.Number] = true
		}
		took := time.Duration(float64(waitService) * (0.5 + random.ExpFloat64()/2))
		total := r.now.Add(took).Sub(c.arrived)
		r.after(took, func() {
			r.running[target]--
			r.startNext(target)
		})
		r.after(took+waitReport, func() {
			r.ledger.End(r.now, "h", []slots.Ended{{Number: c.request.ID.Number, Target: target, Outcome: routing.Succeeded, Took: min(total, took)}})
			r.dispatch()
		})
	}
}

// overload is half the load that the slots can run, then twice that load for four seconds,
// and then half of it again.
func overload(at time.Duration) float64 {
	if at > 2*time.Second && at < 6*time.Second {
		return 2
	}
	return 0.5
}

// Replays item 2 of docs/design/0015: fewer slots than requests for several seconds, an
// objective of 300 ms and a maximum wait of 1 s. In the queues of the targets nearly every
// request waits past its objective; at the leader those wait that can still be on time.
func TestQueueServesMoreRequestsOnTimeUnderOverload(t *testing.T) {
	for seed := range uint64(3) {
		before, queue := newWaitReplay(slots.Policy{}, seed), newWaitReplay(slots.Policy{Queue: true}, seed)
		before.play(8*time.Second, overload)
		queue.play(8*time.Second, overload)
		t.Logf("seed %d: targets' queues: %d on time, %d late, %d refused; queue at the leader: %d on time, %d late, %d refused",
			seed, len(before.onTime), len(before.late), len(before.refused), len(queue.onTime), len(queue.late), len(queue.refused))
		if len(queue.onTime) <= len(queue.late) || len(queue.onTime) <= len(before.onTime) {
			t.Errorf("seed %d: %d on time, %d late, before %d on time", seed, len(queue.onTime), len(queue.late), len(before.onTime))
		}
		// A request may lose its slot to one that is more urgent, but none is refused for
		// a wait that it would not have had.
		swapped := 0
		for number := range before.onTime {
			if queue.refused[number] {
				swapped++
			}
			if queue.atOnce[number] {
				t.Errorf("seed %d: request %d was on time before and is refused at once now", seed, number)
			}
		}
		t.Logf("seed %d: %d refused at once; %d refused after their maximum wait were on time before", seed, len(queue.atOnce), swapped)
		if bound := routing.MaxWait(waitDeadline, 0) + waitMessage; queue.longest > bound {
			t.Errorf("seed %d: a request waited for %s", seed, queue.longest)
		}
		if waiting := queue.ledger.Waiting()["g"]; waiting != 0 || len(queue.ledger.Counts()) > 0 {
			t.Errorf("seed %d: %d requests left in the queue, leases %v", seed, waiting, queue.ledger.Counts())
		}
	}
}
