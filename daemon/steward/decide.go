package steward

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"tarragonhollow.example/tarragonhollow/core/admission"
)

// decideLoop takes the admission decisions: at once for a poked target, and for
// all of them every decideEvery, or every restEvery while there is no batch work.
func (s *Steward) decideLoop(ctx context.Context) {
	timer := time.NewTimer(decideEvery)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case t := <-s.pokes.C():
			if t != nil {
				s.decide(t)
			}
		case <-timer.C:
			s.handBackOverdue()
			for _, t := range s.ownTargets() {
				s.decide(t)
			}
			timer.Reset(s.pace(decideEvery))
		}
	}
}

// decide steps one target's admission state and carries the action out. The
// cancels go first: they free the slots that online work waits for.
func (s *Steward) decide(t *targetState) {
	now := s.opts.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	queue := s.queueForLocked(now, t)
	t.mu.Lock()
	action := t.core.Step(now, queue)
	t.why = action.Why
	cancelled := t.cancelLocked(action.Cancel)
	t.mu.Unlock()
	s.meter.gaveWay(t, cancelled)
	if cancelled > 0 {
		s.tellHeldBack(now, t, cancelled)
	}
	for range action.Admit {
		if !s.startNextLocked(now, t, queue.Suspect, action.Small) {
			return
		}
	}
}

// tellEvery bounds how often one target's giving way is told: in a burst it
// happens many times a second.
const tellEvery = 5 * time.Second

// tellHeldBack logs that batch gave way at the target.
func (s *Steward) tellHeldBack(now time.Time, t *targetState, cancelled int) {
	t.mu.Lock()
	t.heldBack += cancelled
	told := now.Sub(t.toldAt) < tellEvery
	held, online, running, why := t.heldBack, t.core.Online(now), t.core.Running(), t.why
	if !told {
		t.toldAt, t.heldBack = now, 0
	}
	t.mu.Unlock()
	if told {
		return
	}
	s.log.Info("batch_held_back",
		zap.String("target", t.address), zap.String("group", t.group), zap.String("cause", string(why)),
		zap.Int("online", online), zap.Int("batch_running", running), zap.Int("cancelled_since_last", held))
}

// cancelLocked stops streams and returns how many were not being stopped
// already; t.mu is held.
func (t *targetState) cancelLocked(ids []admission.StreamID) int {
	b := &burst{began: t.burstAt}
	for _, id := range ids {
		if r := t.runs[id]; r != nil && !r.stopping.Load() {
			b.left.Add(1)
			r.stopForBurst(b)
		}
	}
	return int(b.left.Load())
}

// queueForLocked describes what waits for the target.
func (s *Steward) queueForLocked(now time.Time, t *targetState) admission.Queue {
	if s.draining {
		return admission.Queue{}
	}
	if s.suspectTurnLocked(now, t) {
		return admission.Queue{Waiting: 1, Suspect: true}
	}
	q := admission.Queue{}
	for _, it := range s.queued[t.group] {
		if it.suspect || !it.mayRunAt(now, t) {
			continue
		}
		q.Waiting++
		// One is enough to know of: beside online work one starts at a time.
		if q.Small == 0 && it.smallAtLocked(t) {
			q.Small = 1
		}
		if q.NextDue.IsZero() || it.due.Before(q.NextDue) {
			q.NextDue, q.Weight, q.Forecast = it.due, it.weight, s.jobFinishLocked(it)
		}
	}
	return q
}

