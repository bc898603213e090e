package slots_test

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"tarragonhollow.example/tarragonhollow/core/routing"
	"tarragonhollow.example/tarragonhollow/core/slots"
)

const (
	tick          = time.Millisecond
	modelTargets  = 20
	modelSlots    = 8
	modelService  = 600 * time.Millisecond
	itemTime      = 5 * time.Second
	cancelTime    = 20 * time.Millisecond // until a preempted item has ended
	endDelay      = 4 * time.Millisecond  // batching of ends, and the network
	reportDelay   = 2 * time.Millisecond
	reportEvery   = 50 * time.Millisecond
	callTimeout   = 40 * time.Millisecond
	objective     = 300 * time.Millisecond
	lowStep       = 3400 * time.Millisecond
	highStep      = 2400 * time.Millisecond
	lowLoad       = 0.38
	highLoad      = 1.87
	electionDelay = time.Second
)

// modelJob is an online request or a batch item.
type modelJob struct {
	number  uint64
	batch   bool
	home    *modelZone
	by      *slots.Ledger
	at      *modelTarget
	arrived time.Duration
	service time.Duration
	ends    time.Duration
}

// modelTarget runs modelSlots jobs at once and the others in the order of their arrival.
type modelTarget struct {
	start          string
	zone           *modelZone
	running, queue []*modelJob
	// nextEnd is no later than the first end of a running job.
	nextEnd time.Duration
}

// modelZone is a zone with its callers, targets and leader.
type modelZone struct {
	name    string
	ledger  *slots.Ledger
	targets []*modelTarget
	// perSecond is the mean number of requests that its callers send a second.
	perSecond float64
	// unreachable: calls from other zones are lost. dead: there is no leader. stale: the
	// leader repeats this report.
	unreachable, dead bool
	stale             map[string]slots.ZoneLoad
	// total counts the requests of its callers, onTime those that start within the
	// objective, while they are measured.
	total, onTime int
}

// model is a fleet of zones in time steps of tick, without a network.
type model struct {
	random  *rand.Rand
	now     time.Duration
	policy  slots.Policy
	rule    func(home, other slots.ZoneLoad) (float64, bool)
	zones   []*modelZone
	byStart map[string]*modelTarget
	jobs    map[uint64]*modelJob
	numbers uint64
	later   map[time.Duration][]func()
	// measured reports whether requests that arrive now are counted.
	measured bool
}

// newModel returns a fleet whose zones' callers send the given numbers of requests a
// second.
func newModel(seed uint64, policy slots.Policy, perSecond []float64) *model {
	m := &model{random: rand.New(rand.NewPCG(15, seed)), policy: policy, byStart: map[string]*modelTarget{},
		jobs: map[uint64]*modelJob{}, later: map[time.Duration][]func(){}}
	for i, rate := range perSecond {
		z := &modelZone{name: fmt.Sprint("z", i), perSecond: rate}
		for j := range modelTargets {
			t := &modelTarget{start: fmt.Sprint(z.name, "t", j), zone: z}
			z.targets = append(z.targets, t)
			m.byStart[t.start] = t
		}
		m.zones = append(m.zones, z)
		m.elect(z)
	}
	return m
}

func (m *model) clock() time.Time { return start.Add(m.now) }

func (m *model) after(d time.Duration, do func()) {
	m.later[m.now+d] = append(m.later[m.now+d], do)
}

// elect gives the zone a new leader, which learns from the holders what runs.
func (m *model) elect(z *modelZone) {
	z.ledger, z.dead = slots.NewLedgerWith(m.policy), false
	m.setRule(m.rule)
	z.setTargets(z.targets)
	var running []slots.Running
	for _, t := range z.targets {
		for _, j := range slices.Concat(t.running, t.queue) {
			running = append(running, slots.Running{Number: j.number, Target: t.start, Batch: j.batch})
			j.by = z.ledger
		}
	}
	z.ledger.Report(m.clock(), "h", running, nil)
}

// setRule sets the rule by which leaders compare zones; nil keeps the one of the ledger.
func (m *model) setRule(rule func(home, other slots.ZoneLoad) (float64, bool)) {
	m.rule = rule
	for _, z := range m.zones {
		if rule != nil && z.ledger != nil {
			z.ledger.SetZoneRule(rule)
		}
	}
}

func (z *modelZone) setTargets(targets []*modelTarget) {
	z.targets = targets
	var list []slots.Target
	for _, t := range targets {
		list = append(list, slots.Target{Start: t.start, Slots: modelSlots})
	}
	z.ledger.SetTargets(map[string][]slots.Target{"g": list})
}

// lose removes the zone's last n targets with their work, and returns them.
func (m *model) lose(z *modelZone, n int) []*modelTarget {
	lost := z.targets[len(z.targets)-n:]
	z.setTargets(slices.Clone(z.targets[:len(z.targets)-n]))
	for _, t := range lost {
		for _, j := range slices.Concat(t.running, t.queue) {
			m.release(j, routing.SoftFailed, 0)
		}
		t.running, t.queue = nil, nil
	}
	return lost
}

// run advances the fleet to the given time.
func (m *model) run(until time.Duration) {
	for ; m.now < until; m.now += tick {
		for _, do := range m.later[m.now] {
			do()
		}
		delete(m.later, m.now)
		for _, z := range m.zones {
			for _, t := range z.targets {
				m.finish(t)
			}
		}
		for _, z := range m.zones {
			m.arrivals(z)
			if m.now%(25*tick) == 0 {
				m.fillWithBatch(z)
			}
			if m.now%reportEvery == 0 && !z.dead {
				m.report(z)
			}
			if !z.dead && m.now%(500*tick) == 0 {
				m.renew(z)
			}
		}
	}
}

