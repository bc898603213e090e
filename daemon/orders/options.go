// Package orders tells the engines which model version to load. One daemon at a
// time gives the orders for a model; docs/design/0007-orders.md argues why.
package orders

import (
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/joomcode/errorx"
	"go.uber.org/zap"

	"tarragonhollow.example/tarragonhollow/core/config"
	"tarragonhollow.example/tarragonhollow/core/membership"
	"tarragonhollow.example/tarragonhollow/core/orders"
	"tarragonhollow.example/tarragonhollow/extern"
	"tarragonhollow.example/tarragonhollow/target"
)

var (
	namespace = errorx.NewNamespace("orders")
	// BadOptions is the type of errors for options that can't work.
	BadOptions = namespace.NewType("options")
	// NotIssuer says that this daemon is not the issuer, or is one no longer.
	NotIssuer = namespace.NewType("not_issuer")
	// Unproven says that the tenure could not be read back from the log.
	Unproven = namespace.NewType("unproven", errorx.Temporary())
)

const (
	// DefaultEvery is the time between two looks at the targets of a model.
	DefaultEvery = 2 * time.Second
	// observeTimeout bounds a load report, probeTimeout the one-token request
	// that tells whether a target serves.
	observeTimeout = time.Second
	probeTimeout   = 3 * time.Second
	// storeTimeout bounds a question to the weight store.
	storeTimeout = 3 * time.Second
	// observeParallel bounds the targets asked at once by one daemon.
	observeParallel = 8
	// confirmedFor is how long a target that answered a request counts as
	// serving, while its report stays the same. It is asked during a change of
	// version only.
	confirmedFor = 10 * time.Second
)

// Options configure Orders.
type Options struct {
	// Config returns the configuration in force; required.
	Config func() *config.Config
	// View tells which targets are leaving; required.
	View membership.View
	// Leadership tells for which shards this daemon gives the orders; required.
	Leadership Leadership
	// Engine speaks to the targets; required.
	Engine target.Engine
	// Weights is the weight store; nil is none, then no model is ever ordered.
	Weights extern.WeightStore
	// Shards is the number of the ledger's shards; required.
	Shards int
	// Every is the time between two looks; default DefaultEvery.
	Every time.Duration
	// Bounds are those of the decision; the zero value takes the defaults.
	Bounds orders.Options
	// Logger gets one line for each order; may be nil.
	Logger *zap.Logger
	// Metrics receives the counters; may be nil.
	Metrics *metrics.Set
	// Clock returns the time with a monotonic reading; default time.Now.
	Clock func() time.Time
}

func (o *Options) validate() error {
	if o.Config == nil || o.View == nil || o.Leadership == nil || o.Engine == nil || o.Shards <= 0 {
		return BadOptions.New("Config, View, Leadership, Engine and Shards are required")
	}
	if o.Every <= 0 {
		o.Every = DefaultEvery
	}
	if o.Bounds == (orders.Options{}) {
		o.Bounds = orders.DefaultOptions()
	}
	if o.Logger == nil {
		o.Logger = zap.NewNop()
	}
	if o.Metrics == nil {
		o.Metrics = metrics.NewSet()
	}
	if o.Clock == nil {
		o.Clock = time.Now
	}
	return nil
}
