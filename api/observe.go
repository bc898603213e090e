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

// HeaderRequestID names the arrival in logs; every answer carries it.
const HeaderRequestID = "Tarragon-Request-Id"

// requestState is what the middleware knows of a request.
type requestState struct {
	id      string
	began   time.Time
	caller  string
	profile string
	key     string
	// called is set before the backend is asked to run something.
	called bool
	// bodyRead is set once the whole body is read.
	bodyRead bool
	code     outcome.Code
	run      outcome.RunState
	message  string
}

// refused notes what the caller is told.
func (st *requestState) refused(r *outcome.Refusal) {
	st.code, st.run, st.message = r.Code, r.Run, r.Message
}

// stateKey is where echo's context keeps the state.
const stateKey = "tarragon.state"

// stateOf returns the request's state; a request that never passed the
// middleware gets a state of its own.
func stateOf(c echo.Context) *requestState {
	if st, ok := c.Get(stateKey).(*requestState); ok {
		return st
	}
	st := &requestState{id: uuid.NewString(), began: time.Now()}
	c.Set(stateKey, st)
	return st
}

// observe gives each request an id, a bound on its body's first read, and one
// log line and metrics at its end.
func (s *Server) observe(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		st := stateOf(c)
		header := c.Response().Header()
		header.Set(HeaderRequestID, st.id)
		c.Response().Before(func() {
			// Asked when the header is written: a request that began before the drain
			// must not leave its caller with a connection that is about to close.
			if s.draining.Load() {
				header.Set(echo.HeaderConnection, "close")
			}
		})
		if c.Request().ContentLength != 0 {
			// Bounds the discarding of a body that no handler reads, too.
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

// boundHeaders refuses headers over the bound in the contract's shape.
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

// recoverPanic turns a panic into an answer. Once the backend was called the
// answer says may_have_run, since nobody knows how far it came.
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
		s.refused.add(time.Now(), refusalKind{code: st.code, run: st.run, profile: st.profile}, st.message)
	}
	if s.opts.Refused != nil && !st.called && st.profile != "" && st.code != "" {
		s.opts.Refused(st.profile, st.code)
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

// shortHashBytes is enough to tell callers and keys apart in logs.
const shortHashBytes = 8

// shortHash names a secret or a key without telling it; "" stays "".
func shortHash(s string) string {
	if s == "" {
		return ""
	}
	sum := sha256.Sum256([]byte(s))
	return hex.EncodeToString(sum[:shortHashBytes])
}

// httpMetrics are the metrics of the HTTP face.
type httpMetrics struct {
	set         *metrics.Set
	seconds     *metrics.Histogram
	evicted     *metrics.Counter
	stalled     *metrics.Counter
	writeErrors *metrics.Counter
}

// newHTTPMetrics registers the metrics in set.
func newHTTPMetrics(set *metrics.Set, s *Server) *httpMetrics {
	m := &httpMetrics{
		set:         set,
		seconds:     set.GetOrCreateHistogram("tarragonhollow_http_request_duration_seconds"),
		evicted:     set.GetOrCreateCounter("tarragonhollow_http_idle_connections_evicted_total"),
		stalled:     set.GetOrCreateCounter("tarragonhollow_http_stalled_writes_total"),
		writeErrors: set.GetOrCreateCounter("tarragonhollow_http_write_errors_total"),
	}
	set.GetOrCreateGauge("tarragonhollow_http_connections", func() float64 { return float64(s.openConnections()) })
	set.GetOrCreateGauge("tarragonhollow_http_requests_in_flight", func() float64 { return float64(s.inFlight.count()) })
	set.GetOrCreateGauge("tarragonhollow_http_body_memory_bytes", func() float64 { return float64(s.bodies.Total()) })
	return m
}

// request counts one request. The labels are bounded: statuses and codes are fixed sets.
func (m *httpMetrics) request(status int, code outcome.Code, seconds float64) {
	name := `tarragonhollow_http_requests_total{status="` + strconv.Itoa(status) + `",code="` + string(code) + `"}`
	m.set.GetOrCreateCounter(name).Inc()
	m.seconds.Update(seconds)
}
