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
	// DefaultMaxHeaderBytes is enough for a long bearer token and a key.
	DefaultMaxHeaderBytes = 32 << 10
	// DefaultReadHeaderTimeout is the maximum time to receive a request's headers.
	DefaultReadHeaderTimeout = 5 * time.Second
	// DefaultIdleTimeout is above the keep-alive time of common load balancers (60 s).
	DefaultIdleTimeout = 75 * time.Second
	// DefaultWriteStall is how long a write may be blocked because the caller doesn't
	// read.
	DefaultWriteStall = 10 * time.Second
	// DefaultBodyStall is how long a body may make no progress.
	DefaultBodyStall = 10 * time.Second
	// DefaultMinBodyRate is the minimum average rate of a body, in bytes per second.
	DefaultMinBodyRate = 4 << 10
	// DefaultMaxConnections is the maximum number of open connections.
	DefaultMaxConnections = 8192
	// DefaultMaxInFlight is the maximum number of requests that run at once.
	DefaultMaxInFlight = 4096
	// DefaultMaxUploads is the maximum number of concurrent job uploads. Slow uploads
	// take long, so it is well above the number that one host can process at full
	// speed.
	DefaultMaxUploads = 16
	// DefaultMaxHeadMemory is the maximum memory for the heads of requests together, in bytes, as
	// far as each uses more than an ordinary one.
	DefaultMaxHeadMemory = 64 << 20
	// DefaultMaxBodyMemory is the maximum memory for all bodies together, in bytes.
	DefaultMaxBodyMemory = 256 << 20
)

// Options configures a Server. Fields that are zero, except Backend and Logger, get
// the defaults above.
type Options struct {
	// Backend runs the requests. Required.
	Backend Backend
	// AdminToken is the bearer token for /admin; "" disables /admin.
	AdminToken string
	// MaxHeaderBytes is the maximum size of the request line and headers.
	MaxHeaderBytes int
	// ReadHeaderTimeout is the maximum time to receive them.
	ReadHeaderTimeout time.Duration
	// IdleTimeout is how long a connection without a request is kept open.
	IdleTimeout time.Duration
	// WriteStall is how long a write may be blocked before the connection of a caller
	// that stopped reading is closed.
	WriteStall time.Duration
	// BodyStall is how long a body may make no progress before it is refused.
	// MinBodyRate, in bytes per second, is the minimum rate of a body that takes longer
	// than BodyStall.
	BodyStall   time.Duration
	MinBodyRate int64
	// MaxConnections is the maximum number of open connections. At the limit the
	// connection that has been idle longest is closed to accept another; if none is
	// idle, accepting waits.
	MaxConnections int
	// MaxInFlight is the maximum number of requests that run at once. The configuration
	// can only lower it.
	MaxInFlight int
	// MaxUploads is the maximum number of concurrent job uploads.
	MaxUploads int
	// MaxHeadMemory is the maximum memory for the heads of requests together, in bytes; see
	// callerconns.Heads.
	MaxHeadMemory int64
	// MaxBodyMemory is the maximum memory for the bodies of online requests and the
	// custom_id hashes of uploads together, in bytes.
	MaxBodyMemory int64
	// DrainGrace is how long Shutdown continues to accept connections after /readyz
	// reports unready, so that load balancers notice first.
	DrainGrace time.Duration
	// OnRefused, if not nil, is called for every caller's request with a known profile
	// that is refused before the backend is called.
	OnRefused func(profile string, code outcome.Code)
	// Logger receives one line per request. Required.
	Logger *zap.Logger
	// Metrics is the set in which the HTTP metrics are registered; nil means a private
	// set.
	Metrics *metrics.Set
}

// validate sets the defaults and returns an error for invalid options.
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
	defaultTo(&o.MaxHeadMemory, DefaultMaxHeadMemory)
	defaultTo(&o.MaxBodyMemory, DefaultMaxBodyMemory)
	if o.negative() {
		return ErrOptions.New("a limit is negative")
	}
	return nil
}

// negative reports whether any limit is below zero.
func (o *Options) negative() bool {
	for _, n := range []int64{
		int64(o.MaxHeaderBytes), int64(o.ReadHeaderTimeout), int64(o.IdleTimeout), int64(o.WriteStall),
		int64(o.BodyStall), o.MinBodyRate, int64(o.MaxConnections), int64(o.MaxInFlight),
		int64(o.MaxUploads), o.MaxHeadMemory, o.MaxBodyMemory, int64(o.DrainGrace),
	} {
		if n < 0 {
			return true
		}
	}
	return false
}

// defaultTo sets a field that is zero to value.
func defaultTo[T int | int64 | time.Duration](field *T, value T) {
	if *field == 0 {
		*field = value
	}
}
