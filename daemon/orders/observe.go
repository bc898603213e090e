package orders

import (
	"context"
	"net/http"
	"strconv"

	"golang.org/x/sync/errgroup"

	"tarragonhollow.example/tarragonhollow/core/orders"
	"tarragonhollow.example/tarragonhollow/target"
)

// probeText is the prompt of the request that checks whether a target serves.
const probeText = "ready?"

// observe fetches the load report of every target of the group. While the group is changing,
// it also probes whether the targets that report the model, or no model, serve it.
func (s *Orders) observe(ctx context.Context, a assignment, r *rollout) orders.Goal {
	goal := orders.Goal{Model: a.model.Name, Version: a.model.Version}
	goal.Targets = make([]orders.Observation, len(a.group.Targets))
	s.each(len(goal.Targets), func(i int) {
		address := a.group.Targets[i].Address
		o := orders.Observation{Address: address, Leaving: s.opt.View.TargetLeaving(address)}
		call, cancel := context.WithTimeout(ctx, observeTimeout)
		defer cancel()
		if report, err := s.opt.Engine.Load(call, address); err == nil {
			o.Reported, o.Model, o.Version = true, report.Model, report.Version
		}
		goal.Targets[i] = o
	})
	if goal.Changing() || r.planner.Busy() {
		s.probeAll(ctx, a, r, &goal)
	}
	return goal
}

// probeAll probes the targets and sets their states in goal. A successful probe is valid for
// confirmationTTL, so that a change of version costs a target one token in that time.
func (s *Orders) probeAll(ctx context.Context, a assignment, r *rollout, goal *orders.Goal) {
	now := s.opt.Clock()
	s.each(len(goal.Targets), func(i int) {
		o := &goal.Targets[i]
		mayServe := o.Model == a.model.Name || o.Model == ""
		if o.Leaving || !o.Reported || !mayServe {
			return
		}
		known, ok := r.confirmation(o.Address)
		if ok && known.model == o.Model && known.version == o.Version && now.Before(known.until) {
			o.State = orders.Serving
			return
		}
		o.State = s.probe(ctx, o.Address, a.model.Name)
		if o.State == orders.Serving {
			r.confirm(o.Address, confirmation{model: o.Model, version: o.Version, until: now.Add(confirmationTTL)})
			return
		}
		r.confirm(o.Address, confirmation{})
	})
}

// probe requests one token. The load report names a model from the start of its loading, and
// the health check passes all the time, so only a request shows whether callers would be
// served. A target that responds that its queue is full counts as serving.
func (s *Orders) probe(ctx context.Context, address, model string) orders.State {
	call, cancel := context.WithTimeout(target.WithUrgency(ctx, target.UrgencyBatch), probeTimeout)
	defer cancel()
	request := target.GenerateRequest{
		StreamID:  "order-probe/" + strconv.FormatInt(s.opt.Clock().UnixNano(), 36),
		Model:     model,
		Messages:  []target.Message{{Role: "user", Content: probeText}},
		MaxTokens: 1,
	}
	_, err := s.opt.Engine.Generate(call, address, request, func(target.Token) error { return nil })
	if err == nil {
		return orders.Serving
	}
	f := target.FailureOf(err)
	switch {
	case f == nil:
		return orders.Unknown
	case f.Status == http.StatusTooManyRequests:
		return orders.Serving
	case f.Status == http.StatusServiceUnavailable:
		return orders.Loading
	}
	return orders.Unknown
}

// each runs f for each index, at most observeParallel concurrently, and waits for all.
func (s *Orders) each(n int, f func(i int)) {
	var group errgroup.Group
	group.SetLimit(observeParallel)
	for i := range n {
		group.Go(func() error {
			f(i)
			return nil
		})
	}
	_ = group.Wait()
}
