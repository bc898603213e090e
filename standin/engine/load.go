package engine

import (
	"net/http"
	"time"

	"tarragonhollow.example/tarragonhollow/target"
)

type loadSample struct {
	at      time.Time
	running int
	waiting int
}

// loadHistory keeps the load samples that a delayed report may still return.
type loadHistory struct {
	samples []loadSample
}

// add appends a sample and drops those too old to be reported with the given lag.
func (h *loadHistory) add(s loadSample, lag time.Duration) {
	h.samples = append(h.samples, s)
	reported := h.indexAt(s.at.Add(-lag))
	if reported > len(h.samples)/2 {
		h.samples = append(h.samples[:0], h.samples[reported:]...)
	}
}

// indexAt returns the index of the latest sample at or before t, or -1.
func (h *loadHistory) indexAt(t time.Time) int {
	i := len(h.samples) - 1
	for i >= 0 && h.samples[i].at.After(t) {
		i--
	}
	return i
}

func (s *Server) sampleLoad(now time.Time) {
	s.load.add(loadSample{now, len(s.running), len(s.waiting)}, s.scaled(s.opts.ReportLagMs))
}

func (s *Server) handleLoad(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	at := time.Now().Add(-s.scaled(s.opts.ReportLagMs))
	report := target.LoadReport{
		AtMs: at.UnixMilli(), Slots: s.opts.Slots, Model: s.served.model, Version: s.served.version,
	}
	if i := s.load.indexAt(at); i >= 0 {
		report.Running, report.Waiting = s.load.samples[i].running, s.load.samples[i].waiting
	}
	s.mu.Unlock()
	writeJSON(w, http.StatusOK, report)
}
