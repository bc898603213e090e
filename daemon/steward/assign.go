package steward

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"tarragonhollow.example/tarragonhollow/core/admission"
	"tarragonhollow.example/tarragonhollow/core/config"
	"tarragonhollow.example/tarragonhollow/core/membership"
	"tarragonhollow.example/tarragonhollow/daemon/signal"
	"tarragonhollow.example/tarragonhollow/target"
)

// targetState is one target of which this daemon is the steward, or was until a moment ago.
type targetState struct {
	address string
	group   string
	kind    config.Kind

	mu   sync.Mutex
	core *admission.Target
	runs map[admission.StreamID]*run
	// prefixes holds the prompt prefixes that runs left in the target's cache.
	prefixes prefixCache
	reason   admission.Reason
	// cancelledUnlogged counts streams cancelled for online work since loggedAt, when this
	// was last logged.
	cancelledUnlogged int
	loggedAt          time.Time
	// onlineStartAt is when online requests last began while batch was running.
	onlineStartAt time.Time
	report        target.LoadReport
	reportAt      time.Time
	loading       bool
	// lostAt is when another daemon became steward, leavingAt when the target was first
	// seen as leaving; zero if not.
	lostAt    time.Time
	leavingAt time.Time
}

// assignLoop updates the set of targets assigned to this daemon.
func (s *Steward) assignLoop(ctx context.Context) {
	every(ctx, assignEvery, func(context.Context) { s.assign() })
}

func (s *Steward) assign() {
	cfg := s.opts.Config()
	if cfg == nil {
		return
	}
	now := s.opts.Now()
	old := s.assignedTargets()
	next := make(map[string]*targetState, len(old))
	live := liveEntries(s.opts.View)
	for _, g := range cfg.Groups {
		for _, configured := range g.Targets {
			if t := s.assignTarget(now, g, configured.Address, old[configured.Address]); t != nil {
				t.refresh(now, g.Slots, s.opts.View.TargetLeaving(t.address), live)
				t.setPolicy(s.opts.PolicyOf(g))
				next[t.address] = t
			}
		}
	}
	for address, t := range old {
		if next[address] != nil {
			continue
		}
		if s.markLost(now, t) {
			next[address] = t
		} else {
			s.meter.removeTarget(t)
		}
	}
	s.targets.Store(&next)
	s.stopOverdue(now, next)
}

// assignTarget returns the target's state, new or current, or nil if this daemon is not
// its steward.
func (s *Steward) assignTarget(now time.Time, g *config.TargetGroup, address string, current *targetState) *targetState {
	if !s.isSteward(address) {
		return nil
	}
	if current != nil && current.group == g.Name && current.kind == g.Kind {
		return current
	}
	s.log.Info("steward_taken", zap.String("target", address), zap.String("group", g.Name))
	t := &targetState{
		prefixes: newPrefixCache(),
		address:  address,
		group:    g.Name,
		kind:     g.Kind,
		core:     admission.NewTarget(s.opts.PolicyOf(g), g.Slots, now),
		runs:     make(map[admission.StreamID]*run),
	}
	s.meter.addTarget(t)
	return t
}

func (s *Steward) isSteward(address string) bool {
	m, ok := signal.StewardOf(s.opts.View, address)
	return ok && m.ID() == s.selfID()
}

// refresh updates the admission state from the configuration and the membership.
func (t *targetState) refresh(now time.Time, slots int, leaving bool, live []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lostAt = time.Time{}
	if t.report.Slots > 0 {
		slots = min(slots, t.report.Slots) // the engine may report fewer than configured
	}
	t.core.SetSlots(slots)
	t.core.SetLeaving(leaving)
	t.core.SetEntries(live)
	switch {
	case !leaving:
		t.leavingAt = time.Time{}
	case t.leavingAt.IsZero():
		t.leavingAt = now
	}
}

// setPolicy applies the configured policy; operators may change it while batch runs.
func (t *targetState) setPolicy(p admission.Policy) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.core.SetPolicy(p)
}

// markLost marks a target that is no longer assigned to this daemon, so that nothing new
// starts there. It reports whether streams of this daemon still run there; the state is
// kept until they end.
func (s *Steward) markLost(now time.Time, t *targetState) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.lostAt.IsZero() {
		t.lostAt = now
		s.log.Info("steward_lost", zap.String("target", t.address), zap.Int("batch_running", len(t.runs)))
	}
	t.core.SetLeaving(true)
	return len(t.runs) > 0
}

// stopOverdue cancels streams at targets that have been lost for lostGrace or leaving for
// leavingGrace. The entry hosts of a lost target signal to the new steward, so this daemon's
// streams there would no longer be preempted; lostGrace bounds that time.
func (s *Steward) stopOverdue(now time.Time, targets map[string]*targetState) {
	for _, t := range targets {
		t.mu.Lock()
		lostOverdue := !t.lostAt.IsZero() && now.Sub(t.lostAt) >= lostGrace
		leavingOverdue := !t.leavingAt.IsZero() && now.Sub(t.leavingAt) >= leavingGrace
		if lostOverdue || leavingOverdue {
			for _, r := range t.runs {
				if !r.item.pinned {
					r.stop(errTargetUnavailable)
				}
			}
		}
		t.mu.Unlock()
	}
}

// liveEntries returns the ids of the daemons that may send online requests. A leaving
// daemon still finishes some, so its counts are kept.
func liveEntries(view membership.View) []string {
	members := view.Members()
	ids := make([]string, 0, len(members))
	for _, m := range members {
		if m.State != membership.Dead {
			ids = append(ids, m.ID())
		}
	}
	return ids
}
