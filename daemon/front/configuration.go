package front

import (
	"bytes"
	"context"
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

	inForce atomic.Pointer[revision]
	// routed tells of each configuration.
	routed duty.News

	mu sync.Mutex
	// heard is when it was last known that nothing newer is in force; zero is never.
	heard time.Time
}

// revision is one version of the configuration.
type revision struct {
	table *route.Table
	// written is the version as the operator wrote it.
	written []byte

	packing sync.Once
	packed  []byte
}

// compressed returns the version as the operator wrote it, compressed.
func (r *revision) compressed() []byte {
	r.packing.Do(func() { r.packed = pack(r.written) })
	return r.packed
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
func (c *Configuration) Routes() *route.Table {
	if r := c.inForce.Load(); r != nil {
		return r.table
	}
	return nil
}

// Take puts a configuration in force, as the operator wrote it, and tells in the log
// where it came from. Errors are those of Decode. An older one than that in force is left out: a
// daemon that reads the history again, or asks one that lags, must not go back.
func (c *Configuration) Take(written []byte, from string) error {
	if held := c.inForce.Load(); held != nil && bytes.Equal(held.written, written) {
		return nil // the source and a peer bring the same version
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
	c.inForce.Store(&revision{table: table, written: written})
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
	if t := c.Routes(); t != nil {
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
	held, heard := c.held()
	if heard.IsZero() || held == nil || held.table.Version < version {
		return nil, false, 0
	}
	if held.table.Version > version {
		packed = held.compressed()
	}
	return packed, true, time.Since(heard)
}

// held returns the version in force, nil before the first, and when it was last known that
// nothing newer is.
func (c *Configuration) held() (*revision, time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.inForce.Load(), c.heard
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
	if t := c.Routes(); t != nil || left <= 0 {
		return t
	}
	ctx, cancel := context.WithTimeout(ctx, left)
	defer cancel()
	routed := c.routed.Next()
	if t := c.Routes(); t != nil {
		return t
	}
	select {
	case <-routed:
	case <-ctx.Done():
	}
	return c.Routes()
}

// unversioned is older than every version.
const unversioned = -1
