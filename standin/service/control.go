package service

import (
	"encoding/json"
	"net/http"
)

// Control holds the faults that a test switches on and off.
type Control struct {
	// Frozen: calls are accepted and neither executed nor answered until it is
	// switched off.
	Frozen bool `json:"frozen"`
	// Refuse: every call is hung up on.
	Refuse bool `json:"refuse"`
	// SlowMs is added to each answer's time.
	SlowMs float64 `json:"slow_ms"`
	// ErrorStatus, unless 0, is the status of all answers. With 429 and 503 the
	// calls are not executed; with any other they are.
	ErrorStatus int `json:"error_status"`
	// AnswerLost is how many of the next calls are executed and then cut.
	AnswerLost int `json:"answer_lost"`
}

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

// change takes over what the change names; what is absent stays.
func (s *Server) change(c controlChange) Control {
	s.mu.Lock()
	defer s.mu.Unlock()
	assign(&s.control.Frozen, c.Frozen)
	assign(&s.control.Refuse, c.Refuse)
	assign(&s.control.SlowMs, c.SlowMs)
	assign(&s.control.ErrorStatus, c.ErrorStatus)
	assign(&s.control.AnswerLost, c.AnswerLost)
	switch {
	case s.control.Frozen && s.thaw == nil:
		s.thaw = make(chan struct{})
	case !s.control.Frozen && s.thaw != nil:
		close(s.thaw)
		s.thaw = nil
	}
	return s.control
}

func assign[T any](to, from *T) {
	if from != nil {
		*to = *from
	}
}
