// Package target holds the narrow interfaces to the targets (model engines and
// plain services) and their HTTP clients.
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

// GenerateRequest asks an engine for a completion.
type GenerateRequest struct {
	// StreamID names the stream at the engine, for cancel and resume.
	StreamID string `json:"stream_id"`
	// Model is the model's name.
	Model string `json:"model"`
	// Messages is the prompt.
	Messages []Message `json:"messages"`
	// MaxTokens bounds the answer; the engine may end earlier.
	MaxTokens int `json:"max_tokens"`
	// ResumeTokens are the tokens that an earlier attempt delivered, at this or
	// another engine; generation goes on after them and they are not sent again.
	ResumeTokens []string `json:"resume_tokens,omitempty"`
	// Extra holds the caller's other body fields, passed on untouched.
	Extra map[string]json.RawMessage `json:"extra,omitempty"`
}

// Token is one generated token.
type Token struct {
	// Index counts from 0 over the whole answer, resumed parts included.
	Index int `json:"index"`
	// Text is the token's text.
	Text string `json:"text"`
}

// Usage counts tokens of one attempt.
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

// LoadReport is an engine's lagging word about itself.
type LoadReport struct {
	// AtMs is when the figures were true, Unix milliseconds at the engine.
	AtMs int64 `json:"at_ms"`
	// Running and Waiting count requests.
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	// Slots is the batch size limit.
	Slots int `json:"slots"`
	// Model and Version tell what is loaded.
	Model   string `json:"model"`
	Version string `json:"version"`
}

// CacheEvent is a hint about the engine's prefix cache: late and with gaps.
type CacheEvent struct {
	Seq int64 `json:"seq"`
	// Prefix is the hex hash of the cached prompt prefix (see PrefixHashes).
	Prefix string `json:"prefix"`
	// Stored is false when the prefix was evicted.
	Stored bool `json:"stored"`
}

// Order tells an engine to change what it serves.
type Order struct {
	// Fence is the fencing number; engines that check refuse one below the highest seen.
	Fence uint64 `json:"fence"`
	// Action is "load_model", "load_adapter" or "set_role".
	Action  string `json:"action"`
	Model   string `json:"model,omitempty"`
	Version string `json:"version,omitempty"`
	Role    string `json:"role,omitempty"`
}

// Engine speaks to model engines by address (IP:PORT). Every method returns
// *Failure errors that tell whether the target may have received the request.
type Engine interface {
	// Generate streams tokens to sink in order; an error from sink cancels the
	// stream and is returned.
	Generate(ctx context.Context, address string, req GenerateRequest, sink func(Token) error) (Finish, error)
	// Cancel stops a stream; cancelling an unknown stream is no error.
	Cancel(ctx context.Context, address, streamID string) error
	// Load returns the load report.
	Load(ctx context.Context, address string) (LoadReport, error)
	// CacheEvents returns events after the sequence number.
	CacheEvents(ctx context.Context, address string, after int64) ([]CacheEvent, error)
	// Order sends an order.
	Order(ctx context.Context, address string, o Order) error
	// Health returns nil when the target answers.
	Health(ctx context.Context, address string) error
}

// ServiceRequest is one call of a plain service.
type ServiceRequest struct {
	Method string
	// Path begins with a slash and includes the raw query.
	Path   string
	Header http.Header
	Body   []byte
}

// ServiceResponse is the service's whole answer.
type ServiceResponse struct {
	Status int
	Header http.Header
	Body   []byte
}

// Service speaks to plain services.
type Service interface {
	// Call sends the request once to the target at address (IP:PORT). Its error
	// is a *Failure; with a status of 400 or above comes the whole response too.
	Call(ctx context.Context, address string, req ServiceRequest) (ServiceResponse, error)
}

// Failure is the error of an attempt at a target.
type Failure struct {
	// Reached is false only when the target certainly did not get the request
	// (the connection was refused, or the target said so).
	Reached bool
	// Crashed tells that the connection broke while the request ran there, as
	// when the target's process died.
	Crashed bool
	// Rejected tells that the target refused the content (4xx): no retry helps.
	Rejected bool
	// Busy tells that the target refused for load or because it leaves (429, 503): not run.
	Busy bool
	// Status is the HTTP status, 0 if none came.
	Status int
	// Address is the target's, for logs; callers are not told it.
	Address string
	// Detail is for logs and the caller's message: it names no host.
	Detail string
	// Err is the cause, may be nil.
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
