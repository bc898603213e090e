// Package api is the HTTP server of a daemon for callers and operators, based on echo.
// It parses requests, enforces limits and formats responses; all decisions are made
// by the Backend.
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

// Call holds what all callers' requests have in common.
type Call struct {
	// RequestID identifies the received request in logs.
	RequestID string
	// Caller is the client account, "" if anonymous.
	Caller string
	// Profile is the resolved profile.
	Profile *config.Profile
	// Key is the Idempotency-Key, "" if none.
	Key string
	// Deadline is when the caller stops waiting.
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

// ChatResult is the complete answer of a chat completion.
type ChatResult struct {
	Text   string
	Finish target.Finish
	// Replayed is true if the answer was stored by an earlier run of the key.
	Replayed bool
}

// Answer returns the result in the form that is encoded and stored.
func (r ChatResult) Answer() chat.Answer { return chat.Answer{Text: r.Text, Finish: r.Finish} }

// ServiceCall is one call to a plain service.
type ServiceCall struct {
	Call
	Service string
	Request target.ServiceRequest
}

// JobUpload is a job that is being uploaded. The backend pulls its items one by one,
// so that a large job is never held in memory as a whole.
type JobUpload struct {
	Call
	Job string
	// Next returns the next item, or the error io.EOF at the end, or a
	// *outcome.Refusal.
	Next func() (ledger.Item, error)
	// Sum returns the fingerprint of the profile and all items. It is valid after
	// io.EOF.
	Sum func() string
}

// ConfigInfo is the configuration in force on this daemon.
type ConfigInfo struct {
	// Version is 0 before the first configuration.
	Version uint64 `json:"version"`
	Text    string `json:"text"`
	// Applied is the version in force on each host that responded, by host name.
	Applied map[string]uint64 `json:"applied"`
}

// ConfigChange is one accepted change in the history.
type ConfigChange struct {
	Version uint64 `json:"version"`
	Author  string `json:"author"`
	// AtMs is the publisher's time, Unix milliseconds.
	AtMs int64 `json:"at_ms"`
	// ID identifies the change; it is unique in the history.
	ID string `json:"id"`
}

// ConfigConflict is the error of a change whose base version is no longer current.
// It states who published the conflicting version.
type ConfigConflict struct {
	Winner  string `json:"winner"`
	Version uint64 `json:"version"`
}

// Error implements error.
func (c *ConfigConflict) Error() string { return "the configuration changed meanwhile" }

// Backend is the daemon's implementation of the API's operations. Methods return a
// *outcome.Refusal for every error that is to be reported to the caller.
type Backend interface {
	// Config returns the configuration in force. Its Version is 0 if there is none yet.
	Config() *config.Config
	// Ready returns nil if the daemon is ready to serve callers.
	Ready() error
	// Chat runs a chat completion. For a streamed call it passes each token to sink
	// before it returns; otherwise sink is nil.
	Chat(ctx context.Context, call ChatCall, sink func(target.Token) error) (ChatResult, error)
	// Service runs a call to a plain service.
	Service(ctx context.Context, call ServiceCall) (target.ServiceResponse, error)
	// Request returns the state of a keyed request (CALLER/KEY).
	Request(ctx context.Context, key string) (ledger.KeptRequest, error)
	// PutJob uploads a job. created is false if the same job already existed.
	PutJob(ctx context.Context, up JobUpload) (status ledger.JobStatus, created bool, err error)
	// Job returns the status of a job by its scoped name CALLER/JOB.
	Job(ctx context.Context, job string) (ledger.JobStatus, error)
	// Item returns one item of a job by the job's scoped name, whether or not the item
	// has ended.
	Item(ctx context.Context, job, customID string) (ledger.ItemResult, error)
	// CancelJob cancels a job by its scoped name and returns once no new item will
	// start anywhere.
	CancelJob(ctx context.Context, job string) (ledger.JobStatus, error)
	// Results returns one page of the ended items.
	Results(ctx context.Context, req ledger.ResultsRequest) (ledger.ResultsReply, error)

	// ConfigInfo returns the text, its version and what each host has applied.
	ConfigInfo(ctx context.Context) (ConfigInfo, error)
	// PublishConfig publishes a configuration that was derived from version base. It
	// returns *ConfigConflict if another change came first. After the change is
	// accepted, it waits a limited time for all hosts to apply it.
	PublishConfig(ctx context.Context, text string, base uint64, author string) (ConfigInfo, error)
	// ConfigHistory returns the accepted changes, newest first.
	ConfigHistory(ctx context.Context) ([]ConfigChange, error)
	// Status returns the status for operators, JSON-encodable.
	Status(ctx context.Context) (any, error)
	// Burn returns the service-level burn report, JSON-encodable.
	Burn(ctx context.Context) (any, error)
	// Drain starts a graceful stop.
	Drain(ctx context.Context) error
	// WriteMetrics writes the metrics in the Prometheus text format.
	WriteMetrics(w io.Writer)
	// SetLogLevel sets the log level: debug, info, warn or error.
	SetLogLevel(level string) error
}
