package orders

import (
	"context"
	"net/http"

	"go.uber.org/zap"

	"tarragonhollow.example/tarragonhollow/core/orders"
	"tarragonhollow.example/tarragonhollow/extern"
	"tarragonhollow.example/tarragonhollow/target"
)

// actionLoadModel is the order's action in the targets' contract.
const actionLoadModel = "load_model"

// send sends one order within the tenure.
//
// Failure guarded against: a daemon decides, is paused, and resumes when another daemon
// issues the orders, so that the target would go back to an old version. The clock is
// checked right before the call, and the call's deadline is the end of the tenure; see
// LogLeadership for the window that remains.
func (s *Orders) send(ctx context.Context, a assignment, t Tenure, order orders.Order) orders.Outcome {
	fence, ok := s.fence(a.shard, t)
	left := t.Until.Sub(s.opt.Clock())
	if !ok || left <= 0 || !s.opt.Leadership.Held(a.shard) {
		s.meter.notSent.Inc()
		return orders.Refused
	}
	call, cancel := context.WithTimeout(ctx, left)
	defer cancel()
	err := s.opt.Engine.Order(call, order.Address, target.Order{
		Fence: fence, Action: actionLoadModel, Model: a.model.Name, Version: a.model.Version,
	})
	out := outcomeOf(err)
	s.logOrder(a, t, order, fence, out, err)
	if !s.opt.Clock().Before(t.Until) {
		s.meter.outlived.Inc()
		s.opt.Logger.Warn("order_outlived_tenure", zap.String("model", a.model.Name),
			zap.String("target", order.Address), zap.Uint64("fence", fence))
	}
	if f := target.FailureOf(err); f != nil && f.Status == http.StatusConflict {
		s.markStale(a.shard)
	}
	return out
}

func (s *Orders) logOrder(a assignment, t Tenure, order orders.Order, fence uint64, out orders.Outcome, err error) {
	fields := []zap.Field{
		zap.String("cause", order.Cause), zap.String("model", a.model.Name),
		zap.String("version", a.model.Version), zap.String("group", a.group.Name),
		zap.String("target", order.Address), zap.Uint64("fence", fence),
		zap.Int("shard", a.shard), zap.Uint64("term", t.Term),
	}
	if out == orders.Accepted {
		s.meter.accepted.Inc()
		s.opt.Logger.Info("order_sent", fields...)
		return
	}
	s.meter.failed.Inc()
	s.opt.Logger.Warn("order_failed", append(fields, zap.Bool("may_load", out == orders.Lost), zap.Error(err))...)
}

// outcomeOf returns the outcome of an order from its error. Only a response that rejects the
// order, or a failure to connect, proves that the target does not load the model.
func outcomeOf(err error) orders.Outcome {
	if err == nil {
		return orders.Accepted
	}
	f := target.FailureOf(err)
	if f != nil && (!f.Reached || f.Rejected || f.Busy) {
		return orders.Refused
	}
	return orders.Lost
}

// storeReady reports whether the weight store has the wanted version. It queries the store
// until it does.
func (s *Orders) storeReady(ctx context.Context, a assignment, r *rollout, goal orders.Goal) bool {
	if !r.planner.NeedsStore(s.nowMs(), goal) {
		return r.planner.StoreReady()
	}
	call, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	_, err := s.opt.Weights.Weights(call, a.model.Name, a.model.Version)
	answer := orders.StoreBusy
	switch {
	case err == nil:
		answer = orders.StoreHas
	case extern.IsNotFound(err):
		answer = orders.StoreMissing
	}
	retry, _ := extern.IsLimited(err)
	r.planner.StoreAnswered(s.nowMs(), answer, retry.Milliseconds())
	if err != nil {
		s.opt.Logger.Warn("weights_not_ready", zap.String("model", a.model.Name),
			zap.String("version", a.model.Version), zap.Bool("missing", answer == orders.StoreMissing), zap.Error(err))
	}
	return err == nil
}
