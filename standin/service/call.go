package service

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"

	"tarragonhollow.example/tarragonhollow/target"
)

// Call is what the service saw of one call.
type Call struct {
	Method string `json:"method"`
	// Path includes the raw query.
	Path     string `json:"path"`
	BodyHash string `json:"body_hash"`
	Key      string `json:"key"`
	Urgency  string `json:"urgency"`
	// AtMs is when the call came, Unix milliseconds.
	AtMs int64 `json:"at_ms"`
	// Execution numbers the executions from 1; 0 tells that the call was
	// refused and not executed.
	Execution int64 `json:"execution"`
	// Lost tells that the connection was cut after the execution.
	Lost bool `json:"lost,omitempty"`
}

// RecordReport is the answer of GET /record.
type RecordReport struct {
	Calls []Call `json:"calls"`
	// Executions counts executed calls with each idempotency key; calls without
	// a key are not in it.
	Executions map[string]int `json:"executions_by_key"`
	// Held counts the calls that a frozen service holds, not executed yet.
	Held int `json:"held"`
}

// Echo is the answer of an executed call.
type Echo struct {
	Service   string `json:"service"`
	Execution int64  `json:"execution"`
	Method    string `json:"method"`
	Path      string `json:"path"`
	Key       string `json:"key,omitempty"`
	// Body is the call's body if it is JSON, else a JSON string of it.
	Body json.RawMessage `json:"body,omitempty"`
}

// action is what the control makes of one call.
type action struct {
	status int
	wait   time.Duration
	cut    bool
}

func (s *Server) handleCall(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, s.opts.MaxBodyBytes))
	if err != nil {
		refuseBody(w, err)
		return
	}
	call, act := s.take(r, body)
	time.Sleep(act.wait)
	switch {
	case act.cut:
		panic(http.ErrAbortHandler)
	case act.status == http.StatusServiceUnavailable, act.status == http.StatusTooManyRequests:
		w.Header().Set(target.HeaderRun, target.RunNotRun)
		w.Header().Set("Retry-After", "1")
		writeJSON(w, act.status, map[string]string{"error": "refused, not executed"})
	case act.status != 0:
		writeJSON(w, act.status, map[string]string{"error": "failed as told by /control"})
	default:
		writeJSON(w, http.StatusOK, s.echo(call, body))
	}
}

func refuseBody(w http.ResponseWriter, err error) {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		writeJSON(w, http.StatusRequestEntityTooLarge, map[string]string{"error": err.Error()})
		return
	}
	writeJSON(w, http.StatusBadRequest, map[string]string{"error": err.Error()})
}

// take records the call and executes it, unless it is refused with 429 or 503.
// The execution counts from here on, whatever becomes of the answer.
func (s *Server) take(r *http.Request, body []byte) (Call, action) {
	s.mu.Lock()
	defer s.mu.Unlock()
	call := Call{
		Method:   r.Method,
		Path:     r.URL.RequestURI(),
		BodyHash: fmt.Sprintf("%016x", xxhash.Sum64(body)),
		Key:      r.Header.Get(target.HeaderKey),
		Urgency:  r.Header.Get(target.HeaderUrgency),
		AtMs:     time.Now().UnixMilli(),
	}
	act := action{status: s.control.ErrorStatus, wait: s.scaled(s.opts.AnswerMs + s.control.SlowMs)}
	if act.status != http.StatusServiceUnavailable && act.status != http.StatusTooManyRequests {
		s.execute(&call, &act)
	}
	s.calls = append(s.calls, call)
	return call, act
}

func (s *Server) execute(call *Call, act *action) {
	s.executions++
	call.Execution = s.executions
	if call.Key != "" {
		s.byKey[call.Key]++
	}
	if s.control.AnswerLost > 0 {
		s.control.AnswerLost--
		call.Lost, act.cut = true, true
	}
}

func (s *Server) echo(call Call, body []byte) Echo {
	e := Echo{Service: s.opts.Name, Execution: call.Execution, Method: call.Method, Path: call.Path, Key: call.Key}
	switch {
	case len(body) == 0:
	case json.Valid(body):
		e.Body = body
	default:
		e.Body, _ = json.Marshal(string(body))
	}
	return e
}

// Record returns all calls in order of arrival and the executions by key.
func (s *Server) Record() RecordReport {
	s.mu.Lock()
	defer s.mu.Unlock()
	report := RecordReport{Calls: append([]Call{}, s.calls...), Executions: map[string]int{}, Held: s.held}
	for key, n := range s.byKey {
		report.Executions[key] = n
	}
	return report
}

func (s *Server) handleRecord(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, s.Record())
}

func (s *Server) handleHealth(w http.ResponseWriter, _ *http.Request) {
	w.WriteHeader(http.StatusNoContent)
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
