package extern

import (
	"time"

	"github.com/joomcode/errorx"
)

// Errors is the namespace of this package's errors. Transport errors are wrapped
// opaquely: a caller may rely only on the types below.
var Errors = errorx.NewNamespace("extern")

var (
	// LogUnavailable: the service cannot be reached or refuses all requests. An
	// append that fails with it was not made.
	LogUnavailable = Errors.NewType("log_unavailable", errorx.Temporary())
	// LogLimited: a rate limit refused the request before it had any effect. The
	// error carries the service's retry time; see IsLimited.
	LogLimited = Errors.NewType("log_limited", errorx.Temporary())
	// RecordTooLarge: the record exceeds the log's limit and was not appended.
	RecordTooLarge = Errors.NewType("record_too_large")
	// OutcomeUnknown: the connection failed after the append may have been sent.
	// Only reading the stream back shows whether it was made.
	OutcomeUnknown = Errors.NewType("outcome_unknown", errorx.Timeout())
	// NotFound: the service does not have the requested object, such as a model version.
	NotFound = Errors.NewType("not_found", errorx.NotFound())
	// Invalid: the request or the service's response violates the protocol. For an
	// append it is used only if the service refused the request.
	Invalid = Errors.NewType("invalid")
)

// retryAfterProperty holds the time.Duration of a LogLimited error.
var retryAfterProperty = errorx.RegisterProperty("retry_after")

// NewLimited returns a LogLimited error that carries the time after which to retry.
func NewLimited(retryAfter time.Duration, format string, args ...any) error {
	return LogLimited.New(format, args...).WithProperty(retryAfterProperty, retryAfter)
}

// IsUnavailable reports whether the service was unavailable, so that the call had no
// effect.
func IsUnavailable(err error) bool { return errorx.IsOfType(err, LogUnavailable) }

// IsTooLarge reports whether the record exceeded the log's size limit.
func IsTooLarge(err error) bool { return errorx.IsOfType(err, RecordTooLarge) }

// IsUnknown reports whether it is unknown if the append was made.
func IsUnknown(err error) bool { return errorx.IsOfType(err, OutcomeUnknown) }

// IsNotFound reports whether the service does not have the requested object.
func IsNotFound(err error) bool { return errorx.IsOfType(err, NotFound) }

// IsLimited reports whether a rate limit refused the request, and the time after
// which the service allows a retry.
func IsLimited(err error) (retryAfter time.Duration, ok bool) {
	if !errorx.IsOfType(err, LogLimited) {
		return 0, false
	}
	if value, found := errorx.ExtractProperty(err, retryAfterProperty); found {
		retryAfter, _ = value.(time.Duration)
	}
	return retryAfter, true
}
