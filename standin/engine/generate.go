package engine

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"tarragonhollow.example/tarragonhollow/target"
)

const (
	maxBodyBytes = 16 << 20
	retryAfter   = time.Second
)

// Answer is the body of a response that is not streamed.
type Answer struct {
	Tokens []string      `json:"tokens"`
	Text   string        `json:"text"`
	Finish target.Finish `json:"finish"`
}

func (s *Server) handleGenerate(w http.ResponseWriter, r *http.Request) {
	var req target.GenerateBody
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&req)
	record := newRecord(r, req.GenerateRequest)
	if err != nil {
		s.reject(w, record, "invalid_json", err.Error())
		return
	}
	if reason := s.invalidReason(req.GenerateRequest); reason != "" {
		s.reject(w, record, "unprocessable", reason)
		return
	}
	q := newSequence(req.GenerateRequest, record)
	q.crashes = containsMarker(req.Messages, s.opts.CrashMarker)
	crashed, refused := s.submit(q)
	if refused != nil {
		refused.write(w)
		return
	}
	out := &reply{stream: req.Stream, w: w, flusher: http.NewResponseController(w)}
	s.deliver(r, q, crashed, out)
}

func newRecord(r *http.Request, req target.GenerateRequest) *Record {
	record := &Record{
		StreamID:    req.StreamID,
		Key:         r.Header.Get(target.HeaderKey),
		Urgency:     r.Header.Get(target.HeaderUrgency),
		Model:       req.Model,
		Fingerprint: Fingerprint(req.Model, req.Messages),
		AtMs:        time.Now().UnixMilli(),
		Resumed:     len(req.ResumeTokens),
	}
	record.WrongResume = !isPrefix(ExpectedTokens(req.Model, req.Messages, req.MaxTokens), req.ResumeTokens)
	return record
}

// addRecord records a call. The caller holds s.mu, and submit queues the call under
// the same lock, so that records and queue have the same order.
func (s *Server) addRecord(record *Record) {
	s.records = append(s.records, record)
	if s.control.Leaving {
		s.stats.ReceivedLeaving++
	}
}

// isPrefix reports whether answer begins with prefix.
func isPrefix(answer, prefix []string) bool {
	return len(prefix) <= len(answer) && slices.Equal(answer[:len(prefix)], prefix)
}

// reject records the call and answers it with 422.
func (s *Server) reject(w http.ResponseWriter, record *Record, code, message string) {
	s.mu.Lock()
	s.addRecord(record)
	record.end(EndedRejected, time.Now())
	s.mu.Unlock()
	writeError(w, http.StatusUnprocessableEntity, code, message)
}

// invalidReason returns why the request can never be completed, or "" if it is valid.
func (s *Server) invalidReason(req target.GenerateRequest) string {
	switch {
	case len(req.Messages) == 0:
		return "messages is empty"
	case req.MaxTokens < 0:
		return "max_tokens is negative"
	case containsMarker(req.Messages, s.opts.ImpossibleMarker):
		return "this item can never be completed"
	}
	for _, m := range req.Messages {
		if m.Role == "" {
			return "a message has no role"
		}
	}
	return ""
}

func containsMarker(messages []target.Message, marker string) bool {
	if marker == "" {
		return false
	}
	return slices.ContainsFunc(messages, func(m target.Message) bool {
		return strings.Contains(m.Content, marker)
	})
}

// submit appends the sequence to the queue, or returns why it is refused. The
// returned channel is closed when the engine crashes.
func (s *Server) submit(q *sequence) (<-chan struct{}, *refusal) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.addRecord(q.record)
	if f := s.refuse(q.req.Model, now); f != nil {
		q.record.end(EndedRefused, now)
		return nil, f
	}
	s.waiting = append(s.waiting, q)
	s.sampleLoad(now)
	s.wakeLoop()
	return s.crashed, nil
}

// refuse returns the refusal of a new request for the model, or nil if the engine
// accepts it.
func (s *Server) refuse(model string, now time.Time) *refusal {
	switch {
	case s.control.Leaving:
		return &refusal{http.StatusServiceUnavailable, "leaving", "the engine is leaving", retryAfter}
	case now.Before(s.served.loadingUntil):
		return &refusal{http.StatusServiceUnavailable, "loading", "the engine loads a model", s.served.loadingUntil.Sub(now)}
	case !s.served.serves(model):
		return &refusal{http.StatusConflict, "model_not_loaded", "the engine has " + s.served.model + " loaded", 0}
	case s.opts.QueueLimit > 0 && len(s.waiting) >= s.opts.QueueLimit:
		return &refusal{http.StatusTooManyRequests, "queue_full", "too many requests wait", retryAfter}
	}
	return nil
}

// deliver copies the sequence's events to the client until the finish event. If the
// engine crashes or closes, it aborts the connection without writing another byte.
func (s *Server) deliver(r *http.Request, q *sequence, crashed <-chan struct{}, out *reply) {
	disconnected := r.Context().Done()
	for {
		select {
		case e := <-q.events:
			if out.event(e) {
				return
			}
		case <-disconnected:
			disconnected = nil
			if s.opts.CancelOnDisconnect {
				s.cancelSequence(q)
			}
		case <-crashed:
			panic(http.ErrAbortHandler)
		case <-s.done:
			panic(http.ErrAbortHandler)
		}
	}
}

func (s *Server) cancelSequence(q *sequence) {
	s.mu.Lock()
	q.cancelled = true
	s.mu.Unlock()
	s.wakeLoop()
}

func (s *Server) handleCancel(w http.ResponseWriter, r *http.Request) {
	id := r.PathValue("id")
	found := 0
	s.mu.Lock()
	for _, list := range [][]*sequence{s.running, s.waiting} {
		for _, q := range list {
			if q.req.StreamID == id {
				q.cancelled = true
				found++
			}
		}
	}
	s.mu.Unlock()
	s.wakeLoop()
	writeJSON(w, http.StatusOK, map[string]int{"cancelled": found})
}

// reply writes events as SSE lines, or collects them for a single JSON response.
type reply struct {
	stream  bool
	w       http.ResponseWriter
	flusher *http.ResponseController
	started bool
	tokens  []string
	line    []byte
}

// event writes one event and reports whether it was the last.
func (p *reply) event(e event) bool {
	if !p.stream {
		return p.collect(e)
	}
	if !p.started {
		p.w.Header().Set("Content-Type", "text/event-stream")
		p.w.WriteHeader(http.StatusOK)
		p.started = true
	}
	if e.finish != nil {
		finish, _ := json.Marshal(e.finish)
		p.line = append(append(append(p.line[:0], `data: {"finish":`...), finish...), "}\n\ndata: [DONE]\n\n"...)
	} else {
		p.line = strconv.AppendInt(append(p.line[:0], `data: {"index":`...), int64(e.token.Index), 10)
		p.line = strconv.AppendQuote(append(p.line, `,"text":`...), e.token.Text)
		p.line = append(p.line, "}\n\n"...)
	}
	_, _ = p.w.Write(p.line)
	_ = p.flusher.Flush()
	return e.finish != nil
}

// collect keeps the tokens, writes the JSON response at the finish event and reports
// whether the event was the last.
func (p *reply) collect(e event) bool {
	if e.finish == nil {
		p.tokens = append(p.tokens, e.token.Text)
		return false
	}
	writeJSON(p.w, http.StatusOK, Answer{Tokens: p.tokens, Text: strings.Join(p.tokens, ""), Finish: *e.finish})
	return true
}
