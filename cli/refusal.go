package cli

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

// maxErrorBytes limits how much of a refusal's body is read.
const maxErrorBytes = 1 << 20

// refusal is the daemon's JSON of an error. For a version conflict on the configuration
// it names the winner, either beside the error object or in it.
type refusal struct {
	Error struct {
		Code         string `json:"code"`
		Message      string `json:"message"`
		Run          string `json:"run"`
		RetryAfterMs int64  `json:"retry_after_ms"`
		winner
	} `json:"error"`
	winner
}

type winner struct {
	Winner  string `json:"winner"`
	Version uint64 `json:"version"`
}

// refusalError reads a refusal and returns it as an error with its exit code. In JSON
// mode it also prints the daemon's JSON to the standard output.
func (a *app) refusalError(resp *http.Response) error {
	body, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorBytes))
	if a.flags.json {
		_, _ = a.Out.Write(body)
	}
	var r refusal
	if err := json.Unmarshal(body, &r); err != nil || r.Error.Code == "" {
		return exitWith(ExitFailed, fmt.Errorf("the daemon returned %s without a decodable error body", resp.Status))
	}
	code := ExitFailed
	if r.Error.Code == "version_conflict" {
		code = ExitConflict
	}
	return exitWith(code, fmt.Errorf("%s", r.text()))
}

// text formats code, message, run state, retry time and winner as readable lines.
func (r *refusal) text() string {
	var b strings.Builder
	fmt.Fprintf(&b, "refused: %s: %s", r.Error.Code, r.Error.Message)
	if r.Error.Run != "" {
		fmt.Fprintf(&b, "\n  run:    %s", r.Error.Run)
	}
	if r.Error.RetryAfterMs > 0 {
		fmt.Fprintf(&b, "\n  retry:  after %s", time.Duration(r.Error.RetryAfterMs)*time.Millisecond)
	}
	if r.Error.Code == "unauthorized" {
		fmt.Fprintf(&b, "\n  hint:   the token of the daemon's settings goes into --token or %s", EnvToken)
	}
	won := r.Error.winner
	if won.Version == 0 {
		won = r.winner
	}
	if won.Version > 0 {
		fmt.Fprintf(&b, "\n  winner: %s, version %d", won.Winner, won.Version)
	}
	return b.String()
}
