package steward

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"tarragonhollow.example/tarragonhollow/core/admission"
)

// decideLoop makes the admission decisions: at once for a target from decideQueue, and for
// all of them every decideEvery, or every idleEvery while there is no batch work.
func (s *Steward) decideLoop(ctx context.Context) {
	timer := time.NewTimer(decideEvery)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case t := <-s.decideQueue.C():
			if t != nil {
				s.decide(t)
			}
		case <-timer.C:
			s.handBackOverdue()
			for _, t := range s.assignedTargets() {
				s.decide(t)
			}
			timer.Reset(s.interval(decideEvery))
		}
	}
}

// decide steps one target's admission state and carries out the resulting action. Cancels
// come before starts: they free the slots that online work waits for.
func (s *Steward) decide(t *targetState) {
	now := s.opts.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	queue := s.queueForLocked(now, t)
	t.mu.Lock()
	action := t.core.Step(now, queue)
	t.reason = action.Reason
	cancelled := t.cancelLocked(action.Cancel)
	t.mu.Unlock()
	s.meter.countPreempted(t, cancelled)
	if cancelled > 0 {
		s.logPreemption(now, t, cancelled)
	}
	for range action.Admit {
		if !s.startNextLocked(now, t, queue.Suspect, action.SmallPrefill) {
			return
		}
	}
}

// logEvery is the minimum time between log entries about preemption at one target: in a
// burst, preemptions happen many times a second.
const logEvery = 5 * time.Second

// logPreemption logs that batch was preempted at the target, at most once per logEvery.
func (s *Steward) logPreemption(now time.Time, t *targetState, cancelled int) {
	t.mu.Lock()
	t.cancelledUnlogged += cancelled
	recent := now.Sub(t.loggedAt) < logEvery
	total, online, running, reason := t.cancelledUnlogged, t.core.Online(now), t.core.Running(), t.reason
	if !recent {
		t.loggedAt, t.cancelledUnlogged = now, 0
	}
	t.mu.Unlock()
	if recent {
		return
	}
	s.log.Info("batch_held_back",
		zap.String("target", t.address), zap.String("group", t.group), zap.String("cause", string(reason)),
		zap.Int("online", online), zap.Int("batch_running", running), zap.Int("cancelled_since_last", total))
}

// cancelLocked stops streams and returns how many of them were not being stopped already.
// t.mu is held.
func (t *targetState) cancelLocked(ids []admission.StreamID) int {
	p := &preemption{began: t.onlineStartAt}
	for _, id := range ids {
		if r := t.runs[id]; r != nil && !r.stopping.Load() {
			p.remaining.Add(1)
			r.preempt(p)
		}
	}
	return int(p.remaining.Load())
}

// queueForLocked summarizes the queued items that may run at the target.
func (s *Steward) queueForLocked(now time.Time, t *targetState) admission.Queue {
	if s.draining {
		return admission.Queue{}
	}
	if s.suspectTargetLocked(now, t) {
		return admission.Queue{Waiting: 1, Suspect: true}
	}
	q := admission.Queue{}
	for _, it := range s.queued[t.group] {
		if it.suspect || !it.mayRunAt(now, t) {
			continue
		}
		q.Waiting++
		// Counting one is enough: alongside online work, one item starts at a time.
		if q.SmallPrefill == 0 && it.smallPrefillLocked(t) {
			q.SmallPrefill = 1
		}
		if q.NextDue.IsZero() || it.due.Before(q.NextDue) {
			q.NextDue, q.Weight, q.Forecast = it.due, it.weight, s.jobFinishLocked(it)
		}
	}
	return q
}

// suspectTargetLocked reports whether the target should be emptied for a suspect item. At
// most one target of the group is chosen at a time, and only while it has no online work,
// so that suspects take at most one target from the other items.
func (s *Steward) suspectTargetLocked(now time.Time, t *targetState) bool {
	waiting := slices.ContainsFunc(s.queued[t.group], func(it *heldItem) bool { return it.suspect })
	if !waiting {
		delete(s.suspectTargets, t.group)
		return false
	}
	t.mu.Lock()
	free := t.core.Online(now) == 0 && t.lostAt.IsZero() && t.leavingAt.IsZero()
	t.mu.Unlock()
	chosen := s.suspectTargets[t.group]
	if chosen != nil && s.assignedTargets()[chosen.address] != chosen {
		chosen = nil // it was assigned to another steward meanwhile
	}
	if chosen == t && !free {
		delete(s.suspectTargets, t.group)
		return false
	}
	if chosen == nil && free {
		s.suspectTargets[t.group] = t
	}
	return s.suspectTargets[t.group] == t
}

// mayRunAt reports whether the item may start at the target. Until preferUntil, a cancelled
// item waits for the target that has its prefix cached.
func (it *heldItem) mayRunAt(now time.Time, t *targetState) bool {
	return it.prefer == nil || it.prefer == t || !now.Before(it.preferUntil)
}

// startNextLocked starts the most urgent item that may run at the target; if small is set,
// only of those with a small prefill. It reports whether it removed an item from the queue.
func (s *Steward) startNextLocked(now time.Time, t *targetState, suspect, small bool) bool {
	best := -1
	queue := s.queued[t.group]
	for i, it := range queue {
		if it.suspect != suspect || !it.mayRunAt(now, t) || small && !it.smallPrefillLocked(t) {
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

// earlier orders items by due time; of items due at the same time, the one with more tokens
// comes first.
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

// handBackOverdue hands back items that waited for maxQueueTime or whose lease no longer
// allows a start. It also forgets revoked jobs whose retention has ended.
func (s *Steward) handBackOverdue() {
	now := s.opts.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	for group, queue := range s.queued {
		s.queued[group] = slices.DeleteFunc(queue, func(it *heldItem) bool {
			if now.Sub(it.queuedAt) < maxQueueTime && now.Before(it.startUntil) {
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

// forecastLocked returns when the group's known backlog would be finished at the current
// rate; zero if unknown.
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

// backlogLocked returns the length of this daemon's queue plus its part of the owners'
// backlog. Stewards of a group share its backlog in the ratio of their targets; the ratio
// follows from the configuration, so no messages are needed.
func (s *Steward) backlogLocked(group string) int {
	waiting := 0
	for _, o := range s.owners {
		waiting += o.group(group).backlog
	}
	assigned, all := 0, 0
	if cfg := s.opts.Config(); cfg != nil && cfg.Groups[group] != nil {
		all = len(cfg.Groups[group].Targets)
	}
	for _, t := range s.assignedTargets() {
		if t.group == group {
			assigned++
		}
	}
	if all > 0 {
		waiting = waiting * assigned / all
	}
	return waiting + len(s.queued[group])
}
