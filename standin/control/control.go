// Package control holds what the stand-ins' HTTP faces share: the echo
// instance, strict JSON bodies for steering, error answers and cut connections.
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

// maxSteeringBytes bounds the body of a steering request.
const maxSteeringBytes = 1 << 20

// NewEcho returns an echo instance whose errors are wire.Error bodies. It has
// no recovery middleware: Cut relies on its panic reaching net/http.
func NewEcho() *echo.Echo {
	e := echo.New()
	e.HideBanner = true
	e.HidePort = true
	e.HTTPErrorHandler = answerError
	return e
}

func answerError(err error, c echo.Context) {
	if c.Response().Committed {
		return
	}
	status, message := http.StatusInternalServerError, err.Error()
	var httpError *echo.HTTPError
	if errors.As(err, &httpError) {
		status, message = httpError.Code, fmt.Sprint(httpError.Message)
	}
	_ = Refuse(c, status, message)
}

// Refuse answers with the status and a wire.Error.
func Refuse(c echo.Context, status int, message string) error {
	return c.JSON(status, wire.Error{Error: message})
}

// TooMany answers 429 with the time to come back, in the header rounded up to
// whole seconds.
func TooMany(c echo.Context, retryAfter time.Duration) error {
	seconds := int64((retryAfter + time.Second - 1) / time.Second)
	c.Response().Header().Set("Retry-After", strconv.FormatInt(seconds, 10))
	ms := int64((retryAfter + time.Millisecond - 1) / time.Millisecond)
	return c.JSON(http.StatusTooManyRequests, wire.Error{Error: "rate limit exceeded", RetryAfterMs: ms})
}

// Decode reads the request's JSON body into v and refuses unknown fields and
// trailing data, so that a misspelt fault is noticed and not taken for "none".
func Decode(c echo.Context, v any) error {
	decoder := json.NewDecoder(http.MaxBytesReader(c.Response(), c.Request().Body, maxSteeringBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(v); err != nil {
		return echo.NewHTTPError(http.StatusBadRequest, err.Error())
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return echo.NewHTTPError(http.StatusBadRequest, "data after the JSON value")
	}
	return nil
}

// Param returns a path parameter by its own text. The router matches the raw
// path where a client escaped more than it had to, such as a slash in a name,
// and hands out parameters as they stand in the path that it matched.
func Param(c echo.Context, name string) string {
	value := c.Param(name)
	if c.Request().URL.RawPath == "" {
		return value
	}
	if plain, err := url.PathUnescape(value); err == nil {
		return plain
	}
	return value
}

// Cut closes the request's connection without an answer. It does not return.
func Cut() {
	panic(http.ErrAbortHandler)
}
