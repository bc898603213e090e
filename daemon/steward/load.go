package steward

import (
	"context"
	"time"

	"tarragonhollow.example/tarragonhollow/core/config"
)

// loadLoop fetches the load reports of the assigned engines, with at most one call in
// flight for each, so that a hanging target does not delay the reports of others.
func (s *Steward) loadLoop(ctx context.Context) {
	every(ctx, loadEvery, func(context.Context) {
		for _, t := range s.assignedTargets() {
			if t.kind == config.KindEngine && t.beginLoad() {
				s.group.Go(func(ctx context.Context) { s.fetchLoad(ctx, t) })
			}
		}
	})
}

func (t *targetState) beginLoad() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.loading {
		return false
	}
	t.loading = true
	return true
}

func (s *Steward) fetchLoad(ctx context.Context, t *targetState) {
	bounded, release := context.WithTimeout(ctx, loadTimeout)
	defer release()
	report, err := s.opts.Engine.Load(bounded, t.address)
	now := s.opts.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.loading = false
	if err != nil {
		return
	}
	t.report, t.reportAt = report, now
	t.core.ApplyReport(now, now.Sub(time.UnixMilli(report.AtMs)), report.Running, report.Waiting)
}
