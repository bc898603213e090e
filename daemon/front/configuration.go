package front

import (
	"bytes"
	"context"
	"maps"
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
	// startupWait is how long after its start a daemon holds requests until its first
	// configuration is read, which takes 0.1 s, or 0.5 s where all hosts start together.
	//
	// Failure guarded against: all hosts lose power and are back at the same moment.
	// Their callers are back too; if they are refused, they retry at another daemon that
	// does not know the routes either, and give up.
	startupWait = time.Second
)

// ConfigurationOptions configure a Configuration.
type ConfigurationOptions struct {
	// Decode decodes the operator's file. Its errors contain no API key.
	Decode func(written []byte) (*route.Table, error)
	// Peers calls the other daemons, and ListPeers lists them.
	Peers     peer.Caller
	ListPeers func() []places.Peer
	Logger    *zap.Logger
	// Metrics receives the counters; may be nil.
	Metrics *metrics.Set
}

// Configuration is the operator's configuration as this daemon holds it. It is safe for
// concurrent use.
type Configuration struct {
	ConfigurationOptions
	started time.Time
	// peerCalls and peerCallsFailed count the calls to other daemons, peerBytes the
	// compressed bytes received from them.
	peerCalls, peerCallsFailed, peerBytes *metrics.Counter

	active atomic.Pointer[revision]
	// changed notifies of each new configuration.
	changed duty.Notifier

	mu sync.Mutex
	// confirmedAt is the time at which it was last known that nothing newer was active;
	// zero is never.
	confirmedAt time.Time
	// movedAt holds when streams last may have moved to or from each group; see
	// route.Table.MovedGroups.
	movedAt map[string]time.Time
}

// revision is one version of the configuration.
type revision struct {
	table *route.Table
	// written is the version as the operator wrote it.
	written []byte

	packOnce sync.Once
	packed   []byte
}

// compressed returns the version as the operator wrote it, compressed.
func (r *revision) compressed() []byte {
	r.packOnce.Do(func() { r.packed = pack(r.written) })
	return r.packed
}

// NewConfiguration returns a configuration without any version, for a daemon that starts
// now.
func NewConfiguration(o ConfigurationOptions) *Configuration {
	if o.Metrics == nil {
		o.Metrics = metrics.NewSet()
	}
	c := &Configuration{ConfigurationOptions: o, started: time.Now(), movedAt: map[string]time.Time{}}
	c.peerCalls = o.Metrics.GetOrCreateCounter("tarragonhollow_configuration_peer_calls_total")
	c.peerCallsFailed = o.Metrics.GetOrCreateCounter("tarragonhollow_configuration_peer_calls_failed_total")
	c.peerBytes = o.Metrics.GetOrCreateCounter("tarragonhollow_configuration_peer_bytes_total")
	return c
}

// Routes returns the active routes, nil before the first configuration.
func (c *Configuration) Routes() *route.Table {
	if r := c.active.Load(); r != nil {
		return r.table
	}
	return nil
}

// Apply activates a configuration as the operator wrote it; from names its origin in the
// log. It returns the errors of Decode. A configuration that is older than the active one
// is ignored: a daemon that reads the history again, or polls a daemon that lags, must
// not go back.
func (c *Configuration) Apply(written []byte, from string) error {
	if held := c.active.Load(); held != nil && bytes.Equal(held.written, written) {
		return nil // the source and a peer deliver the same version
	}
	began := time.Now()
	table, err := c.Decode(written)
	if err != nil {
		return err
	}
	decodeTime := time.Since(began)
	c.mu.Lock()
	defer c.mu.Unlock()
	if table.Version <= c.Version() {
		return nil
	}
	if before := c.Routes(); before != nil {
		for _, group := range table.MovedGroups(before) {
			c.movedAt[group] = time.Now()
		}
	}
	c.active.Store(&revision{table: table, written: written})
	c.changed.Notify()
	c.Logger.Info("configuration_in_force", zap.Int64("version", table.Version), zap.String("from", from),
		zap.Int("accounts", table.Accounts.Len()), zap.Int("bytes", len(written)), zap.Int64("decode_ms", decodeTime.Milliseconds()))
	if len(table.FaultyAccounts) > 0 {
		c.Logger.Warn("accounts_faulty", zap.Int64("version", table.Version), zap.Strings("accounts", table.FaultyAccounts))
	}
	return nil
}

// MovedSince reports whether streams may have moved to or from the group since the time.
func (c *Configuration) MovedSince(group string, since time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.movedAt[group].After(since)
}

// Moved returns the groups to or from which streams may have moved since the time, and when.
func (c *Configuration) Moved(since time.Time) map[string]time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	moved := maps.Clone(c.movedAt)
	maps.DeleteFunc(moved, func(_ string, at time.Time) bool { return !at.After(since) })
	return moved
}

// Confirm records that nothing newer than the held version was active at the time at.
func (c *Configuration) Confirm(at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if at.After(c.confirmedAt) {
		c.confirmedAt = at
	}
}

// Version returns the active version, negative before the first.
func (c *Configuration) Version() int64 {
	if t := c.Routes(); t != nil {
		return t.Version
	}
	return noVersion
}

// Changed returns a channel that is closed at the next configuration.
func (c *Configuration) Changed() <-chan struct{} { return c.changed.Next() }

// Packed returns the configuration for a daemon that holds the given version: the newer
// configuration, compressed, or nothing. known reports that the version here is at least
// as new, and age is the time since that was last confirmed.
func (c *Configuration) Packed(version int64) (packed []byte, known bool, age time.Duration) {
	held, confirmedAt := c.snapshot()
	if confirmedAt.IsZero() || held == nil || held.table.Version < version {
		return nil, false, 0
	}
	if held.table.Version > version {
		packed = held.compressed()
	}
	return packed, true, time.Since(confirmedAt)
}

// snapshot returns the active version, nil before the first, and when it was last known
// that nothing newer is active.
func (c *Configuration) snapshot() (*revision, time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.active.Load(), c.confirmedAt
}

// ApplyPacked is Apply for what Packed returned.
func (c *Configuration) ApplyPacked(packed []byte, from string) error {
	written, err := unpack(packed)
	if err != nil {
		return err
	}
	return c.Apply(written, from)
}

// Age returns the time since the configuration was last confirmed.
func (c *Configuration) Age(now time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return now.Sub(c.confirmedAt)
}

// Await returns the active routes. A daemon that has just started waits for them; Await
// returns nil if there are none startupWait after the start, or when ctx is done.
func (c *Configuration) Await(ctx context.Context) *route.Table {
	timeLeft := startupWait - time.Since(c.started)
	if t := c.Routes(); t != nil || timeLeft <= 0 {
		return t
	}
	ctx, cancel := context.WithTimeout(ctx, timeLeft)
	defer cancel()
	changed := c.changed.Next()
	if t := c.Routes(); t != nil {
		return t
	}
	select {
	case <-changed:
	case <-ctx.Done():
	}
	return c.Routes()
}

// noVersion is older than every version.
const noVersion = -1
