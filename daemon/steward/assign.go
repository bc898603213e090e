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

// targetState is one target that this daemon is or was just steward of.
type targetState struct {
	address string
	group   string
	kind    config.Kind

	mu   sync.Mutex
	core *admission.Target
	runs map[admission.StreamID]*run
	// prefixes is what the runs left in the target's cache.
	prefixes prefixMemory
	why      admission.Reason
	// heldBack counts streams cancelled since toldAt, when that was last logged.
	heldBack int
	toldAt   time.Time
	// burstAt is when online requests last began while batch was running.
	burstAt  time.Time
	report   target.LoadReport
	reportAt time.Time
	loading  bool
	// lostAt is when another daemon became steward, leavingAt when the target's
	// leaving was first seen; zero while it is not so.
	lostAt    time.Time
	leavingAt time.Time
}

// assignLoop keeps the set of own targets.
func (s *Steward) assignLoop(ctx context.Context) {
	every(ctx, assignEvery, func(context.Context) { s.assign() })
}

func (s *Steward) assign() {
	cfg := s.opts.Config()
	if cfg == nil {
		return
	}
	now := s.opts.Now()
	old := s.ownTargets()
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
		if s.keepLost(now, t) {
			next[address] = t
		} else {
			s.meter.removeTarget(t)
		}
	}
	s.targets.Store(&next)
	s.stopOverdue(now, next)
}

// assignTarget returns the state of a target that is this daemon's, or nil.
func (s *Steward) assignTarget(now time.Time, g *config.TargetGroup, address string, have *targetState) *targetState {
	if !s.isSteward(address) {
		return nil
	}
	if have != nil && have.group == g.Name && have.kind == g.Kind {
		return have
	}
	s.log.Info("steward_taken", zap.String("target", address), zap.String("group", g.Name))
	t := &targetState{
		prefixes: newPrefixMemory(),
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

// refresh carries the membership's word into the admission state.
func (t *targetState) refresh(now time.Time, slots int, leaving bool, live []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lostAt = time.Time{}
	if t.report.Slots > 0 {
		slots = min(slots, t.report.Slots) // the engine's own word, if it is lower
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

// setPolicy puts the configured policy in force; operators may change it while
// batch runs.
func (t *targetState) setPolicy(p admission.Policy) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.core.SetPolicy(p)
}

// keepLost marks a target that is no longer this daemon's, so that nothing new
// starts there, and keeps it while streams of ours still run.
func (s *Steward) keepLost(now time.Time, t *targetState) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.lostAt.IsZero() {
		t.lostAt = now
		s.log.Info("steward_lost", zap.String("target", t.address), zap.Int("batch_running", len(t.runs)))
	}
	t.core.SetLeaving(true)
	return len(t.runs) > 0
}

// stopOverdue cancels streams at targets that are lost or leaving for too long.
// The entry hosts now signal to the new steward, so streams of ours would no
// longer give way; the bound on that harm is lostGrace.
func (s *Steward) stopOverdue(now time.Time, targets map[string]*targetState) {
	for _, t := range targets {
		t.mu.Lock()
		lost := !t.lostAt.IsZero() && now.Sub(t.lostAt) >= lostGrace
		left := !t.leavingAt.IsZero() && now.Sub(t.leavingAt) >= leaveBound
		if lost || left {
			for _, r := range t.runs {
				if !r.item.pinned {
					r.stop(errMoveOn)
				}
			}
		}
		t.mu.Unlock()
	}
}

// liveEntries lists the daemons that may send online requests. A leaving one
// still finishes some, so its counts are kept.
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
