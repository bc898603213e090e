package shards

import (
	"context"
	"time"

	"go.uber.org/zap"

	"tarragonhollow.example/tarragonhollow/core/membership"
	"tarragonhollow.example/tarragonhollow/core/shard"
)

const (
	// doubtSteps is how many claim steps longer a shard counts as held when its
	// holder is merely leaving (it is about to name its successor) or has not
	// reached the log lately (it may be a blip).
	doubtSteps = 10
	// moveEvery bounds how often a shard is released for balance.
	moveEvery = 2 * time.Second
	// drainLogWait is how long a drain waits for a log that does not answer.
	drainLogWait = 3 * time.Second
	// settleTime is how long a fresh holder is given to tell that it holds the
	// shard, before a claim is weighed against it.
	settleTime = 5 * time.Second
	// claimsAtOnce is how many of the shards that lose their holders together are
	// claimed without pacing, claimSpacing the time between the further ones. It
	// guards against a storm at a cold start: 32 claims within milliseconds exceed
	// the burst a log allows, which shows as refused appends. Shards take turns by
	// number, so all daemons together keep to half of the fleet's default budget
	// without talking to each other.
	claimsAtOnce = 8
	claimSpacing = 5 * time.Millisecond
)

// claimLoop claims shards that have no usable holder and gives up shards that
// others should hold.
func (s *Shards) claimLoop(ctx context.Context) {
	every(ctx, tickEvery, func() {
		if s.draining.Load() || s.opt.Clock().Sub(s.started) < s.opt.ColdStart {
			return
		}
		s.rebalance(s.claimRound(ctx))
	})
}

// claimRound weighs a claim of each shard and returns how many this daemon holds
// or has begun to claim.
func (s *Shards) claimRound(ctx context.Context) (held int) {
	held = len(s.Holds())
	unheld := 0
	for _, sl := range s.slots {
		claimed, found := s.considerClaim(ctx, sl, held, unheld)
		if claimed {
			held++
		}
		if found {
			unheld++
		}
	}
	return held
}

// unheldCause tells why the shard needs a claim, "" if it has a usable holder.
func (s *Shards) unheldCause(id int) (cause string, doubt bool) {
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

// considerClaim starts a hold duty when it is this daemon's turn. unheld counts
// the shards before this one that have no usable holder; the second result tells
// whether this one has none.
func (s *Shards) considerClaim(ctx context.Context, sl *slot, held, unheld int) (claimed, found bool) {
	cause, doubt := s.unheldCause(sl.id)
	now := s.opt.Clock()
	if cause != "" {
		s.lastMove = now // no moving while shards change hands anyway
	}
	successors := s.opt.View.Successors(shard.Key(sl.id))
	holder, _ := s.opt.View.Holder(sl.id)
	sl.mu.Lock()
	defer sl.mu.Unlock()
	sl.heardOf(holder)
	if sl.busy || (cause == "" && !sl.named) {
		sl.unheld = time.Time{}
		return false, cause != ""
	}
	if !s.logOK.Load() {
		// The time in which nobody could claim doesn't count: after an outage
		// the holders are heard of again before anyone claims against them.
		sl.unheld = time.Time{}
		return false, true
	}
	if now.Before(sl.standsUntil) && !sl.named {
		sl.unheld = time.Time{} // ranks are counted from the end of that time
		return false, true
	}
	if sl.unheld.IsZero() {
		sl.unheld = now
		sl.pace = claimPace(unheld)
	}
	sl.cause = cause
	wait, ok := s.claimAfter(sl, successors, held)
	if doubt && !sl.named {
		wait += doubtSteps * s.opt.ClaimStep
	}
	if !ok || now.Sub(sl.unheld) < wait+sl.pace {
		return false, true
	}
	sl.busy, sl.named = true, false
	s.group.Go(func(ctx context.Context) { s.hold(ctx, sl) })
	return true, true
}

// claimPace is how much longer a shard waits for its claim that lost its holder
// together with others before it.
func claimPace(before int) time.Duration {
	return time.Duration(max(0, before-claimsAtOnce+1)) * claimSpacing
}

func (s *Shards) claimAfter(sl *slot, successors []membership.Member, held int) (time.Duration, bool) {
	f := shard.Facts{
		Shard: sl.id, Self: s.opt.View.Self().ID(), Shards: len(s.slots), Held: held,
		Named: sl.named, StepMs: s.opt.ClaimStep.Milliseconds(),
	}
	for _, m := range successors {
		f.Successors = append(f.Successors, m.ID())
	}
	ms, ok := shard.ClaimAfter(f)
	return time.Duration(ms) * time.Millisecond, ok
}

// rebalance releases one shard at a time while this daemon holds more than its
// fair part and another has room, as after a cold start or when hosts come back.
func (s *Shards) rebalance(held int) {
	now := s.opt.Clock()
	if now.Sub(s.lastMove) < moveEvery || !s.logOK.Load() {
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
			s.lastMove = now
			return
		}
	}
}

// release has the owner give the shard up to the successor.
func (s *Shards) release(sl *slot, to string) bool {
	sl.mu.Lock()
	defer sl.mu.Unlock()
	if !sl.holding() || !sl.owner.Release(s.nowMs(), to) {
		return false
	}
	s.opt.Logger.Info("shard_release", zap.Int("shard", sl.id), zap.String("successor", to))
	sl.poke()
	return true
}

// tellSuccessor asks the named successor to claim now instead of at its turn.
func (s *Shards) tellSuccessor(sl *slot, successor string) {
	for _, m := range s.opt.View.Members() {
		if m.ID() == successor {
			s.opt.Peer.Notify(m.PeerAddress, methodTakeOver, TakeOverRequest{Shard: sl.id})
			return
		}
	}
}

// Drain hands all shards over and returns when none is held. Claims end at once.
func (s *Shards) Drain(ctx context.Context) error {
	s.draining.Store(true)
	ticker := time.NewTicker(tickEvery)
	defer ticker.Stop()
	lastOK := time.Now()
	for s.busySlots() > 0 {
		if s.LogOK() || s.figures().Waiting > 0 {
			lastOK = time.Now()
		}
		// Handing over takes a record. While the log is out a stopping daemon would
		// wait for it until its whole drain time is over, and gain nothing: when the
		// log is back, the others claim what is left as from a lost host. But ends
		// that wait for the log would be lost with this daemon, so they are waited
		// for.
		if time.Since(lastOK) >= drainLogWait {
			return DrainTimeout.New("%d shards are still held and the log is out of reach", s.busySlots())
		}
		for _, sl := range s.slots { // again and again: a claim may just succeed
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

// bestSuccessor is the best ranked other member, "" if there is none.
func (s *Shards) bestSuccessor(id int) string {
	self := s.opt.View.Self().ID()
	for _, m := range s.opt.View.Successors(shard.Key(id)) {
		if m.ID() != self {
			return m.ID()
		}
	}
	return ""
}
