// Package burnlog counts what this daemon's requests and batch items cost of
// their objectives, and reports the service-level burn of the whole fleet. What
// live daemons counted is asked for; what lost ones counted is on the log.
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
	// BadOptions is the type of errors for options that can't work.
	BadOptions = namespace.NewType("options")
	// DrainFailed says that the last counts did not reach the log.
	DrainFailed = namespace.NewType("drain", errorx.Temporary())
	errLog      = namespace.NewType("log", errorx.Temporary())
)

const (
	// Stream is the log stream of summaries.
	Stream = "burn"
	// ServiceName is the net/rpc name of this package's service.
	ServiceName      = "Burn"
	summariesMethod  = ServiceName + ".Summaries"
	eventRing        = 8192
	itemRing         = 4096
	itemTimeout      = 5 * time.Second
	appendTimeout    = 3 * time.Second
	pruneEvery       = 5 * time.Minute
	defaultPeerWait  = 2 * time.Second
	defaultLogWait   = 4 * time.Second
	peersParallel    = 16
	readBytes        = 4 << 20
	defaultRetention = 24 * time.Hour
)

const (
	// minPeriod is the least time between two appends of a daemon. It is what a
	// lost host may take with it, and sets how much there is to read back.
	minPeriod = 30 * time.Second
	// perDaemon stretches the period with the fleet, so that all daemons
	// together stay at 1.7 appends a second, below the 2 that burn may use.
	perDaemon = 600 * time.Millisecond
	// maxCells bounds the cells of one record, at some 60 bytes each.
	maxCells = 2000
	// restateShare is the part of the log's retention after which a daemon
	// writes all its cells again, for old records expire.
	restateShare = 4
	// leasesKept bounds the batch items remembered between pull and end.
	leasesKept = 1 << 15
)

// Options configure a Collector.
type Options struct {
	// Log is the platform's log; required.
	Log extern.Log
	// View names the daemons; required.
	View membership.View
	// Peer and Registrar carry the summaries; required.
	Peer      peer.Caller
	Registrar peer.Registrar
	// Config returns the configuration in force; required.
	Config func() *config.Config
	// Retention is how long the log keeps a record; default 24 h.
	Retention time.Duration
	// PeerWait bounds the wait for the other daemons' counts, LogWait that for
	// the log; defaults 2 s and 4 s.
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
