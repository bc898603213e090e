package target

import (
	"context"
	"net/http"
)

const (
	// HeaderKey carries the request's idempotency key to the target.
	HeaderKey = "Idempotency-Key"
	// HeaderUrgency carries the request's urgency to the target.
	HeaderUrgency = "Tarragon-Urgency"
	// HeaderCallID names the call. A target that echoes it in its answer may get further
	// calls on the same connection.
	HeaderCallID = "Tarragon-Call-Id"
	// HeaderRun is set to RunNotRun by a target when it refuses a request that it
	// has certainly not executed.
	HeaderRun = "Tarragon-Run"
	// RunNotRun is the value of HeaderRun on such a refusal.
	RunNotRun = "not_run"

	// UrgencyOnline is the value of HeaderUrgency for a caller's own request.
	UrgencyOnline = "online"
	// UrgencyBatch is the value of HeaderUrgency for an item of a job.
	UrgencyBatch = "batch"
)

type contextKey int

const (
	keyContext contextKey = iota
	urgencyContext
	startCheckContext
)

// WithKey returns a context whose target calls carry the idempotency key.
func WithKey(ctx context.Context, key string) context.Context {
	return context.WithValue(ctx, keyContext, key)
}

// KeyFrom returns the idempotency key of ctx, "" if none is set.
func KeyFrom(ctx context.Context) string {
	key, _ := ctx.Value(keyContext).(string)
	return key
}

// WithUrgency returns a context whose target calls carry the urgency,
// UrgencyOnline or UrgencyBatch.
func WithUrgency(ctx context.Context, urgency string) context.Context {
	return context.WithValue(ctx, urgencyContext, urgency)
}

// UrgencyFrom returns the urgency of ctx, "" if none is set.
func UrgencyFrom(ctx context.Context) string {
	urgency, _ := ctx.Value(urgencyContext).(string)
	return urgency
}

func setContextHeaders(ctx context.Context, h http.Header) {
	if key := KeyFrom(ctx); key != "" {
		h.Set(HeaderKey, key)
	}
	if urgency := UrgencyFrom(ctx); urgency != "" {
		h.Set(HeaderUrgency, urgency)
	}
}
