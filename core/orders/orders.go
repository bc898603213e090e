// Package orders decides which targets are ordered to load which version of a model, and
// when. It does no I/O: it maps observations to orders. One daemon at a time is the issuer
// of a model's orders; the orders stream determines which one (see Claims).
package orders

// Options configures a Planner. Durations are in milliseconds.
type Options struct {
	// LoadingShare is the share of a group's targets that may load at once; at least one
	// target may always load.
	LoadingShare float64
	// ServingShare is the share of a group's targets that must keep serving while others
	// load; in a group of two or more, at least one must.
	ServingShare float64
	// SpacingMs is the minimum time between two orders: each load reads the weights from
	// a store with a rate limit.
	SpacingMs int64
	// LoadTimeoutMs is how long a target may take to serve the version that it was
	// ordered to load.
	LoadTimeoutMs int64
	// BackoffMs is the wait after the first failure. It doubles with each further failure
	// up to MaxBackoffMs.
	BackoffMs    int64
	MaxBackoffMs int64
}

// DefaultOptions returns the default options.
func DefaultOptions() Options {
	return Options{
		LoadingShare:  0.25,
		ServingShare:  0.5,
		SpacingMs:     1000,
		LoadTimeoutMs: 120_000,
		BackoffMs:     2000,
		MaxBackoffMs:  120_000,
	}
}

// State is a target's state as last observed.
type State int

const (
	// Unknown: the target did not answer, or was not queried.
	Unknown State = iota
	// Serving: the target answered a request for the model.
	Serving
	// Loading: the target answered that it is loading.
	Loading
)

// Observation is the observed state of one target.
type Observation struct {
	// Address is IP:PORT.
	Address string
	// Leaving targets get no orders.
	Leaving bool
	// Reported reports whether Model and Version come from a current load report.
	Reported bool
	Model    string
	Version  string
	State    State
}

// Goal is the configured model and version of one group, with the observations of its
// targets.
type Goal struct {
	Model   string
	Version string
	Targets []Observation
}

// Changing reports whether a target that could receive an order has another model or
// version loaded than the goal's.
func (g *Goal) Changing() bool {
	for i := range g.Targets {
		o := &g.Targets[i]
		if o.Reported && !o.Leaving && (o.Model != g.Model || o.Version != g.Version) {
			return true
		}
	}
	return false
}

// Order is the decision to send one load order.
type Order struct {
	Address string
	// Cause is the reason for the order, for the log.
	Cause string
}

// Plan is the result of a step.
type Plan struct {
	// Orders are to be sent now, in this order.
	Orders []Order
	// Pending is the number of targets that do not have the wanted version yet.
	Pending int
	// Loading is the number of targets that are loading.
	Loading int
	// Withheld is the reason why pending targets get no order now, "" if there is none.
	Withheld string
}

// Outcome is the result of sending an order.
type Outcome int

const (
	// Accepted: the target accepted the order.
	Accepted Outcome = iota
	// Lost: the target may or may not have received the order. It counts as loading;
	// otherwise a whole group could load at once if its answers were lost.
	Lost
	// Refused: the target is known not to load.
	Refused
)

// StoreAnswer is the weight store's answer about the wanted version.
type StoreAnswer int

const (
	// StoreHas: the version can be loaded.
	StoreHas StoreAnswer = iota
	// StoreMissing: there is no such version.
	StoreMissing
	// StoreBusy: the store refused or did not answer.
	StoreBusy
)
