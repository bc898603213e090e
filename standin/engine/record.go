package engine

import "time"

// Values of Record.Ended.
const (
	EndedFinished  = "finished"
	EndedCancelled = "cancelled"
	EndedCrashed   = "crashed"
	EndedRejected  = "rejected"
	EndedRefused   = "refused"
)

// Record describes one generate call as the engine received it.
type Record struct {
	StreamID    string `json:"stream_id"`
	Key         string `json:"key"`
	Urgency     string `json:"urgency"`
	Model       string `json:"model"`
	Fingerprint string `json:"fingerprint"`
	// AtMs, FirstTokenMs, LastTokenMs and EndedMs are Unix milliseconds; 0 means that
	// it has not happened yet.
	AtMs         int64 `json:"at_ms"`
	FirstTokenMs int64 `json:"first_token_ms"`
	LastTokenMs  int64 `json:"last_token_ms"`
	EndedMs      int64 `json:"ended_ms"`
	// Ended is "" while the call is open, otherwise one of the Ended constants.
	Ended string `json:"ended"`
	// Resumed is the number of resume tokens in the request, Tokens the number that
	// the engine generated for this call.
	Resumed int `json:"resumed"`
	Tokens  int `json:"tokens"`
	// WrongResume reports that the resume tokens are not a prefix of the prompt's
	// expected answer.
	WrongResume bool `json:"wrong_resume,omitempty"`
}

// addToken counts a generated token.
func (r *Record) addToken(now time.Time) {
	ms := now.UnixMilli()
	if r.Tokens == 0 {
		r.FirstTokenMs = ms
	}
	r.LastTokenMs = ms
	r.Tokens++
}

// end sets the outcome unless the call has already ended.
func (r *Record) end(outcome string, now time.Time) {
	if r.Ended == "" {
		r.Ended = outcome
		r.EndedMs = now.UnixMilli()
	}
}

// Stats holds the engine's current state and its counts since the start. A crash does
// not reset the counts.
type Stats struct {
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	Steps   int `json:"steps"`
	Crashes int `json:"crashes"`
	// TokensByUrgency is keyed by the value of the Tarragon-Urgency header, which may
	// be "".
	TokensByUrgency map[string]int `json:"tokens_by_urgency"`
	FirstTokenMs    int64          `json:"first_token_ms"`
	LastTokenMs     int64          `json:"last_token_ms"`
	// ReceivedLeaving counts generate calls received while the engine was leaving.
	ReceivedLeaving int `json:"received_leaving"`
	// Held is the number of calls currently waiting because the engine is frozen.
	Held         int    `json:"held"`
	CacheBlocks  int    `json:"cache_blocks"`
	HighestFence uint64 `json:"highest_fence"`
	// StaleOrders counts orders below the highest fencing number, whether refused or
	// not.
	StaleOrders int    `json:"stale_orders"`
	Model       string `json:"model"`
	Version     string `json:"version"`
	Role        string `json:"role"`
}
