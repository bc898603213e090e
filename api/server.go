package api

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/labstack/echo/v4"
	"go.uber.org/zap"

	"tarragonhollow.example/tarragonhollow/bodymemory"
	"tarragonhollow.example/tarragonhollow/callerconns"
	"tarragonhollow.example/tarragonhollow/core/outcome"
)

// headerSlack is the multiple of MaxHeaderBytes up to which headers get a refusal with
// the API's error body. Above it the listener answers 431.
const headerSlack = 4

// Server is the HTTP server of one daemon.
type Server struct {
	opts     Options
	echo     *echo.Echo
	http     *http.Server
	listener atomic.Pointer[callerconns.Listener]
	inFlight *inFlight
	heads    *bodymemory.Memory
	bodies   *bodymemory.Memory
	uploads  chan struct{}
	draining atomic.Bool
	metrics  *httpMetrics
	refusals refusals
}

// New returns a server that does not listen yet. Its errors are of the type ErrOptions.
func New(opts Options) (*Server, error) {
	if err := opts.validate(); err != nil {
		return nil, err
	}
	s := &Server{
		opts:     opts,
		echo:     echo.New(),
		inFlight: newInFlight(),
		heads:    bodymemory.New(opts.MaxHeadMemory),
		bodies:   bodymemory.New(opts.MaxBodyMemory),
		uploads:  make(chan struct{}, opts.MaxUploads),
	}
	s.metrics = newHTTPMetrics(opts.Metrics, s)
	s.echo.HTTPErrorHandler = s.handleError
	s.echo.Use(s.observe, s.recoverPanic, s.boundHeaders)
	s.routes()
	s.http = &http.Server{
		Handler:           callerconns.CountHeads(s.echo),
		MaxHeaderBytes:    headerSlack * opts.MaxHeaderBytes,
		ReadHeaderTimeout: opts.ReadHeaderTimeout,
		IdleTimeout:       opts.IdleTimeout,
		ConnState:         s.track,
		ConnContext:       callerconns.ConnContext,
		ErrorLog:          zap.NewStdLog(opts.Logger.Named("http")),
	}
	return s, nil
}

// routes registers every path of the API.
func (s *Server) routes() {
	s.echo.POST("/v1/chat/completions", s.chat)
	s.echo.POST("/v1/services/:service/*", s.service)
	s.echo.GET("/v1/services/:service/*", s.service)
	s.echo.POST("/v1/services/:service", s.service)
	s.echo.GET("/v1/services/:service", s.service)
	s.echo.GET("/v1/requests/*", s.request)
	s.echo.PUT("/v1/jobs/:job", s.putJob)
	s.echo.GET("/v1/jobs/:job", s.job)
	s.echo.DELETE("/v1/jobs/:job", s.cancelJob)
	s.echo.GET("/v1/jobs/:job/results", s.results)
	s.echo.GET("/v1/jobs/:job/items/*", s.item)
	s.echo.GET("/healthz", s.healthz)
	s.echo.GET("/readyz", s.readyz)
	s.echo.GET("/metrics", s.metricsPage)
	s.adminRoutes(s.echo.Group("/admin", s.authorize))
}

// Handler returns the handler of all paths, for tests without a socket.
func (s *Server) Handler() http.Handler { return s.echo }

// Serve accepts connections from inner until Shutdown is called, and then returns nil.
// Its errors are of the type ErrServe.
func (s *Server) Serve(inner net.Listener) error {
	l := callerconns.New(inner, s.opts.MaxConnections, s.opts.WriteStall,
		callerconns.Metrics{Evicted: s.metrics.evicted, Stalled: s.metrics.stalled})
	l.Unanswered = s.logUnanswered
	l.Heads = &callerconns.Heads{
		Memory: s.heads, MaxBytes: func() int { return headerSlack * s.opts.MaxHeaderBytes }, Timeout: s.opts.ReadHeaderTimeout,
		TooLarge: s.metrics.headsTooLarge, NoMemory: s.metrics.headsNoMemory, Refused: s.logHeadsRefused,
	}
	if !s.listener.CompareAndSwap(nil, l) {
		return ErrServe.New("the server is already serving")
	}
	err := s.http.Serve(l)
	if !s.draining.Load() && !errors.Is(err, http.ErrServerClosed) {
		return ErrServe.Wrap(err, "serving HTTP on %s ended", inner.Addr())
	}
	return nil
}

