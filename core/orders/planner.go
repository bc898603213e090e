package orders

import "slices"

// Reasons for which a plan withholds orders.
const (
	WithheldWeights = "the weight store has not confirmed the version"
	WithheldLoading = "as many targets load as may at once"
	WithheldServing = "too few targets would go on serving"
	WithheldBackoff = "waits after a failure"
	WithheldSpacing = "waits for the next turn at the weight store"
	WithheldUnseen  = "the target does not report or is leaving"
)

// Planner decides the orders for one model in one tenure of its issuer.
type Planner struct {
	opt     Options
	model   string
	version string
	targets map[string]*tracked
	store   storeState
	lastMs  int64
	ordered bool
}

// tracked is what was done with one target.
type tracked struct {
	// loading is set from an order until the target serves what it ordered.
	loading   bool
	orderedMs int64
	version   string
	failures  int
	waitUntil int64
}

type storeState struct {
	has       bool
	failures  int
	waitUntil int64
}

// NewPlanner returns a planner that knows of no order.
func NewPlanner(o Options) *Planner {
	return &Planner{opt: o, targets: make(map[string]*tracked)}
}

// Step decides on the observations of now. Each order is to be sent at once and
// its end reported with Sent.
func (p *Planner) Step(nowMs int64, g Goal) Plan {
	p.follow(g)
	for i := range g.Targets {
		p.observe(nowMs, &g.Targets[i])
	}
	c := p.count(&g)
	plan := Plan{Pending: len(c.pending), Loading: c.loading}
	for _, o := range c.pending {
		cause := p.withheld(nowMs, o, &c)
		if cause != "" {
			plan.Withheld = cause
			continue
		}
		plan.Orders = append(plan.Orders, Order{Address: o.Address, Cause: p.cause(o)})
		p.note(nowMs, o, &c)
	}
	if len(plan.Orders) > 0 {
		plan.Withheld = ""
	}
	plan.Loading = c.loading
	return plan
}

// follow takes a changed goal up. A target that still loads the version wanted
// before is left to end that first.
func (p *Planner) follow(g Goal) {
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

// observe ends the loading of a target that serves what it was ordered, and
// counts a failure for one that did not come to it in time.
//
// An order counts as loading until a request is answered, not until the load
// report names the version: an engine names it from the moment it begins.
func (p *Planner) observe(nowMs int64, o *Observation) {
	t := p.targets[o.Address]
	if t == nil || !t.loading {
		return
	}
	if o.State == Serving && o.Reported && o.Model == p.model && o.Version == t.version {
		*t = tracked{}
		return
	}
	if nowMs-t.orderedMs >= p.opt.LoadTimeoutMs {
		p.failed(nowMs, t)
	}
}

// failed ends a loading that came to nothing.
func (p *Planner) failed(nowMs int64, t *tracked) {
	t.loading = false
	t.waitUntil = nowMs + p.backoff(t.failures)
	t.failures++
}

// backoff doubles with each failure.
func (p *Planner) backoff(failures int) int64 {
	wait := p.opt.BackoffMs
	for range failures {
		wait = min(2*wait, p.opt.MaxBackoffMs)
	}
	return wait
}

// census is the group's condition, kept up while a step gives orders.
type census struct {
	pending []*Observation
	// usable counts the targets that are not leaving.
	usable, loading, serving int
}

func (p *Planner) count(g *Goal) census {
	var c census
	for i := range g.Targets {
		o := &g.Targets[i]
		if p.isLoading(o) {
			c.loading++
		}
		if o.Leaving {
			continue
		}
		c.usable++
		if o.State == Serving && !p.isLoading(o) {
			c.serving++
		}
		if o.Model != p.model || o.Version != p.version || !o.Reported {
			c.pending = append(c.pending, o)
		}
	}
	slices.SortFunc(c.pending, p.before)
	return c
}

func (p *Planner) isLoading(o *Observation) bool {
	t := p.targets[o.Address]
	return o.State == Loading || t != nil && t.loading
}

// before orders targets that serve nothing of the model first, for they cost
// the callers nothing, and then by address: two issuers that overlap for a
// moment choose the same target and not two.
func (p *Planner) before(a, b *Observation) int {
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

// mayServe tells whether an order would take a target away from the callers.
// An engine that reports no model serves any.
func (p *Planner) mayServe(o *Observation) bool {
	return o.State == Serving || o.Reported && (o.Model == p.model || o.Model == "")
}

// withheld says why a target gets no order now, "" if it gets one.
//
// Failure guarded against: a change of version that takes the whole group away
// at once, which callers see as 503 for as long as a load takes. Orders with an
// unknown end count as loading, only targets that have answered a request count
// as serving, and one daemon alone decides for a model; so at the moment of
// each order at least the serving floor remains.
func (p *Planner) withheld(nowMs int64, o *Observation, c *census) string {
	t := p.targets[o.Address]
	switch {
	case !o.Reported:
		return WithheldUnseen
	case p.isLoading(o), c.loading >= p.maxLoading(c.usable):
		return WithheldLoading
	case t != nil && nowMs < t.waitUntil:
		return WithheldBackoff
	case !p.store.has:
		return WithheldWeights
	case p.mayServe(o) && p.servingWithout(o, c) < p.minServing(c.usable):
		return WithheldServing
	case p.ordered && nowMs-p.lastMs < p.opt.SpacingMs:
		return WithheldSpacing
	}
	return ""
}

func (p *Planner) servingWithout(o *Observation, c *census) int {
	if o.State == Serving {
		return c.serving - 1
	}
	return c.serving
}

func (p *Planner) maxLoading(usable int) int {
	return max(1, int(p.opt.LoadingShare*float64(usable)))
}

// minServing is 0 for a group of one: its operators accept the gap, for without
// it a new version could never be loaded.
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

// note takes an order as on its way. Until Sent says otherwise it may have
// reached the target.
func (p *Planner) note(nowMs int64, o *Observation, c *census) {
	t := p.targets[o.Address]
	if t == nil {
		t = &tracked{}
		p.targets[o.Address] = t
	}
	t.loading, t.orderedMs, t.version = true, nowMs, p.version
	p.ordered, p.lastMs = true, nowMs
	c.loading++
	if o.State == Serving {
		c.serving--
	}
}

// Busy tells whether an ordered target has not come to serve yet.
func (p *Planner) Busy() bool {
	for _, t := range p.targets {
		if t.loading {
			return true
		}
	}
	return false
}

// Sent reports how an order ended.
func (p *Planner) Sent(nowMs int64, address string, out Outcome) {
	t := p.targets[address]
	if t == nil || out != Refused {
		return
	}
	p.failed(nowMs, t)
}

// NeedsStore tells whether the weight store should be asked for the goal's
// version now.
func (p *Planner) NeedsStore(nowMs int64, g Goal) bool {
	p.follow(g)
	return !p.store.has && nowMs >= p.store.waitUntil
}

// StoreReady tells whether the store has confirmed the version: before that no
// order is given.
func (p *Planner) StoreReady() bool { return p.store.has }

// StoreSaid reports the store's answer; retryAfterMs is its wish, 0 if none.
func (p *Planner) StoreSaid(nowMs int64, a StoreAnswer, retryAfterMs int64) {
	if a == StoreHas {
		p.store = storeState{has: true}
		return
	}
	p.store.waitUntil = nowMs + max(retryAfterMs, p.backoff(p.store.failures))
	p.store.failures++
}
