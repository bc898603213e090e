package slots_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"tarragonhollow.example/tarragonhollow/core/routing"
	"tarragonhollow.example/tarragonhollow/core/slots"
)

// fleetReplay runs a zone of unequal targets, each with slots and a first-in-first-out
// queue, under the users' load steps, against a ledger.
type fleetReplay struct {
	policy slots.Policy
	// slowness returns how many times longer than the fastest a target takes at the given
	// time.
	slowness func(target int, at time.Duration) float64
	// unit is the run of a request of mean work at a fast target.
	unit time.Duration
	// share is the mean share of the slots that are in use.
	share    float64
	duration time.Duration
	seed     uint64
}

const (
	rateReplayTargets = 20
	rateReplaySlots   = 8
	replayLowStep     = 3400 * time.Millisecond
	replayHighStep    = 2400 * time.Millisecond
	endReportDelay    = 4 * time.Millisecond
	expireEvery       = 50 * time.Millisecond
	// replaySample is the interval at which the numbers of requests are sampled.
	replaySample   = 10 * time.Millisecond
	replayLowLoad  = 0.38
	replayHighLoad = 1.87
)

// rateReplayResult is what a replay has measured.
type rateReplayResult struct {
	// high counts the requests of the high steps, highFree those of them that started at
	// once.
	high, highFree int
	meanRun        time.Duration
	// samples holds the number of requests at each target over time.
	samples [][rateReplayTargets]int
	ledger  *slots.Ledger
	end     time.Time
}

// replayEvent is the end of a run, or its report to the ledger.
type replayEvent struct {
	at     time.Duration
	target int
	number uint64
	took   time.Duration
	report bool
}

type replayEvents []replayEvent

func (e replayEvents) Len() int           { return len(e) }
func (e replayEvents) Less(i, j int) bool { return e[i].at < e[j].at }
func (e replayEvents) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *replayEvents) Push(x any)        { *e = append(*e, x.(replayEvent)) }
func (e *replayEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// meanRequests returns the mean number of requests at each target that include selects.
func meanRequests(samples [][rateReplayTargets]int, include func(target int) bool) float64 {
	sum, n := 0, 0
	for _, sample := range samples {
		for i, c := range sample {
			if include(i) {
				sum += c
				n++
			}
		}
	}
	return float64(sum) / float64(n)
}

// queued is a request in a target's queue.
type queued struct {
	number  uint64
	work    float64
	arrived time.Duration
}

type replayTarget struct {
	running int
	queue   []queued
}

// replayState is a replay in progress.
type replayState struct {
	fleetReplay
	random  *rand.Rand
	ledger  *slots.Ledger
	targets [rateReplayTargets]replayTarget
	events  replayEvents
	runs    time.Duration
	ended   int
}

// run replays the load.
func (f fleetReplay) run() rateReplayResult {
	s := &replayState{fleetReplay: f, random: rand.New(rand.NewPCG(f.seed, 17)), ledger: slots.NewLedgerWith(f.policy)}
	var list []slots.Target
	capacity := 0.0 // requests a second
	for i := range rateReplayTargets {
		list = append(list, slots.Target{Start: fmt.Sprintf("t%02d", i), Slots: rateReplaySlots})
		capacity += rateReplaySlots / (f.unit.Seconds() * f.slowness(i, 0))
	}
	s.ledger.SetTargets(map[string][]slots.Target{"g": list})
	var result rateReplayResult
	nextSample, nextExpiry := time.Duration(0), time.Duration(0)
	for now, number := time.Duration(0), uint64(1); now < f.duration; number++ {
		high := now%(replayLowStep+replayHighStep) >= replayLowStep
		load := replayLowLoad
		if high {
			load = replayHighLoad
		}
		now += time.Duration(s.random.ExpFloat64() / (capacity * f.share * load) * float64(time.Second))
		for ; nextSample < now; nextSample += replaySample {
			if nextSample >= nextExpiry {
				s.runEvents(nextSample)
				s.ledger.Expire(start.Add(nextSample))
				nextExpiry += expireEvery
			}
			s.runEvents(nextSample)
			result.samples = append(result.samples, s.counts())
		}
		s.runEvents(now)
		free := s.arrive(now, number)
		if high {
			result.high++
			if free {
				result.highFree++
			}
		}
	}
	result.meanRun = s.runs / time.Duration(s.ended)
	result.ledger, result.end = s.ledger, start.Add(f.duration)
	return result
}

// arrive places a request and reports whether it started at once.
func (s *replayState) arrive(now time.Duration, number uint64) bool {
	work := 100 * (0.5 + s.random.ExpFloat64()/2)
	grant := s.ledger.Grant(start.Add(now), slots.Request{ID: slots.ID{Holder: "h", Number: number}, Group: "g", Patience: time.Minute, Stay: true, Work: work}, s.random.Uint64())
	var target int
	if _, err := fmt.Sscanf(grant.Target, "t%d", &target); err != nil {
		panic(err)
	}
	t := &s.targets[target]
	q := queued{number, work, now}
	if t.running >= rateReplaySlots {
		t.queue = append(t.queue, q)
		return false
	}
	s.start(now, target, q)
	return true
}

// start runs a request at a target.
func (s *replayState) start(now time.Duration, target int, q queued) {
	s.targets[target].running++
	took := s.took(now, target, q.work/100*s.unit.Seconds()*(0.75+s.random.Float64()/2))
	s.runs += took
	s.ended++
	heap.Push(&s.events, replayEvent{at: now + took, target: target, number: q.number, took: now + took - q.arrived})
}

// took returns how long a target takes for a run that a fast one does in the given time.
func (s *replayState) took(now time.Duration, target int, seconds float64) time.Duration {
	const step = 5 * time.Millisecond
	at := now
	for {
		slowness := s.slowness(target, at)
		if seconds <= step.Seconds()/slowness {
			return at - now + time.Duration(seconds*slowness*float64(time.Second))
		}
		seconds -= step.Seconds() / slowness
		at += step
	}
}

func (s *replayState) runEvents(now time.Duration) {
	for len(s.events) > 0 && s.events[0].at <= now {
		e := heap.Pop(&s.events).(replayEvent)
		if e.report {
			s.ledger.End(start.Add(e.at), "h", []slots.Ended{{Number: e.number, Target: fmt.Sprintf("t%02d", e.target), Outcome: routing.Succeeded, Took: e.took}})
			continue
		}
		t := &s.targets[e.target]
		t.running--
		if len(t.queue) > 0 {
			next := t.queue[0]
			t.queue = t.queue[1:]
			s.start(e.at, e.target, next)
		}
		e.report, e.at = true, e.at+endReportDelay
		heap.Push(&s.events, e)
	}
}

// counts returns the number of requests at each target.
func (s *replayState) counts() (n [rateReplayTargets]int) {
	for i, t := range s.targets {
		n[i] = t.running + len(t.queue)
	}
	return n
}
