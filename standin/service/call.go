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

// Call describes one call as the service received it.
type Call struct {
	Method string `json:"method"`
	// Path includes the raw query.
	Path     string `json:"path"`
	BodyHash string `json:"body_hash"`
	Key      string `json:"key"`
	Urgency  string `json:"urgency"`
	// AtMs is when the call arrived, in Unix milliseconds.
	AtMs int64 `json:"at_ms"`
	// Execution is the number of the execution, from 1; 0 means that the call was
	// refused and not executed.
	Execution int64 `json:"execution"`
	// Lost reports that the connection was closed without an answer after the
	// execution.
	Lost bool `json:"lost,omitempty"`
}

// RecordReport is the response body of GET /record.
type RecordReport struct {
	Calls []Call `json:"calls"`
	// Executions counts the executed calls by idempotency key. Calls without a key
	// are not included.
	Executions map[string]int `json:"executions_by_key"`
	// Held is the number of calls waiting because the service is frozen. They have
	// not been executed.
	Held int `json:"held"`
}

// Echo is the response body of an executed call.
type Echo struct {
	Service   string `json:"service"`
	Execution int64  `json:"execution"`
	Method    string `json:"method"`
	Path      string `json:"path"`
	Key       string `json:"key,omitempty"`
	// Body is the call's body if it is valid JSON, otherwise the body as a JSON string.
	Body json.RawMessage `json:"body,omitempty"`
}

// faultPlan is how the injected faults affect one call. Status 0 means that the call
// succeeds.
type faultPlan struct {
	status int
	delay  time.Duration
	abort  bool
}

func (s *Server) handleCall(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, s.opts.MaxBodyBytes))
	if err != nil {
		writeBodyError(w, err)
		return
	}
	call, plan := s.recordCall(r, body)
	time.Sleep(plan.delay)
	switch {
	case plan.abort:
		panic(http.ErrAbortHandler)
	case plan.status == http.StatusServiceUnavailable, plan.status == http.StatusTooManyRequests:
		w.Header().Set(target.HeaderRun, target.RunNotRun)
		w.Header().Set("Retry-After", "1")
		writeJSON(w, plan.status, map[string]string{"error": "refused, not executed"})
	case plan.status != 0:
		writeJSON(w, plan.status, map[string]string{"error": "failed as told by /control"})
	default:
		writeJSON(w, http.StatusOK, s.echo(call, body))
	}
}

func writeBodyError(w http.ResponseWriter, err error) {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		writeJSON(w, http.StatusRequestEntityTooLarge, map[string]string{"error": err.Error()})
		return
	}
	writeJSON(w, http.StatusBadRequest, map[string]string{"error": err.Error()})
}

// recordCall records the call and executes it, unless it is refused with 429 or 503.
// The execution counts even if the answer is lost afterwards.
func (s *Server) recordCall(r *http.Request, body []byte) (Call, faultPlan) {
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
	plan := faultPlan{status: s.control.ErrorStatus, delay: s.scaled(s.opts.AnswerMs + s.control.SlowMs)}
	if plan.status != http.StatusServiceUnavailable && plan.status != http.StatusTooManyRequests {
		s.execute(&call, &plan)
	}
	s.calls = append(s.calls, call)
	return call, plan
}

// execute counts the execution and decides whether its answer is lost. The caller
// holds s.mu.
func (s *Server) execute(call *Call, plan *faultPlan) {
	s.executions++
	call.Execution = s.executions
	if call.Key != "" {
		s.byKey[call.Key]++
	}
	if s.control.AnswerLost > 0 {
		s.control.AnswerLost--
		call.Lost, plan.abort = true, true
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
