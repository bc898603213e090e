package engine

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"time"

	"tarragonhollow.example/tarragonhollow/target"
)

// Actions that an order can have.
const (
	ActionLoadModel   = "load_model"
	ActionLoadAdapter = "load_adapter"
	ActionSetRole     = "set_role"
)

// served is what the engine has loaded: a model, its adapters and a role.
type served struct {
	model        string
	version      string
	role         string
	adapters     []string
	loadingUntil time.Time
}

// serves reports whether the engine serves the model. An engine without a model
// serves any.
func (v *served) serves(model string) bool {
	return v.model == "" || v.model == model || slices.Contains(v.adapters, model)
}

func (v *served) addAdapter(name string) {
	if !slices.Contains(v.adapters, name) {
		v.adapters = append(v.adapters, name)
	}
}

func (s *Server) handleOrder(w http.ResponseWriter, r *http.Request) {
	var o target.Order
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&o); err != nil {
		writeError(w, http.StatusUnprocessableEntity, "invalid_json", err.Error())
		return
	}
	s.mu.Lock()
	status, code, message := s.applyOrder(o, time.Now())
	s.mu.Unlock()
	if status != http.StatusOK {
		writeError(w, status, code, message)
		return
	}
	writeJSON(w, status, o)
}

// applyOrder applies the order and returns the status, error code and message of the
// response. A fencing number below the highest seen comes from a lease holder that
// was paused and has been replaced: with Options.ChecksOrders the engine refuses the
// order, otherwise it only counts it.
func (s *Server) applyOrder(o target.Order, now time.Time) (int, string, string) {
	if o.Fence < s.stats.HighestFence {
		s.stats.StaleOrders++
		if s.opts.ChecksOrders {
			return http.StatusConflict, "stale_fence", fmt.Sprintf("fence %d is below %d", o.Fence, s.stats.HighestFence)
		}
	}
	switch {
	case o.Action == ActionLoadModel && o.Model != "":
		s.served = served{model: o.Model, version: o.Version, role: s.served.role}
		s.served.loadingUntil = now.Add(s.scaled(s.opts.LoadMs))
		s.cache.clear(s.opts)
	case o.Action == ActionLoadAdapter && o.Model != "":
		s.served.addAdapter(o.Model)
	case o.Action == ActionSetRole && o.Role != "":
		s.served.role = o.Role
	default:
		return http.StatusUnprocessableEntity, "unprocessable", "unknown action or missing field"
	}
	s.stats.HighestFence = max(s.stats.HighestFence, o.Fence)
	return http.StatusOK, "", ""
}
