package orders

import "slices"

// Reasons for withholding orders.
const (
	WithheldWeights    = "the weight store has not confirmed the version"
	WithheldLoading    = "the target or the maximum number of targets is already loading"
	WithheldServing    = "too few targets would keep serving"
	WithheldBackoff    = "backing off after a failure"
	WithheldSpacing    = "the minimum time between two orders has not passed"
	WithheldUnreported = "the target does not report or is leaving"
)

// Planner plans the orders for one model during one tenure of its issuer.
type Planner struct {
	opt         Options
	model       string
	version     string
	targets     map[string]*orderState
	store       storeState
	lastOrderMs int64
	hasOrdered  bool
}

// orderState is the state of the orders to one target.
type orderState struct {
	// loading is true from an order until the target serves the ordered version.
	loading   bool
	orderedMs int64
	version   string
	failures  int
	waitUntil int64
}

type storeState struct {
	confirmed bool
	failures  int
	waitUntil int64
}

// NewPlanner returns a planner that has issued no orders.
func NewPlanner(o Options) *Planner {
	return &Planner{opt: o, targets: make(map[string]*orderState)}
}

// Step returns the plan for the current observations. The caller must send each order at
// once and report its outcome with Sent.
func (p *Planner) Step(nowMs int64, g Goal) Plan {
	p.setGoal(g)
	for i := range g.Targets {
		p.observe(nowMs, &g.Targets[i])
	}
	group := p.count(&g)
	plan := Plan{Pending: len(group.pending), Loading: group.loading}
	for _, o := range group.pending {
		cause := p.withheld(nowMs, o, &group)
		if cause != "" {
			plan.Withheld = cause
			continue
		}
		plan.Orders = append(plan.Orders, Order{Address: o.Address, Cause: p.cause(o)})
		p.recordOrder(nowMs, o, &group)
	}
	if len(plan.Orders) > 0 {
		plan.Withheld = ""
	}
	plan.Loading = group.loading
	return plan
}

// setGoal applies a changed goal. A target that is still loading the previously wanted
// version finishes that first.
func (p *Planner) setGoal(g Goal) {
	if p.model != g.Model || p.version != g.Version {
		p.model, p.version = g.Model, g.Version
		p.store = storeState{}
		for _, t := range p.targets {
			t.failures, t.waitUntil = 0, 0
		}
	}
	listed := make(map[string]bool, len(g.Targets))
	for i := range g.Targets {
		listed[g.Targets[i].Address] = true
	}
	for address := range p.targets {
		if !listed[address] {
			delete(p.targets, address)
		}
	}
}

// observe ends the loading state of a target that serves the ordered version, and records a
// failure for a target that does not serve it within LoadTimeoutMs.
//
// A target counts as loading until it answers a request, not until its load report names
// the version: an engine reports the version as soon as it begins to load it.
func (p *Planner) observe(nowMs int64, o *Observation) {
	t := p.targets[o.Address]
	if t == nil || !t.loading {
		return
	}
	if o.State == Serving && o.Reported && o.Model == p.model && o.Version == t.version {
		*t = orderState{}
		return
	}
	if nowMs-t.orderedMs >= p.opt.LoadTimeoutMs {
		p.failed(nowMs, t)
	}
}

// failed records that a load failed and sets the backoff.
func (p *Planner) failed(nowMs int64, t *orderState) {
	t.loading = false
	t.waitUntil = nowMs + p.backoff(t.failures)
	t.failures++
}

// backoff returns the wait in milliseconds after the number of failures; it doubles with
// each failure.
func (p *Planner) backoff(failures int) int64 {
	wait := p.opt.BackoffMs
	for range failures {
		wait = min(2*wait, p.opt.MaxBackoffMs)
	}
	return wait
}

// groupState is the state of a group; a step updates it as it plans orders.
type groupState struct {
	pending []*Observation
	// usable counts the targets that are not leaving.
	usable, loading, serving int
}

func (p *Planner) count(g *Goal) groupState {
	var group groupState
	for i := range g.Targets {
		o := &g.Targets[i]
		if p.isLoading(o) {
			group.loading++
		}
		if o.Leaving {
			continue
		}
		group.usable++
		if o.State == Serving && !p.isLoading(o) {
			group.serving++
		}
		if o.Model != p.model || o.Version != p.version || !o.Reported {
			group.pending = append(group.pending, o)
		}
	}
	slices.SortFunc(group.pending, p.compare)
	return group
}

