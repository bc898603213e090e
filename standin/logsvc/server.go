// Package logsvc is a stand-in for the platform's append-only log in tests and trials.
// It speaks plain HTTP, keeps all records in memory, limits the append rate and the
// record size, drops records by age, and injects faults set over HTTP.
package logsvc

import (
	"errors"
	"net/http"
	"sync"
	"time"

	"github.com/labstack/echo/v4"
	"golang.org/x/time/rate"

	"tarragonhollow.example/tarragonhollow/extern/memlog"
	"tarragonhollow.example/tarragonhollow/standin/control"
)

// The defaults are the limits of the users' log service, as stated by the users.
const (
	// DefaultAppendsPerSecond bounds appends over all streams.
	DefaultAppendsPerSecond = 400
	// DefaultBurst is the number of appends allowed at once.
	DefaultBurst = 20
	// DefaultMaxRecordBytes bounds the size of one record.
	DefaultMaxRecordBytes = 1 << 20
)

// Options configures a Server; zero values select the defaults.
type Options struct {
	// AppendsPerSecond bounds appends over all streams.
	AppendsPerSecond float64
	// Burst is the number of appends allowed at once.
	Burst int
	// MaxRecordBytes bounds the size of one record.
	MaxRecordBytes int
	// Retention is the age at which records are dropped; 0 keeps them forever.
	Retention time.Duration
	// Seed makes the random faults repeatable.
	Seed uint64
	// Now returns the current time; the default is time.Now.
	Now func() time.Time
}

func (o Options) withDefaults() (Options, error) {
	if o.AppendsPerSecond < 0 || o.Burst < 0 || o.MaxRecordBytes < 0 || o.Retention < 0 {
		return o, errors.New("logsvc: limits must not be negative")
	}
	if o.AppendsPerSecond == 0 {
		o.AppendsPerSecond = DefaultAppendsPerSecond
	}
	if o.Burst == 0 {
		o.Burst = DefaultBurst
	}
	if o.MaxRecordBytes == 0 {
		o.MaxRecordBytes = DefaultMaxRecordBytes
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	return o, nil
}

// Server serves the log.
type Server struct {
	opts     Options
	store    *memlog.Store
	limiter  *rate.Limiter
	faults   *faultState
	counters counters
	echo     *echo.Echo
	closing  chan struct{}
	close    sync.Once
}

// New returns a server with an empty log.
func New(opts Options) (*Server, error) {
	opts, err := opts.withDefaults()
	if err != nil {
		return nil, err
	}
	s := &Server{
		opts:    opts,
		store:   memlog.New(),
		limiter: rate.NewLimiter(rate.Limit(opts.AppendsPerSecond), opts.Burst),
		faults:  newFaultState(opts.Seed),
		echo:    control.NewEcho(),
		closing: make(chan struct{}),
	}
	s.routes()
	return s, nil
}

func (s *Server) routes() {
	v1 := s.echo.Group("/v1", s.injectFaults)
	v1.GET("/streams", s.list)
	v1.GET("/streams/:stream", s.bounds)
	v1.GET("/streams/:stream/records", s.read)
	v1.POST("/streams/:stream/records", s.append)
	s.echo.GET("/control/faults", s.getFaults)
	s.echo.PUT("/control/faults", s.putFaults)
	s.echo.GET("/control/stats", s.getStats)
}

// Handler returns the HTTP handler.
func (s *Server) Handler() http.Handler { return s.echo }

// Close ends waiting long polls.
func (s *Server) Close() { s.close.Do(func() { close(s.closing) }) }

// SetFaults replaces the faults in force.
func (s *Server) SetFaults(faults Faults) error {
	if err := faults.validate(); err != nil {
		return err
	}
	s.faults.set(faults)
	return nil
}

// Stats returns the counts so far.
func (s *Server) Stats() Stats { return s.counters.snapshot(s.nowMs()) }

// Store returns the service's store, for checks that bypass all faults.
func (s *Server) Store() *memlog.Store { return s.store }

func (s *Server) nowMs() int64 { return s.opts.Now().UnixMilli() }

// expire drops the records older than the retention. Every call runs it before it
// accesses the store, so that no reader sees an expired record.
func (s *Server) expire() {
	if s.opts.Retention > 0 {
		s.store.TrimBefore(s.nowMs() - s.opts.Retention.Milliseconds())
	}
}

func (s *Server) getFaults(c echo.Context) error {
	faults, _ := s.faults.get()
	return c.JSON(http.StatusOK, faults)
}

func (s *Server) putFaults(c echo.Context) error {
	var faults Faults
	if err := control.Decode(c, &faults); err != nil {
		return err
	}
	if err := s.SetFaults(faults); err != nil {
		return control.WriteError(c, http.StatusBadRequest, err.Error())
	}
	return c.JSON(http.StatusOK, faults)
}

func (s *Server) getStats(c echo.Context) error {
	return c.JSON(http.StatusOK, s.Stats())
}
