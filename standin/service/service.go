// Package service is a stand-in for a plain service. It answers any path, counts
// every execution, and can be set to freeze, to refuse, to be slow, to fail, and to
// close the connection after it has executed a call. docs/TARGETS.md states its HTTP
// contract.
package service

import (
	"net/http"
	"sync"
	"time"

	"github.com/joomcode/errorx"

	"tarragonhollow.example/tarragonhollow/target"
)

var (
	namespace = errorx.NewNamespace("standin_service")
	// InvalidOptions is the type of New's errors.
	InvalidOptions = namespace.NewType("invalid_options")
)

// Options configures a Server.
type Options struct {
	// Name is echoed in every answer.
	Name string `ini:"name"`
	// AnswerMs is the time that each call takes, in milliseconds, before TimeScale is
	// applied.
	AnswerMs float64 `ini:"answer_ms"`
	// TimeScale divides every duration; with 10 the service runs ten times faster.
	TimeScale float64 `ini:"time_scale"`
	// MaxBodyBytes bounds a call's body; a longer one gets 413.
	MaxBodyBytes int64 `ini:"max_body_bytes"`
}

// DefaultOptions returns the options of a service that answers in five milliseconds.
func DefaultOptions() Options {
	return Options{Name: "service", AnswerMs: 5, TimeScale: 1, MaxBodyBytes: 16 << 20}
}

func (o Options) validate() error {
	switch {
	case o.AnswerMs < 0:
		return InvalidOptions.New("answer_ms is %g, must not be negative", o.AnswerMs)
	case o.TimeScale <= 0:
		return InvalidOptions.New("time_scale is %g, must be positive", o.TimeScale)
	case o.MaxBodyBytes < 1:
		return InvalidOptions.New("max_body_bytes is %d, must be at least 1", o.MaxBodyBytes)
	}
	return nil
}

// Server is a simulated service.
type Server struct {
	opts Options
	done chan struct{}

	mu         sync.Mutex
	calls      []Call
	executions int64
	byKey      map[string]int
	control    Control
	unfrozen   chan struct{}
	held       int
}

// New validates the options and returns a service.
func New(o Options) (*Server, error) {
	if err := o.validate(); err != nil {
		return nil, err
	}
	return &Server{opts: o, done: make(chan struct{}), byKey: map[string]int{}}, nil
}

// Close aborts the connections of calls that wait because the service is frozen.
func (s *Server) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	select {
	case <-s.done:
	default:
		close(s.done)
	}
}

// Handler returns the service's HTTP handler.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /record", s.handleRecord)
	mux.HandleFunc("PUT /control", s.handleControl)
	mux.HandleFunc("GET /health", s.injectFaults(s.handleHealth))
	mux.HandleFunc("/", s.injectFaults(s.handleCall))
	return target.EchoCallID(mux)
}

// injectFaults wraps a handler with the injected faults: it aborts the connection
// while the service is refusing, and holds the call while the service is frozen. A
// held call is executed once the service is unfrozen, even if its client has given up
// by then, as a stopped process does with requests buffered in its sockets.
func (s *Server) injectFaults(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		refuse, unfrozen := s.control.Refuse, s.unfrozen
		s.mu.Unlock()
		if refuse {
			panic(http.ErrAbortHandler)
		}
		if unfrozen != nil {
			s.awaitUnfrozen(unfrozen)
		}
		next(w, r)
	}
}

// awaitUnfrozen blocks until the service is unfrozen. If it closes first,
// awaitUnfrozen aborts the connection.
func (s *Server) awaitUnfrozen(unfrozen <-chan struct{}) {
	s.countHeld(1)
	defer s.countHeld(-1)
	select {
	case <-unfrozen:
	case <-s.done:
		panic(http.ErrAbortHandler)
	}
}

func (s *Server) countHeld(n int) {
	s.mu.Lock()
	s.held += n
	s.mu.Unlock()
}

// scaled converts milliseconds to a duration, with TimeScale applied.
func (s *Server) scaled(ms float64) time.Duration {
	return time.Duration(ms / s.opts.TimeScale * float64(time.Millisecond))
}
