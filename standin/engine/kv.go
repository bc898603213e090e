package engine

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"
)

// kvExport is the exported form of a cached prefix, opaque to clients. Blocks are the
// prefix hashes, shortest first.
type kvExport struct {
	Model  string   `json:"model"`
	Blocks []string `json:"blocks"`
}

func (s *Server) handleEvents(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	if err != nil && r.URL.Query().Has("after") {
		writeError(w, http.StatusUnprocessableEntity, "unprocessable", "after is not a number")
		return
	}
	s.mu.Lock()
	events := s.cache.eventsAfter(after, time.Now())
	s.mu.Unlock()
	writeJSON(w, http.StatusOK, events)
}

func (s *Server) handleExport(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	export := kvExport{Model: s.served.model, Blocks: s.cache.chain(r.PathValue("prefix"))}
	s.mu.Unlock()
	if export.Blocks == nil {
		writeError(w, http.StatusNotFound, "not_cached", "the prefix is not cached")
		return
	}
	writeJSON(w, http.StatusOK, export)
}

func (s *Server) handleImport(w http.ResponseWriter, r *http.Request) {
	var kv kvExport
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&kv)
	if err != nil || len(kv.Blocks) == 0 || kv.Blocks[len(kv.Blocks)-1] != r.PathValue("prefix") {
		writeError(w, http.StatusUnprocessableEntity, "unprocessable", "the body is no export of this prefix")
		return
	}
	s.mu.Lock()
	same := kv.Model == s.served.model
	if same {
		s.cache.store(kv.Blocks)
	}
	s.mu.Unlock()
	if !same {
		writeError(w, http.StatusConflict, "model_not_loaded", "the export is of model "+kv.Model)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}
