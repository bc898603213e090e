package engine

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"tarragonhollow.example/tarragonhollow/target"
)

// errorBody is the JSON body of every error response.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Code    string `json:"code"`
	Message string `json:"message"`
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

func writeError(w http.ResponseWriter, status int, code, message string) {
	writeJSON(w, status, errorBody{errorDetail{code, message}})
}

// refusal is the response to a request that the engine has not run. after is the
// Retry-After time; 0 omits the header.
type refusal struct {
	status  int
	code    string
	message string
	after   time.Duration
}

func (f *refusal) write(w http.ResponseWriter) {
	w.Header().Set(target.HeaderRun, target.RunNotRun)
	if f.after > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(f.after.Seconds()))))
	}
	writeError(w, f.status, f.code, f.message)
}
