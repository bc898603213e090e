package front

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"go.uber.org/zap"

	"tarragonhollow.example/tarragonhollow/daemon/duty"
)

const (
	// staleAfter is the age of the last confirmation by the configuration's source from
	// which on other daemons are polled. A read that waits for changes answers every
	// second.
	staleAfter = 1300 * time.Millisecond
	// peerPollEvery is the interval at which they are polled, peersPerPoll how many are
	// polled at once: in a fleet of which a third is cut off, nine rounds of ten
	// reach a daemon that is not.
	peerPollEvery = 250 * time.Millisecond
	peersPerPoll  = 2
	// statusTimeout bounds one call for the version.
	statusTimeout = 400 * time.Millisecond
	// minFetchTimeout bounds the first fetch of a configuration. Each fetch that times
	// out doubles the bound of the next one, up to maxFetchTimeout.
	minFetchTimeout = time.Second
	maxFetchTimeout = 16 * time.Second
	// outageLogEvery is the interval of the log lines while the source does not answer.
	outageLogEvery = 5 * time.Second

	configurationService = "Configuration"
	// statusMethod returns the version that a daemon holds, fetchMethod the
	// configuration.
	statusMethod = configurationService + ".Status"
	fetchMethod  = configurationService + ".Fetch"
)

// peerFetcher fetches the configuration from other daemons while its source does not
// answer: the platform may reject this host, or the host may be cut off from it, while
// callers still reach the host.
//
// A reply to a call that timed out is sent all the same and takes bandwidth from the next
// one. So the call for the version is small, one configuration is fetched at a time, and
// each fetch that times out doubles the time of the next one: the link is not overloaded
// for long.
type peerFetcher struct {
	configuration *Configuration

	mu sync.Mutex
	// fetching reports that a fetch is under way, fetchTimeout bounds the next one.
	fetching     bool
	fetchTimeout time.Duration
}

// fetchFromPeers fetches the configuration from other daemons while its source does not
// answer, until ctx is done.
func (c *Configuration) fetchFromPeers(ctx context.Context) {
	outage := outageLog{configuration: c}
	fetcher := newPeerFetcher(c)
	duty.Every(ctx, peerPollEvery, func() {
		now := time.Now()
		age := c.Age(now)
		outage.observe(now, age)
		if age >= staleAfter {
			fetcher.pollPeers(ctx)
		}
	})
}

func newPeerFetcher(c *Configuration) *peerFetcher {
	return &peerFetcher{configuration: c, fetchTimeout: minFetchTimeout}
}

// pollPeers polls a few daemons without waiting for them.
func (f *peerFetcher) pollPeers(ctx context.Context) {
	others := f.configuration.ListPeers()
	for range min(peersPerPoll, len(others)) {
		go f.pollPeer(ctx, others[rand.IntN(len(others))].Address)
	}
}

// pollPeer requests the version that one daemon holds, and fetches a newer configuration.
func (f *peerFetcher) pollPeer(ctx context.Context, address string) {
	c := f.configuration
	sentAt := time.Now()
	var reply StatusReply
	if err := f.call(ctx, statusTimeout, address, statusMethod, StatusArgs{}, &reply); err != nil {
		return
	}
	held := c.Version()
	switch {
	case !reply.Known || reply.Version < held:
	case reply.Version == held:
		c.Confirm(sentAt.Add(-time.Duration(reply.AgeMs) * time.Millisecond))
	default:
		f.fetch(ctx, address)
	}
}

// fetch fetches and applies one daemon's configuration, unless a fetch is under way.
func (f *peerFetcher) fetch(ctx context.Context, address string) {
	limit, free := f.beginFetch()
	if !free {
		return
	}
	c := f.configuration
	sentAt := time.Now()
	var reply FetchReply
	err := f.call(ctx, limit, address, fetchMethod, FetchArgs{Version: c.Version()}, &reply)
	f.endFetch(err != nil && time.Since(sentAt) >= limit)
	if err != nil || !reply.Known {
		return
	}
	if len(reply.Packed) > 0 {
		c.peerBytes.Add(len(reply.Packed))
		if err := c.ApplyPacked(reply.Packed, address); err != nil {
			c.Logger.Error("configuration_unreadable", zap.String("peer", address), zap.Error(err))
			return
		}
	}
	c.Confirm(sentAt.Add(-time.Duration(reply.AgeMs) * time.Millisecond))
}

// beginFetch reports whether no fetch is under way, and returns the time limit of the one
// that begins.
func (f *peerFetcher) beginFetch() (limit time.Duration, free bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.fetching {
		return 0, false
	}
	f.fetching = true
	return f.fetchTimeout, true
}

// endFetch records that the fetch has ended, by its time limit or otherwise.
func (f *peerFetcher) endFetch(timedOut bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.fetching = false
	if !timedOut {
		f.fetchTimeout = minFetchTimeout
		return
	}
	f.fetchTimeout = min(2*f.fetchTimeout, maxFetchTimeout)
}

// call makes one counted call to another daemon.
func (f *peerFetcher) call(ctx context.Context, limit time.Duration, address, method string, args, reply any) error {
	c := f.configuration
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	c.peerCalls.Inc()
	err := c.Peers.Call(ctx, address, method, args, reply)
	if err != nil {
		c.peerCallsFailed.Inc()
		c.Logger.Debug("configuration_not_borrowed", zap.String("peer", address), zap.String("method", method), zap.Error(err))
	}
	return err
}

// StatusArgs requests the version of the configuration that a daemon holds.
type StatusArgs struct{}

// StatusReply holds the version. Known reports that the daemon's configuration has been
// confirmed by its source; AgeMs is the time since it was last known that nothing newer
// was active.
type StatusReply struct {
	Known   bool
	Version int64
	AgeMs   int64
}

// FetchArgs requests a configuration newer than a version.
type FetchArgs struct {
	Version int64
}

// FetchReply is the configuration, compressed, empty if the daemon holds none that is
// newer. Known reports that it holds one that is at least as new, and AgeMs is the time
// since that was last confirmed.
type FetchReply struct {
	Packed []byte
	Known  bool
	AgeMs  int64
}

// configurationHandler answers other daemons.
type configurationHandler struct{ configuration *Configuration }

// Status is called by daemons whose source of the configuration does not answer.
func (s *configurationHandler) Status(_ StatusArgs, reply *StatusReply) error {
	held, confirmedAt := s.configuration.snapshot()
	if held == nil || confirmedAt.IsZero() {
		return nil
	}
	reply.Known, reply.Version, reply.AgeMs = true, held.table.Version, time.Since(confirmedAt).Milliseconds()
	return nil
}

// Fetch is called by daemons that hold an older configuration.
func (s *configurationHandler) Fetch(args FetchArgs, reply *FetchReply) error {
	packed, known, age := s.configuration.Packed(args.Version)
	reply.Packed, reply.Known, reply.AgeMs = packed, known, age.Milliseconds()
	return nil
}
