package engine

import (
	"encoding/json"
	"net/http"
	"time"
)

// Control holds the faults that a test switches on and off.
type Control struct {
	// Frozen: calls are accepted and never answered, and the batch stands still,
	// until it is switched off.
	Frozen bool `json:"frozen"`
	// Refuse: every call is hung up on.
	Refuse bool `json:"refuse"`
	// SlowMs is added to each step.
	SlowMs float64 `json:"slow_ms"`
	// Leaving: new generate calls get 503, running ones go on.
	Leaving bool `json:"leaving"`
}

// controlChange is the body of PUT /control: what is absent stays.
type controlChange struct {
	Frozen  *bool    `json:"frozen"`
	Refuse  *bool    `json:"refuse"`
	SlowMs  *float64 `json:"slow_ms"`
	Leaving *bool    `json:"leaving"`
	// Crash, when true, crashes the engine once.
	Crash bool `json:"crash"`
}

func (s *Server) handleControl(w http.ResponseWriter, r *http.Request) {
	var change controlChange
	d := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	d.DisallowUnknownFields()
	if err := d.Decode(&change); err != nil {
		writeError(w, http.StatusUnprocessableEntity, "invalid_json", err.Error())
		return
	}
	writeJSON(w, http.StatusOK, s.change(change))
}

func (s *Server) change(c controlChange) Control {
	s.mu.Lock()
	defer s.mu.Unlock()
	assign(&s.control.Frozen, c.Frozen)
	assign(&s.control.Refuse, c.Refuse)
	assign(&s.control.SlowMs, c.SlowMs)
	assign(&s.control.Leaving, c.Leaving)
	s.applyFrozen()
	if c.Crash {
		s.crash(time.Now())
	}
	return s.control
}

func assign[T any](to *T, from *T) {
	if from != nil {
		*to = *from
	}
}

func (s *Server) applyFrozen() {
	switch {
	case s.control.Frozen && s.thaw == nil:
		s.thaw = make(chan struct{})
	case !s.control.Frozen && s.thaw != nil:
		close(s.thaw)
		s.thaw = nil
		s.wakeLoop()
	}
}

func (s *Server) handleRecord(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, s.Records())
}

func (s *Server) handleStats(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, s.Stats())
}

func (s *Server) handleHealth(w http.ResponseWriter, _ *http.Request) {
	w.WriteHeader(http.StatusNoContent)
}
