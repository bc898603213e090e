package shards

import (
	"context"
	"strconv"

	"tarragonhollow.example/tarragonhollow/core/ledger"
)

const (
	// maxLogReads is the number of streams that LookupOnLog reads concurrently, and
	// maxLogReadBytes how much of each. They limit the reads of a daemon that reaches no
	// owner while it is under load, and would read a whole stream for every
	// non-repeatable request. LookupOnLog fails for a shard with more live state than
	// that, and it is then unknown whether requests with the shard's keys have run.
	maxLogReads     = 2
	maxLogReadBytes = 64 << 20
	// logReadTimeout limits LookupOnLog to the time of a call to an owner.
	logReadTimeout = queryTimeout
)

// LookupOnLog implements ledger.Client. It reads the shard's stream up to an end that it queries
// after the call began. A request with the same key that was granted and answered before
// the call has its start record before that end, since a non-repeatable request is granted
// only after its start record was read back. Calls for one shard share a read that has not
// begun yet. A call that arrives after the read began needs a new one, which the Forget in
// readState allows.
func (s *Shards) LookupOnLog(ctx context.Context, req ledger.BeginRequest) (ledger.BeginReply, error) {
	ctx, cancel := context.WithTimeout(ctx, logReadTimeout)
	defer cancel()
	sl := s.slotOf(req.Key)
	result := s.logReads.DoChan(strconv.Itoa(sl.id), func() (any, error) { return s.readState(ctx, sl) })
	select {
	case r := <-result:
		if r.Err != nil {
			return ledger.BeginReply{}, r.Err
		}
		return r.Val.(*ledger.State).Lookup(req), nil
	case <-ctx.Done():
		return ledger.BeginReply{}, errReplay.Wrap(ctx.Err(), "read the state of %s", sl.stream)
	}
}

// readState replays the shard's stream and returns its state. The state is shared by the
// calls that wait for it, and must not be changed.
func (s *Shards) readState(ctx context.Context, sl *slot) (*ledger.State, error) {
	select {
	case s.logReadSlots <- struct{}{}:
		defer func() { <-s.logReadSlots }()
	case <-ctx.Done():
		return nil, errReplay.Wrap(ctx.Err(), "wait to read %s", sl.stream)
	}
	s.logReads.Forget(strconv.Itoa(sl.id))
	st, err := s.replay(ctx, sl, maxLogReadBytes)
	if err != nil {
		return nil, err
	}
	if st.Next() > 0 && !st.Anchored() {
		return nil, errReplay.New("the state of %s can't be rebuilt from its records", sl.stream)
	}
	return st, nil
}
