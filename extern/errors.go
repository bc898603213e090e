package extern

import (
	"time"

	"github.com/joomcode/errorx"
)

// Errors is the namespace of this layer's errors. Errors of the transport are
// wrapped opaquely: only the types below say what a caller may conclude.
var Errors = errorx.NewNamespace("extern")

var (
	// LogUnavailable: the service cannot be reached or refuses all work. An
	// append that failed so was certainly not made.
	LogUnavailable = Errors.NewType("log_unavailable", errorx.Temporary())
	// LogLimited: a rate limit refused the request before any effect. The
	// error carries the service's retry time, see IsLimited.
	LogLimited = Errors.NewType("log_limited", errorx.Temporary())
	// RecordTooLarge: the record exceeds the log's limit and was not appended.
	RecordTooLarge = Errors.NewType("record_too_large")
	// OutcomeUnknown: the connection failed after the append may have been
	// sent. Whether it was made can only be learnt by reading back.
	OutcomeUnknown = Errors.NewType("outcome_unknown", errorx.Timeout())
	// NotFound: the service knows no such thing, such as a model's version.
	NotFound = Errors.NewType("not_found", errorx.NotFound())
	// Invalid: the service's answer or the request breaks the protocol. For
	// an append it is used only where the service refused the request.
	Invalid = Errors.NewType("invalid")
)

// retryAfterProperty holds the time.Duration of a LogLimited error.
var retryAfterProperty = errorx.RegisterProperty("retry_after")

// NewLimited returns a LogLimited error that carries the time to come back.
func NewLimited(retryAfter time.Duration, format string, args ...any) error {
	return LogLimited.New(format, args...).WithProperty(retryAfterProperty, retryAfter)
}

// IsUnavailable reports whether the service was out, so that nothing was done.
func IsUnavailable(err error) bool { return errorx.IsOfType(err, LogUnavailable) }

// IsTooLarge reports whether the record exceeded the log's size limit.
func IsTooLarge(err error) bool { return errorx.IsOfType(err, RecordTooLarge) }

// IsUnknown reports whether an append may or may not have been made.
func IsUnknown(err error) bool { return errorx.IsOfType(err, OutcomeUnknown) }

// IsNotFound reports whether the service answered that it has no such thing.
func IsNotFound(err error) bool { return errorx.IsOfType(err, NotFound) }

// IsLimited reports whether a rate limit refused the request, and after which
// time the service asked to be called again.
func IsLimited(err error) (retryAfter time.Duration, ok bool) {
	if !errorx.IsOfType(err, LogLimited) {
		return 0, false
	}
	if value, found := errorx.ExtractProperty(err, retryAfterProperty); found {
		retryAfter, _ = value.(time.Duration)
	}
	return retryAfter, true
}
