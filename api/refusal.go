package api

import (
	"context"
	"errors"
	"net/http"
	"strconv"

	"github.com/labstack/echo/v4"

	"tarragonhollow.example/tarragonhollow/core/outcome"
)

// statusOf maps every code to its HTTP status. A code that is missing here is a bug and
// is answered with 500.
var statusOf = map[outcome.Code]int{
	outcome.BadRequest:       http.StatusBadRequest,
	outcome.KeyRequired:      http.StatusBadRequest,
	outcome.UnknownProfile:   http.StatusBadRequest,
	outcome.UnknownTarget:    http.StatusNotFound,
	outcome.NotFound:         http.StatusNotFound,
	outcome.Conflict:         http.StatusConflict,
	outcome.VersionConflict:  http.StatusConflict,
	outcome.TooLarge:         http.StatusRequestEntityTooLarge,
	outcome.Unprocessable:    http.StatusUnprocessableEntity,
	outcome.Quarantined:      http.StatusUnprocessableEntity,
	outcome.CallerLimit:      http.StatusTooManyRequests,
	outcome.Overloaded:       http.StatusServiceUnavailable,
	outcome.LogUnavailable:   http.StatusServiceUnavailable,
	outcome.NoOwner:          http.StatusServiceUnavailable,
	outcome.NoTarget:         http.StatusServiceUnavailable,
	outcome.Draining:         http.StatusServiceUnavailable,
	outcome.NotReady:         http.StatusServiceUnavailable,
	outcome.DeadlineExceeded: http.StatusGatewayTimeout,
	outcome.TargetFailed:     http.StatusBadGateway,
	outcome.OutcomeUnknown:   http.StatusBadGateway,
	outcome.Cancelled:        http.StatusConflict,
	outcome.Unauthorized:     http.StatusUnauthorized,
	outcome.Internal:         http.StatusInternalServerError,
	codeMethod:               http.StatusMethodNotAllowed,
	codeDisabled:             http.StatusForbidden,
}

// maxDiscardBytes is the maximum that is read of a refused body so that its connection
// can be kept.
const maxDiscardBytes = 64 << 10

// Codes that only the HTTP server uses.
const (
	codeMethod   outcome.Code = "method_not_allowed"
	codeDisabled outcome.Code = "admin_disabled"
)

// errorBody is the JSON body of every refusal.
type errorBody struct {
	Error errorFields `json:"error"`
}

// errorFields are the fields of a refusal.
type errorFields struct {
	Code         outcome.Code     `json:"code"`
	Message      string           `json:"message"`
	Run          outcome.RunState `json:"run"`
	RetryAfterMs int64            `json:"retry_after_ms"`
	// Winner and Version are set for a configuration change that conflicts with
	// another: the author of the other change and its version.
	Winner  string `json:"winner,omitempty"`
	Version uint64 `json:"version,omitempty"`
}

// fieldsOf returns the JSON fields of a refusal.
func fieldsOf(r *outcome.Refusal) errorFields {
	return errorFields{Code: r.Code, Message: r.Message, Run: r.Run, RetryAfterMs: r.RetryAfterMs}
}

// Status returns the HTTP status of a code.
func Status(code outcome.Code) int {
	if status, ok := statusOf[code]; ok {
		return status
	}
	return http.StatusInternalServerError
}

// refusalOf converts any error of a handler to a refusal. backendCalled is whether the
// backend had been called. After that only the backend can know that a request was not
// run, so an error that is not a refusal is reported as may_have_run.
func refusalOf(err error, backendCalled bool) *outcome.Refusal {
	var refusal *outcome.Refusal
	if errors.As(err, &refusal) {
		return refusal
	}
	var he *echo.HTTPError
	if errors.As(err, &he) {
		return httpRefusal(he)
	}
	run := outcome.NotRun
	if backendCalled {
		run = outcome.MayHaveRun
	}
	if errors.Is(err, context.DeadlineExceeded) {
		return outcome.Refuse(outcome.DeadlineExceeded, "the deadline passed").WithRun(run)
	}
	if errors.Is(err, context.Canceled) {
		return outcome.Refuse(outcome.Cancelled, "the caller went away").WithRun(run)
	}
	return outcome.Refuse(outcome.Internal, "internal error").WithRun(run)
}

// httpRefusal converts an error of echo's router to a refusal. The router runs before
// any handler, so the request has not run.
func httpRefusal(he *echo.HTTPError) *outcome.Refusal {
	switch he.Code {
	case http.StatusNotFound:
		return outcome.Refuse(outcome.NotFound, "no such path")
	case http.StatusMethodNotAllowed:
		return outcome.Refuse(codeMethod, "the path does not take this method")
	default:
		return outcome.Refuse(outcome.BadRequest, "%v", he.Message)
	}
}

// handleError is echo's error handler. It writes the refusal. A response that has been
// started is cut off instead: returning would end its body like a complete one.
func (s *Server) handleError(err error, c echo.Context) {
	st := stateOf(c)
	refusal := refusalOf(err, st.backendCalled)
	st.recordRefusal(refusal)
	if c.Response().Committed {
		panic(http.ErrAbortHandler)
	}
	fields := fieldsOf(refusal)
	var conflict *ConfigConflict
	if errors.As(err, &conflict) {
		fields.Code, fields.Run = outcome.VersionConflict, outcome.NotRun
		fields.Message = conflict.Error() + ": " + conflict.Winner + " published version " + strconv.FormatUint(conflict.Version, 10)
		fields.Winner, fields.Version = conflict.Winner, conflict.Version
		st.recordRefusal(&outcome.Refusal{Code: fields.Code, Run: fields.Run, Message: fields.Message})
	}
	s.writeError(c, fields)
}

// writeError writes a refusal as the complete response.
func (s *Server) writeError(c echo.Context, fields errorFields) {
	header := c.Response().Header()
	if fields.RetryAfterMs > 0 {
		header.Set(echo.HeaderRetryAfter, retryAfter(fields.RetryAfterMs))
	}
	if fields.Code == outcome.Unauthorized {
		header.Set(echo.HeaderWWWAuthenticate, "Bearer")
	}
	if n := c.Request().ContentLength; (n < 0 || n > maxDiscardBytes) && !stateOf(c).bodyRead {
		// net/http would read the rest of the body before it answers, and the caller
		// would continue to send a body that has already been refused.
		header.Set(echo.HeaderConnection, "close")
	}
	if err := c.JSON(Status(fields.Code), errorBody{Error: fields}); err != nil {
		s.metrics.writeErrors.Inc()
	}
}

// retryAfter returns the value of Retry-After in whole seconds. It rounds up because a
// caller that retries too early would only be refused again.
func retryAfter(ms int64) string {
	const second = 1000
	return strconv.FormatInt((ms+second-1)/second, 10)
}
