package api

import (
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/joomcode/errorx"
	"go.uber.org/zap"

	"tarragonhollow.example/tarragonhollow/core/outcome"
)

var (
	errorNamespace = errorx.NewNamespace("api")
	// ErrOptions is the type of errors of New.
	ErrOptions = errorNamespace.NewType("options")
	// ErrServe is the type of errors of Serve and Shutdown.
	ErrServe = errorNamespace.NewType("serve")
)

// Defaults of Options, used where a field is zero.
const (
	// DefaultMaxHeaderBytes fits a long bearer token and a key.
	DefaultMaxHeaderBytes = 32 << 10
	// DefaultReadHeaderTimeout bounds how long a connection may take over its headers.
	DefaultReadHeaderTimeout = 5 * time.Second
	// DefaultIdleTimeout is above the keep-alive of common balancers (60 s).
	DefaultIdleTimeout = 75 * time.Second
	// DefaultWriteStall is how long a caller may leave a write unread.
	DefaultWriteStall = 10 * time.Second
	// DefaultBodyStall is how long a body may make no progress.
	DefaultBodyStall = 10 * time.Second
	// DefaultMinBodyRate is the least average rate of a body, bytes a second.
	DefaultMinBodyRate = 4 << 10
	// DefaultMaxConnections bounds open connections.
	DefaultMaxConnections = 8192
	// DefaultMaxInFlight bounds requests that run at once.
	DefaultMaxInFlight = 4096
	// DefaultMaxUploads bounds job uploads at once. Slow ones hold a place for
	// long, so it is well above what one host takes in at full speed.
	DefaultMaxUploads = 16
	// DefaultMaxBodyMemory bounds what bodies hold in memory together.
	DefaultMaxBodyMemory = 256 << 20
)

// Options configures a Server. Zero fields but Backend and Logger take the
// defaults above.
type Options struct {
	// Backend does the work. Required.
	Backend Backend
	// AdminToken guards /admin; "" disables /admin.
	AdminToken string
	// MaxHeaderBytes bounds the request line and headers.
	MaxHeaderBytes int
	// ReadHeaderTimeout bounds the time to send them.
	ReadHeaderTimeout time.Duration
	// IdleTimeout closes a connection without a request.
	IdleTimeout time.Duration
	// WriteStall cuts a caller that stops reading.
	WriteStall time.Duration
	// BodyStall cuts a body without progress; MinBodyRate, in bytes a second,
	// cuts one that trickles for longer than BodyStall.
	BodyStall   time.Duration
	MinBodyRate int64
	// MaxConnections bounds open connections: at the bound the longest idle one
	// makes room, and if none is idle, accepting waits.
	MaxConnections int
	// MaxInFlight bounds requests that run at once, whatever the configuration says.
	MaxInFlight int
	// MaxUploads bounds job uploads at once.
	MaxUploads int
	// MaxBodyMemory bounds, in bytes, the online bodies and the custom_id hashes
	// of uploads held in memory together.
	MaxBodyMemory int64
	// DrainGrace is how long Shutdown goes on accepting after it went unready,
	// so that balancers notice first.
	DrainGrace time.Duration
	// Refused is told of every caller's request that is turned away before the
	// backend sees it; nil tells nobody.
	Refused func(profile string, code outcome.Code)
	// Logger takes one line per request. Required.
	Logger *zap.Logger
	// Metrics takes the HTTP metrics; nil keeps them private.
	Metrics *metrics.Set
}

// validate fills the defaults and refuses what cannot work.
func (o *Options) validate() error {
	if o.Backend == nil {
		return ErrOptions.New("a backend is required")
	}
	if o.Logger == nil {
		return ErrOptions.New("a logger is required")
	}
	if o.Metrics == nil {
		o.Metrics = metrics.NewSet()
	}
	defaultTo(&o.MaxHeaderBytes, DefaultMaxHeaderBytes)
	defaultTo(&o.ReadHeaderTimeout, DefaultReadHeaderTimeout)
	defaultTo(&o.IdleTimeout, DefaultIdleTimeout)
	defaultTo(&o.WriteStall, DefaultWriteStall)
	defaultTo(&o.BodyStall, DefaultBodyStall)
	defaultTo(&o.MinBodyRate, DefaultMinBodyRate)
	defaultTo(&o.MaxConnections, DefaultMaxConnections)
	defaultTo(&o.MaxInFlight, DefaultMaxInFlight)
	defaultTo(&o.MaxUploads, DefaultMaxUploads)
	defaultTo(&o.MaxBodyMemory, DefaultMaxBodyMemory)
	if o.negative() {
		return ErrOptions.New("a bound is negative")
	}
	return nil
}

// negative tells whether any bound is below zero.
func (o *Options) negative() bool {
	for _, n := range []int64{
		int64(o.MaxHeaderBytes), int64(o.ReadHeaderTimeout), int64(o.IdleTimeout), int64(o.WriteStall),
		int64(o.BodyStall), o.MinBodyRate, int64(o.MaxConnections), int64(o.MaxInFlight),
		int64(o.MaxUploads), o.MaxBodyMemory, int64(o.DrainGrace),
	} {
		if n < 0 {
			return true
		}
	}
	return false
}

// defaultTo sets a zero field.
func defaultTo[T int | int64 | time.Duration](field *T, value T) {
	if *field == 0 {
		*field = value
	}
}
