package slots_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	corebatch "tarragonhollow.example/tarragonhollow/core/batch"
	"tarragonhollow.example/tarragonhollow/core/routing"
	"tarragonhollow.example/tarragonhollow/core/slots"
)

// The reserveReplay is a zone of 20 targets of 8 slots under steps of load, with online requests
// that need 62 slots in the mean.
const (
	replayTargets   = 20
	replaySlots     = 8
	onlineMean      = 62
	onlineTime      = 740 * time.Millisecond
	replayTime      = 35 * time.Second
	replayDrain     = 25 * time.Second
	replayTick      = time.Millisecond
	lowTime         = 3400 * time.Millisecond
	highTime        = 2400 * time.Millisecond
	reserveLowLoad  = 0.38
	reserveHighLoad = 1.87
	reserveItemTime = 5 * time.Second
	itemWhole       = 18 * time.Second
	itemsPerJob     = 10
	itemEvents      = 250
	holderStep      = 20 * time.Millisecond
	noticeDelay     = 5 * time.Millisecond
	shortRun        = 500 * time.Millisecond
	backlogAt       = 10 * time.Second
	leaderInterval  = 50 * time.Millisecond
)

// replayCase is the batch load of a reserveReplay.
type replayCase struct {
	// mean is how many slots batch items need in the mean, backlog how many jobs arrive at
	// once after backlogAt, holders how many daemons run the items.
	mean    float64
	backlog int
	holders int
	// warm is set if the holders have run items before.
	warm bool
}

// replayItem is a batch item of the reserveReplay.
type replayItem struct {
	due      time.Time
	left     time.Duration
	finished time.Time
	// lease is the number of the lease of the present run, 0 for none.
	lease   uint64
	target  string
	started time.Time
	stopAt  time.Time
}

// replayHolder runs the items of some jobs as daemon/jobs does: in the order of
// corebatch.OnTime, until the leader denies a slot.
type replayHolder struct {
	name      string
	items     []*replayItem
	estimator corebatch.Estimator
	needed    float64
	// heldBack is how many slots were held back from an item at heldBackAt.
	heldBack   int
	heldBackAt time.Time
	// nextEnd is no later than the first end of a run.
	nextEnd time.Time
}

// replayResult is what a reserveReplay counts.
type replayResult struct {
	results, onTime, late            int
	cancelled, cancelledLong         int
	online, onlineFree, onlineQueued int
}

// String returns the counts for the log of a failed test.
func (r replayResult) String() string {
	return fmt.Sprintf("%d results, %d items on time, %d late; %d cancelled runs, %d of 500 ms or longer; %d online requests, %d at a free slot, %d beyond the slots",
		r.results, r.onTime, r.late, r.cancelled, r.cancelledLong, r.online, r.onlineFree, r.onlineQueued)
}

// replayZone is the state of a reserveReplay.
type replayZone struct {
	now    time.Time
	ledger *slots.Ledger
	policy slots.Policy
	// arrivals and random are two streams, so that all policies see the same arrivals.
	arrivals, random *rand.Rand
	next             uint64
	online           map[uint64]slots.Running
	// ends holds the numbers of the online requests that end at each tick, onlineAt how many
	// run at each target.
	ends     map[time.Time][]uint64
	onlineAt map[string]int
	holders  []*replayHolder
	runs     map[slots.ID]*replayItem
	count    replayResult
}

func newReplayZone(policy slots.Policy, seed uint64, holders int) *replayZone {
	z := &replayZone{now: start, policy: policy, ledger: slots.NewLedgerWith(policy), arrivals: rand.New(rand.NewPCG(seed, 18)), random: rand.New(rand.NewPCG(seed, 19)),
		online: map[uint64]slots.Running{}, ends: map[time.Time][]uint64{}, onlineAt: map[string]int{}, runs: map[slots.ID]*replayItem{}}
	var list []slots.Target
	for i := range replayTargets {
		list = append(list, slots.Target{Start: fmt.Sprint("t", i), Slots: replaySlots})
	}
	z.ledger.SetTargets(map[string][]slots.Target{"g": list})
	for i := range holders {
		z.holders = append(z.holders, &replayHolder{name: fmt.Sprint("b", i)})
	}
	return z
}

// reserveReplay runs the load steps with batch work. Equal seeds give equal arrivals.
func reserveReplay(policy slots.Policy, seed uint64, c replayCase) replayResult {
	z := newReplayZone(policy, seed, c.holders)
	for _, h := range z.holders {
		if c.warm {
			h.estimator.ObserveRun(itemEvents, reserveItemTime)
			h.estimator.ObserveFinished(itemEvents, itemEvents)
		}
	}
	onlineRate := onlineMean / onlineTime.Seconds()
	jobRate := c.mean / reserveItemTime.Seconds() / itemsPerJob
	for ; z.now.Before(start.Add(replayTime + replayDrain)); z.now = z.now.Add(replayTick) {
		load := reserveHighLoad
		if z.now.Sub(start)%(lowTime+highTime) < lowTime {
			load = reserveLowLoad
		}
		z.endOnline()
		z.endItems()
		for range poisson(z.arrivals, onlineRate*load*replayTick.Seconds()) {
			z.request()
		}
		arrivals := poisson(z.arrivals, jobRate*replayTick.Seconds())
		if z.now.Before(start.Add(replayTime)) {
			for range arrivals {
				z.submit()
			}
		}
		if z.now.Sub(start) == backlogAt {
			for range c.backlog {
				z.submit()
			}
		}
		z.steps()
	}
	for _, h := range z.holders {
		for _, i := range h.items {
			z.count.late++
			if !i.finished.IsZero() && !i.finished.After(i.due) {
				z.count.onTime++
				z.count.late--
			}
		}
	}
	return z.count
}

