// Package weights is a stand-in for the platform's weight store in tests and trials.
// It serves the descriptions of model versions at a limited rate.
package weights

import (
	"errors"
	"net/http"
	"sync"
	"time"

	"github.com/labstack/echo/v4"
	"golang.org/x/time/rate"

	"tarragonhollow.example/tarragonhollow/extern"
	"tarragonhollow.example/tarragonhollow/standin/control"
)

// The defaults make a fleet that starts all at once wait, as a real store would.
const (
	// DefaultRequestsPerSecond bounds the rate of requests.
	DefaultRequestsPerSecond = 5
	// DefaultBurst is the number of requests allowed at once.
	DefaultBurst = 5
)

// Options configures a Server; zero values select the defaults.
type Options struct {
	// RequestsPerSecond bounds the rate of requests.
	RequestsPerSecond float64
	// Burst is the number of requests allowed at once.
	Burst int
	// Weights are the model versions in the store at the start.
	Weights []extern.Weights
	// Now returns the current time; the default is time.Now.
	Now func() time.Time
}

// version is the key of an entry of the store.
type version struct{ model, version string }

// Server serves the weight store.
type Server struct {
	now     func() time.Time
	limiter *rate.Limiter
	echo    *echo.Echo

	mu     sync.Mutex
	models map[version]extern.Weights
}

// New returns a server that serves Options.Weights.
func New(opts Options) (*Server, error) {
	if opts.RequestsPerSecond < 0 || opts.Burst < 0 {
		return nil, errors.New("weights: limits must not be negative")
	}
	if opts.RequestsPerSecond == 0 {
		opts.RequestsPerSecond = DefaultRequestsPerSecond
	}
	if opts.Burst == 0 {
		opts.Burst = DefaultBurst
	}
	if opts.Now == nil {
		opts.Now = time.Now
	}
	s := &Server{
		now:     opts.Now,
		limiter: rate.NewLimiter(rate.Limit(opts.RequestsPerSecond), opts.Burst),
		echo:    control.NewEcho(),
		models:  map[version]extern.Weights{},
	}
	for _, weights := range opts.Weights {
		if err := s.Put(weights); err != nil {
			return nil, err
		}
	}
	s.echo.GET("/v1/models/:model/versions/:version", s.get)
	s.echo.PUT("/control/models/:model/versions/:version", s.put)
	return s, nil
}

// Handler returns the HTTP handler.
func (s *Server) Handler() http.Handler { return s.echo }

// Close does nothing; the server runs no goroutines.
func (s *Server) Close() {}

// Put adds or replaces a version of a model.
func (s *Server) Put(weights extern.Weights) error {
	if weights.Model == "" || weights.Version == "" || weights.Bytes <= 0 {
		return errors.New("weights need a model, a version and a size")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.models[version{weights.Model, weights.Version}] = weights
	return nil
}

func (s *Server) get(c echo.Context) error {
	now := s.now()
	reservation := s.limiter.ReserveN(now, 1)
	if wait := reservation.DelayFrom(now); wait > 0 {
		reservation.CancelAt(now)
		return control.WriteTooManyRequests(c, wait)
	}
	s.mu.Lock()
	weights, ok := s.models[version{control.Param(c, "model"), control.Param(c, "version")}]
	s.mu.Unlock()
	if !ok {
		return control.WriteError(c, http.StatusNotFound, "no such model version")
	}
	return c.JSON(http.StatusOK, weights)
}

// size is the body of a PUT of a model version.
type size struct {
	Bytes int64 `json:"bytes"`
}

func (s *Server) put(c echo.Context) error {
	var body size
	if err := control.Decode(c, &body); err != nil {
		return err
	}
	weights := extern.Weights{Model: control.Param(c, "model"), Version: control.Param(c, "version"), Bytes: body.Bytes}
	if err := s.Put(weights); err != nil {
		return control.WriteError(c, http.StatusBadRequest, err.Error())
	}
	return c.JSON(http.StatusOK, weights)
}
