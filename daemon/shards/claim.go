package shards

import (
	"context"
	"time"

	"go.uber.org/zap"

	"tarragonhollow.example/tarragonhollow/core/membership"
	"tarragonhollow.example/tarragonhollow/core/shard"
)

const (
	// degradedSteps is the number of additional claim steps before a shard is claimed
	// whose holder is leaving (it is about to name its successor) or has not reached
	// the log lately (the failure may be transient).
	degradedSteps = 10
	// rebalanceInterval is the minimum time between two releases of shards for balance.
	rebalanceInterval = 2 * time.Second
	// drainLogWait is how long a drain waits for a log that does not respond.
	drainLogWait = 3 * time.Second
	// announceTime is how long a new holder has to announce that it holds the shard
	// before other daemons consider claiming it.
	announceTime = 5 * time.Second
	// claimBurst is how many of the shards that lose their holders at the same time are
	// claimed without delay; the further ones follow at intervals of claimSpacing. This
	// prevents a burst of claims at a cold start: 32 claims within milliseconds exceed
	// the burst that the log allows, and appends are refused. The delay depends on the
	// shard's number, so all daemons together stay within half of the fleet's default
	// budget without coordination.
	claimBurst   = 8
	claimSpacing = 5 * time.Millisecond
)

// claimLoop claims shards that have no usable holder and releases shards that other
// daemons should hold.
func (s *Shards) claimLoop(ctx context.Context) {
	every(ctx, tickInterval, func() {
		if s.draining.Load() || s.opt.Clock().Sub(s.started) < s.opt.ColdStart {
			return
		}
		s.rebalance(s.claimRound(ctx))
	})
}

// claimRound decides for each shard whether to claim it, and returns the number of
// shards that this daemon holds or has started to claim.
func (s *Shards) claimRound(ctx context.Context) (held int) {
	held = len(s.Holds())
	unheldBefore := 0
	for _, sl := range s.slots {
		claimed, unheld := s.considerClaim(ctx, sl, held, unheldBefore)
		if claimed {
			held++
		}
		if unheld {
			unheldBefore++
		}
	}
	return held
}

// unheldCause returns why the shard needs a claim, "" if it has a usable holder.
// degraded reports that the shard has a holder, which is leaving or does not reach the
// log.
func (s *Shards) unheldCause(id int) (cause string, degraded bool) {
	holder, ok := s.opt.View.Holder(id)
	switch {
	case !ok:
		return "no live holder", false
	case holder.State == membership.Leaving:
		return "holder " + holder.Host + " is leaving", true
	case !holder.LogOK:
		return "holder " + holder.Host + " does not reach the log", true
	}
	return "", false
}

// considerClaim starts a goroutine that claims and holds the shard when it is this
// daemon's turn. unheldBefore is the number of shards before this one that have no
// usable holder; the result unheld reports whether this one has none.
func (s *Shards) considerClaim(ctx context.Context, sl *slot, held, unheldBefore int) (claimed, unheld bool) {
	cause, degraded := s.unheldCause(sl.id)
	now := s.opt.Clock()
	if cause != "" {
		s.lastRebalance = now // no rebalancing while shards change holders
	}
	successors := s.opt.View.Successors(shard.Key(sl.id))
	holder, _ := s.opt.View.Holder(sl.id)
	sl.mu.Lock()
	defer sl.mu.Unlock()
	sl.noteTerm(holder)
	if sl.busy || (cause == "" && !sl.isSuccessor) {
		sl.unheldSince = time.Time{}
		return false, cause != ""
	}
	if !s.logOK.Load() {
		// The time in which no daemon could claim does not count, so that after an
		// outage the holders announce themselves before another daemon claims their
		// shards.
		sl.unheldSince = time.Time{}
		return false, true
	}
	if now.Before(sl.graceUntil) && !sl.isSuccessor {
		sl.unheldSince = time.Time{} // the wait by rank starts when the grace time ends
		return false, true
	}
	if sl.unheldSince.IsZero() {
		sl.unheldSince = now
		sl.stagger = claimStagger(unheldBefore)
	}
	sl.cause = cause
	wait, ok := s.claimAfter(sl, successors, held)
	if degraded && !sl.isSuccessor {
		wait += degradedSteps * s.opt.ClaimStep
	}
	if !ok || now.Sub(sl.unheldSince) < wait+sl.stagger {
		return false, true
	}
	sl.busy, sl.isSuccessor = true, false
	s.group.Go(func(ctx context.Context) { s.hold(ctx, sl) })
	return true, true
}

