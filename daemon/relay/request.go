package relay

import (
	"net/http"
	"time"

	"tarragonhollow.example/tarragonhollow/bodymemory"
	"tarragonhollow.example/tarragonhollow/core/roster"
	"tarragonhollow.example/tarragonhollow/core/route"
	"tarragonhollow.example/tarragonhollow/target/h1"
)

// Request is one request of a caller.
type Request struct {
	// ID is the request ID that the caller gave.
	ID    string
	Route *route.Route
	// Account is the client account's name, "" if there is none.
	Account string
	// Rank is the request's priority; 0 is the highest.
	Rank int
	// Weight is the account's weight among those that compete for slots, 0 for 1.
	Weight float64
	// PromptTokens and OutputTokens are the tokens of the prompt and the maximum number of
	// generated tokens, 0 for unknown.
	PromptTokens, OutputTokens int64
	// HTTP is the request as the caller sent it, without hop-by-hop headers.
	HTTP h1.Request
	// Resumes reports that the caller has the events up to After, and asks for what follows.
	Resumes bool
	After   int64
	// StreamID is the ID of the request whose response brought the first event of the stream
	// that the caller resumes, "" if the caller names none.
	StreamID string
	// Arrived is when the request was read, Deadline when the caller stops waiting.
	Arrived, Deadline time.Time
	// Memory bounds the buffered bytes of the answer; nil for no bound.
	Memory *bodymemory.Claim
}

// Verdict is what an answer's head says about the request.
type Verdict int

const (
	// Ran: the target ran the request.
	Ran Verdict = iota
	// Rejected: the target did not run the request because of load.
	Rejected
	// WrongTarget: another target than the expected one now has the address.
	WrongTarget
)

// NoDeadline means that a request has no time limit.
const NoDeadline time.Duration = 0

// NoEvent is the position before a stream's first event.
const NoEvent int64 = -1

// Wire is the protocol spoken with targets: it converts requests and interprets the heads
// of answers.
type Wire interface {
	// Prepare returns the request for a target. left is the time that the target has, or
	// NoDeadline; after is the ID of the last event already delivered, or NoEvent.
	Prepare(r *Request, t roster.Target, left time.Duration, after int64) *h1.Request
	// Matches returns whether an answer belongs to the request with the ID.
	Matches(id string, status int, header http.Header) h1.Match
	// Classify returns the verdict that an answer's head implies.
	Classify(status int, header http.Header) Verdict
	// PromptParts returns the IDs of the parts of a request's prompt that other requests may share,
	// from its header: all but the last one.
	PromptParts(header http.Header) []string
	// Identity determines whether a connection leads to the target's start, nil if targets like
	// this one state no start.
	Identity(t roster.Target) *h1.Identity
}
