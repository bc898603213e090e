package daemon

import (
	"context"
	"time"

	"go.uber.org/zap"

	"tarragonhollow.example/tarragonhollow/core/membership"
)

// watchEvery is how often the picture of the fleet is compared with the last one.
const watchEvery = 500 * time.Millisecond

// watchLoop tells in the log, and so in the status, how the fleet changed, and
// drains a daemon whose host has started another one.
//
// Two incarnations of one host share its name: the host list and operators take
// them for one daemon, and the older one would go on holding shards unseen. It
// shows as member_superseded_by_later_incarnation; the older one leaves.
func (d *Daemon) watchLoop(ctx context.Context) {
	ticker := time.NewTicker(watchEvery)
	defer ticker.Stop()
	last := map[string]membership.Member{}
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		last = d.tellChanges(last, d.members.Members())
		if d.members.Superseded() {
			d.requestDrain()
		}
	}
}

// tellChanges logs what differs between two pictures and returns the new one.
func (d *Daemon) tellChanges(last map[string]membership.Member, members []membership.Member) map[string]membership.Member {
	now := make(map[string]membership.Member, len(members))
	for _, m := range members {
		now[m.Host] = m
		before, known := last[m.Host]
		switch {
		case !known:
			d.logger.Info("member_joined", memberFields(m)...)
		case before.State != m.State:
			d.logger.Info("member_"+stateName(m.State), append(memberFields(m), zap.String("before", stateName(before.State)))...)
		}
	}
	for host, m := range last {
		if _, still := now[host]; !still {
			d.logger.Warn("member_dead", append(memberFields(m), zap.String("cause", "no answer to direct and indirect probes"))...)
		}
	}
	return now
}

func memberFields(m membership.Member) []zap.Field {
	return []zap.Field{
		zap.String("member", m.Host),
		zap.String("zone", m.Zone),
		zap.Int("shards_held", len(m.Shards)),
	}
}

// requestDrain asks Run to stop gracefully; asking again does nothing.
func (d *Daemon) requestDrain() {
	select {
	case d.drain <- struct{}{}:
	default:
	}
}
