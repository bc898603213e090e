// Package config holds the operators' configuration as typed values: profiles, target
// groups, models and limits. Parsing is a pure function of the text; the daemons agree on
// the version of the text through the platform's log (core/configlog).
package config

import "time"

// Urgency selects the path that a profile's work takes.
type Urgency string

const (
	// Online work goes directly from the entry host to a target.
	Online Urgency = "online"
	// Batch work is queued until the batch dispatchers of the targets admit it.
	Batch Urgency = "batch"
)

// Kind is the protocol of a target group.
type Kind string

const (
	// KindEngine targets are model engines.
	KindEngine Kind = "engine"
	// KindService targets are plain HTTP services.
	KindService Kind = "service"
)

// Profile is a named class of work.
type Profile struct {
	// Name is the section's name.
	Name string
	// Urgency selects the online or the batch path.
	Urgency Urgency
	// Repeatable reports whether a request may be executed more than once.
	Repeatable bool
	// Deadline bounds the time of one online request or of one attempt of a batch item.
	Deadline time.Duration
	// Due is the time from acceptance until a job is due; batch only.
	Due time.Duration
	// Retries is the maximum number of attempts of a request after the first.
	Retries int
	// MaxInFlightPerCaller bounds a caller's concurrent requests fleet-wide; 0 is unbounded.
	MaxInFlightPerCaller int
	// RatePerCaller bounds a caller's requests per second fleet-wide; 0 is unbounded.
	RatePerCaller float64
	// BatchWeight, in [0,1], trades online tail latency against batch throughput for batch
	// profiles: 0 protects the tail as far as possible, 1 favours throughput.
	BatchWeight float64
	// SLO holds the profile's objectives.
	SLO SLO
}

// SLO is the set of objectives of a profile; a zero duration sets no objective.
type SLO struct {
	// Availability is the share of requests that must succeed, in (0,1); 0 sets no objective.
	Availability float64
	// FirstToken bounds the time to the first token (or to the whole response).
	FirstToken time.Duration
	// BetweenTokens bounds the time between tokens.
	BetweenTokens time.Duration
	// LatencyShare is the share of requests that must meet FirstToken and BetweenTokens,
	// in (0,1).
	LatencyShare float64
	// DueShare is the share of items that must finish by their due time, in (0,1).
	DueShare float64
}

// TargetGroup is a set of interchangeable targets.
type TargetGroup struct {
	// Name is the section's name; for a service it is the {service} path part.
	Name string
	// Kind is the protocol of the targets.
	Kind Kind
	// Model is the model the engines serve; empty for services.
	Model string
	// Targets lists the addresses with their availability zones.
	Targets []Target
	// ChecksOrders reports whether the targets refuse orders with an old fencing number.
	ChecksOrders bool
	// Slots is the number of requests that a target runs at once without queueing.
	Slots int
	// Batch configures the admission of batch work to the targets.
	Batch BatchAdmission
}

// BatchPolicy names a policy for admitting batch work to targets.
type BatchPolicy string

const (
	// PolicyPreempt queues batch work in front of the targets and preempts running batch
	// work for online requests at once.
	PolicyPreempt BatchPolicy = "give-way"
	// PolicyNaive admits batch work like online work, for comparison.
	PolicyNaive BatchPolicy = "naive"
	// PolicyReserve keeps a fixed number of slots of each target free of batch work, for
	// comparison.
	PolicyReserve BatchPolicy = "reserve"
)

// BatchAdmission configures how batch work is admitted to a group's targets.
type BatchAdmission struct {
	// Policy selects the policy; each field below is used by one policy only.
	Policy BatchPolicy
	// Fill is the number of streams, online and batch together, up to which give-way
	// admits batch work to a target that also runs online work, independent of the weight.
	Fill int
	// Headroom is the number of slots that give-way leaves free on an idle target.
	Headroom int
	// CoolDown is how long give-way waits after the last online request.
	CoolDown time.Duration
	// Reserved is the number of slots that reserve keeps free.
	Reserved int
}

// Target is one back end, written ADDRESS@ZONE in the configuration.
type Target struct {
	// Address is IP:PORT.
	Address string
	// Zone is its availability zone.
	Zone string
}

// Model is a [model NAME] section: the version of a model to load.
type Model struct {
	// Name is the section's name.
	Name string
	// Version is the weight version to load.
	Version string
}

// Limits bounds what the daemons accept; see DefaultLimits for the values.
type Limits struct {
	// BodyBytes bounds an online request's body, in bytes.
	BodyBytes int64
	// JobBytes bounds a job's body, in bytes.
	JobBytes int64
	// LineBytes bounds one line of a job's body, in bytes.
	LineBytes int
	// ItemsPerJob bounds the number of items of a job.
	ItemsPerJob int
	// InFlightPerCaller bounds a caller's requests in flight at one daemon.
	InFlightPerCaller int
	// InFlight bounds all requests in flight at one daemon.
	InFlight int
	// RetryShare is the share of requests that may be retries, per target group.
	RetryShare float64
	// KeptAnswers is the retention time of the response to a request with a key.
	KeptAnswers time.Duration
	// KeptResults is the retention time of a job's results after its end.
	KeptResults time.Duration
	// CrashLimit is the number of targets that a request may crash before it is quarantined.
	CrashLimit int
}

// Config is one accepted version of the operators' configuration.
type Config struct {
	// Version rises by one with each accepted change; 0 means that there is none yet.
	Version uint64
	// Text is the INI source.
	Text string
	// Profiles, Groups and Models are keyed by name.
	Profiles map[string]*Profile
	Groups   map[string]*TargetGroup
	Models   map[string]*Model
	// Limits holds the bounds in force.
	Limits Limits
}

// GroupForModel returns the engine group that serves model, or nil if there is none.
func (c *Config) GroupForModel(model string) *TargetGroup {
	for _, g := range c.Groups {
		if g.Kind == KindEngine && g.Model == model {
			return g
		}
	}
	return nil
}
