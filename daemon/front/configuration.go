package front

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"tarragonhollow.example/tarragonhollow/core/route"
	"tarragonhollow.example/tarragonhollow/daemon/duty"
	"tarragonhollow.example/tarragonhollow/daemon/places"
	"tarragonhollow.example/tarragonhollow/peer"
)

const (
	// startWait is how long after its start a daemon keeps requests until its first
	// configuration is read, which takes 0.1 s, or 0.5 s where all hosts start together.
	//
	// Failure guarded against: all hosts lose power and are back at the same moment.
	// Their callers are back too; refused, they come again at another daemon that does
	// not know the routes either, and give up.
	startWait = time.Second
	// silentAfter is how old the last word of the configuration's source may be before
	// other daemons are asked. A reading that waits for news answers every second.
	silentAfter = 1300 * time.Millisecond
	// borrowEvery is the pace of asking them, borrowFrom how many are asked at once:
	// of a fleet of which a third is cut off, a round meets one that is not in nine of
	// ten cases.
	borrowEvery = 250 * time.Millisecond
	borrowFrom  = 2
	// borrowTime bounds one call.
	borrowTime = 400 * time.Millisecond
	// reportSilenceEvery is the pace of the lines while the source stays silent.
	reportSilenceEvery = 5 * time.Second
	newerService       = "Configuration"
	// newerMethod asks a peer for a newer configuration.
	newerMethod = newerService + ".Newer"
)

// ConfigurationOptions configure a Configuration.
type ConfigurationOptions struct {
	// Decode reads what the operator wrote. Its errors tell no key.
	Decode func(written []byte) (*route.Table, error)
	// Peers calls the other daemons, and Others lists them.
	Peers  peer.Caller
	Others func() []places.Peer
	Logger *zap.Logger
	// Metrics receives the counters; nil counts nothing that is shown.
	Metrics *metrics.Set
}

// Configuration is the operator's configuration as this daemon holds it. It is safe for
// concurrent use.
type Configuration struct {
	ConfigurationOptions
	started time.Time
	// asked and notAnswered count the calls to other daemons, borrowedBytes what they
	// brought.
	asked, notAnswered, borrowedBytes *metrics.Counter

	table atomic.Pointer[route.Table]
	// routed tells of each configuration.
	routed duty.News

	mu sync.Mutex
	// written is the configuration in force as the operator wrote it.
	written []byte
	// packed is written, compressed, nil until it is asked for.
	packed []byte
	// heard is when it was last known that nothing newer is in force; zero is never.
	heard time.Time
}

// NewConfiguration returns one without any version, of a daemon that starts now.
func NewConfiguration(o ConfigurationOptions) *Configuration {
	if o.Metrics == nil {
		o.Metrics = metrics.NewSet()
	}
	c := &Configuration{ConfigurationOptions: o, started: time.Now()}
	c.asked = o.Metrics.GetOrCreateCounter("tarragonhollow_configuration_peer_calls_total")
	c.notAnswered = o.Metrics.GetOrCreateCounter("tarragonhollow_configuration_peer_calls_failed_total")
	c.borrowedBytes = o.Metrics.GetOrCreateCounter("tarragonhollow_configuration_peer_bytes_total")
	return c
}

// Routes returns the routes in force, nil before the first configuration.
func (c *Configuration) Routes() *route.Table { return c.table.Load() }

// Take puts a configuration in force, as the operator wrote it, and tells in the log
// where it came from. Errors are those of Decode. An older one than that in force is left out: a
// daemon that reads the history again, or asks one that lags, must not go back.
func (c *Configuration) Take(written []byte, from string) error {
	began := time.Now()
	table, err := c.Decode(written)
	if err != nil {
		return err
	}
	decodeTime := time.Since(began)
	c.mu.Lock()
	defer c.mu.Unlock()
	if current := c.table.Load(); current != nil && table.Version <= current.Version {
		return nil
	}
	c.written, c.packed = written, nil
	c.table.Store(table)
	c.routed.Tell()
	c.Logger.Info("configuration_in_force", zap.Int64("version", table.Version), zap.String("from", from),
		zap.Int("accounts", table.Accounts.Len()), zap.Int("bytes", len(written)), zap.Int64("decode_ms", decodeTime.Milliseconds()))
	if len(table.FaultyAccounts) > 0 {
		c.Logger.Warn("accounts_faulty", zap.Int64("version", table.Version), zap.Strings("accounts", table.FaultyAccounts))
	}
	return nil
}

// Hear notes that nothing newer than what is held was in force at the moment at.
func (c *Configuration) Hear(at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if at.After(c.heard) {
		c.heard = at
	}
}

// Version is the version in force, negative before the first.
func (c *Configuration) Version() int64 {
	if t := c.table.Load(); t != nil {
		return t.Version
	}
	return unversioned
}

// Routed returns a channel that the next configuration closes.
func (c *Configuration) Routed() <-chan struct{} { return c.routed.Next() }

// Packed returns what a daemon that holds a version lacks: the newer configuration,
// compressed, or nothing. known tells that the version here is as new at least, and age
// how old the last word about it is.
func (c *Configuration) Packed(version int64) (packed []byte, known bool, age time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	held := c.Version()
	if c.heard.IsZero() || held < version {
		return nil, false, 0
	}
	if held > version {
		if c.packed == nil {
			c.packed = pack(c.written)
		}
		packed = c.packed
	}
	return packed, true, time.Since(c.heard)
}

