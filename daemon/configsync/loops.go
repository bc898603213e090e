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
	// pageBytes bounds one read of the stream.
	pageBytes = 1 << 20
	// readSlack is what a read may take beyond its long poll.
	readSlack = 2 * time.Second
	// firstReadBackoff and maxReadBackoff bound the pause after a failed read; the
	// longest stays well below the five seconds in which a version is due.
	firstReadBackoff = 100 * time.Millisecond
	maxReadBackoff   = time.Second
	// fetchTimeout bounds one fetch from a peer.
	fetchTimeout = time.Second
	// appendTimeout bounds one restatement.
	appendTimeout = 5 * time.Second
	// restateShare is the part of the retention after which the state is restated:
	// two more tries of the same length fit in before readers could lose it.
	restateShare = 3
	// restateLag is the part of the retention by which each next member waits for
	// those before it in the order.
	restateLag = 24
	// restateChecks is how often in one restating interval its age is looked at.
	restateChecks = 20
)

// followLoop tails the stream.
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

// follow reads one page and folds it.
func (s *Sync) follow(ctx context.Context) error {
	s.mu.Lock()
	next, wait := s.folder.Next(), s.opt.PollWait
	if !s.atEnd {
		// Until the end was seen once, nothing new is waited for: on an empty stream
		// the long poll would hold up the first publication.
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
	s.move(func(f *configlog.Folder) {
		f.Step(page.First, inputs(page))
		s.atEnd = f.Next() >= page.Next
		s.caughtUp = s.caughtUp || (f.Anchored() && s.atEnd)
		stuck = !s.atEnd && len(page.Records) == 0
	})
	if stuck {
		return noProgress.New("the log names records up to %d but returned none from %d", page.Next, next)
	}
	return nil
}

func inputs(page extern.Page) []configlog.Input {
	in := make([]configlog.Input, len(page.Records))
	for i, r := range page.Records {
		in[i] = configlog.Input{Offset: r.Offset, AtMs: r.AtMs, Data: r.Data}
	}
	return in
}

// peerLoop fetches from a member that has a newer version in force than is known
// here: that is how a daemon cut off from the log follows.
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

// newerPeer returns the address of the member with the highest version if that
// is above what is known here.
func (s *Sync) newerPeer() (string, bool) {
	s.mu.Lock()
	highest := s.seen
	s.mu.Unlock()
	address, self := "", s.opt.View.Self().Host
	for _, m := range s.opt.View.Members() {
		if m.Host != self && m.ConfigVersion > highest {
			highest, address = m.ConfigVersion, m.PeerAddress
		}
	}
	return address, address != ""
}

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
	s.move(func(f *configlog.Folder) { s.fetched = f.Adopt(state) || s.fetched })
}

// restateLoop repeats the state on the stream before the records that tell it
// expire, so that a fresh daemon finds it there.
func (s *Sync) restateLoop(ctx context.Context) {
	ticker := time.NewTicker(s.opt.Retention / restateShare / restateChecks)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if s.restateDue() {
			s.restate(ctx)
		}
	}
}

// restateDue tells whether the stream's newest full state is so old that it is
// this daemon's turn to restate it. The first member in rendezvous order is due
// first; each later one waits a little longer, in case those before it can't
// reach the log.
func (s *Sync) restateDue() bool {
	turn := time.Duration(s.place()) * s.opt.Retention / restateLag
	latest := 2 * s.opt.Retention / restateShare
	now := s.opt.Clock()
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.caughtUp || !s.folder.Anchored() || s.folder.State().Version == 0 {
		return false
	}
	if ms := s.folder.RestatedMs(); ms > 0 {
		s.unknownSince = time.Time{}
		return now.Sub(time.UnixMilli(ms)) >= min(s.opt.Retention/restateShare+turn, latest)
	}
	// The state came from a peer, after this daemon was cut off for longer than
	// the retention, and the stream may hold nothing that tells it.
	if s.unknownSince.IsZero() {
		s.unknownSince = now
	}
	return now.Sub(s.unknownSince) >= min(turn, latest)
}

// place returns this daemon's place in the rendezvous order, the last if it isn't
// in it.
func (s *Sync) place() int {
	self := s.opt.View.Self().Host
	order := s.opt.View.Successors(Stream)
	for i, m := range order {
		if m.Host == self {
			return i
		}
	}
	return len(order)
}

// restate appends the state. A lost answer does no harm: restating twice has no
// effect, and what matters is read back from the stream.
func (s *Sync) restate(ctx context.Context) {
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
	s.meter.restates.Inc()
	s.opt.Logger.Info("config_restated", zap.Uint64("version", state.Version), zap.Int64("through", state.Through))
}
