// Package burnlog counts how this daemon's requests and batch items use up the error budgets
// of their service-level objectives, and reports the burn of the whole fleet. The counts of
// live daemons are fetched from them; those of lost daemons are read from the log.
package burnlog

import (
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/joomcode/errorx"
	"go.uber.org/zap"

	"tarragonhollow.example/tarragonhollow/core/config"
	"tarragonhollow.example/tarragonhollow/core/membership"
	"tarragonhollow.example/tarragonhollow/extern"
	"tarragonhollow.example/tarragonhollow/peer"
)

var (
	namespace = errorx.NewNamespace("burnlog")
	// BadOptions is the type of errors for invalid options.
	BadOptions = namespace.NewType("options")
	// DrainFailed is the type of errors for last counts that could not be appended to the
	// log.
	DrainFailed = namespace.NewType("drain", errorx.Temporary())
	errLog      = namespace.NewType("log", errorx.Temporary())
)

const (
	// Stream is the log stream of summaries.
	Stream = "burn"
	// ServiceName is the net/rpc name of this package's service.
	ServiceName      = "Burn"
	summariesMethod  = ServiceName + ".Summaries"
	eventQueueSize   = 8192
	itemQueueSize    = 4096
	itemTimeout      = 5 * time.Second
	appendTimeout    = 3 * time.Second
	pruneInterval    = 5 * time.Minute
	defaultPeerWait  = 2 * time.Second
	defaultLogWait   = 4 * time.Second
	peersParallel    = 16
	readBytes        = 4 << 20
	defaultRetention = 24 * time.Hour
)

const (
	// minPeriod is the minimum time between two appends of a daemon. The counts of one
	// period may be lost with a host. A shorter period means more records to read back.
	minPeriod = 30 * time.Second
	// periodPerDaemon increases the period with the number of daemons, so that all daemons
	// together stay at 1.7 appends a second, below the limit of 2 for this stream.
	periodPerDaemon = 600 * time.Millisecond
	// maxCells limits the cells of one record, at some 60 bytes each.
	maxCells = 2000
	// rewriteDivisor sets when a daemon appends all its cells again, because old records
	// expire: after a quarter of the log's retention.
	rewriteDivisor = 4
	// maxLeases limits the batch items that are tracked between pull and end.
	maxLeases = 1 << 15
)

// Options configure a Collector.
type Options struct {
	// Log is the platform's log; required.
	Log extern.Log
	// View lists the daemons; required.
	View membership.View
	// Peer and Registrar exchange the summaries with other daemons; required.
	Peer      peer.Caller
	Registrar peer.Registrar
	// Config returns the current configuration; required.
	Config func() *config.Config
	// Retention is how long the log keeps a record; default 24 h.
	Retention time.Duration
	// PeerWait limits the wait for the other daemons' counts, LogWait that for reading
	// the log; the defaults are 2 s and 4 s.
	PeerWait, LogWait time.Duration
	// Logger and Metrics may be nil.
	Logger  *zap.Logger
	Metrics *metrics.Set
	// Clock returns the wall clock; default time.Now.
	Clock func() time.Time
}

func (o *Options) validate() error {
	if o.Log == nil || o.View == nil || o.Peer == nil || o.Registrar == nil || o.Config == nil {
		return BadOptions.New("Log, View, Peer, Registrar and Config are required")
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
	o.Retention = orDefault(o.Retention, defaultRetention)
	o.PeerWait = orDefault(o.PeerWait, defaultPeerWait)
	o.LogWait = orDefault(o.LogWait, defaultLogWait)
	return nil
}

func orDefault(d, fallback time.Duration) time.Duration {
	if d <= 0 {
		return fallback
	}
	return d
}