// claimStagger returns the additional delay of the claim of a shard that lost its holder
// together with the given number of shards before it.
func claimStagger(before int) time.Duration {
	return time.Duration(max(0, before-claimBurst+1)) * claimSpacing
}

func (s *Shards) claimAfter(sl *slot, successors []membership.Member, held int) (time.Duration, bool) {
	f := shard.Facts{
		Shard: sl.id, Self: s.opt.View.Self().ID(), Shards: len(s.slots), Held: held,
		ReleasedToSelf: sl.isSuccessor, StepMs: s.opt.ClaimStep.Milliseconds(),
	}
	for _, m := range successors {
		f.Successors = append(f.Successors, m.ID())
	}
	ms, ok := shard.ClaimAfter(f)
	return time.Duration(ms) * time.Millisecond, ok
}

// rebalance releases one shard at a time while this daemon holds more than its fair
// share and another daemon holds less, for example after a cold start or when hosts come
// back.
func (s *Shards) rebalance(held int) {
	now := s.opt.Clock()
	if now.Sub(s.lastRebalance) < rebalanceInterval || !s.logOK.Load() {
		return
	}
	self := s.opt.View.Self().ID()
	for _, sl := range s.slots {
		var ranked []shard.Load
		for _, m := range s.opt.View.Successors(shard.Key(sl.id)) {
			ranked = append(ranked, shard.Load{ID: m.ID(), Shards: len(m.Shards)})
		}
		to, ok := shard.Rebalance(self, held, len(s.slots), ranked)
		if !ok {
			return
		}
		if s.release(sl, to) {
			s.lastRebalance = now
			return
		}
	}
}

// release makes the owner release the shard to the successor. It reports whether the
// release has begun.
func (s *Shards) release(sl *slot, to string) bool {
	sl.mu.Lock()
	defer sl.mu.Unlock()
	if !sl.holding() || !sl.owner.Release(s.nowMs(), to) {
		return false
	}
	s.opt.Logger.Info("shard_release", zap.Int("shard", sl.id), zap.String("successor", to))
	sl.notify()
	return true
}

// notifySuccessor asks the named successor to claim the shard now instead of at its turn.
func (s *Shards) notifySuccessor(sl *slot, successor string) {
	for _, m := range s.opt.View.Members() {
		if m.ID() == successor {
			s.opt.Peer.Notify(m.PeerAddress, methodTakeOver, TakeOverRequest{Shard: sl.id})
			return
		}
	}
}

// Drain hands off all shards and returns when this daemon holds none. It starts no more
// claims. The error is a DrainTimeout if shards are still held when ctx ends, or when the
// log has been unreachable for drainLogWait.
func (s *Shards) Drain(ctx context.Context) error {
	s.draining.Store(true)
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	lastOK := time.Now()
	for s.busySlots() > 0 {
		if s.LogOK() || s.stats().QueuedProposals > 0 {
			lastOK = time.Now()
		}
		// A hand-off needs a record on the log. During an outage of the log a stopping
		// daemon would wait for its whole drain time and gain nothing: when the log is
		// back, other daemons claim the remaining shards as those of a lost host. But
		// results that are not on the log yet would be lost with this daemon, so Drain
		// waits for those.
		if time.Since(lastOK) >= drainLogWait {
			return DrainTimeout.New("%d shards are still held and the log is out of reach", s.busySlots())
		}
		for _, sl := range s.slots { // repeatedly, as a claim in progress may still succeed
			s.release(sl, s.bestSuccessor(sl.id))
		}
		select {
		case <-ctx.Done():
			return DrainTimeout.New("%d shards are still held or being claimed", s.busySlots())
		case <-ticker.C:
		}
	}
	return nil
}

func (s *Shards) busySlots() int {
	n := 0
	for _, sl := range s.slots {
		sl.mu.Lock()
		if sl.busy {
			n++
		}
		sl.mu.Unlock()
	}
	return n
}

// bestSuccessor returns the id of the highest ranked other member, "" if there is none.
func (s *Shards) bestSuccessor(id int) string {
	self := s.opt.View.Self().ID()
	for _, m := range s.opt.View.Successors(shard.Key(id)) {
		if m.ID() != self {
			return m.ID()
		}
	}
	return ""
}
