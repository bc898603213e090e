// Package control holds what the stand-ins' HTTP handlers share: the echo instance,
// strict decoding of JSON control requests, error responses and aborted connections.
package control

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/labstack/echo/v4"

	"tarragonhollow.example/tarragonhollow/extern/wire"
)

// maxControlBytes bounds the body of a control request.
const maxControlBytes = 1 << 20

// NewEcho returns an echo instance that writes errors as wire.Error bodies. It has no
// recovery middleware, because the panic of AbortConnection must reach net/http.
func NewEcho() *echo.Echo {
	e := echo.New()
	e.HideBanner = true
	e.HidePort = true
	e.HTTPErrorHandler = handleError
	return e
}

func handleError(err error, c echo.Context) {
	if c.Response().Committed {
		return
	}
	status, message := http.StatusInternalServerError, err.Error()
	var httpError *echo.HTTPError
	if errors.As(err, &httpError) {
		status, message = httpError.Code, fmt.Sprint(httpError.Message)
	}
	_ = WriteError(c, status, message)
}

// WriteError answers with the status and a wire.Error body.
func WriteError(c echo.Context, status int, message string) error {
	return c.JSON(status, wire.Error{Error: message})
}

// WriteTooManyRequests answers 429 with the time to wait before a retry: in the
// Retry-After header rounded up to whole seconds, in the body to whole milliseconds.
func WriteTooManyRequests(c echo.Context, retryAfter time.Duration) error {
	seconds := int64((retryAfter + time.Second - 1) / time.Second)
	c.Response().Header().Set("Retry-After", strconv.FormatInt(seconds, 10))
	ms := int64((retryAfter + time.Millisecond - 1) / time.Millisecond)
	return c.JSON(http.StatusTooManyRequests, wire.Error{Error: "rate limit exceeded", RetryAfterMs: ms})
}

// Decode reads the request's JSON body into v. It rejects unknown fields and trailing
// data, so that a misspelled fault is an error and not read as "no fault".
func Decode(c echo.Context, v any) error {
	decoder := json.NewDecoder(http.MaxBytesReader(c.Response(), c.Request().Body, maxControlBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(v); err != nil {
		return echo.NewHTTPError(http.StatusBadRequest, err.Error())
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return echo.NewHTTPError(http.StatusBadRequest, "data after the JSON value")
	}
	return nil
}

// Param returns an unescaped path parameter. When a client escaped more than
// necessary, such as a slash in a name, the router matches the raw path and returns
// parameters in their escaped form.
func Param(c echo.Context, name string) string {
	value := c.Param(name)
	if c.Request().URL.RawPath == "" {
		return value
	}
	if unescaped, err := url.PathUnescape(value); err == nil {
		return unescaped
	}
	return value
}

// AbortConnection closes the request's connection without an answer. It does not
// return.
func AbortConnection() {
	panic(http.ErrAbortHandler)
}