func (p *Planner) isLoading(o *Observation) bool {
	t := p.targets[o.Address]
	return o.State == Loading || t != nil && t.loading
}

// compare sorts targets that do not serve the model first, because loading on them does not
// affect callers, and then by address, so that two issuers that overlap for a moment choose
// the same target and not two.
func (p *Planner) compare(a, b *Observation) int {
	if p.mayServe(a) != p.mayServe(b) {
		if p.mayServe(b) {
			return -1
		}
		return 1
	}
	if a.Address < b.Address {
		return -1
	}
	return 1
}

// mayServe reports whether an order could remove a serving target from the callers. An
// engine that reports no model is taken to serve any model.
func (p *Planner) mayServe(o *Observation) bool {
	return o.State == Serving || o.Reported && (o.Model == p.model || o.Model == "")
}

// withheld returns the reason why a target gets no order now, "" if it gets one.
//
// Failure guarded against: a version change that makes the whole group load at once, so
// that callers get 503 for as long as a load takes. Orders with an unknown outcome count as
// loading, only targets that have answered a request count as serving, and only one daemon
// issues a model's orders; so at each order at least minServing targets keep serving.
func (p *Planner) withheld(nowMs int64, o *Observation, group *groupState) string {
	t := p.targets[o.Address]
	switch {
	case !o.Reported:
		return WithheldUnreported
	case p.isLoading(o), group.loading >= p.maxLoading(group.usable):
		return WithheldLoading
	case t != nil && nowMs < t.waitUntil:
		return WithheldBackoff
	case !p.store.confirmed:
		return WithheldWeights
	case p.mayServe(o) && p.servingWithout(o, group) < p.minServing(group.usable):
		return WithheldServing
	case p.hasOrdered && nowMs-p.lastOrderMs < p.opt.SpacingMs:
		return WithheldSpacing
	}
	return ""
}

func (p *Planner) servingWithout(o *Observation, group *groupState) int {
	if o.State == Serving {
		return group.serving - 1
	}
	return group.serving
}

func (p *Planner) maxLoading(usable int) int {
	return max(1, int(p.opt.LoadingShare*float64(usable)))
}

// minServing returns the minimum number of targets that must keep serving. It is 0 for a
// group of one: its operators accept the interruption, because otherwise a new version could
// never be loaded.
func (p *Planner) minServing(usable int) int {
	if usable <= 1 {
		return 0
	}
	return max(1, int(p.opt.ServingShare*float64(usable)))
}

func (p *Planner) cause(o *Observation) string {
	if o.Model != p.model {
		return "another model is loaded"
	}
	return "another version is loaded"
}

// recordOrder records an order as sent. Until Sent reports another outcome, the order may
// have reached the target.
func (p *Planner) recordOrder(nowMs int64, o *Observation, group *groupState) {
	t := p.targets[o.Address]
	if t == nil {
		t = &orderState{}
		p.targets[o.Address] = t
	}
	t.loading, t.orderedMs, t.version = true, nowMs, p.version
	p.hasOrdered, p.lastOrderMs = true, nowMs
	group.loading++
	if o.State == Serving {
		group.serving--
	}
}

// Busy reports whether a target that was sent an order does not serve yet.
func (p *Planner) Busy() bool {
	for _, t := range p.targets {
		if t.loading {
			return true
		}
	}
	return false
}

// Sent records the outcome of an order.
func (p *Planner) Sent(nowMs int64, address string, out Outcome) {
	t := p.targets[address]
	if t == nil || out != Refused {
		return
	}
	p.failed(nowMs, t)
}

// NeedsStore reports whether the weight store should be queried for the goal's version now.
func (p *Planner) NeedsStore(nowMs int64, g Goal) bool {
	p.setGoal(g)
	return !p.store.confirmed && nowMs >= p.store.waitUntil
}

// StoreReady reports whether the store has confirmed the version. No orders are planned
// before that.
func (p *Planner) StoreReady() bool { return p.store.confirmed }

// StoreAnswered records the weight store's answer. retryAfterMs is the delay that the store
// requested before the next query, 0 if none.
func (p *Planner) StoreAnswered(nowMs int64, a StoreAnswer, retryAfterMs int64) {
	if a == StoreHas {
		p.store = storeState{confirmed: true}
		return
	}
	p.store.waitUntil = nowMs + max(retryAfterMs, p.backoff(p.store.failures))
	p.store.failures++
}