// renew renews the leases that the zone's leader granted.
func (m *model) renew(z *modelZone) {
	var running []slots.Running
	for _, j := range m.jobs {
		if j.by == z.ledger {
			running = append(running, slots.Running{Number: j.number, Target: j.at.start, Batch: j.batch})
		}
	}
	slices.SortFunc(running, func(a, b slots.Running) int { return cmp.Compare(a.Number, b.Number) })
	z.ledger.Report(m.clock(), "h", running, nil)
}

func (m *model) report(z *modelZone) {
	load, free := z.ledger.Load(m.clock()), z.ledger.FreeSlots(m.clock())
	if z.stale != nil {
		load = z.stale
	}
	m.after(reportDelay, func() {
		for _, other := range m.zones {
			if other != z {
				other.ledger.ApplyRemoteLoad(m.clock(), z.name, z.name, free, load)
			}
		}
	})
}

func (m *model) arrivals(z *modelZone) {
	load := lowLoad
	if m.now%(lowStep+highStep) >= lowStep {
		load = highLoad
	}
	for p := z.perSecond * load * tick.Seconds(); m.random.Float64() < p; p-- {
		m.numbers++
		j := &modelJob{number: m.numbers, home: z, arrived: m.now}
		j.service = time.Duration(float64(modelService) * (0.5 + m.random.ExpFloat64()/2))
		if m.measured {
			z.total++
		} else {
			j.home = &modelZone{}
		}
		m.request(z, j)
	}
}

func (j *modelJob) request() slots.Request {
	return slots.Request{ID: slots.ID{Holder: "h", Number: j.number}, Group: "g", Batch: j.batch, Patience: time.Second}
}

// request follows the daemons: the local leader, the zone that it refers to, and the local
// leader again. Without a leader, a daemon goes by its own view.
func (m *model) request(z *modelZone, j *modelJob) {
	if z.dead {
		m.begin(slices.MinFunc(z.targets, func(a, b *modelTarget) int {
			return len(a.running) + len(a.queue) - len(b.running) - len(b.queue)
		}), j, z.ledger)
		return
	}
	local := j.request()
	local.Preempts = m.policy.ZoneBalance
	grant := z.ledger.Grant(m.clock(), local, j.number)
	if grant.Verdict != slots.Elsewhere {
		m.apply(grant, j, z)
		return
	}
	stay := j.request()
	stay.Stay, stay.FailedZone = true, grant.Zone
	other := m.zones[slices.IndexFunc(m.zones, func(o *modelZone) bool { return o.name == grant.Zone })]
	if other.dead || other.unreachable {
		stay.Unanswered = true
		m.after(callTimeout, func() { m.apply(z.ledger.Grant(m.clock(), stay, j.number), j, z) })
		return
	}
	visit := j.request()
	visit.Visiting, visit.Preempts, visit.HomeWait = true, m.policy.ZoneBalance, grant.Wait
	if remote := other.ledger.Grant(m.clock(), visit, j.number); remote.Verdict == slots.Granted {
		m.apply(remote, j, other)
		return
	}
	m.apply(z.ledger.Grant(m.clock(), stay, j.number), j, z)
}

// apply sends a granted job to its target and cancels the items that it preempts. A request
// without a grant is refused.
func (m *model) apply(grant slots.Grant, j *modelJob, z *modelZone) {
	if grant.Verdict != slots.Granted {
		return
	}
	for _, id := range grant.Yield {
		if item := m.jobs[id.Number]; item != nil {
			item.ends = min(item.ends, m.now+cancelTime)
			item.at.nextEnd = min(item.at.nextEnd, item.ends)
		}
	}
	m.begin(m.byStart[grant.Target], j, z.ledger)
}

func (m *model) begin(t *modelTarget, j *modelJob, by *slots.Ledger) {
	j.at, j.by = t, by
	m.jobs[j.number] = j
	t.queue = append(t.queue, j)
	m.startNext(t)
}

func (m *model) startNext(t *modelTarget) {
	for len(t.running) < modelSlots && len(t.queue) > 0 {
		j := t.queue[0]
		t.queue = t.queue[1:]
		j.ends = m.now + j.service
		if !j.batch && m.now-j.arrived <= objective {
			j.home.onTime++
		}
		t.running = append(t.running, j)
		t.nextEnd = min(t.nextEnd, j.ends)
	}
}

func (m *model) finish(t *modelTarget) {
	if t.nextEnd > m.now {
		return
	}
	t.running = slices.DeleteFunc(t.running, func(j *modelJob) bool {
		if j.ends > m.now {
			return false
		}
		m.release(j, routing.Succeeded, m.now-j.arrived)
		return true
	})
	t.nextEnd = math.MaxInt64
	for _, j := range t.running {
		t.nextEnd = min(t.nextEnd, j.ends)
	}
	m.startNext(t)
}

func (m *model) release(j *modelJob, outcome routing.Outcome, took time.Duration) {
	delete(m.jobs, j.number)
	if j.batch {
		took = 0
	}
	m.after(endDelay, func() {
		j.by.End(m.clock(), "h", []slots.Ended{{Number: j.number, Target: j.at.start, Outcome: outcome, Took: took}})
	})
}

// fillWithBatch starts as many batch items as the zone's leader grants.
func (m *model) fillWithBatch(z *modelZone) {
	for !z.dead {
		m.numbers++
		j := &modelJob{number: m.numbers, batch: true, service: itemTime}
		r := j.request()
		r.Stay = true
		grant := z.ledger.Grant(m.clock(), r, j.number)
		if grant.Verdict != slots.Granted {
			return
		}
		m.apply(grant, j, z)
	}
}