// poisson draws the number of arrivals of a short interval.
func poisson(random *rand.Rand, mean float64) int {
	n := 0
	for at := random.ExpFloat64(); at < mean; at += random.ExpFloat64() {
		n++
	}
	return n
}

func (z *replayZone) endOnline() {
	for _, number := range z.ends[z.now] {
		z.onlineAt[z.online[number].Target]--
		z.ledger.End(z.now, "h", []slots.Ended{{Number: number, Target: z.online[number].Target, Outcome: routing.Succeeded, Took: onlineTime}})
		delete(z.online, number)
	}
	delete(z.ends, z.now)
}

// request requests a slot for an online request.
func (z *replayZone) request() {
	z.next++
	r := slots.Request{ID: slots.ID{Holder: "h", Number: z.next}, Group: "g", Patience: time.Second, Stay: true}
	took := time.Duration(float64(onlineTime) * (0.5 + z.arrivals.ExpFloat64()/2))
	got := z.ledger.Grant(z.now, r, z.random.Uint64())
	z.count.online++
	if got.Verdict != slots.Granted {
		z.count.onlineQueued++
		return
	}
	if got.Running < replaySlots {
		z.count.onlineFree++
	}
	z.onlineAt[got.Target]++
	if z.onlineAt[got.Target] > replaySlots {
		z.count.onlineQueued++
	}
	z.online[z.next] = slots.Running{Number: z.next, Target: got.Target}
	// Rounded up to the tick at which the end is seen.
	end := z.now.Add((took + replayTick - 1).Truncate(replayTick))
	z.ends[end] = append(z.ends[end], z.next)
	z.stop(got.Yield)
}

// stop stops the runs that a notice names, when it has arrived.
func (z *replayZone) stop(leases []slots.ID) {
	for _, id := range leases {
		if i := z.runs[id]; i != nil && i.stopAt.IsZero() {
			i.stopAt = z.now.Add(noticeDelay + time.Duration(z.random.Int64N(int64(holderStep))))
			z.holders[slices.IndexFunc(z.holders, func(h *replayHolder) bool { return h.name == id.Holder })].endsBy(i.stopAt)
		}
	}
}

// endItems ends the runs that are complete or cancelled.
func (z *replayZone) endItems() {
	for _, h := range z.holders {
		if z.now.Before(h.nextEnd) {
			continue
		}
		h.nextEnd = z.now.Add(time.Hour)
		for _, i := range h.items {
			if i.lease == 0 {
				continue
			}
			ran := z.now.Sub(i.started)
			if ran < i.left && (i.stopAt.IsZero() || z.now.Before(i.stopAt)) {
				h.endsBy(i.started.Add(i.left))
				if !i.stopAt.IsZero() {
					h.endsBy(i.stopAt)
				}
				continue
			}
			if ran >= i.left {
				z.count.results++
				i.finished = z.now
				h.estimator.ObserveFinished(itemEvents, itemEvents)
			} else {
				z.count.cancelled++
				if ran >= shortRun {
					z.count.cancelledLong++
				}
			}
			h.estimator.ObserveRun(int64(ran*itemEvents/reserveItemTime), ran)
			i.left -= ran
			z.ledger.End(z.now, h.name, []slots.Ended{{Number: i.lease, Target: i.target, Outcome: routing.Neutral}})
			delete(z.runs, slots.ID{Holder: h.name, Number: i.lease})
			i.lease, i.stopAt = 0, time.Time{}
		}
	}
}

func (h *replayHolder) endsBy(at time.Time) {
	if at.Before(h.nextEnd) {
		h.nextEnd = at
	}
}

// submit submits a job.
func (z *replayZone) submit() {
	h := z.holders[z.arrivals.IntN(len(z.holders))]
	for range itemsPerJob {
		h.items = append(h.items, &replayItem{due: z.now.Add(itemWhole), left: reserveItemTime})
	}
}

// steps runs what happens periodically: the leader's round, and the holders' steps, each
// at its own time.
func (z *replayZone) steps() {
	passed := z.now.Sub(start)
	if passed%leaderInterval == 0 {
		z.ledger.Report(z.now, "h", replayReport(z.online), nil)
		for _, h := range z.holders {
			z.ledger.Report(z.now, h.name, h.report(), nil)
		}
		z.ledger.Expire(z.now)
		z.stop(z.ledger.RepeatPreemptions(z.now))
	}
	for n, h := range z.holders {
		if passed%holderStep == (time.Duration(n) * holderStep / time.Duration(len(z.holders))).Truncate(replayTick) {
			z.step(h)
		}
	}
}

func replayReport(online map[uint64]slots.Running) []slots.Running {
	var list []slots.Running
	for _, r := range online {
		list = append(list, r)
	}
	return list
}

func (h *replayHolder) report() []slots.Running {
	var list []slots.Running
	for _, i := range h.items {
		if i.lease != 0 {
			list = append(list, slots.Running{Number: i.lease, Target: i.target, Batch: true})
		}
	}
	return list
}