// suspectTurnLocked tells whether the target should be emptied for a suspect
// item. One target of the group at a time takes that turn, and only while no
// online work is there, so that suspects cost the others at most one target.
func (s *Steward) suspectTurnLocked(now time.Time, t *targetState) bool {
	waiting := slices.ContainsFunc(s.queued[t.group], func(it *heldItem) bool { return it.suspect })
	if !waiting {
		delete(s.suspects, t.group)
		return false
	}
	t.mu.Lock()
	free := t.core.Online(now) == 0 && t.lostAt.IsZero() && t.leavingAt.IsZero()
	t.mu.Unlock()
	chosen := s.suspects[t.group]
	if chosen != nil && s.ownTargets()[chosen.address] != chosen {
		chosen = nil // it went to another steward while it had the turn
	}
	if chosen == t && !free {
		delete(s.suspects, t.group)
		return false
	}
	if chosen == nil && free {
		s.suspects[t.group] = t
	}
	return s.suspects[t.group] == t
}

// mayRunAt keeps a cancelled item for the target that has its prefix cached.
func (it *heldItem) mayRunAt(now time.Time, t *targetState) bool {
	return it.prefer == nil || it.prefer == t || !now.Before(it.preferUntil)
}

// startNextLocked starts the most urgent item that waits for the target, of
// those with a small prefill if small is set.
func (s *Steward) startNextLocked(now time.Time, t *targetState, suspect, small bool) bool {
	best := -1
	queue := s.queued[t.group]
	for i, it := range queue {
		if it.suspect != suspect || !it.mayRunAt(now, t) || small && !it.smallAtLocked(t) {
			continue
		}
		if best < 0 || earlier(it, queue[best]) {
			best = i
		}
	}
	if best < 0 {
		return false
	}
	it := queue[best]
	s.queued[t.group] = slices.Delete(queue, best, best+1)
	if !s.mayStartLocked(now, it, t) {
		s.handBackLocked(it)
		return true
	}
	s.startLocked(now, it, t)
	return true
}

// earlier orders items by due time, resumed ones first at the same time.
func earlier(a, b *heldItem) bool {
	if !a.due.Equal(b.due) {
		return a.due.Before(b.due)
	}
	if len(a.progress) != len(b.progress) {
		return len(a.progress) > len(b.progress)
	}
	if a.ref.Job != b.ref.Job {
		return a.ref.Job < b.ref.Job
	}
	return a.ref.Index < b.ref.Index
}

// handBackOverdue returns items that waited too long or whose lease ran out.
func (s *Steward) handBackOverdue() {
	now := s.opts.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	for group, queue := range s.queued {
		s.queued[group] = slices.DeleteFunc(queue, func(it *heldItem) bool {
			if now.Sub(it.queuedAt) < holdBound && now.Before(it.startUntil) {
				return false
			}
			s.log.Debug("item_handed_back", zap.String("job", it.ref.Job), zap.Int("index", it.ref.Index),
				zap.Int("tokens", len(it.progress)))
			s.handBackLocked(it)
			return true
		})
	}
	for job, until := range s.revoked {
		if now.After(until) {
			delete(s.revoked, job)
		}
	}
}

// forecastLocked tells when the group's known backlog would be finished at the
// present rate; zero if unknown.
func (s *Steward) forecastLocked(now time.Time, group string) time.Time {
	rate := s.rates[group]
	if rate == nil {
		return time.Time{}
	}
	finish, ok := admission.ForecastFinish(now, s.backlogLocked(group), rate.PerSecond(now))
	if !ok {
		return time.Time{}
	}
	return finish
}

// backlogLocked adds this daemon's part of what waits at the owners to its own
// queue. Stewards of a group share its backlog in the ratio of their targets;
// the ratio is that of the configuration, so it needs no exchange.
func (s *Steward) backlogLocked(group string) int {
	waiting := 0
	for _, o := range s.owners {
		waiting += o.group(group).backlog
	}
	own, all := 0, 0
	if cfg := s.opts.Config(); cfg != nil && cfg.Groups[group] != nil {
		all = len(cfg.Groups[group].Targets)
	}
	for _, t := range s.ownTargets() {
		if t.group == group {
			own++
		}
	}
	if all > 0 {
		waiting = waiting * own / all
	}
	return waiting + len(s.queued[group])
}
