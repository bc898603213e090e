// Package api is the HTTP face of a daemon: callers and operators, by echo.
// It parses, bounds and shapes; what is decided is decided behind Backend.
package api

import (
	"context"
	"io"
	"time"

	"tarragonhollow.example/tarragonhollow/chat"
	"tarragonhollow.example/tarragonhollow/core/config"
	"tarragonhollow.example/tarragonhollow/core/ledger"
	"tarragonhollow.example/tarragonhollow/target"
)

// Call is what every caller request carries.
type Call struct {
	// RequestID names the arrival in logs.
	RequestID string
	// Caller is the account; "" is anonymous.
	Caller string
	// Profile is the resolved profile.
	Profile *config.Profile
	// Key is the Idempotency-Key, "" if none.
	Key string
	// Deadline is when the caller no longer waits.
	Deadline time.Time
	// Fingerprint is the hash of method, path and body.
	Fingerprint string
}

// ChatCall is one chat completion.
type ChatCall struct {
	Call
	Stream  bool
	Request target.GenerateRequest
}

// ChatResult is the whole answer of a chat completion.
type ChatResult struct {
	Text   string
	Finish target.Finish
	// Replayed tells that the answer was kept from an earlier run of the key.
	Replayed bool
}

// Answer returns the result in the form that is encoded and kept.
func (r ChatResult) Answer() chat.Answer { return chat.Answer{Text: r.Text, Finish: r.Finish} }

// ServiceCall is one call of a plain service.
type ServiceCall struct {
	Call
	Service string
	Request target.ServiceRequest
}

// JobUpload is a job on its way in. The backend pulls items one by one, so
// that a large job is never whole in memory.
type JobUpload struct {
	Call
	Job string
	// Next returns the next item, io.EOF at the end, or a *outcome.Refusal.
	Next func() (ledger.Item, error)
	// Sum returns the fingerprint over all items, valid after io.EOF.
	Sum func() string
}

// ConfigInfo is the configuration in force here.
type ConfigInfo struct {
	// Version is 0 before the first configuration.
	Version uint64 `json:"version"`
	Text    string `json:"text"`
	// Applied is the version in force on each host that answers, by its name.
	Applied map[string]uint64 `json:"applied"`
}

// ConfigChange is one accepted change in the history.
type ConfigChange struct {
	Version uint64 `json:"version"`
	Author  string `json:"author"`
	// AtMs is the publisher's time, Unix milliseconds.
	AtMs int64 `json:"at_ms"`
	// ID names the change, unique in the history.
	ID string `json:"id"`
}

// ConfigConflict tells who won the race for a version.
type ConfigConflict struct {
	Winner  string `json:"winner"`
	Version uint64 `json:"version"`
}

// Error implements error.
func (c *ConfigConflict) Error() string { return "the configuration changed meanwhile" }

// Backend is what the daemon does for the API. Methods return *outcome.Refusal
// for everything a caller should be told.
type Backend interface {
	// Config returns the configuration in force; Version 0 while there is none.
	Config() *config.Config
	// Ready returns nil when the daemon serves callers.
	Ready() error
	// Chat runs a chat completion. For a streamed call, sink gets each token
	// before the method returns; sink is nil otherwise.
	Chat(ctx context.Context, call ChatCall, sink func(target.Token) error) (ChatResult, error)
	// Service runs a call of a plain service.
	Service(ctx context.Context, call ServiceCall) (target.ServiceResponse, error)
	// Request returns the state of a keyed request (CALLER/KEY).
	Request(ctx context.Context, key string) (ledger.KeptRequest, error)
	// PutJob uploads a job; created is false when the same job was there.
	PutJob(ctx context.Context, up JobUpload) (status ledger.JobStatus, created bool, err error)
	// Job returns the status of a job by its scoped name CALLER/JOB.
	Job(ctx context.Context, job string) (ledger.JobStatus, error)
	// Item returns one item of such a job, ended or not.
	Item(ctx context.Context, job, customID string) (ledger.ItemResult, error)
	// CancelJob cancels such a job and returns once no new item will start anywhere.
	CancelJob(ctx context.Context, job string) (ledger.JobStatus, error)
	// Results pages through the ended items.
	Results(ctx context.Context, req ledger.ResultsRequest) (ledger.ResultsReply, error)

	// ConfigInfo returns the text, its version and what each host has applied.
	ConfigInfo(ctx context.Context) (ConfigInfo, error)
	// PublishConfig returns after the change is accepted or lost
	// (*ConfigConflict). It waits a while for all hosts to apply it.
	PublishConfig(ctx context.Context, text string, base uint64, author string) (ConfigInfo, error)
	// ConfigHistory returns the accepted changes, newest first.
	ConfigHistory(ctx context.Context) ([]ConfigChange, error)
	// Status returns the operators' view, JSON-encodable.
	Status(ctx context.Context) (any, error)
	// Burn returns the service-level burn report, JSON-encodable.
	Burn(ctx context.Context) (any, error)
	// Drain starts a graceful stop.
	Drain(ctx context.Context) error
	// WriteMetrics writes the metrics in the Prometheus text format.
	WriteMetrics(w io.Writer)
	// SetLogLevel changes the level of the log: debug, info, warn or error.
	SetLogLevel(level string) error
}
