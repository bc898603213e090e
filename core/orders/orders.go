// Package orders decides which targets are told to load which version of a
// model, and when. It is pure: observations step in, orders come out. One
// daemon at a time decides for a model; who that is, is folded from the orders
// stream (see Claims).
package orders

// Options bound a Planner. Durations are in milliseconds.
type Options struct {
	// LoadingShare is the share of a group's targets that may load at once; one
	// target may always.
	LoadingShare float64
	// ServingShare is the share that must go on serving while others load; in a
	// group of two or more at least one must.
	ServingShare float64
	// SpacingMs is the least time between two orders: each load reads the
	// weights from a store with a rate limit.
	SpacingMs int64
	// LoadTimeoutMs is how long a target may take to show what it was ordered.
	LoadTimeoutMs int64
	// BackoffMs and MaxBackoffMs bound the wait after a failure; it doubles.
	BackoffMs    int64
	MaxBackoffMs int64
}

// DefaultOptions returns the bounds in use.
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

// State is a target's condition as last observed.
type State int

const (
	// Unknown: it did not answer, or has not been asked.
	Unknown State = iota
	// Serving: it answered a request for the model.
	Serving
	// Loading: it answered that it loads.
	Loading
)

// Observation is what is known of one target.
type Observation struct {
	// Address is IP:PORT.
	Address string
	// Leaving targets get no orders.
	Leaving bool
	// Reported tells that Model and Version come from a load report of now.
	Reported bool
	Model    string
	Version  string
	State    State
}

// Goal is what the configuration wants of one group.
type Goal struct {
	Model   string
	Version string
	Targets []Observation
}

// Changing tells whether a target that could be ordered has something else
// loaded than what is wanted.
func (g *Goal) Changing() bool {
	for i := range g.Targets {
		o := &g.Targets[i]
		if o.Reported && !o.Leaving && (o.Model != g.Model || o.Version != g.Version) {
			return true
		}
	}
	return false
}

// Order is one decision.
type Order struct {
	Address string
	// Cause says why, for the log.
	Cause string
}

// Plan is the result of a step.
type Plan struct {
	// Orders are to be sent now, in this order.
	Orders []Order
	// Pending counts the targets that do not serve the wanted version yet.
	Pending int
	// Loading counts those that load.
	Loading int
	// Withheld says why pending targets get no order now, "" if none waits.
	Withheld string
}

// Outcome tells how an order ended.
type Outcome int

const (
	// Accepted: the target said yes.
	Accepted Outcome = iota
	// Lost: the target may or may not have received it. It counts as loading,
	// or a group whose answers get lost could be loading as a whole.
	Lost
	// Refused: the target certainly does not load.
	Refused
)

// StoreAnswer is the weight store's word about the wanted version.
type StoreAnswer int

const (
	// StoreHas: the version can be loaded.
	StoreHas StoreAnswer = iota
	// StoreMissing: there is no such version.
	StoreMissing
	// StoreBusy: the store refused or did not answer.
	StoreBusy
)
