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
	// silentAfter is how old the last word of the configuration's source may be before
	// other daemons are asked. A reading that waits for news answers every second.
	silentAfter = 1300 * time.Millisecond
	// askEvery is the pace of asking them, askAtOnce how many are asked at once: of a
	// fleet of which a third is cut off, a round meets one that is not in nine of ten
	// cases.
	askEvery  = 250 * time.Millisecond
	askAtOnce = 2
	// askTime bounds one question about the version.
	askTime = 400 * time.Millisecond
	// firstFetchTime bounds the first fetch of a configuration. Each one that is given up
	// doubles the bound of the next, up to longestFetchTime.
	firstFetchTime   = time.Second
	longestFetchTime = 16 * time.Second
	// reportSilenceEvery is the pace of the lines while the source stays silent.
	reportSilenceEvery = 5 * time.Second

	configurationService = "Configuration"
	// statusMethod asks which version a daemon holds, fetchMethod for the version.
	statusMethod = configurationService + ".Status"
	fetchMethod  = configurationService + ".Fetch"
)

// borrower asks other daemons for the configuration while its source is silent: the
// platform may turn this host away, or it may be cut off from there, while callers still
// reach it.
//
// An answer that is given up is sent all the same and takes the link from the next one. So
// the question about the version is small, one configuration is fetched at a time, and each
// fetch that is given up leaves the next one twice the time: the link is never asked for
// more than it carries for long.
type borrower struct {
	configuration *Configuration

	mu sync.Mutex
	// fetching tells that a fetch is under way, fetchTime bounds the next one.
	fetching  bool
	fetchTime time.Duration
}

// borrow asks other daemons for the configuration while its source is silent, until ctx
// is done.
func (c *Configuration) borrow(ctx context.Context) {
	silence := silence{configuration: c}
	b := newBorrower(c)
	duty.Every(ctx, askEvery, func() {
		now := time.Now()
		age := c.Age(now)
		silence.observe(now, age)
		if age >= silentAfter {
			b.askSome(ctx)
		}
	})
}

func newBorrower(c *Configuration) *borrower {
	return &borrower{configuration: c, fetchTime: firstFetchTime}
}

// askSome asks a few daemons, without waiting for them.
func (b *borrower) askSome(ctx context.Context) {
	others := b.configuration.Others()
	for range min(askAtOnce, len(others)) {
		go b.askOne(ctx, others[rand.IntN(len(others))].Address)
	}
}

// askOne asks one daemon which version it holds, and fetches a newer one.
func (b *borrower) askOne(ctx context.Context, address string) {
	c := b.configuration
	asked := time.Now()
	var reply StatusReply
	if err := b.call(ctx, askTime, address, statusMethod, StatusArgs{}, &reply); err != nil {
		return
	}
	held := c.Version()
	switch {
	case !reply.Known || reply.Version < held:
	case reply.Version == held:
		c.Hear(asked.Add(-time.Duration(reply.AgeMs) * time.Millisecond))
	default:
		b.fetch(ctx, address)
	}
}

// fetch takes the configuration of one daemon, unless a fetch is under way.
func (b *borrower) fetch(ctx context.Context, address string) {
	limit, free := b.begin()
	if !free {
		return
	}
	c := b.configuration
	asked := time.Now()
	var reply FetchReply
	err := b.call(ctx, limit, address, fetchMethod, FetchArgs{Version: c.Version()}, &reply)
	b.end(err != nil && time.Since(asked) >= limit)
	if err != nil || !reply.Known {
		return
	}
	if len(reply.Packed) > 0 {
		c.borrowedBytes.Add(len(reply.Packed))
		if err := c.TakePacked(reply.Packed, address); err != nil {
			c.Logger.Error("configuration_unreadable", zap.String("peer", address), zap.Error(err))
			return
		}
	}
	c.Hear(asked.Add(-time.Duration(reply.AgeMs) * time.Millisecond))
}

// begin tells whether no fetch is under way, and how long the one that begins may take.
func (b *borrower) begin() (limit time.Duration, free bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.fetching {
		return 0, false
	}
	b.fetching = true
	return b.fetchTime, true
}

// end notes that the fetch has ended, by its time limit or otherwise.
func (b *borrower) end(timedOut bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.fetching = false
	if !timedOut {
		b.fetchTime = firstFetchTime
		return
	}
	b.fetchTime = min(2*b.fetchTime, longestFetchTime)
}

// call makes one counted call to another daemon.
func (b *borrower) call(ctx context.Context, limit time.Duration, address, method string, args, reply any) error {
	c := b.configuration
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	c.asked.Inc()
	err := c.Peers.Call(ctx, address, method, args, reply)
	if err != nil {
		c.notAnswered.Inc()
		c.Logger.Debug("configuration_not_borrowed", zap.String("peer", address), zap.String("method", method), zap.Error(err))
	}
	return err
}

// StatusArgs asks a daemon which version of the configuration it holds.
type StatusArgs struct{}

// StatusReply names the version. Known tells that the daemon has heard of the configuration,
// and AgeMs how long ago it last knew that nothing newer was in force.
type StatusReply struct {
	Known   bool
	Version int64
	AgeMs   int64
}

// FetchArgs asks for a configuration newer than a version.
type FetchArgs struct {
	Version int64
}

// FetchReply is the configuration, compressed, empty if the daemon holds none that is newer.
// Known tells that it holds one that is as new, at least, and AgeMs how old the last word
// about that is.
type FetchReply struct {
	Packed []byte
	Known  bool
	AgeMs  int64
}

// configurationCalls answers other daemons.
type configurationCalls struct{ configuration *Configuration }

// Status is called by daemons that do not hear of the configuration.
func (s *configurationCalls) Status(_ StatusArgs, reply *StatusReply) error {
	held, heard := s.configuration.held()
	if held == nil || heard.IsZero() {
		return nil
	}
	reply.Known, reply.Version, reply.AgeMs = true, held.table.Version, time.Since(heard).Milliseconds()
	return nil
}

// Fetch is called by daemons that hold an older configuration.
func (s *configurationCalls) Fetch(args FetchArgs, reply *FetchReply) error {
	packed, known, age := s.configuration.Packed(args.Version)
	reply.Packed, reply.Known, reply.AgeMs = packed, known, age.Milliseconds()
	return nil
}
