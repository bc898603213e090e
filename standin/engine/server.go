package engine

import (
	"net/http"
	"sync"
	"time"
)

// Server is one engine.
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
	// thaw is closed when the engine goes on after being frozen; nil unless frozen.
	thaw chan struct{}
	// life is closed by a crash: all handlers of that life cut their connections.
	life      chan struct{}
	downUntil time.Time
	served    served
}

// New validates the options and starts the engine's step loop.
func New(o Options) (*Server, error) {
	if err := o.validate(); err != nil {
		return nil, err
	}
	s := &Server{
		opts: o,
		wake: make(chan struct{}, 1),
		done: make(chan struct{}),
		life: make(chan struct{}),
	}
	s.cache = newPrefixCache(o, s.scaled(o.EventDelayMs))
	s.stats.TokensByUrgency = map[string]int{}
	s.served = served{model: o.Model, version: o.Version}
	s.wg.Add(1)
	go s.stepLoop()
	return s, nil
}

// Close stops the engine and cuts its open connections.
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

// Handler returns the engine's HTTP surface. Without Serve, a crashed engine
// hangs up on new calls: to a client each of them looks like a crash of its own,
// while a dead process would refuse the connection. Use Serve wherever crashes
// are counted.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", s.alive(s.handleGenerate))
	mux.HandleFunc("DELETE /v1/streams/{id}", s.alive(s.handleCancel))
	mux.HandleFunc("GET /v1/load", s.alive(s.handleLoad))
	mux.HandleFunc("GET /v1/cache/events", s.alive(s.handleEvents))
	mux.HandleFunc("GET /v1/kv/{prefix}", s.alive(s.handleExport))
	mux.HandleFunc("PUT /v1/kv/{prefix}", s.alive(s.handleImport))
	mux.HandleFunc("POST /v1/orders", s.alive(s.handleOrder))
	mux.HandleFunc("GET /health", s.alive(s.handleHealth))
	mux.HandleFunc("GET /record", s.handleRecord)
	mux.HandleFunc("GET /stats", s.handleStats)
	mux.HandleFunc("PUT /control", s.handleControl)
	return mux
}

// alive hangs up while the engine is down or refuses, and holds the request
// while it is frozen, as a stopped process does.
func (s *Server) alive(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		down := s.control.Refuse || time.Now().Before(s.downUntil)
		thaw, life := s.thaw, s.life
		s.mu.Unlock()
		if down {
			panic(http.ErrAbortHandler)
		}
		if thaw != nil {
			s.hold(thaw, life)
		}
		next(w, r)
	}
}

// hold returns at the thaw; a crash before it cuts the connection.
func (s *Server) hold(thaw, life <-chan struct{}) {
	s.countHeld(1)
	defer s.countHeld(-1)
	select {
	case <-thaw:
	case <-life:
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

func (s *Server) scaled(ms float64) time.Duration {
	return time.Duration(ms / s.opts.TimeScale * float64(time.Millisecond))
}

// Records returns copies of all calls seen, in order of arrival.
func (s *Server) Records() []Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	records := make([]Record, 0, len(s.records))
	for _, r := range s.records {
		records = append(records, *r)
	}
	return records
}

// Stats returns the counts so far.
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
