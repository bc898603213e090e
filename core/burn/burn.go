// Package burn measures service-level burn: how fast each profile uses up the
// errors that its objectives allow. Events are counted in buckets of time, the
// buckets of all hosts merge in any order and any number of times, and a report
// is a pure function of what was merged.
package burn

import (
	"strconv"

	"tarragonhollow.example/tarragonhollow/core/config"
	"tarragonhollow.example/tarragonhollow/core/outcome"
)

// Outcome says how an event counts towards availability.
type Outcome int

const (
	// NotCounted events are the caller's doing and count towards no objective.
	NotCounted Outcome = iota
	// OK events succeeded.
	OK
	// Failed events did not, for a reason that is not the caller's.
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
	// FirstTokenMs is the time to the first token or the whole answer, and
	// BetweenTokensMs the longest time between two tokens, both rounded up; 0
	// is "not measured".
	FirstTokenMs    int64
	BetweenTokensMs int64
	// DueMissed tells that a batch item ended after its due time.
	DueMissed bool
}

// callerCaused are the refusals that no fleet could have avoided. Condemned is
// not among them: its first runs crashed targets, which the fleet let happen.
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

// Classify returns how a request that ended with r counts; nil is success.
func Classify(r *outcome.Refusal) (Outcome, string) {
	if r == nil {
		return OK, ""
	}
	if callerCaused[r.Code] {
		return NotCounted, ""
	}
	return Failed, string(r.Code)
}

// ClassifyStatus returns how an answer that a plain service gave counts.
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
	// Availability: the share of requests that succeed.
	Availability Objective = iota
	// FirstToken: the share of successes whose first token came within the bound.
	FirstToken
	// BetweenTokens: the share of successes without a longer gap than the bound.
	BetweenTokens
	// DueTime: the share of batch items that end well by their due time.
	DueTime
	// objectives is how many there are.
	objectives
)

// objectiveNames are used in reports.
var objectiveNames = [objectives]string{"availability", "first_token", "between_tokens", "due_time"}

// String returns the name used in reports.
func (o Objective) String() string { return objectiveNames[o] }

// lateReasons stand for the reason where the objective is itself the reason.
var lateReasons = [objectives]string{"", "first_token_late", "between_tokens_late", "due_missed"}

// share returns the share that the objective asks for, 0 if it is not set.
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

// judge returns whether the event counts towards the objective, and as bad.
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
