// Package burn measures the burn rates of the service-level objectives: how fast each
// profile uses up its error budget. Events are counted in time buckets. The buckets of all
// hosts can be merged in any order and any number of times, and a report is a pure function
// of the merged buckets.
package burn

import (
	"strconv"

	"tarragonhollow.example/tarragonhollow/core/config"
	"tarragonhollow.example/tarragonhollow/core/outcome"
)

// Outcome is how an event counts towards availability.
type Outcome int

const (
	// NotCounted events are caused by the caller and count towards no objective.
	NotCounted Outcome = iota
	// OK events succeeded.
	OK
	// Failed events did not succeed, for a reason that the caller did not cause.
	Failed
)

// Event is the end of one request or batch item.
type Event struct {
	// AtMs is when it ended, Unix milliseconds.
	AtMs int64
	// Profile and Group name the profile and the target group.
	Profile string
	Group   string
	// Outcome and, for a failed event, Reason come from Classify or ClassifyStatus.
	Outcome Outcome
	Reason  string
	// FirstTokenMs is the time to the first token or to the whole response, and
	// BetweenTokensMs the longest time between two tokens, both rounded up; 0 means not
	// measured.
	FirstTokenMs    int64
	BetweenTokensMs int64
	// DueMissed reports whether a batch item ended after its due time.
	DueMissed bool
}

// callerCaused holds the codes of refusals that the fleet could not have avoided.
// outcome.Quarantined is not among them: the request's first runs crashed targets, which
// counts as a failure of the fleet.
var callerCaused = map[outcome.Code]bool{
	outcome.BadRequest:      true,
	outcome.KeyRequired:     true,
	outcome.UnknownProfile:  true,
	outcome.UnknownTarget:   true,
	outcome.NotFound:        true,
	outcome.Conflict:        true,
	outcome.VersionConflict: true,
	outcome.TooLarge:        true,
	outcome.Unprocessable:   true,
	outcome.CallerLimit:     true,
	outcome.Cancelled:       true,
	outcome.Unauthorized:    true,
}

// Classify returns the outcome of a request that ended with r, where nil is success, and the
// reason if it failed.
func Classify(r *outcome.Refusal) (Outcome, string) {
	if r == nil {
		return OK, ""
	}
	if callerCaused[r.Code] {
		return NotCounted, ""
	}
	return Failed, string(r.Code)
}

// ClassifyStatus returns the outcome of a response with the HTTP status from a plain
// service, and the reason if it failed.
func ClassifyStatus(status int) (Outcome, string) {
	const callerError, serviceError = 400, 500
	switch {
	case status >= serviceError:
		return Failed, "status_" + strconv.Itoa(status)
	case status >= callerError:
		return NotCounted, ""
	default:
		return OK, ""
	}
}

// Objective names one objective of a profile.
type Objective int

const (
	// Availability is the share of requests that succeed.
	Availability Objective = iota
	// FirstToken is the share of successes whose first token arrived within the bound.
	FirstToken
	// BetweenTokens is the share of successes without a gap between tokens above the bound.
	BetweenTokens
	// DueTime is the share of batch items that succeed by their due time.
	DueTime
	// objectives is the number of objectives.
	objectives
)

// objectiveNames holds the names used in reports.
var objectiveNames = [objectives]string{"availability", "first_token", "between_tokens", "due_time"}

// String returns the name used in reports.
func (o Objective) String() string { return objectiveNames[o] }

// lateReasons holds the reasons of the objectives whose bad events have no reason of their
// own.
var lateReasons = [objectives]string{"", "first_token_late", "between_tokens_late", "due_missed"}

// share returns the required share of good events, 0 if the objective is not set.
func share(o Objective, slo config.SLO) float64 {
	switch {
	case o == Availability:
		return slo.Availability
	case o == FirstToken && slo.FirstToken > 0:
		return slo.LatencyShare
	case o == BetweenTokens && slo.BetweenTokens > 0:
		return slo.LatencyShare
	case o == DueTime:
		return slo.DueShare
	default:
		return 0
	}
}

// judge reports whether the event counts towards the objective, and if so, whether it is bad.
func judge(o Objective, e Event, p *config.Profile) (counts, bad bool) {
	if e.Outcome == NotCounted {
		return false, false
	}
	switch o {
	case Availability:
		return true, e.Outcome == Failed
	case FirstToken:
		measured := e.Outcome == OK && e.FirstTokenMs > 0 && p.SLO.FirstToken > 0
		return measured, e.FirstTokenMs > p.SLO.FirstToken.Milliseconds()
	case BetweenTokens:
		measured := e.Outcome == OK && e.BetweenTokensMs > 0 && p.SLO.BetweenTokens > 0
		return measured, e.BetweenTokensMs > p.SLO.BetweenTokens.Milliseconds()
	default:
		return p.Urgency == config.Batch, e.DueMissed || e.Outcome == Failed
	}
}
