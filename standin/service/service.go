// Package service is a stand-in for a plain service: it answers any path, keeps
// count of every execution, and can be told to freeze, to refuse, to be slow,
// to fail, and to cut the connection after it has executed a call.
// docs/TARGETS.md states its HTTP contract.
package service

import (
	"net/http"
	"sync"
	"time"

	"github.com/joomcode/errorx"
)

var (
	namespace = errorx.NewNamespace("standin_service")
	// InvalidOptions is the type of New's errors.
	InvalidOptions = namespace.NewType("invalid_options")
)

// Options sets up a Server.
type Options struct {
	// Name is echoed in every answer.
	Name string `ini:"name"`
	// AnswerMs is how long each call takes, in milliseconds before TimeScale.
	AnswerMs float64 `ini:"answer_ms"`
	// TimeScale divides every duration: 10 runs ten times faster.
	TimeScale float64 `ini:"time_scale"`
	// MaxBodyBytes bounds a call's body; a longer one gets 413.
	MaxBodyBytes int64 `ini:"max_body_bytes"`
}

// DefaultOptions returns a service that answers within five milliseconds.
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

// Server is one service.
type Server struct {
	opts Options
	done chan struct{}

	mu         sync.Mutex
	calls      []Call
	executions int64
	byKey      map[string]int
	control    Control
	thaw       chan struct{}
	held       int
}

// New validates the options and returns a service.
func New(o Options) (*Server, error) {
	if err := o.validate(); err != nil {
		return nil, err
	}
	return &Server{opts: o, done: make(chan struct{}), byKey: map[string]int{}}, nil
}

// Close cuts the calls that are being held.
func (s *Server) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	select {
	case <-s.done:
	default:
		close(s.done)
	}
}

// Handler returns the service's HTTP surface.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /record", s.handleRecord)
	mux.HandleFunc("PUT /control", s.handleControl)
	mux.HandleFunc("GET /health", s.alive(s.handleHealth))
	mux.HandleFunc("/", s.alive(s.handleCall))
	return mux
}

// alive hangs up while the service refuses, and holds the call while it is
// frozen. A held call is executed after the thaw even if its client has given
// up by then, as a stopped process does with what waits in its sockets.
func (s *Server) alive(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		refuse, thaw := s.control.Refuse, s.thaw
		s.mu.Unlock()
		if refuse {
			panic(http.ErrAbortHandler)
		}
		if thaw != nil {
			s.hold(thaw)
		}
		next(w, r)
	}
}

// hold returns at the thaw; Close before it cuts the connection.
func (s *Server) hold(thaw <-chan struct{}) {
	s.countHeld(1)
	defer s.countHeld(-1)
	select {
	case <-thaw:
	case <-s.done:
		panic(http.ErrAbortHandler)
	}
}

func (s *Server) countHeld(n int) {
	s.mu.Lock()
	s.held += n
	s.mu.Unlock()
}

func (s *Server) scaled(ms float64) time.Duration {
	return time.Duration(ms / s.opts.TimeScale * float64(time.Millisecond))
}
