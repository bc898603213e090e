package configsync

import (
	"context"
	"time"

	"go.uber.org/zap"

	"tarragonhollow.example/tarragonhollow/core/configlog"
	"tarragonhollow.example/tarragonhollow/daemon/duty"
	"tarragonhollow.example/tarragonhollow/extern"
)

const (
	// pageBytes is the maximum size of one read of the stream.
	pageBytes = 1 << 20
	// readSlack is how much longer than its long poll a read may take.
	readSlack = 2 * time.Second
	// firstReadBackoff and maxReadBackoff bound the backoff after a failed read. The maximum
	// is well below the five seconds within which a version must be in force.
	firstReadBackoff = 100 * time.Millisecond
	maxReadBackoff   = time.Second
	// fetchTimeout bounds one fetch from a peer.
	fetchTimeout = time.Second
	// appendTimeout bounds one append of a rewritten state or of a withdrawal that is made
	// after the operator was answered.
	appendTimeout = 5 * time.Second
	// rewriteDivisor divides the retention to give the age at which the state is rewritten
	// forward on the log: two more attempts at the same interval fit in before the state
	// expires.
	rewriteDivisor = 3
	// rewriteLagDivisor divides the retention to give the time by which each member waits
	// longer than the one before it in the order.
	rewriteLagDivisor = 24
	// rewriteChecks is how often the state's age is checked in one rewrite interval.
	rewriteChecks = 20
)

// followLoop tails the stream, with a backoff after failed reads.
func (s *Sync) followLoop(ctx context.Context) {
	backoff := time.Duration(0)
	for ctx.Err() == nil {
		err := s.follow(ctx)
		if err == nil {
			if backoff > 0 {
				s.opt.Logger.Info("config_stream_readable_again")
			}
			backoff = 0
			continue
		}
		if backoff == 0 && ctx.Err() == nil {
			s.opt.Logger.Warn("config_stream_unreadable", zap.Error(err))
		}
		backoff = min(max(2*backoff, firstReadBackoff), maxReadBackoff)
		duty.Pause(ctx, backoff)
	}
}

// follow reads one page of the stream and applies its records to the state.
func (s *Sync) follow(ctx context.Context) error {
	s.mu.Lock()
	next, wait := s.replayer.Next(), s.opt.PollWait
	if !s.atEnd {
		// No long poll until the stream was read to its end once: on an empty stream it would
		// delay the first publication.
		wait = 0
	}
	s.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, s.opt.PollWait+readSlack)
	defer cancel()
	page, err := s.opt.Log.Read(ctx, Stream, next, pageBytes, wait)
	if err != nil {
		s.meter.readFailures.Inc()
		return err
	}
	stuck := false
	s.update(func(r *configlog.Replayer) {
		r.Apply(page.First, inputs(page))
		s.atEnd = r.Next() >= page.Next
		s.caughtUp = s.caughtUp || (r.Complete() && s.atEnd)
		stuck = !s.atEnd && len(page.Records) == 0
	})
	if stuck {
		return noProgress.New("the log reports %d as the next offset but returned no records from offset %d", page.Next, next)
	}
	return nil
}

// inputs converts the records of a page.
func inputs(page extern.Page) []configlog.Input {
	in := make([]configlog.Input, len(page.Records))
	for i, r := range page.Records {
		in[i] = configlog.Input{Offset: r.Offset, AtMs: r.AtMs, Data: r.Data}
	}
	return in
}

// peerLoop fetches the state from a member that has a newer version in force than is known
// here. This is how a daemon that can't reach the log stays up to date.
func (s *Sync) peerLoop(ctx context.Context) {
	ticker := time.NewTicker(s.opt.PeerEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if address, ok := s.newerPeer(); ok {
			s.fetch(ctx, address)
		}
	}
}

// newerPeer returns the peer address of the member with the highest version, if that version
// is higher than the one known here.
func (s *Sync) newerPeer() (string, bool) {
	s.mu.Lock()
	highest := s.seenVersion
	s.mu.Unlock()
	address, self := "", s.opt.View.Self().Host
	for _, m := range s.opt.View.Members() {
		if m.Host != self && m.ConfigVersion > highest {
			highest, address = m.ConfigVersion, m.PeerAddress
		}
	}
	return address, address != ""
}

// fetch fetches the state from a peer and adopts it if it is newer.
func (s *Sync) fetch(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	s.meter.fetches.Inc()
	var state configlog.State
	if err := s.opt.Peer.Call(ctx, address, serviceName+".Fetch", &FetchRequest{}, &state); err != nil {
		s.meter.fetchFailures.Inc()
		s.opt.Logger.Warn("config_fetch_failed", zap.String("peer", address), zap.Error(err))
		return
	}
	s.update(func(r *configlog.Replayer) { s.fetched = r.Adopt(state) || s.fetched })
}

// rewriteLoop rewrites the state forward on the stream before the records that hold it
// expire, so that a newly started daemon can read it there.
func (s *Sync) rewriteLoop(ctx context.Context) {
	ticker := time.NewTicker(s.opt.Retention / rewriteDivisor / rewriteChecks)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if s.rewriteDue() {
			s.rewriteState(ctx)
		}
	}
}

// rewriteDue reports whether the newest full state on the stream is old enough for this
// daemon to rewrite it. The first member in rendezvous order is due first; each later one
// waits a little longer, and rewrites the state only if those before it can't reach the log.
func (s *Sync) rewriteDue() bool {
	delay := time.Duration(s.rendezvousRank()) * s.opt.Retention / rewriteLagDivisor
	limit := 2 * s.opt.Retention / rewriteDivisor
	now := s.opt.Clock()
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.caughtUp || !s.replayer.Complete() || s.replayer.State().Version == 0 {
		return false
	}
	if ms := s.replayer.RestatedMs(); ms > 0 {
		s.noStateSince = time.Time{}
		return now.Sub(time.UnixMilli(ms)) >= min(s.opt.Retention/rewriteDivisor+delay, limit)
	}
	// The state came from a peer, after this daemon was cut off from the log for longer than
	// the retention, and the stream may hold no record of it.
	if s.noStateSince.IsZero() {
		s.noStateSince = now
	}
	return now.Sub(s.noStateSince) >= min(delay, limit)
}

// rendezvousRank returns this daemon's position in the rendezvous order, or the position
// after the last if it isn't in the order.
func (s *Sync) rendezvousRank() int {
	self := s.opt.View.Self().Host
	order := s.opt.View.Successors(Stream)
	for i, m := range order {
		if m.Host == self {
			return i
		}
	}
	return len(order)
}

// rewriteState appends the state to the stream. A lost answer does no harm: a second rewrite
// has no effect, and the age of the state is taken from the stream.
func (s *Sync) rewriteState(ctx context.Context) {
	state := s.state()
	data, err := configlog.Record{Restate: &state}.Encode()
	if err != nil {
		s.opt.Logger.Error("config_restate_not_encodable", zap.Error(err))
		return
	}
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	if _, err := s.opt.Log.Append(ctx, Stream, data); err != nil {
		s.opt.Logger.Warn("config_restate_failed", zap.Error(err))
		return
	}
	s.meter.rewrites.Inc()
	s.opt.Logger.Info("config_restated", zap.Uint64("version", state.Version), zap.Int64("through", state.Through))
}
