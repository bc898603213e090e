// Package online runs callers' online requests. It sends each request directly from the
// entry host to a target, retries within the group's budget, resumes streams whose target
// failed, and stores the answers of keyed requests in the ledger. It shares no queue or
// lock with batch.
//
// There is no hedging (a second attempt alongside a slow first one): it costs target
// capacity when capacity is scarcest.
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
	// defaultFinishWait is how long a caller waits for its answer to become durable.
	// After that the answer is returned anyway and reported to the ledger later.
	defaultFinishWait = 250 * time.Millisecond
	// defaultRepeatableBeginWait is how long a repeatable keyed request tries to reach
	// its shard's owner before it runs without a grant.
	defaultRepeatableBeginWait = 300 * time.Millisecond
	// defaultNonRepeatableBeginWait is the same for a non-repeatable request, which is
	// refused afterwards. It covers an ordinary change of owner.
	defaultNonRepeatableBeginWait = 3 * time.Second
	// defaultStallMin and defaultStallMax bound how long a repeatable attempt may go
	// without progress before it moves to another target. Between these bounds the limit
	// is a third of the time left.
	defaultStallMin = time.Second
	defaultStallMax = 10 * time.Second
)

var (
	namespace  = errorx.NewNamespace("online")
	badOptions = namespace.NewType("options")
)

// Signals is notified of every online request that begins or ends at a target; see
// signal.Sender.
type Signals interface {
	// Begin counts a request that is about to be sent to the target (IP:PORT).
	Begin(address string, promptTokens int)
	// End counts the end of a request that Begin counted.
	End(address string, promptTokens int)
	// Watch sets the targets whose stewards' reports are wanted.
	Watch(addresses []string)
	// OnTargetReports sets the function that receives those reports; it must not block.
	OnTargetReports(func([]signal.TargetReport))
}

// Suspects tracks which requests crash targets; see suspects.Tracker.
type Suspects interface {
	// Verdict returns whether and how the request may run.
	Verdict(fingerprint string) retry.Verdict
	// Crashed records a crash that this daemon observed.
	Crashed(c retry.Crash)
	// Completed records that the request completed and is no longer a suspect.
	Completed(fingerprint string)
}

// Options configures an Online.
type Options struct {
	// View is the membership; required.
	View membership.View
	// Config returns the configuration in force; required.
	Config func() *config.Config
	// Ledger decides on keyed requests; required.
	Ledger ledger.Client
	// Engine and Service are the clients for the targets; required.
	Engine  target.Engine
	Service target.Service
	// Peer and Registrar carry the requests for shares of caller limits; required.
	Peer      peer.Caller
	Registrar peer.Registrar
	// Signals notifies the stewards of online requests; required.
	Signals Signals
	// Suspects tracks crashing requests; required.
	Suspects Suspects
	// Host and Zone are those of this daemon.
	Host, Zone string
	// Logger may be nil.
	Logger *zap.Logger
	// Metrics receives the metrics; may be nil.
	Metrics *metrics.Set
	// Clock returns the time; default time.Now.
	Clock func() time.Time
	// FinishWait, RepeatableBeginWait, NonRepeatableBeginWait, StallMin and StallMax: zero
	// selects the defaults above.
	FinishWait, RepeatableBeginWait, NonRepeatableBeginWait time.Duration
	StallMin, StallMax                                      time.Duration
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
	o.RepeatableBeginWait = orDefault(o.RepeatableBeginWait, defaultRepeatableBeginWait)
	o.NonRepeatableBeginWait = orDefault(o.NonRepeatableBeginWait, defaultNonRepeatableBeginWait)
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
