// Package steward dispatches batch work to targets. Each target has one steward daemon,
// and only it sends batch there; entry hosts signal to it when online requests begin and
// end, so that batch is preempted at once. No online request ever waits for this package.
//
// Daemons may briefly disagree on who is steward. Then two daemons send batch to one
// target, for at most the propagation time of a membership change plus lostGrace. Online
// latency may suffer for that long, but no result does, because the ledger decides which
// completion counts.
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
	// StopError is the type of errors for a revoke or drain that did not finish in time.
	StopError = namespace.NewType("stop")
)

// Design parameters; see docs/design/0004-batch-admission.md.
const (
	// decideEvery bounds the delay of decisions that no event triggers, such as the end
	// of a cool-down.
	decideEvery = 10 * time.Millisecond
	// idleEvery replaces decideEvery and pullEvery while there is no batch work: only an
	// event or a reply can change the state then.
	idleEvery = 100 * time.Millisecond
	// assignEvery is how often the set of assigned targets is computed.
	assignEvery = 100 * time.Millisecond
	// loadEvery is how often a target's load report is fetched, loadTimeout how
	// long one fetch may take.
	loadEvery   = 250 * time.Millisecond
	loadTimeout = time.Second
	// reportEvery is the time over which ends are batched into one report.
	reportEvery = 20 * time.Millisecond
	// reportRetry is the wait before undelivered ends are reported again.
	reportRetry = 200 * time.Millisecond
	// reportTimeout bounds one report.
	reportTimeout = 5 * time.Second
	// reportMax bounds the number of ends in one report.
	reportMax = 512
	// maxUndelivered bounds the ends that wait for delivery to an owner. Every started
	// item has a place reserved, so the end of an item that ran is never dropped because
	// the queue is full.
	maxUndelivered = 4096

	// pullEvery is how often the pull loop checks for free capacity.
	pullEvery = 20 * time.Millisecond
	// pullTimeout bounds one pull; it includes the owner's write of the leases.
	pullTimeout = 3 * time.Second
	// pullIdleMin and pullIdleMax bound the wait after a pull that returned no items.
	pullIdleMin = 25 * time.Millisecond
	pullIdleMax = 500 * time.Millisecond
	// idlePullEvery is the minimum time between pulls from owners with no known backlog,
	// so that the control traffic of an idle daemon does not grow with the number of
	// owners.
	idlePullEvery = 100 * time.Millisecond
	// backlogMaxAge is how old an owner's reported backlog may become while nothing is
	// pulled; backlogQueryEvery is the minimum time between two queries.
	backlogMaxAge     = 2 * time.Second
	backlogQueryEvery = 250 * time.Millisecond
	// pullMaxBytes bounds the size of one pull's items.
	pullMaxBytes = 4 << 20
	// leaseMargin is subtracted from every lease: nothing starts within it.
	leaseMargin = 250 * time.Millisecond
	// renewFraction: held items are listed to their owner again after 1/renewFraction of
	// the lease.
	renewFraction = 3

	// preferWindow is how long a cancelled item is kept for the target that
	// still has its prefix cached.
	preferWindow = 500 * time.Millisecond
	// maxQueueTime is how long a leased item waits here before it is handed back with its
	// progress: the burst of online work lasts, and another steward may have capacity.
	maxQueueTime = 5 * time.Second
	// lostGrace is how long batch streams continue at a target whose steward seems to have
	// changed: membership views often differ only briefly.
	lostGrace = time.Second
	// leavingGrace is how long batch streams may continue at a leaving target.
	leavingGrace = 10 * time.Second
	// maxLocalStarts bounds the starts of one leased item that no target received.
	maxLocalStarts = 3

	// cancelTimeout bounds one cancel call to an engine.
	cancelTimeout = time.Second
	// revokeTimeout bounds how long a revoke waits for streams to end.
	revokeTimeout = 3 * time.Second
	// revokedRetention is the minimum time for which a revoked job is remembered. It must
	// exceed the longest lease, since a late reply to a pull may contain its items.
	revokedRetention = 2 * time.Minute
	// defaultDeadline bounds an attempt whose profile sets none.
	defaultDeadline = 10 * time.Minute
)

// Options configures a Steward.
type Options struct {
	View   membership.View
	Config func() *config.Config
	Ledger ledger.Client
	Engine target.Engine
	// Service is the client for plain services.
	Service target.Service
	// Registrar registers the Steward service; if nil, it is not registered.
	Registrar peer.Registrar
	// PolicyOf returns the admission policy of a group's targets; nil selects
	// admission.DefaultPreemptive for all.
	PolicyOf func(*config.TargetGroup) admission.Policy
	// OwnerOf returns the peer address of the owner of a job's shard. If nil, held items
	// are listed to the owner that they were pulled from, or to all owners once that one
	// is no longer a member.
	OwnerOf func(job string) (address string, ok bool)
	Logger  *zap.Logger
	Metrics *metrics.Set
	// Now is the clock; its values must have a monotonic reading. Nil selects time.Now.
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
		o.PolicyOf = func(*config.TargetGroup) admission.Policy { return admission.DefaultPreemptive() }
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
