package orders

import (
	"context"
	"sort"
	"sync"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"tarragonhollow.example/tarragonhollow/core/config"
	"tarragonhollow.example/tarragonhollow/core/orders"
	"tarragonhollow.example/tarragonhollow/core/shard"
	"tarragonhollow.example/tarragonhollow/daemon/duty"
)

// modelKey is hashed to the shard whose holder gives a model's orders.
const modelKey = "model/"

// Orders gives the orders for the models of the shards held here.
type Orders struct {
	opt   Options
	meter *meter

	// rollouts is keyed by target group; the loop's own.
	rollouts map[string]*rollout

	mu sync.Mutex
	// seqs counts the orders of each shard's tenure record.
	seqs map[int]sequence
}

type sequence struct {
	offset int64
	next   uint32
	// stale tells that a target has seen a higher fencing number: the tenure is
	// renewed before the next order.
	stale bool
}

// rollout is one target group's way to the wanted version, seen from here.
type rollout struct {
	term     uint64
	planner  *orders.Planner
	withheld string

	mu        sync.Mutex
	confirmed map[string]confirmation
}

func newRollout(o orders.Options) *rollout {
	return &rollout{planner: orders.NewPlanner(o), confirmed: make(map[string]confirmation)}
}

func (r *rollout) confirmation(address string) (confirmation, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	c, ok := r.confirmed[address]
	return c, ok
}

func (r *rollout) confirm(address string, c confirmation) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.confirmed[address] = c
}

// confirmation remembers that a target answered a request.
type confirmation struct {
	model, version string
	until          time.Time
}

// New validates the options.
func New(o Options) (*Orders, error) {
	if err := o.validate(); err != nil {
		return nil, err
	}
	return &Orders{
		opt:      o,
		meter:    newMeter(o.Metrics),
		rollouts: make(map[string]*rollout),
		seqs:     make(map[int]sequence),
	}, nil
}

// Run starts the duty; without a weight store there is none.
func (s *Orders) Run(g *duty.Group) {
	if s.opt.Weights == nil {
		s.opt.Logger.Info("orders_off", zap.String("cause", "no weight store is set"))
		return
	}
	g.Go(s.orderLoop)
}

// orderLoop looks at every model whose orders are given here.
func (s *Orders) orderLoop(ctx context.Context) {
	ticker := time.NewTicker(s.opt.Every)
	defer ticker.Stop()
	for {
		s.round(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// assignment is one target group with the model that it should serve.
type assignment struct {
	group *config.TargetGroup
	model *config.Model
	shard int
}

// round makes one step for each assigned group. Groups are looked at side by
// side, so that a silent target holds up its own group only.
func (s *Orders) round(ctx context.Context) {
	assigned := s.assignments()
	s.forget(assigned)
	var groups errgroup.Group
	for _, a := range assigned {
		r := s.rollouts[a.group.Name]
		if r == nil {
			r = newRollout(s.opt.Bounds)
			s.rollouts[a.group.Name] = r
		}
		groups.Go(func() error {
			s.step(ctx, a, r)
			return nil
		})
	}
	_ = groups.Wait()
}

// assignments lists the groups whose models' shards are held here.
func (s *Orders) assignments() []assignment {
	c := s.opt.Config()
	if c == nil || c.Version == 0 {
		return nil
	}
	var out []assignment
	for _, g := range c.Groups {
		m := c.Models[g.Model]
		if g.Kind != config.KindEngine || m == nil || m.Version == "" {
			continue
		}
		a := assignment{group: g, model: m, shard: shard.Of(modelKey+m.Name, s.opt.Shards)}
		if s.opt.Leadership.Held(a.shard) {
			out = append(out, a)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].group.Name < out[j].group.Name })
	return out
}

// forget drops the rollouts that are not this daemon's any more: what it knew
// of them is old when it comes back to them.
func (s *Orders) forget(assigned []assignment) {
	mine := make(map[string]bool, len(assigned))
	for _, a := range assigned {
		mine[a.group.Name] = true
	}
	for name := range s.rollouts {
		if !mine[name] {
			delete(s.rollouts, name)
		}
	}
}

// step observes one group, decides, and sends what was decided. The tenure is
// proven last: a version that the store does not have costs the log nothing.
func (s *Orders) step(ctx context.Context, a assignment, r *rollout) {
	goal := s.observe(ctx, a, r)
	if !goal.Changing() && !r.planner.Busy() {
		r.note(s, a, orders.Plan{})
		return
	}
	if !s.storeReady(ctx, a, r, goal) {
		r.note(s, a, orders.Plan{Withheld: orders.WithheldWeights})
		return
	}
	tenure, err := s.tenure(ctx, a.shard)
	if err != nil {
		s.opt.Logger.Warn("orders_withheld", zap.String("model", a.model.Name),
			zap.String("group", a.group.Name), zap.Error(err))
		return
	}
	r.enter(s.opt.Bounds, tenure.Term)
	if !a.group.ChecksOrders && s.opt.Clock().Before(tenure.From) {
		r.note(s, a, orders.Plan{Withheld: "the last issuer's time may not have run out"})
		return
	}
	plan := r.planner.Step(s.nowMs(), goal)
	r.note(s, a, plan)
	for _, order := range plan.Orders {
		out := s.send(ctx, a, tenure, order)
		r.planner.Sent(s.nowMs(), order.Address, out)
	}
}

// enter begins anew in another term: others have given orders meanwhile.
func (r *rollout) enter(bounds orders.Options, term uint64) {
	if r.term != 0 && r.term != term {
		r.planner = orders.NewPlanner(bounds)
	}
	r.term = term
}

// note logs a changed reason for withholding orders, once.
func (r *rollout) note(s *Orders, a assignment, plan orders.Plan) {
	if plan.Withheld == r.withheld {
		return
	}
	r.withheld = plan.Withheld
	if plan.Withheld == "" {
		return
	}
	s.opt.Logger.Info("orders_withheld", zap.String("model", a.model.Name),
		zap.String("version", a.model.Version), zap.String("group", a.group.Name),
		zap.Int("pending", plan.Pending), zap.Int("loading", plan.Loading),
		zap.String("cause", plan.Withheld))
}

// tenure returns the proof that this daemon is the issuer, renewed after a
// target refused its fencing number.
func (s *Orders) tenure(ctx context.Context, id int) (Tenure, error) {
	s.mu.Lock()
	stale := s.seqs[id].stale
	s.mu.Unlock()
	t, err := s.opt.Leadership.Tenure(ctx, id, stale)
	if err != nil {
		return t, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.seqs[id].offset != t.Offset || stale {
		s.seqs[id] = sequence{offset: t.Offset}
	}
	return t, nil
}

// fence returns the next fencing number of a tenure.
func (s *Orders) fence(id int, t Tenure) (uint64, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	seq := s.seqs[id]
	if seq.offset != t.Offset {
		return 0, false // renewed meanwhile for another group of the shard
	}
	fence, ok := orders.Fence(t.Offset, seq.next)
	seq.next++
	seq.stale = !ok
	s.seqs[id] = seq
	return fence, ok
}

func (s *Orders) markStale(id int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	seq := s.seqs[id]
	seq.stale = true
	s.seqs[id] = seq
}

func (s *Orders) nowMs() int64 { return s.opt.Clock().UnixMilli() }
