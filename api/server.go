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

// headerSlack is how far headers may go over MaxHeaderBytes and still get a
// refusal in our shape; beyond it net/http answers 431 by itself.
const headerSlack = 4

// Server is the HTTP face of one daemon.
type Server struct {
	opts     Options
	echo     *echo.Echo
	http     *http.Server
	listener atomic.Pointer[callerconns.Listener]
	inFlight *inFlight
	bodies   *bodymemory.Memory
	uploads  chan struct{}
	draining atomic.Bool
	metrics  *httpMetrics
	refused  refusals
}

// New returns a server that does not listen yet; its errors are ErrOptions.
func New(opts Options) (*Server, error) {
	if err := opts.validate(); err != nil {
		return nil, err
	}
	s := &Server{
		opts:     opts,
		echo:     echo.New(),
		inFlight: newInFlight(),
		bodies:   bodymemory.New(opts.MaxBodyMemory),
		uploads:  make(chan struct{}, opts.MaxUploads),
	}
	s.metrics = newHTTPMetrics(opts.Metrics, s)
	s.echo.HTTPErrorHandler = s.handleError
	s.echo.Use(s.observe, s.recoverPanic, s.boundHeaders)
	s.routes()
	s.http = &http.Server{
		Handler:           s.echo,
		MaxHeaderBytes:    headerSlack * opts.MaxHeaderBytes,
		ReadHeaderTimeout: opts.ReadHeaderTimeout,
		IdleTimeout:       opts.IdleTimeout,
		ConnState:         s.track,
		ErrorLog:          zap.NewStdLog(opts.Logger.Named("http")),
	}
	return s, nil
}

// routes binds every path of the contract.
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

// Handler returns the whole handler, for tests without a socket.
func (s *Server) Handler() http.Handler { return s.echo }

// Serve accepts connections from inner until Shutdown; it returns nil then.
func (s *Server) Serve(inner net.Listener) error {
	l := callerconns.New(inner, s.opts.MaxConnections, s.opts.WriteStall,
		callerconns.Metrics{Evicted: s.metrics.evicted, Stalled: s.metrics.stalled})
	if !s.listener.CompareAndSwap(nil, l) {
		return ErrServe.New("the server serves already")
	}
	err := s.http.Serve(l)
	if !s.draining.Load() && !errors.Is(err, http.ErrServerClosed) {
		return ErrServe.Wrap(err, "serving HTTP on %s ended", inner.Addr())
	}
	return nil
}

// StartDrain makes /readyz refuse, and every answer whose header is written from
// now on close its connection, while requests are still taken. Calling it again
// does nothing.
func (s *Server) StartDrain() { s.draining.Store(true) }

// Shutdown stops gracefully: it goes unready, keeps accepting for DrainGrace so
// that balancers turn away first, then closes the listener and returns once
// every request, streams included, has ended and every connection is closed. If
// ctx ends first, requests still running are left running and the error says so.
func (s *Server) Shutdown(ctx context.Context) error {
	s.StartDrain()
	select {
	case <-time.After(s.opts.DrainGrace):
	case <-ctx.Done():
	}
	s.closeQuietly(ctx)
	if err := s.http.Shutdown(ctx); err != nil {
		return ErrServe.Wrap(err, "requests were still running")
	}
	return nil
}

// closeQuietly closes the listener and the kept connections.
func (s *Server) closeQuietly(ctx context.Context) {
	l := s.listener.Load()
	if l == nil {
		return
	}
	if err := l.CloseQuietly(ctx, s.opts.DrainGrace); err != nil {
		s.opts.Logger.Debug("listener_closes_with_its_queue", zap.Error(err))
	}
}

// openConnections counts the callers' connections.
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

// healthz tells that the process lives.
func (s *Server) healthz(c echo.Context) error { return c.String(http.StatusOK, "ok\n") }

// readyz tells whether callers should be sent here.
func (s *Server) readyz(c echo.Context) error {
	if s.draining.Load() {
		return outcome.Refuse(outcome.Draining, "this daemon is stopping")
	}
	if err := s.opts.Backend.Ready(); err != nil {
		return readiness(err)
	}
	return c.String(http.StatusOK, "ready\n")
}

// readiness turns the backend's word into a refusal.
func readiness(err error) *outcome.Refusal {
	var refusal *outcome.Refusal
	if errors.As(err, &refusal) {
		return refusal
	}
	return outcome.Refuse(outcome.NotReady, "%v", err)
}

// metricsPage writes the metrics.
func (s *Server) metricsPage(c echo.Context) error {
	c.Response().Header().Set(echo.HeaderContentType, "text/plain; version=0.0.4; charset=utf-8")
	c.Response().WriteHeader(http.StatusOK)
	s.opts.Backend.WriteMetrics(c.Response())
	return nil
}