// logUnanswered logs a connection that was closed while its request was being read.
func (s *Server) logUnanswered(u callerconns.Unanswered) {
	s.opts.Logger.Warn("request_unanswered", zap.Stringer("caller_address", u.Caller), zap.String("cause", u.Cause),
		zap.Int64("silent_ms", u.Silent.Milliseconds()))
}

// logHeadsRefused logs that heads of requests were refused.
func (s *Server) logHeadsRefused(r callerconns.HeadsRefused) {
	s.opts.Logger.Warn("heads_refused", zap.Stringer("caller_address", r.Caller), zap.String("reason", r.Reason),
		zap.Uint64("too_large", r.TooLarge), zap.Uint64("no_memory", r.NoMemory), zap.Int64("held_bytes", r.HeldBytes))
}

// StartDrain makes /readyz report unready, and makes every response whose header is
// written from now on close its connection. Requests are still accepted. Further calls
// have no effect.
func (s *Server) StartDrain() { s.draining.Store(true) }

// Shutdown stops the server gracefully. It calls StartDrain and continues to accept
// connections for DrainGrace, so that load balancers stop sending requests first. Then
// it closes the listener and returns once every request, including streams, has ended
// and every connection is closed. If ctx ends first, it returns an ErrServe error and
// the remaining requests keep running.
func (s *Server) Shutdown(ctx context.Context) error {
	s.StartDrain()
	select {
	case <-time.After(s.opts.DrainGrace):
	case <-ctx.Done():
	}
	s.closeListener(ctx)
	if err := s.http.Shutdown(ctx); err != nil {
		return ErrServe.Wrap(err, "requests were still running")
	}
	return nil
}

// closeListener closes the listener and the kept connections.
func (s *Server) closeListener(ctx context.Context) {
	l := s.listener.Load()
	if l == nil {
		return
	}
	if err := l.CloseGracefully(ctx, s.opts.DrainGrace); err != nil {
		s.opts.Logger.Debug("listener_closes_with_its_queue", zap.Error(err))
	}
}

// openConnections returns the number of callers' connections.
func (s *Server) openConnections() int {
	l := s.listener.Load()
	if l == nil {
		return 0
	}
	return l.Open()
}

// track is the server's ConnState hook.
func (s *Server) track(conn net.Conn, state http.ConnState) {
	if l := s.listener.Load(); l != nil {
		l.Track(conn, state)
	}
}

// healthz serves GET /healthz, which shows that the process is running.
func (s *Server) healthz(c echo.Context) error { return c.String(http.StatusOK, "ok\n") }

// readyz serves GET /readyz, which reports whether load balancers should send callers to
// this daemon.
func (s *Server) readyz(c echo.Context) error {
	if s.draining.Load() {
		return outcome.Refuse(outcome.Draining, "this daemon is stopping")
	}
	if err := s.opts.Backend.Ready(); err != nil {
		return readiness(err)
	}
	return c.String(http.StatusOK, "ready\n")
}

// readiness converts an error of Backend.Ready to a refusal.
func readiness(err error) *outcome.Refusal {
	var refusal *outcome.Refusal
	if errors.As(err, &refusal) {
		return refusal
	}
	return outcome.Refuse(outcome.NotReady, "%v", err)
}

// metricsPage serves GET /metrics.
func (s *Server) metricsPage(c echo.Context) error {
	c.Response().Header().Set(echo.HeaderContentType, "text/plain; version=0.0.4; charset=utf-8")
	c.Response().WriteHeader(http.StatusOK)
	s.opts.Backend.WriteMetrics(c.Response())
	return nil
}
