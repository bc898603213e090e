package shards

import (
	"strings"
	"time"

	"go.uber.org/zap"

	"tarragonhollow.example/tarragonhollow/core/ledger"
	"tarragonhollow.example/tarragonhollow/core/membership"
)

// standTime is how long a claim stands before a daemon that doesn't see its
// holder claims against it. It guards against a storm when two groups of daemons
// are cut from each other but both reach the log: each takes the other's holders
// for dead, and would claim again the moment it reads of its loss. That shows as
// holders that keep a shard for milliseconds, and as claims that use up the
// appends of orders and jobs. With it, the groups take turns of this length, and
// a call that looks for its owner for DefaultRetryFor meets a turn of its own
// group.
//
// Only when to try depends on it: who holds the shard is decided by the order of
// records, whatever any clock says.
const standTime = 2 * time.Second

// heardOf notes the term that the shard's holder tells of; the lock is held.
func (sl *slot) heardOf(holder membership.Member) {
	for _, h := range holder.Shards {
		if h.Shard == sl.id {
			sl.known = max(sl.known, h.Term)
		}
	}
}

// letStand gives the term's holder its time, from now on less what has passed of
// it; the lock is held. It does so once for each term, so that a shard waits for
// this time at most, also if another daemon's clock is wrong by hours.
func (s *Shards) letStand(sl *slot, term uint64, passed time.Duration) bool {
	if term <= sl.known {
		return false
	}
	sl.known = term
	sl.standsUntil = s.opt.Clock().Add(min(max(standTime-passed, 0), standTime))
	return sl.standsUntil.After(s.opt.Clock())
}

// newlyClaimed tells whether the stream shows a claim that this daemon knows
// nothing of yet, and gives its holder the time. The claim isn't younger than
// the last record, so the holder has had the time since that one at least.
func (s *Shards) newlyClaimed(sl *slot, st *ledger.State) bool {
	term, holder := st.Term()
	if holder == "" || holder == s.opt.View.Self().ID() || s.replaced(holder) {
		return false
	}
	passed := time.Duration(s.nowMs()-st.LastAtMs()) * time.Millisecond
	sl.mu.Lock()
	defer sl.mu.Unlock()
	stands := s.letStand(sl, term, passed)
	if stands {
		s.opt.Logger.Debug("shard_claim_stands", zap.Int("shard", sl.id), zap.Uint64("term", term),
			zap.String("holder", holder))
	}
	return stands
}

// replaced tells whether another incarnation runs on the holder's host by now, so
// that the holder is certainly gone.
func (s *Shards) replaced(holder string) bool {
	for _, m := range s.opt.View.Members() {
		if m.ID() != holder && strings.HasPrefix(holder, m.Host+"#") {
			return true
		}
	}
	return false
}
