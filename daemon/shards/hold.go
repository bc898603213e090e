package shards

import (
	"context"
	"math"
	"time"

	"go.uber.org/zap"

	"tarragonhollow.example/tarragonhollow/core/ledger"
	"tarragonhollow.example/tarragonhollow/core/membership"
	"tarragonhollow.example/tarragonhollow/daemon/duty"
	"tarragonhollow.example/tarragonhollow/extern"
)

const (
	// readBytes limits one page of a stream.
	readBytes = 4 << 20
	// pollWait is how long a read waits for the next record, pollWaitDown the same after
	// a failed read, until the log responds again.
	pollWait     = 2 * time.Second
	pollWaitDown = 200 * time.Millisecond
	// callTimeout limits an append, or a query of a stream's bounds.
	callTimeout = 3 * time.Second
	// pauseAfterError is the pause before the log is called again after an error.
	pauseAfterError = 200 * time.Millisecond
)

// hold replays the shard's stream, claims the shard, and acts as its owner until another
// daemon holds it.
func (s *Shards) hold(ctx context.Context, sl *slot) {
	defer s.endHold(sl)
	began := s.opt.Clock()
	st, err := s.replay(ctx, sl, math.MaxInt)
	if err != nil {
		s.setLogOK(false)
		s.opt.Logger.Warn("shard_replay_failed", zap.Int("shard", sl.id), zap.Error(err))
		return
	}
	replayTime := s.opt.Clock().Sub(began)
	if s.freshlyHeld(st) || s.newlyClaimed(sl, st) {
		return
	}
	s.meter.replay.Update(replayTime.Seconds())
	owner := ledger.NewOwner(s.ownerConfig(sl.id), st, s.nowMs())
	sl.mu.Lock()
	sl.owner = owner
	_, before := st.Term()
	s.opt.Logger.Info("shard_claim", zap.Int("shard", sl.id), zap.Uint64("term", owner.Term()),
		zap.String("cause", sl.cause), zap.String("previous", before),
		zap.Duration("unheld", s.opt.Clock().Sub(sl.unheldSince)),
		zap.Duration("replay", replayTime), zap.Int64("next", st.Next()))
	sl.mu.Unlock()

	inner, stop := context.WithCancel(ctx)
	done := make(chan struct{})
	s.group.Go(func(context.Context) {
		defer close(done)
		s.appendLoop(inner, sl, owner)
	})
	s.readLoop(inner, sl, owner)
	stop()
	<-done
}

// endHold cleans up after a hold: it returns waiting calls as lost, so that they are
// retried at the next owner, and notifies the successor of a released shard.
func (s *Shards) endHold(sl *slot) {
	sl.mu.Lock()
	owner := sl.owner
	sl.owner, sl.busy, sl.unheldSince = nil, false, time.Time{}
	for id, ch := range sl.calls {
		delete(sl.calls, id)
		ch <- ledger.Reply{Call: id, Lost: true}
	}
	if owner == nil {
		sl.mu.Unlock()
		return
	}
	sl.pastStats.Add(owner.Stats())
	term, holder := owner.State().Term()
	if holder != "" && holder != s.opt.View.Self().ID() {
		s.startGrace(sl, term, 0)
	}
	sl.mu.Unlock()
	successor := owner.State().Successor()
	s.opt.Logger.Info("shard_lost", zap.Int("shard", sl.id), zap.Uint64("term", owner.Term()),
		zap.Uint64("current_term", term), zap.String("holder", holder),
		zap.String("successor", successor))
	if holder == "" && successor != "" {
		s.notifySuccessor(sl, successor)
	}
}

// freshlyHeld reports whether the stream shows a live holder that claimed the shard or
// wrote to it so recently that its announcement may not have reached this daemon yet.
func (s *Shards) freshlyHeld(st *ledger.State) bool {
	_, holder := st.Term()
	if holder == "" || holder == s.opt.View.Self().ID() {
		return false
	}
	for _, m := range s.opt.View.Members() {
		if m.ID() == holder {
			fresh := s.nowMs()-st.LastAtMs() < announceTime.Milliseconds()
			return fresh && m.LogOK && m.State == membership.Live
		}
	}
	return false
}

