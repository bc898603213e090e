package engine

import (
	"encoding/json"
	"net/http"
	"time"
)

// Control holds the injected faults that a test switches on and off.
type Control struct {
	// Frozen pauses the engine: calls are accepted but not answered, and the batch
	// makes no progress, until it is switched off.
	Frozen bool `json:"frozen"`
	// Refuse closes the connection of every call without an answer.
	Refuse bool `json:"refuse"`
	// SlowMs is added to each step.
	SlowMs float64 `json:"slow_ms"`
	// Leaving drains the engine: new generate calls get 503, running ones continue.
	Leaving bool `json:"leaving"`
}

// controlChange is the body of PUT /control. Absent fields keep their values.
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

// change applies the fields that are set and returns the resulting faults.
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

// assign copies *from to *to unless from is nil.
func assign[T any](to *T, from *T) {
	if from != nil {
		*to = *from
	}
}

// applyFrozen opens or closes s.unfrozen according to Control.Frozen. The caller
// holds s.mu.
func (s *Server) applyFrozen() {
	switch {
	case s.control.Frozen && s.unfrozen == nil:
		s.unfrozen = make(chan struct{})
	case !s.control.Frozen && s.unfrozen != nil:
		close(s.unfrozen)
		s.unfrozen = nil
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
