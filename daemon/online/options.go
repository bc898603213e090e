// Package online runs callers' online requests: it goes straight from the
// entry host to a target, retries within the group's budget, resumes streams
// whose target died, and keeps the answers of keyed requests by the ledger. It
// shares no queue, lock or ring with batch.
//
// There is no hedging (a second attempt beside a slow first one): it costs target
// capacity at the worst moment.
package online

import (
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/joomcode/errorx"
	"go.uber.org/zap"

	"tarragonhollow.example/tarragonhollow/core/config"
	"tarragonhollow.example/tarragonhollow/core/ledger"
	"tarragonhollow.example/tarragonhollow/core/membership"
	"tarragonhollow.example/tarragonhollow/core/retry"
	"tarragonhollow.example/tarragonhollow/daemon/signal"
	"tarragonhollow.example/tarragonhollow/peer"
	"tarragonhollow.example/tarragonhollow/target"
)

const (
	// defaultFinishWait is how long a caller waits for its answer to become
	// durable; then the answer is given anyway and the ledger told later.
	defaultFinishWait = 250 * time.Millisecond
	// defaultBeginPatience is how long a repeatable keyed request looks for its
	// shard's owner before it runs without.
	defaultBeginPatience = 300 * time.Millisecond
	// defaultOrderPatience is the same for a non-repeatable one, which is
	// refused afterwards; it covers a usual change of owner.
	defaultOrderPatience = 3 * time.Second
	// defaultStallMin and defaultStallMax bound how long a repeatable attempt
	// may stay silent before it is given up for another target; between them it
	// is a third of the time left.
	defaultStallMin = time.Second
	defaultStallMax = 10 * time.Second
)

var (
	namespace  = errorx.NewNamespace("online")
	badOptions = namespace.NewType("options")
)

// Signals is told of every online request that begins or ends at a target; see
// signal.Sender.
type Signals interface {
	// Begin counts a request that is about to be sent to the target (IP:PORT).
	Begin(address string, promptTokens int)
	// End counts the end of a request that Begin counted.
	End(address string, promptTokens int)
	// Watch names the targets whose stewards' words are wanted.
	Watch(addresses []string)
	// OnWords names the function that takes those words; it returns at once.
	OnWords(func([]signal.Word))
}

// Suspects knows which requests crash targets; see suspects.Tracker.
type Suspects interface {
	// Verdict returns what may be done with the request.
	Verdict(fingerprint string) retry.Verdict
	// Crashed notes a crash seen here.
	Crashed(c retry.Crash)
	// Completed notes that the request ran to its end and is no suspect any more.
	Completed(fingerprint string)
}

// Options configure an Online.
type Options struct {
	// View is the membership; required.
	View membership.View
	// Config returns the configuration in force; required.
	Config func() *config.Config
	// Ledger decides on keyed requests; required.
	Ledger ledger.Client
	// Engine and Service speak to the targets; required.
	Engine  target.Engine
	Service target.Service
	// Peer and Registrar carry the shares of caller limits; required.
	Peer      peer.Caller
	Registrar peer.Registrar
	// Signals tells the stewards; required.
	Signals Signals
	// Suspects tracks crashing requests; required.
	Suspects Suspects
	// Host and Zone are this daemon's own.
	Host, Zone string
	// Logger gets the events; may be nil.
	Logger *zap.Logger
	// Metrics receives the figures; may be nil.
	Metrics *metrics.Set
	// Clock returns the time; default time.Now.
	Clock func() time.Time
	// FinishWait, BeginPatience, OrderPatience, StallMin and StallMax: zero
	// values take the defaults above.
	FinishWait, BeginPatience, OrderPatience time.Duration
	StallMin, StallMax                       time.Duration
}

func (o Options) checked() (Options, error) {
	if o.View == nil || o.Config == nil || o.Ledger == nil || o.Engine == nil || o.Service == nil {
		return o, badOptions.New("View, Config, Ledger, Engine and Service are required")
	}
	if o.Peer == nil || o.Registrar == nil || o.Signals == nil || o.Suspects == nil {
		return o, badOptions.New("Peer, Registrar, Signals and Suspects are required")
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
	o.FinishWait = orDefault(o.FinishWait, defaultFinishWait)
	o.BeginPatience = orDefault(o.BeginPatience, defaultBeginPatience)
	o.OrderPatience = orDefault(o.OrderPatience, defaultOrderPatience)
	o.StallMin = orDefault(o.StallMin, defaultStallMin)
	o.StallMax = orDefault(o.StallMax, defaultStallMax)
	return o, nil
}

func orDefault(d, fallback time.Duration) time.Duration {
	if d <= 0 {
		return fallback
	}
	return d
}
