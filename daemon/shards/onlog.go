package shards

import (
	"context"
	"strconv"

	"tarragonhollow.example/tarragonhollow/core/ledger"
)

const (
	// looksAtOnce is how many streams are read at once for OnLog, and lookBytes
	// how much of each. They guard against a daemon that is cut from all owners
	// under load and would read every stream for every order; a shard with more
	// live state than that tells nothing, and its keys may have run.
	looksAtOnce = 2
	lookBytes   = 64 << 20
	// lookTimeout bounds a look as long as a call at an owner.
	lookTimeout = askTimeout
)

// OnLog implements ledger.Client. It reads the shard's stream up to an end asked
// for after the call began: an arrival of the key that was granted and answered
// before has its start before that end, since a non-repeatable request is granted
// only once its start was read back. Calls of a shard share one reading while
// it waits for its turn; one that comes after the reading began waits for the
// next, which that one's Forget lets begin.
func (s *Shards) OnLog(ctx context.Context, req ledger.BeginRequest) (ledger.BeginReply, error) {
	ctx, cancel := context.WithTimeout(ctx, lookTimeout)
	defer cancel()
	sl := s.slotOf(req.Key)
	look := s.looks.DoChan(strconv.Itoa(sl.id), func() (any, error) { return s.readForLook(ctx, sl) })
	select {
	case r := <-look:
		if r.Err != nil {
			return ledger.BeginReply{}, r.Err
		}
		return r.Val.(*ledger.State).Look(req), nil
	case <-ctx.Done():
		return ledger.BeginReply{}, errReplay.Wrap(ctx.Err(), "look at %s", sl.stream)
	}
}

// readForLook returns the shard's state; nobody changes it any more.
func (s *Shards) readForLook(ctx context.Context, sl *slot) (*ledger.State, error) {
	select {
	case s.looking <- struct{}{}:
		defer func() { <-s.looking }()
	case <-ctx.Done():
		return nil, errReplay.Wrap(ctx.Err(), "wait to read %s", sl.stream)
	}
	s.looks.Forget(strconv.Itoa(sl.id))
	st, err := s.replay(ctx, sl, lookBytes)
	if err != nil {
		return nil, err
	}
	if st.Next() > 0 && !st.Anchored() {
		return nil, errReplay.New("%s tells no state", sl.stream)
	}
	return st, nil
}
