// Package config holds the operators' configuration as typed values: profiles,
// target groups, models and limits. Parsing is a pure function of the text;
// the versions of that text are agreed on the platform's log
// (core/configlog).
package config

import "time"

// Urgency tells which path a profile's work takes.
type Urgency string

const (
	// Online work goes straight from the entry host to a target.
	Online Urgency = "online"
	// Batch work is held back in front of the targets by their stewards.
	Batch Urgency = "batch"
)

// Kind tells how a target group is spoken to.
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
	// Repeatable says whether a request may be executed more than once.
	Repeatable bool
	// Deadline bounds one online request or one batch item's attempt.
	Deadline time.Duration
	// Due is the time from acceptance until a job is due; batch only.
	Due time.Duration
	// Retries bounds the attempts after the first of one request.
	Retries int
	// MaxInFlightPerCaller bounds a caller's concurrent requests fleet-wide; 0 is unbounded.
	MaxInFlightPerCaller int
	// RatePerCaller bounds a caller's requests a second fleet-wide; 0 is unbounded.
	RatePerCaller float64
	// BatchWeight in [0,1] trades the online tail against batch throughput for
	// batch profiles: 0 protects the tail as far as possible, 1 favours
	// throughput.
	BatchWeight float64
	// SLO holds the profile's objectives.
	SLO SLO
}

// SLO is the set of objectives of a profile; a zero duration sets none.
type SLO struct {
	// Availability is the share of requests that must succeed, in (0,1); 0 sets none.
	Availability float64
	// FirstToken bounds the time to the first token (or whole answer).
	FirstToken time.Duration
	// BetweenTokens bounds the time between tokens.
	BetweenTokens time.Duration
	// LatencyShare is the share of requests that must meet the two bounds, in (0,1).
	LatencyShare float64
	// DueShare is the share of items that must finish by their due time, in (0,1).
	DueShare float64
}

// TargetGroup is a set of interchangeable targets.
type TargetGroup struct {
	// Name is the section's name; for a service it is the {service} path part.
	Name string
	// Kind tells how the targets are spoken to.
	Kind Kind
	// Model is the model the engines serve; empty for services.
	Model string
	// Targets lists the addresses with their availability zones.
	Targets []Target
	// ChecksOrders says whether the targets refuse an old fencing number.
	ChecksOrders bool
	// Slots is how many requests a target runs at once without queueing.
	Slots int
	// Batch tells how batch work is admitted to the targets.
	Batch BatchAdmission
}

// BatchPolicy names a way of admitting batch work to targets.
type BatchPolicy string

const (
	// PolicyGiveWay holds batch back in front of the targets and gives way to
	// online requests at once.
	PolicyGiveWay BatchPolicy = "give-way"
	// PolicyNaive admits batch like online work, for comparison.
	PolicyNaive BatchPolicy = "naive"
	// PolicyReserve keeps a fixed part of each target free of batch, for
	// comparison.
	PolicyReserve BatchPolicy = "reserve"
)

// BatchAdmission is how a group's targets take batch work.
type BatchAdmission struct {
	// Policy selects the rule; the fields below belong to one policy each.
	Policy BatchPolicy
	// Fill is up to how many streams, online and batch together, give-way fills
	// a target beside online work whatever the weight.
	Fill int
	// Headroom is how many slots give-way leaves free on an idle target.
	Headroom int
	// CoolDown is how long give-way waits after the last online request.
	CoolDown time.Duration
	// Reserved is how many slots reserve keeps free.
	Reserved int
}

// Target is one back end: ADDRESS@ZONE in the configuration.
type Target struct {
	// Address is IP:PORT.
	Address string
	// Zone is its availability zone.
	Zone string
}

// Model is a [model NAME] section: what operators want loaded.
type Model struct {
	// Name is the section's name.
	Name string
	// Version is the weight version to be loaded.
	Version string
}

// Limits bounds what the daemons accept; see Default for the values.
type Limits struct {
	// BodyBytes bounds an online request's body.
	BodyBytes int64
	// JobBytes bounds a job's body.
	JobBytes int64
	// LineBytes bounds a job line.
	LineBytes int
	// ItemsPerJob bounds a job's items.
	ItemsPerJob int
	// InFlightPerCaller bounds a caller's requests in flight at one daemon.
	InFlightPerCaller int
	// InFlight bounds all requests in flight at one daemon.
	InFlight int
	// RetryShare is the share of requests that may be retries, per target group.
	RetryShare float64
	// KeptAnswers is how long a keyed request's answer stays readable.
	KeptAnswers time.Duration
	// KeptResults is how long a job's results stay readable after its end.
	KeptResults time.Duration
	// CrashLimit is how many targets a request may crash before it is condemned.
	CrashLimit int
}

// Config is one accepted version of the operators' configuration.
type Config struct {
	// Version rises by one with each accepted change; 0 is "none yet".
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

// GroupForModel returns the engine group that serves model, or nil.
func (c *Config) GroupForModel(model string) *TargetGroup {
	for _, g := range c.Groups {
		if g.Kind == KindEngine && g.Model == model {
			return g
		}
	}
	return nil
}
