// Package shards runs the ledger: it claims shards, appends the decisions of their owners
// to the log, reads them back, and handles calls from this and other daemons. All decisions
// are made in core/ledger; this package does the input and output.
package shards

import (
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/joomcode/errorx"
	"go.uber.org/zap"

	"tarragonhollow.example/tarragonhollow/core/config"
	"tarragonhollow.example/tarragonhollow/core/ledger"
	"tarragonhollow.example/tarragonhollow/core/membership"
	"tarragonhollow.example/tarragonhollow/extern"
	"tarragonhollow.example/tarragonhollow/peer"
)

// Errors is the error namespace of this package.
var Errors = errorx.NewNamespace("shards")

var (
	// BadOptions is the type of errors for invalid options.
	BadOptions = Errors.NewType("bad_options")
	// DrainTimeout is the type of errors for shards that were still held when the time
	// for their hand-off ended.
	DrainTimeout = Errors.NewType("drain_timeout", errorx.Timeout())
	errReplay    = Errors.NewType("replay")
	errNoMember  = Errors.NewType("no_member")
)

const (
	// DefaultShards is the number of shards; it is fixed for the life of a log.
	DefaultShards = 32
	// DefaultAppendInterval is the time between two appends of batch changes on a shard.
	DefaultAppendInterval = 100 * time.Millisecond
	// DefaultUrgentInterval is the time between two appends if the second has an urgent
	// change.
	DefaultUrgentInterval = 10 * time.Millisecond
	// DefaultAppendBudget is the limit for the whole fleet, in appends per second.
	DefaultAppendBudget = 400
	// DefaultLease is how long a batch dispatcher (steward) holds an item without renewing
	// its lease.
	DefaultLease = 4 * time.Second
	// DefaultRetention is how long the log is assumed to keep records.
	DefaultRetention = 24 * time.Hour
	// DefaultClaimStep is the time between the claims of successive ranks.
	DefaultClaimStep = 300 * time.Millisecond
	// DefaultColdStart is how long a daemon waits after its start before it claims shards,
	// to discover the other members first.
	DefaultColdStart = 1500 * time.Millisecond
	// DefaultRetryFor is how long a call is retried until it reaches the shard's owner.
	DefaultRetryFor = 5 * time.Second
)

// Options configures a Shards; zero values take the defaults above. Log, View,
// Peer, Registrar and Config are required.
type Options struct {
	Log       extern.Log
	View      membership.View
	Peer      peer.Caller
	Registrar peer.Registrar
	// Config returns the current configuration; nil or version 0 means that there is none
	// yet.
	Config func() *config.Config
	// GroupOf returns the target group that serves an item; ok is false if there is none.
	// By default the group follows from Config by the service in the URL or the model in
	// the body.
	GroupOf func(ledger.Item) (group string, ok bool)

	Shards         int
	AppendInterval time.Duration
	UrgentInterval time.Duration
	// AppendBudget is the limit for the whole fleet, in appends per second. Each held
	// shard has an equal part of it.
	AppendBudget float64
	Lease        time.Duration
	Retention    time.Duration
	ClaimStep    time.Duration
	ColdStart    time.Duration
	RetryFor     time.Duration

	Logger  *zap.Logger
	Metrics *metrics.Set
	// Clock returns the wall clock.
	Clock func() time.Time
}

func (o *Options) validate() error {
	switch {
	case o.Log == nil, o.View == nil, o.Peer == nil, o.Registrar == nil, o.Config == nil:
		return BadOptions.New("Log, View, Peer, Registrar and Config are required")
	case o.Shards < 0 || o.AppendInterval < 0 || o.UrgentInterval < 0 || o.AppendBudget < 0:
		return BadOptions.New("Shards, AppendInterval, UrgentInterval and AppendBudget must not be negative")
	}
	o.setDefaults()
	return nil
}

func (o *Options) setDefaults() {
	defaultTo(&o.Shards, DefaultShards)
	defaultTo(&o.AppendInterval, DefaultAppendInterval)
	defaultTo(&o.UrgentInterval, DefaultUrgentInterval)
	defaultTo(&o.AppendBudget, DefaultAppendBudget)
	defaultTo(&o.Lease, DefaultLease)
	defaultTo(&o.Retention, DefaultRetention)
	defaultTo(&o.ClaimStep, DefaultClaimStep)
	defaultTo(&o.ColdStart, DefaultColdStart)
	defaultTo(&o.RetryFor, DefaultRetryFor)
	if o.Logger == nil {
		o.Logger = zap.NewNop()
	}
	if o.Metrics == nil {
		o.Metrics = metrics.NewSet()
	}
	if o.Clock == nil {
		o.Clock = time.Now
	}
	if o.GroupOf == nil {
		o.GroupOf = groupByConfig(o.Config)
	}
}

func defaultTo[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
