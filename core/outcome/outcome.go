// Package outcome defines how every layer reports to a caller how a request ended: its
// run state and its refusal. It contains only data.
package outcome

import "fmt"

// RunState is what a caller may assume about a request that did not succeed.
type RunState string

const (
	// NotRun is used only where no target received the request.
	NotRun RunState = "not_run"
	// MayHaveRun is used where a target may have received the request and the outcome
	// cannot be known now.
	MayHaveRun RunState = "may_have_run"
	// Ran is used where a target is known to have executed the request.
	Ran RunState = "ran"
)

// Code is the machine-readable reason of a refusal. It determines the HTTP status.
type Code string

const (
	// BadRequest: the caller's input cannot be understood (400).
	BadRequest Code = "bad_request"
	// KeyRequired: a non-repeatable profile was used without a key (400).
	KeyRequired Code = "idempotency_key_required"
	// UnknownProfile: the named profile is not in the configuration (400).
	UnknownProfile Code = "unknown_profile"
	// UnknownTarget: no target group serves the named model or service (404).
	UnknownTarget Code = "unknown_target"
	// NotFound: no such key, job or item (404).
	NotFound Code = "not_found"
	// Conflict: the name is in use for other content (409).
	Conflict Code = "conflict"
	// VersionConflict: another configuration change was made concurrently (409).
	VersionConflict Code = "version_conflict"
	// TooLarge: a stated size limit was exceeded (413).
	TooLarge Code = "too_large"
	// Unprocessable: the target rejected the content (422).
	Unprocessable Code = "unprocessable"
	// Quarantined: the request crashed too many targets and is refused (422).
	Quarantined Code = "condemned"
	// CallerLimit: the caller has too many requests in flight or too high a rate (429).
	CallerLimit Code = "caller_limit"
	// Overloaded: admission refused because the deadline cannot be met (503).
	Overloaded Code = "overloaded"
	// LogUnavailable: the platform's log is unavailable, so nothing can be guaranteed
	// (503).
	LogUnavailable Code = "log_unavailable"
	// NoOwner: the shard has no reachable owner at the moment (503).
	NoOwner Code = "no_owner"
	// NoTarget: no healthy target is left (503).
	NoTarget Code = "no_target"
	// Draining: this daemon is stopping (503).
	Draining Code = "draining"
	// NotReady: this daemon has no configuration yet (503).
	NotReady Code = "not_ready"
	// DeadlineExceeded: the request's time ran out (504).
	DeadlineExceeded Code = "deadline_exceeded"
	// TargetFailed: targets failed and no retry was left (502).
	TargetFailed Code = "target_failed"
	// OutcomeUnknown: a non-repeatable request's outcome is not known (502).
	OutcomeUnknown Code = "outcome_unknown"
	// Cancelled: the caller or operator cancelled the work (409).
	Cancelled Code = "cancelled"
	// Unauthorized: the operators' token is missing or wrong (401).
	Unauthorized Code = "unauthorized"
	// Internal: a fault of this program (500).
	Internal Code = "internal"
)

// Refusal is the typed error that crosses every layer and the net/rpc
// boundary: all its fields are exported and gob-encodable.
type Refusal struct {
	// Code is the reason.
	Code Code
	// Message explains it to a person, without a trailing period.
	Message string
	// Run is what the caller may assume about its execution by targets.
	Run RunState
	// RetryAfterMs is how long the caller should wait before it retries, in milliseconds;
	// 0 gives no advice.
	RetryAfterMs int64
}

// Error implements error.
func (r *Refusal) Error() string {
	return fmt.Sprintf("%s: %s (%s)", r.Code, r.Message, r.Run)
}

// Refuse returns a refusal for work that no target received.
func Refuse(code Code, format string, args ...any) *Refusal {
	return &Refusal{Code: code, Message: fmt.Sprintf(format, args...), Run: NotRun}
}

// After returns a copy of r that tells the caller to retry after ms milliseconds.
func (r *Refusal) After(ms int64) *Refusal {
	c := *r
	c.RetryAfterMs = ms
	return &c
}

// WithRun returns a copy of r with another run state.
func (r *Refusal) WithRun(run RunState) *Refusal {
	c := *r
	c.Run = run
	return &c
}
