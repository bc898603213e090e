package daemon

import (
	"context"
	"time"

	"go.uber.org/zap"
)

// leaveTimeout limits the announcement to the other daemons that this one leaves.
const leaveTimeout = time.Second

// stopGracefully stops the daemon without interrupting requests. The order of the steps
// matters. First, callers and the other daemons are notified that this one leaves, while it
// still serves. Then batch items are handed back to their owners, and running requests end.
// Only then are the shards handed off, because ending requests still write to them.
func (d *Daemon) stopGracefully() {
	begin := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), d.settings.Drain.Timeout)
	defer cancel()
	d.logger.Info("draining", zap.Int("in_flight", d.online.InFlight()))
	d.api.StartDrain()
	leaveCtx, cancelLeave := context.WithTimeout(ctx, leaveTimeout)
	d.members.Leave(leaveCtx)
	cancelLeave()
	if err := d.steward.Drain(ctx); err != nil {
		d.logger.Warn("batch_not_handed_back", zap.Error(err))
	}
	if err := d.api.Shutdown(ctx); err != nil {
		d.logger.Warn("requests_cut", zap.Error(err))
	}
	d.online.Drain(ctx)
	if err := d.shards.Drain(ctx); err != nil {
		d.logger.Warn("shards_not_handed_over", zap.Error(err))
	}
	if err := d.burn.Drain(ctx); err != nil {
		d.logger.Warn("burn_not_kept", zap.Error(err))
	}
	d.logger.Info("drained", zap.Float64("seconds", time.Since(begin).Seconds()))
}
