// Package steward sends batch work to targets. Each target has one steward
// daemon, and only it sends batch there; entry hosts tell it when online
// requests begin and end, so that batch gives way at once. Nothing here is ever
// waited on by an online request.
//
// Two views of who is steward may differ for a moment. Then two daemons send
// batch to one target for at most a membership change's spread plus LostGrace:
// online latency may suffer for that long, but no result does, because the
// ledger decides which completion counts.
package steward

import (
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/joomcode/errorx"
	"go.uber.org/zap"

	"tarragonhollow.example/tarragonhollow/core/admission"
	"tarragonhollow.example/tarragonhollow/core/config"
	"tarragonhollow.example/tarragonhollow/core/ledger"
	"tarragonhollow.example/tarragonhollow/core/membership"
	"tarragonhollow.example/tarragonhollow/peer"
	"tarragonhollow.example/tarragonhollow/target"
)

var (
	namespace = errorx.NewNamespace("steward")
	// OptionsError is the type of errors for incomplete Options.
	OptionsError = namespace.NewType("options")
	// ItemError is the type of errors for items that cannot be sent to any target.
	ItemError = namespace.NewType("item")
	// StopError is the type of errors of an unfinished revoke or drain.
	StopError = namespace.NewType("stop")
)

// Numbers that are decisions; see docs/design/0004-batch-admission.md.
const (
	// decideEvery bounds how late a decision falls that no event has asked for,
	// such as the end of a cool-down.
	decideEvery = 10 * time.Millisecond
	// restEvery takes the place of decideEvery and pullEvery while there is no
	// batch work: nothing here could change then but by an event or a reply.
	restEvery = 100 * time.Millisecond
	// assignEvery is how often the own targets are worked out.
	assignEvery = 100 * time.Millisecond
	// loadEvery is how often a target's load report is fetched, loadTimeout how
	// long one fetch may take.
	loadEvery   = 250 * time.Millisecond
	loadTimeout = time.Second
	// reportEvery is the time over which ends are grouped into one report.
	reportEvery = 20 * time.Millisecond
	// reportRetry is the pause before undelivered ends are reported again.
	reportRetry = 200 * time.Millisecond
	// reportTimeout bounds one report.
	reportTimeout = 5 * time.Second
	// reportMax bounds the ends of one report.
	reportMax = 512
	// maxUndelivered bounds the ends that wait for an owner. Every item started
	// has its place reserved, so nothing that ran is ever dropped for room.
	maxUndelivered = 4096

	// pullEvery is how often the pull duty looks for capacity.
	pullEvery = 20 * time.Millisecond
	// pullTimeout bounds one pull; it includes the owner's write of the leases.
	pullTimeout = 3 * time.Second
	// pullIdleMin and pullIdleMax bound the pause after a pull that brought nothing.
	pullIdleMin = 25 * time.Millisecond
	pullIdleMax = 500 * time.Millisecond
	// idlePullGap spaces pulls to owners with no known backlog, so that the
	// control traffic of an idle daemon does not grow with the number of owners.
	idlePullGap = 100 * time.Millisecond
	// lookAfter is how old an owner's word on its backlog may grow while nothing
	// is pulled; lookGap spaces the questions.
	lookAfter = 2 * time.Second
	lookGap   = 250 * time.Millisecond
	// pullMaxBytes bounds one pull's items.
	pullMaxBytes = 4 << 20
	// leaseMargin is taken off every lease: within it nothing starts.
	leaseMargin = 250 * time.Millisecond
	// renewShare: running items are named to their owner after this part of the lease.
	renewShare = 3

	// preferWindow is how long a cancelled item is kept for the target that
	// still has its prefix cached.
	preferWindow = 500 * time.Millisecond
	// holdBound is how long a leased item waits here before it is handed back
	// with its progress: the burst lasts, and another steward may have room.
	holdBound = 5 * time.Second
	// lostGrace is how long batch streams go on at a target whose steward seems
	// to have changed: views often differ only for a moment.
	lostGrace = time.Second
	// leaveBound is how long batch streams may go on at a leaving target.
	leaveBound = 10 * time.Second
	// localTries bounds the starts of one leased item that no target received.
	localTries = 3

	// cancelTimeout bounds one cancel call to an engine.
	cancelTimeout = time.Second
	// revokeWait bounds how long a revoke waits for streams to end.
	revokeWait = 3 * time.Second
	// revokedFor is how long a revoked job is remembered at least; it must
	// exceed the longest lease, since a pull answered late may bring its items.
	revokedFor = 2 * time.Minute
	// defaultDeadline bounds an attempt whose profile sets none.
	defaultDeadline = 10 * time.Minute
)

// Options is what a Steward needs.
type Options struct {
	View   membership.View
	Config func() *config.Config
	Ledger ledger.Client
	Engine target.Engine
	// Service speaks to plain services.
	Service target.Service
	// Registrar takes the Steward service; nil registers nothing.
	Registrar peer.Registrar
	// PolicyOf returns the policy that decides about admissions to a group's
	// targets; nil is admission.DefaultGiveWay for all.
	PolicyOf func(*config.TargetGroup) admission.Policy
	// OwnerOf returns the peer address of the owner of a job's shard. Nil names
	// held items to the owner that they came from, or to all if it is gone.
	OwnerOf func(job string) (address string, ok bool)
	Logger  *zap.Logger
	Metrics *metrics.Set
	// Now is the clock; its values must carry a monotonic reading. Nil is time.Now.
	Now func() time.Time
}

func (o *Options) validate() error {
	switch {
	case o.View == nil:
		return OptionsError.New("View is missing")
	case o.Config == nil:
		return OptionsError.New("Config is missing")
	case o.Ledger == nil:
		return OptionsError.New("Ledger is missing")
	case o.Engine == nil || o.Service == nil:
		return OptionsError.New("Engine or Service is missing")
	}
	if o.PolicyOf == nil {
		o.PolicyOf = func(*config.TargetGroup) admission.Policy { return admission.DefaultGiveWay() }
	}
	if o.Logger == nil {
		o.Logger = zap.NewNop()
	}
	if o.Metrics == nil {
		o.Metrics = metrics.NewSet()
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	return nil
}
