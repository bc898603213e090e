package members

import (
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/joomcode/errorx"
	"go.uber.org/zap"

	"tarragonhollow.example/tarragonhollow/core/membership"
	"tarragonhollow.example/tarragonhollow/extern"
	"tarragonhollow.example/tarragonhollow/peer"
)

// Namespace is the errorx namespace of this package.
var Namespace = errorx.NewNamespace("members")

// badOptions is the error type for invalid Options.
var badOptions = Namespace.NewType("bad_options")

// DefaultHostListEvery is the interval between polls of the host list.
const DefaultHostListEvery = time.Second

// Options configure Members. Zero durations select the defaults.
type Options struct {
	// Host is this daemon's unique name; Zone its availability zone.
	Host, Zone string
	// PeerAddress and HTTPAddress are the IP:PORT of its listeners.
	PeerAddress, HTTPAddress string
	// Incarnation must be higher at each start of the host, e.g. the start's Unix
	// nanoseconds.
	Incarnation uint64
	// HostList is the platform's host list; if nil, only Seeds are used.
	HostList extern.HostList
	// HostListEvery is the interval between polls; default 1 s.
	HostListEvery time.Duration
	// Seeds are peer addresses to join through in addition to the host list.
	Seeds []string
	// Peer sends the probes; Registrar registers the service "Members".
	Peer      peer.Caller
	Registrar peer.Registrar
	// ProbeEvery, SuspectAfter and ForgetAfter are as in membership.Options. A direct probe
	// times out after ProbeEvery.
	ProbeEvery, SuspectAfter, ForgetAfter time.Duration
	// Clock gives the time; default time.Now.
	Clock func() time.Time
	// Logger and Metrics may be nil.
	Logger  *zap.Logger
	Metrics *metrics.Set
}

func (o Options) validated() (Options, error) {
	switch {
	case o.Host == "":
		return o, badOptions.New("no host name")
	case o.PeerAddress == "":
		return o, badOptions.New("no peer address")
	case o.Incarnation == 0:
		return o, badOptions.New("no incarnation")
	case o.Peer == nil || o.Registrar == nil:
		return o, badOptions.New("no peer client or registrar")
	}
	if o.ProbeEvery <= 0 {
		o.ProbeEvery = membership.DefaultProbeEvery
	}
	if o.HostListEvery <= 0 {
		o.HostListEvery = DefaultHostListEvery
	}
	if o.Clock == nil {
		o.Clock = time.Now
	}
	if o.Logger == nil {
		o.Logger = zap.NewNop()
	}
	if o.Metrics == nil {
		o.Metrics = metrics.NewSet()
	}
	return o, nil
}
