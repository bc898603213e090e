package shards

import (
	"strings"
	"time"

	"go.uber.org/zap"

	"tarragonhollow.example/tarragonhollow/core/ledger"
	"tarragonhollow.example/tarragonhollow/core/membership"
)

// claimGrace is the grace time of a claim: how long a daemon that does not see the holder
// waits before it claims the shard too. It prevents a storm of claims when two groups of
// daemons can't reach each other but both reach the log. Each group considers the other's
// holders dead, and would claim a shard again as soon as it reads that it lost it. Holders
// would then keep a shard for milliseconds only, and claims would use up the appends that
// requests and jobs need. With the grace time, the groups take turns of this length, and a
// call that is retried for DefaultRetryFor meets a turn of its own group.
//
// The grace time only affects when a daemon tries. The order of records on the log decides
// which one holds the shard, independent of any clock.
const claimGrace = 2 * time.Second

// noteTerm records the term that the shard's holder announces. The caller holds sl.mu.
func (sl *slot) noteTerm(holder membership.Member) {
	for _, h := range holder.Shards {
		if h.Shard == sl.id {
			sl.knownTerm = max(sl.knownTerm, h.Term)
		}
	}
}

// startGrace starts the grace time of the term's claim, less the time that has passed of
// it. It reports whether any of the grace time is left. The caller holds sl.mu. It starts
// only once for each term, so that a shard waits for claimGrace at most, even if another
// daemon's clock is wrong by hours.
func (s *Shards) startGrace(sl *slot, term uint64, passed time.Duration) bool {
	if term <= sl.knownTerm {
		return false
	}
	sl.knownTerm = term
	sl.graceUntil = s.opt.Clock().Add(min(max(claimGrace-passed, 0), claimGrace))
	return sl.graceUntil.After(s.opt.Clock())
}

// newlyClaimed reports whether the stream shows a claim that this daemon did not know yet,
// and whose grace time has not ended. It starts the grace time. The claim is not younger
// than the last record, so the time since that record counts as passed.
func (s *Shards) newlyClaimed(sl *slot, st *ledger.State) bool {
	term, holder := st.Term()
	if holder == "" || holder == s.opt.View.Self().ID() || s.replaced(holder) {
		return false
	}
	passed := time.Duration(s.nowMs()-st.LastAtMs()) * time.Millisecond
	sl.mu.Lock()
	defer sl.mu.Unlock()
	inGrace := s.startGrace(sl, term, passed)
	if inGrace {
		s.opt.Logger.Debug("shard_claim_stands", zap.Int("shard", sl.id), zap.Uint64("term", term),
			zap.String("holder", holder))
	}
	return inGrace
}

// replaced reports whether another incarnation runs on the holder's host, so that the
// holder has certainly ended.
func (s *Shards) replaced(holder string) bool {
	for _, m := range s.opt.View.Members() {
		if m.ID() != holder && strings.HasPrefix(holder, m.Host+"#") {
			return true
		}
	}
	return false
}
