package daemon

import (
	"context"
	"time"

	"go.uber.org/zap"

	"tarragonhollow.example/tarragonhollow/core/membership"
	"tarragonhollow.example/tarragonhollow/daemon/duty"
)

// watchInterval is how often the view of the fleet is compared with the previous one.
const watchInterval = 500 * time.Millisecond

// watchLoop logs changes of the fleet, which the status shows too. It drains this daemon if
// another one was started on its host.
//
// Two incarnations on one host share its name. The host list and operators consider them one
// daemon, and the older one would continue to hold shards unnoticed. The case is logged as
// member_superseded_by_later_incarnation, and the older incarnation leaves.
func (d *Daemon) watchLoop(ctx context.Context) {
	ticker := time.NewTicker(watchInterval)
	defer ticker.Stop()
	last := map[string]observed{}
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		last = d.logChanges(last, d.members.Members())
		if d.members.Superseded() {
			d.requestDrain()
		}
	}
}

// observed is a member in the previous view. leaving reports that it announced that it
// leaves. Its removal is then not logged as a death, even if other daemons considered it
// dead afterwards because it no longer responded.
type observed struct {
	membership.Member
	leaving bool
}

// logChanges logs the differences between the last view and members, and returns the new
// view.
func (d *Daemon) logChanges(last map[string]observed, members []membership.Member) map[string]observed {
	now := make(map[string]observed, len(members))
	for _, m := range members {
		before, known := last[m.Host]
		same := known && before.Incarnation == m.Incarnation
		now[m.Host] = observed{m, m.State == membership.Leaving || (same && before.leaving)}
		switch {
		case !same:
			d.logger.Info("member_joined", memberFields(m)...)
		case before.State != m.State:
			d.logger.Info("member_"+stateName(m.State), append(memberFields(m), zap.String("before", stateName(before.State)))...)
		}
	}
	for host, m := range last {
		if _, still := now[host]; !still {
			d.logRemoved(m)
		}
	}
	return now
}

func (d *Daemon) logRemoved(m observed) {
	if m.leaving {
		d.logger.Info("member_left", memberFields(m.Member)...)
		return
	}
	d.logger.Warn("member_dead", append(memberFields(m.Member), zap.String("cause", "no answer to direct and indirect probes"))...)
}

func memberFields(m membership.Member) []zap.Field {
	return []zap.Field{
		zap.String("member", m.Host),
		zap.String("zone", m.Zone),
		zap.Int("shards_held", len(m.Shards)),
	}
}

// requestDrain requests Run to stop gracefully. Further requests have no effect.
func (d *Daemon) requestDrain() { duty.Wake(d.drain) }
