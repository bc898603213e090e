package configsync

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

// Namespace is the errorx namespace of this package.
var Namespace = errorx.NewNamespace("configsync")

// badOptions is the error type for invalid Options.
var badOptions = Namespace.NewType("bad_options")

// noProgress is the error type for a read that returns no records although the log reports
// that there are some.
var noProgress = Namespace.NewType("no_progress")

// notApplied is the error type for a version that some host has not applied in time.
var notApplied = Namespace.NewType("not_applied", errorx.Timeout())

// Defaults of Options.
const (
	DefaultRetention = 24 * time.Hour
	DefaultPollWait  = 5 * time.Second
	DefaultPeerEvery = 250 * time.Millisecond
	// DefaultPublishWait is enough for a first read, the resolution of a lost answer and a few
	// proposals.
	DefaultPublishWait = 5 * time.Second
)

// Options configure a Sync.
type Options struct {
	// Log is the platform's log.
	Log extern.Log
	// View is the membership. The ConfigVersion of its members is what their OnApplied
	// announced.
	View membership.View
	// Peer fetches from other daemons; Registrar registers the service "Config".
	Peer      peer.Caller
	Registrar peer.Registrar
	// Parse parses and validates a text; config.Parse except in tests.
	Parse func(text string) (*config.Config, error)
	// OnApplied is called with each version that comes into force here, in order. It must
	// neither block nor call the Sync. May be nil.
	OnApplied func(version uint64)
	// Retention is how long the log keeps records; default 24 h.
	Retention time.Duration
	// PollWait is the maximum wait of one long poll of the stream; default 5 s.
	PollWait time.Duration
	// PeerEvery is the interval at which the members' versions are compared; default 250 ms.
	PeerEvery time.Duration
	// PublishWait is the maximum time that an operator waits for the outcome of a change;
	// default 5 s.
	PublishWait time.Duration
	// Clock gives the time; default time.Now.
	Clock func() time.Time
	// Logger and Metrics may be nil.
	Logger  *zap.Logger
	Metrics *metrics.Set
}

func (o Options) validated() (Options, error) {
	switch {
	case o.Log == nil || o.View == nil:
		return o, badOptions.New("no log or no view")
	case o.Peer == nil || o.Registrar == nil:
		return o, badOptions.New("no peer client or registrar")
	case o.Parse == nil:
		return o, badOptions.New("no parser")
	}
	if o.Retention <= 0 {
		o.Retention = DefaultRetention
	}
	if o.PollWait <= 0 {
		o.PollWait = DefaultPollWait
	}
	if o.PeerEvery <= 0 {
		o.PeerEvery = DefaultPeerEvery
	}
	if o.PublishWait <= 0 {
		o.PublishWait = DefaultPublishWait
	}
	if o.Clock == nil {
		o.Clock = time.Now
	}
	if o.OnApplied == nil {
		o.OnApplied = func(uint64) {}
	}
	if o.Logger == nil {
		o.Logger = zap.NewNop()
	}
	if o.Metrics == nil {
		o.Metrics = metrics.NewSet()
	}
	return o, nil
}
