package service

import (
	"encoding/json"
	"net/http"
)

// Control holds the injected faults that a test switches on and off.
type Control struct {
	// Frozen pauses the service: calls are accepted, but neither executed nor answered
	// until it is switched off.
	Frozen bool `json:"frozen"`
	// Refuse closes the connection of every call without an answer.
	Refuse bool `json:"refuse"`
	// SlowMs is added to the time of each answer.
	SlowMs float64 `json:"slow_ms"`
	// ErrorStatus, unless 0, is the status of all answers. With 429 and 503 the calls
	// are not executed; with any other status they are.
	ErrorStatus int `json:"error_status"`
	// AnswerLost is the number of next calls that are executed but whose connections
	// are closed without an answer.
	AnswerLost int `json:"answer_lost"`
}

// controlChange is the body of PUT /control. Absent fields keep their values.
type controlChange struct {
	Frozen      *bool    `json:"frozen"`
	Refuse      *bool    `json:"refuse"`
	SlowMs      *float64 `json:"slow_ms"`
	ErrorStatus *int     `json:"error_status"`
	AnswerLost  *int     `json:"answer_lost"`
}

func (s *Server) handleControl(w http.ResponseWriter, r *http.Request) {
	var change controlChange
	d := json.NewDecoder(http.MaxBytesReader(w, r.Body, s.opts.MaxBodyBytes))
	d.DisallowUnknownFields()
	if err := d.Decode(&change); err != nil {
		writeJSON(w, http.StatusUnprocessableEntity, map[string]string{"error": err.Error()})
		return
	}
	if e := change.ErrorStatus; e != nil && *e != 0 && (*e < 400 || *e > 599) {
		writeJSON(w, http.StatusUnprocessableEntity, map[string]string{"error": "error_status must be 0 or 400 to 599"})
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
	assign(&s.control.ErrorStatus, c.ErrorStatus)
	assign(&s.control.AnswerLost, c.AnswerLost)
	switch {
	case s.control.Frozen && s.unfrozen == nil:
		s.unfrozen = make(chan struct{})
	case !s.control.Frozen && s.unfrozen != nil:
		close(s.unfrozen)
		s.unfrozen = nil
	}
	return s.control
}

// assign copies *from to *to unless from is nil.
func assign[T any](to, from *T) {
	if from != nil {
		*to = *from
	}
}
