// Package orders sends engines the orders to load a model version. One daemon at a time
// issues the orders for a model; docs/design/0007-orders.md gives the reasons.
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
	// BadOptions is the type of errors for invalid options.
	BadOptions = namespace.NewType("options")
	// NotIssuer is the type of errors for a daemon that is not, or no longer, the issuer.
	NotIssuer = namespace.NewType("not_issuer")
	// Unproven is the type of errors for a tenure that could not be read back from the
	// log.
	Unproven = namespace.NewType("unproven", errorx.Temporary())
)

const (
	// DefaultInterval is the time between two checks of the targets of a model.
	DefaultInterval = 2 * time.Second
	// observeTimeout limits the fetch of a load report, probeTimeout the one-token
	// request that checks whether a target serves.
	observeTimeout = time.Second
	probeTimeout   = 3 * time.Second
	// storeTimeout limits a query to the weight store.
	storeTimeout = 3 * time.Second
	// observeParallel is the number of targets of a group that are queried concurrently.
	observeParallel = 8
	// confirmationTTL is how long a target that answered a probe counts as serving while
	// its load report names the same model and version. Targets are probed only during a
	// change of version.
	confirmationTTL = 10 * time.Second
)

// Options configure Orders.
type Options struct {
	// Config returns the current configuration; required.
	Config func() *config.Config
	// View reports which targets are leaving; required.
	View membership.View
	// Leadership determines for which shards this daemon issues the orders; required.
	Leadership Leadership
	// Engine is the client of the targets; required.
	Engine target.Engine
	// Weights is the weight store. If it is nil, no orders are sent.
	Weights extern.WeightStore
	// Shards is the number of the ledger's shards; required.
	Shards int
	// Interval is the time between two checks of the targets; default DefaultInterval.
	Interval time.Duration
	// Bounds are the options of the rollout planner; default orders.DefaultOptions.
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
	if o.Interval <= 0 {
		o.Interval = DefaultInterval
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
