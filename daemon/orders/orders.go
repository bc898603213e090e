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

// modelKey, followed by a model's name, is hashed to the shard whose holder issues the
// model's orders.
const modelKey = "model/"

// Orders issues the orders for the models of the shards that this daemon holds.
type Orders struct {
	opt   Options
	meter *meter

	// rollouts is keyed by target group. Only orderLoop uses it.
	rollouts map[string]*rollout

	mu sync.Mutex
	// seqs holds, by shard, the sequence of the orders under the current tenure record.
	seqs map[int]sequence
}

type sequence struct {
	offset int64
	next   uint32
	// stale reports that the tenure must be renewed before the next order, because a
	// target has received a higher fencing number or the record's numbers are used up.
	stale bool
}

// rollout is this daemon's state of the change of one target group to the wanted version.
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

// confirmation records that a target answered a probe, and until when that is valid.
type confirmation struct {
	model, version string
	until          time.Time
}

// New returns an Orders. It fails with BadOptions if a required option is missing.
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

// Run starts the order loop, unless there is no weight store.
func (s *Orders) Run(g *duty.Group) {
	if s.opt.Weights == nil {
		s.opt.Logger.Info("orders_off", zap.String("cause", "no weight store is set"))
		return
	}
	g.Go(s.orderLoop)
}

// orderLoop periodically checks every model whose orders this daemon issues.
func (s *Orders) orderLoop(ctx context.Context) {
	ticker := time.NewTicker(s.opt.Interval)
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

// round runs one step for each assigned group. Groups are handled concurrently, so that a
// target that does not respond delays its own group only.
func (s *Orders) round(ctx context.Context) {
	assigned := s.assignments()
	s.dropUnassigned(assigned)
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

// assignments returns the groups whose models' shards this daemon holds.
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

// dropUnassigned deletes the rollouts that are no longer assigned to this daemon, since
// their state would be outdated if they were assigned to it again.
func (s *Orders) dropUnassigned(assigned []assignment) {
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

// step observes one group, decides, and sends the orders. The tenure is proven last, so that
// a version that the weight store does not have costs no append to the log.
func (s *Orders) step(ctx context.Context, a assignment, r *rollout) {
	goal := s.observe(ctx, a, r)
	if !goal.Changing() && !r.planner.Busy() {
		r.logWithheld(s, a, orders.Plan{})
		return
	}
	if !s.storeReady(ctx, a, r, goal) {
		r.logWithheld(s, a, orders.Plan{Withheld: orders.WithheldWeights})
		return
	}
	tenure, err := s.tenure(ctx, a.shard)
	if err != nil {
		s.opt.Logger.Warn("orders_withheld", zap.String("model", a.model.Name),
			zap.String("group", a.group.Name), zap.Error(err))
		return
	}
	r.enterTerm(s.opt.Bounds, tenure.Term)
	if !a.group.ChecksOrders && s.opt.Clock().Before(tenure.From) {
		r.logWithheld(s, a, orders.Plan{Withheld: "the previous issuer's tenure may not have expired"})
		return
	}
	plan := r.planner.Step(s.nowMs(), goal)
	r.logWithheld(s, a, plan)
	for _, order := range plan.Orders {
		out := s.send(ctx, a, tenure, order)
		r.planner.Sent(s.nowMs(), order.Address, out)
	}
}

// enterTerm starts with a new planner in another term, since other daemons may have issued
// orders in the meantime.
func (r *rollout) enterTerm(bounds orders.Options, term uint64) {
	if r.term != 0 && r.term != term {
		r.planner = orders.NewPlanner(bounds)
	}
	r.term = term
}

// logWithheld logs the reason for withholding orders when it changes.
func (r *rollout) logWithheld(s *Orders, a assignment, plan orders.Plan) {
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

// tenure returns a tenure that proves that this daemon is the issuer. It is renewed after a
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

// fence returns the next fencing number of a tenure, and false if the tenure must be renewed
// first.
func (s *Orders) fence(id int, t Tenure) (uint64, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	seq := s.seqs[id]
	if seq.offset != t.Offset {
		return 0, false // the tenure was renewed for another group of the shard
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
