// Package target defines the interfaces to targets (model engines and plain
// services) and their HTTP clients.
package target

import (
	"context"
	"encoding/json"
	"net/http"
)

// Message is one message of a chat prompt.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// GenerateRequest is a request to an engine for a completion.
type GenerateRequest struct {
	// StreamID identifies the stream at the engine, for cancelling and resuming it.
	StreamID string `json:"stream_id"`
	// Model is the model's name.
	Model string `json:"model"`
	// Messages is the prompt.
	Messages []Message `json:"messages"`
	// MaxTokens is the maximum length of the answer; the engine may stop earlier.
	MaxTokens int `json:"max_tokens"`
	// ResumeTokens are the tokens that an earlier attempt at this or another
	// engine delivered. Generation continues after them; they are not sent again.
	ResumeTokens []string `json:"resume_tokens,omitempty"`
	// Extra holds the caller's other body fields, passed on unchanged.
	Extra map[string]json.RawMessage `json:"extra,omitempty"`
}

// Token is one generated token.
type Token struct {
	// Index is the token's position in the whole answer, from 0, including the
	// resumed tokens.
	Index int `json:"index"`
	// Text is the token's text.
	Text string `json:"text"`
}

// Usage holds the token counts of one attempt.
type Usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CachedTokens     int `json:"cached_tokens"`
	CompletionTokens int `json:"completion_tokens"`
}

// Finish is the end of a generation.
type Finish struct {
	// Reason is "stop" or "length".
	Reason string `json:"reason"`
	Usage  Usage  `json:"usage"`
}

// LoadReport is an engine's report of its own load. It lags behind the actual load.
type LoadReport struct {
	// AtMs is when the figures were measured, in Unix milliseconds by the engine's
	// clock.
	AtMs int64 `json:"at_ms"`
	// Running and Waiting count requests.
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	// Slots is the batch size limit.
	Slots int `json:"slots"`
	// Model and Version identify the loaded model.
	Model   string `json:"model"`
	Version string `json:"version"`
}

// CacheEvent is a change of the engine's prefix cache. Events arrive late and some
// are missing, so they are only hints.
type CacheEvent struct {
	Seq int64 `json:"seq"`
	// Prefix is the hex hash of the cached prompt prefix (see PrefixHashes).
	Prefix string `json:"prefix"`
	// Stored is true when the prefix was stored and false when it was evicted.
	Stored bool `json:"stored"`
}

// Order is a command to an engine to change what it serves.
type Order struct {
	// Fence is the fencing number. Engines that check it refuse an order whose
	// number is below the highest one seen.
	Fence uint64 `json:"fence"`
	// Action is "load_model", "load_adapter" or "set_role".
	Action  string `json:"action"`
	Model   string `json:"model,omitempty"`
	Version string `json:"version,omitempty"`
	Role    string `json:"role,omitempty"`
}

// Engine is a client of model engines, which are addressed by IP:PORT. Every method
// returns *Failure errors, which state whether the target may have received the
// request.
type Engine interface {
	// Generate streams tokens to sink in order; an error from sink cancels the
	// stream and is returned.
	Generate(ctx context.Context, address string, req GenerateRequest, sink func(Token) error) (Finish, error)
	// Cancel stops a stream. Cancelling an unknown stream is not an error.
	Cancel(ctx context.Context, address, streamID string) error
	// Load returns the engine's load report.
	Load(ctx context.Context, address string) (LoadReport, error)
	// CacheEvents returns the events whose sequence number is above after.
	CacheEvents(ctx context.Context, address string, after int64) ([]CacheEvent, error)
	// Order sends an order to the engine.
	Order(ctx context.Context, address string, o Order) error
	// Health returns nil if the engine answers the health check.
	Health(ctx context.Context, address string) error
}

// ServiceRequest is one call to a plain service.
type ServiceRequest struct {
	Method string
	// Path begins with a slash and includes the raw query.
	Path   string
	Header http.Header
	Body   []byte
}

// ServiceResponse is the service's complete answer.
type ServiceResponse struct {
	Status int
	Header http.Header
	Body   []byte
}

// Service is a client of plain services.
type Service interface {
	// Call sends the request once to the target at address (IP:PORT). Its errors
	// are *Failure. For a status of 400 or above it returns both an error and the
	// complete response.
	Call(ctx context.Context, address string, req ServiceRequest) (ServiceResponse, error)
}

// Failure is the error of one attempt to send a request to a target.
type Failure struct {
	// Reached is false only if the target certainly did not run the request: no
	// connection was made, or the target stated that it did not run it.
	Reached bool
	// Crashed is true if the connection broke while the target ran the request,
	// as it does when the target's process dies.
	Crashed bool
	// Rejected is true if the target refused the content (4xx): retrying is useless.
	Rejected bool
	// Busy is true if the target refused the request without running it, because it
	// is overloaded or shutting down (429, 503) or for another reason that it stated
	// with HeaderRun.
	Busy bool
	// Status is the HTTP status, 0 if no response was received.
	Status int
	// Address is the target's address, for logs; it is not sent to callers.
	Address string
	// Detail is the text for logs and for the message to the caller. It names no host.
	Detail string
	// Err is the cause; it may be nil.
	Err error
}

// Error implements error.
func (f *Failure) Error() string {
	text := f.Detail
	if f.Address != "" {
		text = f.Address + ": " + text
	}
	if f.Err != nil {
		text += ": " + f.Err.Error()
	}
	return text
}

// Unwrap returns the cause.
func (f *Failure) Unwrap() error { return f.Err }
