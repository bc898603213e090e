package engine

import (
	"net/http"
	"sync"
	"time"

	"tarragonhollow.example/tarragonhollow/target"
)

// Server is a simulated engine.
type Server struct {
	opts Options
	wake chan struct{}
	done chan struct{}
	wg   sync.WaitGroup

	mu      sync.Mutex
	waiting []*sequence
	running []*sequence
	cache   *prefixCache
	load    loadHistory
	records []*Record
	stats   Stats
	control Control
	// unfrozen is closed when a frozen engine resumes; it is nil unless frozen.
	unfrozen chan struct{}
	// crashed is closed and replaced at a crash; all handlers that were running then
	// abort their connections.
	crashed   chan struct{}
	downUntil time.Time
	served    served
}

// New validates the options and starts the engine's step loop.
func New(o Options) (*Server, error) {
	if err := o.validate(); err != nil {
		return nil, err
	}
	s := &Server{
		opts:    o,
		wake:    make(chan struct{}, 1),
		done:    make(chan struct{}),
		crashed: make(chan struct{}),
	}
	s.cache = newPrefixCache(o, s.scaled(o.EventDelayMs))
	s.stats.TokensByUrgency = map[string]int{}
	s.served = served{model: o.Model, version: o.Version}
	s.wg.Add(1)
	go s.stepLoop()
	return s, nil
}

// Close stops the engine and aborts its open connections.
func (s *Server) Close() {
	s.mu.Lock()
	select {
	case <-s.done:
	default:
		close(s.done)
	}
	s.mu.Unlock()
	s.wg.Wait()
}

// Handler returns the engine's HTTP handler. When it is used without Serve, a crashed
// engine accepts and then closes the connections of new calls. To a client each of
// them looks like another crash, while a dead process would refuse the connection.
// Use Serve wherever crashes are counted.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", s.injectFaults(s.handleGenerate))
	mux.HandleFunc("DELETE /v1/streams/{id}", s.injectFaults(s.handleCancel))
	mux.HandleFunc("GET /v1/load", s.injectFaults(s.handleLoad))
	mux.HandleFunc("GET /v1/cache/events", s.injectFaults(s.handleEvents))
	mux.HandleFunc("GET /v1/kv/{prefix}", s.injectFaults(s.handleExport))
	mux.HandleFunc("PUT /v1/kv/{prefix}", s.injectFaults(s.handleImport))
	mux.HandleFunc("POST /v1/orders", s.injectFaults(s.handleOrder))
	mux.HandleFunc("GET /health", s.injectFaults(s.handleHealth))
	mux.HandleFunc("GET /record", s.handleRecord)
	mux.HandleFunc("GET /stats", s.handleStats)
	mux.HandleFunc("PUT /control", s.handleControl)
	return target.EchoCallID(mux)
}

// injectFaults wraps a handler with the injected faults: it aborts the connection
// while the engine is down or refusing, and holds the request while the engine is
// frozen, as a stopped process does.
func (s *Server) injectFaults(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		down := s.control.Refuse || time.Now().Before(s.downUntil)
		unfrozen, crashed := s.unfrozen, s.crashed
		s.mu.Unlock()
		if down {
			panic(http.ErrAbortHandler)
		}
		if unfrozen != nil {
			s.awaitUnfrozen(unfrozen, crashed)
		}
		next(w, r)
	}
}

// awaitUnfrozen blocks until the engine is unfrozen. If it crashes or closes first,
// awaitUnfrozen aborts the connection.
func (s *Server) awaitUnfrozen(unfrozen, crashed <-chan struct{}) {
	s.countHeld(1)
	defer s.countHeld(-1)
	select {
	case <-unfrozen:
	case <-crashed:
		panic(http.ErrAbortHandler)
	case <-s.done:
		panic(http.ErrAbortHandler)
	}
}

func (s *Server) countHeld(n int) {
	s.mu.Lock()
	s.stats.Held += n
	s.mu.Unlock()
}

// scaled converts milliseconds to a duration, with TimeScale applied.
func (s *Server) scaled(ms float64) time.Duration {
	return time.Duration(ms / s.opts.TimeScale * float64(time.Millisecond))
}

// Records returns copies of the records of all calls, in order of arrival.
func (s *Server) Records() []Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	records := make([]Record, 0, len(s.records))
	for _, r := range s.records {
		records = append(records, *r)
	}
	return records
}

// Stats returns a snapshot of the engine's state and counts.
func (s *Server) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.stats
	st.TokensByUrgency = map[string]int{}
	for urgency, n := range s.stats.TokensByUrgency {
		st.TokensByUrgency[urgency] = n
	}
	st.Running, st.Waiting = len(s.running), len(s.waiting)
	st.CacheBlocks = s.cache.blocks.Len()
	st.Model, st.Version, st.Role = s.served.model, s.served.version, s.served.role
	return st
}
