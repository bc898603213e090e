package api

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net/http"
	"runtime/debug"
	"strconv"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/google/uuid"
	"github.com/labstack/echo/v4"
	"go.uber.org/zap"

	"tarragonhollow.example/tarragonhollow/core/outcome"
)

// HeaderRequestID identifies the received request in logs. Every response carries it.
const HeaderRequestID = "Tarragon-Request-Id"

// requestState is the middleware's state of a request.
type requestState struct {
	id      string
	began   time.Time
	caller  string
	profile string
	key     string
	// backendCalled is set before the backend is called to run something.
	backendCalled bool
	// bodyRead is set once the whole body has been read.
	bodyRead bool
	code     outcome.Code
	run      outcome.RunState
	message  string
}

// recordRefusal records the refusal that is sent to the caller.
func (st *requestState) recordRefusal(r *outcome.Refusal) {
	st.code, st.run, st.message = r.Code, r.Run, r.Message
}

// stateKey is the key of the state in echo's context.
const stateKey = "tarragon.state"

// stateOf returns the request's state. It creates one if the request did not pass
// through the middleware.
func stateOf(c echo.Context) *requestState {
	if st, ok := c.Get(stateKey).(*requestState); ok {
		return st
	}
	st := &requestState{id: uuid.NewString(), began: time.Now()}
	c.Set(stateKey, st)
	return st
}

// observe is the middleware that gives each request an id and a deadline for the first
// read of its body, and that writes a log line and metrics at its end.
func (s *Server) observe(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		st := stateOf(c)
		header := c.Response().Header()
		header.Set(HeaderRequestID, st.id)
		c.Response().Before(func() {
			// Checked when the header is written: a request that began before the drain
			// must not leave its caller with a connection that is about to be closed.
			if s.draining.Load() {
				header.Set(echo.HeaderConnection, "close")
			}
		})
		if c.Request().ContentLength != 0 {
			// Also limits the time for discarding a body that no handler reads.
			deadline := st.began.Add(s.opts.BodyStall)
			_ = http.NewResponseController(c.Response().Writer).SetReadDeadline(deadline)
		}
		defer s.record(c, st)
		if err := next(c); err != nil {
			c.Error(err)
		}
		return nil
	}
}

// boundHeaders is the middleware that refuses headers over the limit with the API's
// error body.
func (s *Server) boundHeaders(next echo.HandlerFunc) echo.HandlerFunc {
	const separators = len(": \r\n")
	return func(c echo.Context) error {
		size := len(c.Request().RequestURI)
		for name, values := range c.Request().Header {
			for _, v := range values {
				size += len(name) + len(v) + separators
			}
		}
		if size > s.opts.MaxHeaderBytes {
			return outcome.Refuse(outcome.TooLarge, "the headers have %d bytes, at most %d are allowed", size, s.opts.MaxHeaderBytes)
		}
		return next(c)
	}
}

// recoverPanic is the middleware that converts a panic to an error response. If the
// backend had been called, the response says may_have_run, since it is unknown how far
// the request got.
func (s *Server) recoverPanic(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) (err error) {
		defer func() {
			cause := recover()
			if cause == nil {
				return
			}
			if cause == http.ErrAbortHandler {
				panic(cause)
			}
			st := stateOf(c)
			s.opts.Logger.Error("panic", zap.String("request_id", st.id),
				zap.String("cause", fmt.Sprint(cause)), zap.ByteString("stack", debug.Stack()))
			err = ErrServe.New("panic")
		}()
		return next(c)
	}
}

// record writes the request's log line and metrics.
func (s *Server) record(c echo.Context, st *requestState) {
	seconds := time.Since(st.began).Seconds()
	status := c.Response().Status
	s.metrics.request(status, st.code, seconds)
	if st.code != "" {
		s.refusals.add(time.Now(), refusalKind{code: st.code, run: st.run, profile: st.profile}, st.message)
	}
	if s.opts.OnRefused != nil && !st.backendCalled && st.profile != "" && st.code != "" {
		s.opts.OnRefused(st.profile, st.code)
	}
	s.opts.Logger.Info("request",
		zap.String("request_id", st.id),
		zap.String("method", c.Request().Method),
		zap.String("route", c.Path()),
		zap.String("caller", st.caller),
		zap.String("profile", st.profile),
		zap.String("key", shortHash(st.key)),
		zap.Int("status", status),
		zap.String("code", string(st.code)),
		zap.String("run", string(st.run)),
		zap.Float64("seconds", seconds))
}

// shortHashBytes is enough to distinguish callers and keys in logs.
const shortHashBytes = 8

// shortHash returns a short hash that identifies a secret or a key without revealing
// it. It returns "" for "".
func shortHash(s string) string {
	if s == "" {
		return ""
	}
	sum := sha256.Sum256([]byte(s))
	return hex.EncodeToString(sum[:shortHashBytes])
}

// httpMetrics holds the metrics of the HTTP server.
type httpMetrics struct {
	set     *metrics.Set
	seconds *metrics.Histogram
	evicted *metrics.Counter
	// headsTooLarge and headsNoMemory count refused heads of requests.
	headsTooLarge *metrics.Counter
	headsNoMemory *metrics.Counter
	stalled       *metrics.Counter
	writeErrors   *metrics.Counter
}

// newHTTPMetrics registers the metrics in set.
func newHTTPMetrics(set *metrics.Set, s *Server) *httpMetrics {
	m := &httpMetrics{
		set:           set,
		seconds:       set.GetOrCreateHistogram("tarragonhollow_http_request_duration_seconds"),
		evicted:       set.GetOrCreateCounter("tarragonhollow_http_idle_connections_evicted_total"),
		stalled:       set.GetOrCreateCounter("tarragonhollow_http_stalled_writes_total"),
		headsTooLarge: set.GetOrCreateCounter(`tarragonhollow_http_heads_refused_total{cause="size"}`),
		headsNoMemory: set.GetOrCreateCounter(`tarragonhollow_http_heads_refused_total{cause="memory"}`),
		writeErrors:   set.GetOrCreateCounter("tarragonhollow_http_write_errors_total"),
	}
	set.GetOrCreateGauge("tarragonhollow_http_connections", func() float64 { return float64(s.openConnections()) })
	set.GetOrCreateGauge("tarragonhollow_http_requests_in_flight", func() float64 { return float64(s.inFlight.count()) })
	set.GetOrCreateGauge("tarragonhollow_http_head_memory_bytes", func() float64 { return float64(s.heads.Total()) })
	set.GetOrCreateGauge("tarragonhollow_http_body_memory_bytes", func() float64 { return float64(s.bodies.Total()) })
	return m
}

// request counts one request. The number of label values is limited, since statuses and
// codes are fixed sets.
func (m *httpMetrics) request(status int, code outcome.Code, seconds float64) {
	name := `tarragonhollow_http_requests_total{status="` + strconv.Itoa(status) + `",code="` + string(code) + `"}`
	m.set.GetOrCreateCounter(name).Inc()
	m.seconds.Update(seconds)
}