// TakePacked is Take for what Packed returned.
func (c *Configuration) TakePacked(packed []byte, from string) error {
	written, err := unpack(packed)
	if err != nil {
		return err
	}
	return c.Take(written, from)
}

// Age is how old the last word about the configuration is.
func (c *Configuration) Age(now time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return now.Sub(c.heard)
}

// Await returns the routes in force. A daemon that has just started waits for them; nil
// is returned if it has waited for startWait, or ctx is done.
func (c *Configuration) Await(ctx context.Context) *route.Table {
	left := startWait - time.Since(c.started)
	if t := c.table.Load(); t != nil || left <= 0 {
		return t
	}
	ctx, cancel := context.WithTimeout(ctx, left)
	defer cancel()
	routed := c.routed.Next()
	if t := c.table.Load(); t != nil {
		return t
	}
	select {
	case <-routed:
	case <-ctx.Done():
	}
	return c.table.Load()
}

// borrow asks other daemons for the configuration while its source is silent, until ctx
// is done.
//
// Failure guarded against: the platform turns this host away, or it is cut off from
// there, while keys are taken away. Callers still reach it, and it would go on to serve
// those keys.
func (c *Configuration) borrow(ctx context.Context) {
	silence := silence{configuration: c}
	duty.Every(ctx, borrowEvery, func() {
		now := time.Now()
		age := c.Age(now)
		silence.observe(now, age)
		if age < silentAfter {
			return
		}
		others := c.Others()
		for range min(borrowFrom, len(others)) {
			go c.borrowOne(ctx, others[rand.IntN(len(others))].Address)
		}
	})
}

// borrowOne asks one daemon.
func (c *Configuration) borrowOne(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, borrowTime)
	defer cancel()
	asked := time.Now()
	c.asked.Inc()
	args := NewerArgs{Version: c.Version()}
	var reply NewerReply
	if err := c.Peers.Call(ctx, address, newerMethod, args, &reply); err != nil {
		c.notAnswered.Inc()
		c.Logger.Debug("configuration_not_borrowed", zap.String("peer", address), zap.Error(err))
		return
	}
	if len(reply.Written) > 0 {
		c.borrowedBytes.Add(len(reply.Written))
		if err := c.Take(reply.Written, address); err != nil {
			c.Logger.Error("configuration_unreadable", zap.String("peer", address), zap.Error(err))
			return
		}
	}
	if reply.Known {
		c.Hear(asked.Add(-time.Duration(reply.AgeMs) * time.Millisecond))
	}
}

// silence tells in the log of the times in which the source is silent: when one begins,
// every reportSilenceEvery, and when it ends, with what was asked of other daemons
// meanwhile.
type silence struct {
	configuration *Configuration
	// since is when the source was last heard, zero while it speaks; reported is when
	// the last line was written.
	since, reported time.Time
	// asked, notAnswered and bytes are the counters when the silence began.
	asked, notAnswered, bytes uint64
}

// observe notes how old the last word about the configuration is.
func (s *silence) observe(now time.Time, age time.Duration) {
	silent := age >= silentAfter
	switch {
	case silent && s.since.IsZero():
		s.begin(now, age)
	case silent && now.Sub(s.reported) >= reportSilenceEvery:
		s.tell("configuration_silent", now)
	case !silent && !s.since.IsZero():
		s.tell("configuration_heard", now)
		s.since = time.Time{}
	}
}

func (s *silence) begin(now time.Time, age time.Duration) {
	c := s.configuration
	s.since = now.Add(-age)
	if s.since.Before(c.started) {
		s.since = c.started // nothing was heard since the start
	}
	s.asked, s.notAnswered, s.bytes = c.asked.Get(), c.notAnswered.Get(), c.borrowedBytes.Get()
	s.tell("configuration_silent", now)
}

func (s *silence) tell(event string, now time.Time) {
	c := s.configuration
	s.reported = now
	c.Logger.Info(event, zap.Int64("version", c.Version()), zap.Int64("silent_ms", now.Sub(s.since).Milliseconds()),
		zap.Uint64("asked", c.asked.Get()-s.asked), zap.Uint64("not_answered", c.notAnswered.Get()-s.notAnswered),
		zap.Uint64("peer_bytes", c.borrowedBytes.Get()-s.bytes))
}

// unversioned is older than every version.
const unversioned = -1

// NewerArgs asks for a configuration newer than a version.
type NewerArgs struct {
	Version int64
}

// NewerReply is the configuration as the operator wrote it, empty if the daemon holds
// none that is newer. Known tells that it holds one that is as new, at least, and AgeMs
// how old the last word about that is.
type NewerReply struct {
	Written []byte
	Known   bool
	AgeMs   int64
}

// configurationCalls answers other daemons.
type configurationCalls struct{ configuration *Configuration }

// Newer is called by peers that do not hear of the configuration.
func (s *configurationCalls) Newer(args NewerArgs, reply *NewerReply) error {
	c := s.configuration
	c.mu.Lock()
	defer c.mu.Unlock()
	held := c.Version()
	if c.heard.IsZero() || held < args.Version {
		return nil
	}
	reply.Known = true
	reply.AgeMs = time.Since(c.heard).Milliseconds()
	if held > args.Version {
		reply.Written = c.written
	}
	return nil
}