// replay applies the stream's records from the last Low to its current end. It fails if
// these have more than maxBytes bytes.
func (s *Shards) replay(ctx context.Context, sl *slot, maxBytes int) (*ledger.State, error) {
	first, next, err := s.bounds(ctx, sl)
	if err != nil {
		return nil, err
	}
	tail, err := s.tail(ctx, sl, first, next)
	if err != nil {
		return nil, err
	}
	start, anchored := ledger.ReplayStart(first, next, tail)
	st := ledger.NewState(sl.id, start, anchored)
	for st.Next() < next {
		page, err := s.opt.Log.Read(ctx, sl.stream, st.Next(), readBytes, 0)
		if err != nil {
			return nil, errReplay.Wrap(err, "read %s from %d", sl.stream, st.Next())
		}
		if len(page.Records) == 0 {
			return nil, errReplay.New("%s ends at %d, not %d", sl.stream, st.Next(), next)
		}
		for _, r := range page.Records {
			if maxBytes -= len(r.Data); maxBytes < 0 {
				return nil, errReplay.New("%s exceeds the size limit of a replay", sl.stream)
			}
			rec, _ := ledger.DecodeRecord(sl.id, r.Data)
			if _, err := st.Apply(r.Offset, len(r.Data), rec); err != nil {
				return nil, err
			}
		}
	}
	return st, nil
}

func (s *Shards) bounds(ctx context.Context, sl *slot) (first, next int64, err error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	first, next, err = s.opt.Log.Bounds(ctx, sl.stream)
	if err != nil {
		return 0, 0, errReplay.Wrap(err, "bounds of %s", sl.stream)
	}
	return first, next, nil
}

// tail returns the stream's last record, nil if there is none.
func (s *Shards) tail(ctx context.Context, sl *slot, first, next int64) (*ledger.Record, error) {
	if next == first {
		return nil, nil
	}
	page, err := s.opt.Log.Read(ctx, sl.stream, next-1, 1, 0)
	if err != nil {
		return nil, errReplay.Wrap(err, "read the end of %s", sl.stream)
	}
	if len(page.Records) == 0 {
		return nil, nil
	}
	rec, _ := ledger.DecodeRecord(sl.id, page.Records[0].Data)
	return rec, nil
}

// readLoop applies new records of the stream until the shard is lost.
func (s *Shards) readLoop(ctx context.Context, sl *slot, owner *ledger.Owner) {
	for ctx.Err() == nil {
		from, wait := s.readFrom(sl, owner)
		page, err := s.opt.Log.Read(ctx, sl.stream, from, readBytes, wait)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			s.readFailed(sl, owner, err)
			duty.Pause(ctx, pauseAfterError)
			continue
		}
		s.setLogOK(true)
		if !s.applyPage(sl, owner, page) {
			return
		}
	}
}

func (s *Shards) readFrom(sl *slot, owner *ledger.Owner) (int64, time.Duration) {
	sl.mu.Lock()
	defer sl.mu.Unlock()
	wait := pollWait
	if !owner.LogOK() {
		wait = pollWaitDown
	}
	return owner.State().Next(), wait
}

func (s *Shards) readFailed(sl *slot, owner *ledger.Owner, err error) {
	if extern.IsUnavailable(err) {
		s.setLogOK(false)
	}
	sl.mu.Lock()
	defer sl.mu.Unlock()
	owner.ReadFailed(s.nowMs())
	sl.readAt = s.opt.Clock()
	s.deliver(sl)
}

// applyPage applies a page of records. It returns false if the hold must end, because the
// shard is lost, or because records that were still needed have expired and the stream has
// to be replayed.
func (s *Shards) applyPage(sl *slot, owner *ledger.Owner, page extern.Page) bool {
	sl.mu.Lock()
	defer sl.mu.Unlock()
	owner.ReadOK(s.nowMs())
	sl.readAt = s.opt.Clock()
	held := owner.Holding()
	for _, r := range page.Records {
		if err := owner.Apply(s.nowMs(), r.Offset, r.Data); err != nil {
			s.opt.Logger.Error("shard_gap", zap.Int("shard", sl.id), zap.Error(err))
			return false
		}
	}
	if owner.Holding() && !held {
		s.opt.Logger.Info("shard_held", zap.Int("shard", sl.id), zap.Uint64("term", owner.Term()),
			zap.Int("jobs", len(owner.Jobs())))
	}
	s.deliver(sl)
	sl.notify()
	return !owner.Lost()
}
