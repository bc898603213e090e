package engine

import "time"

// Ends of a recorded call.
const (
	EndedFinished  = "finished"
	EndedCancelled = "cancelled"
	EndedCrashed   = "crashed"
	EndedRejected  = "rejected"
	EndedRefused   = "refused"
)

// Record is what the engine saw of one generate call.
type Record struct {
	StreamID    string `json:"stream_id"`
	Key         string `json:"key"`
	Urgency     string `json:"urgency"`
	Model       string `json:"model"`
	Fingerprint string `json:"fingerprint"`
	// AtMs, FirstTokenMs, LastTokenMs and EndedMs are Unix milliseconds, 0 is
	// "not yet".
	AtMs         int64 `json:"at_ms"`
	FirstTokenMs int64 `json:"first_token_ms"`
	LastTokenMs  int64 `json:"last_token_ms"`
	EndedMs      int64 `json:"ended_ms"`
	// Ended is "" while the call is open, else one of the Ended constants.
	Ended string `json:"ended"`
	// Resumed counts the tokens that the request brought along, Tokens those
	// that the engine generated for this call.
	Resumed int `json:"resumed"`
	Tokens  int `json:"tokens"`
	// WrongResume tells that the resumed tokens do not begin the prompt's answer.
	WrongResume bool `json:"wrong_resume,omitempty"`
}

func (r *Record) token(now time.Time) {
	ms := now.UnixMilli()
	if r.Tokens == 0 {
		r.FirstTokenMs = ms
	}
	r.LastTokenMs = ms
	r.Tokens++
}

func (r *Record) end(how string, now time.Time) {
	if r.Ended == "" {
		r.Ended = how
		r.EndedMs = now.UnixMilli()
	}
}

// Stats counts since the start; a crash does not reset them.
type Stats struct {
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	Steps   int `json:"steps"`
	Crashes int `json:"crashes"`
	// TokensByUrgency is keyed by the Tarragon-Urgency header, "" included.
	TokensByUrgency map[string]int `json:"tokens_by_urgency"`
	FirstTokenMs    int64          `json:"first_token_ms"`
	LastTokenMs     int64          `json:"last_token_ms"`
	// ReceivedLeaving counts generate calls that came while the engine was leaving.
	ReceivedLeaving int `json:"received_leaving"`
	// Held counts the calls that a frozen engine holds.
	Held         int    `json:"held"`
	CacheBlocks  int    `json:"cache_blocks"`
	HighestFence uint64 `json:"highest_fence"`
	// StaleOrders counts orders below the highest fencing number, refused or not.
	StaleOrders int    `json:"stale_orders"`
	Model       string `json:"model"`
	Version     string `json:"version"`
	Role        string `json:"role"`
}
