// Package ledger is the pure state machine that decides, from the order of
// records on a shard's log stream alone, which request or item has which
// result. It has no clock, no socket and no goroutine: inputs step in, a typed
// batch of outputs comes out.
package ledger

import (
	"context"

	"tarragonhollow.example/tarragonhollow/core/outcome"
)

// Answer is the kept whole answer of a keyed request or an item.
type Answer struct {
	// Status is the HTTP status.
	Status int
	// ContentType is the answer's media type.
	ContentType string
	// Body is the whole answer, never the streamed form.
	Body []byte
}

// RequestState is where a keyed request stands.
type RequestState string

const (
	// RequestRunning: granted to an entry host, no completion yet.
	RequestRunning RequestState = "running"
	// RequestCompleted: the answer is kept.
	RequestCompleted RequestState = "completed"
	// RequestFailed: ended for good without an answer; the refusal is kept.
	RequestFailed RequestState = "failed"
	// RequestUnknown: a non-repeatable request started and its outcome is not
	// known; a late completion still settles it.
	RequestUnknown RequestState = "may_have_run"
)

// BeginRequest asks the shard's owner whether the entry host may run a keyed request.
type BeginRequest struct {
	// Key is CALLER/KEY; it hashes to the shard.
	Key string
	// Nonce names this arrival: asking again with the same nonce gets the same word.
	Nonce string
	// Entry is the asking daemon's incarnation id.
	Entry string
	// Fingerprint is the hash of the request's content.
	Fingerprint string
	// Profile is the profile's name.
	Profile string
	// Repeatable is the profile's word.
	Repeatable bool
	// WaitMs bounds how long the owner may hold the call while another entry
	// host runs the same key.
	WaitMs int64
}

// BeginVerdict is the owner's word on a BeginRequest.
type BeginVerdict string

const (
	// Granted: run it now, as attempt Attempt.
	Granted BeginVerdict = "granted"
	// StillRunning: another entry host runs it and WaitMs is over; ask again.
	StillRunning BeginVerdict = "still_running"
	// Settled: Answer or Refusal holds the final word.
	Settled BeginVerdict = "settled"
	// Free: nothing is kept of the key. Only OnLog says so.
	Free BeginVerdict = "free"
)

// BeginReply answers a BeginRequest.
type BeginReply struct {
	Verdict BeginVerdict
	Attempt int
	Answer  *Answer
	Refusal *outcome.Refusal
}

// FinishRequest reports the end of a granted run.
type FinishRequest struct {
	Key     string
	Nonce   string
	Attempt int
	// Answer is set on success.
	Answer *Answer
	// Refusal is set otherwise. With Run == not_run the key becomes free again;
	// with may_have_run a non-repeatable request stays unknown.
	Refusal *outcome.Refusal
	// Begin is what the run was granted on. The ledger's client fills it in, so
	// that an owner whose predecessor died before the start was on the log can
	// still keep the end.
	Begin BeginRequest
}

// FinishReply answers a FinishRequest.
type FinishReply struct {
	// Durable tells that the end is read back from the log.
	Durable bool
	// Answer is the result that stands, which may be an earlier attempt's.
	Answer  *Answer
	Refusal *outcome.Refusal
}

// KeptRequest is the state of a keyed request as a caller reads it.
type KeptRequest struct {
	State   RequestState
	Answer  *Answer
	Refusal *outcome.Refusal
}

// ItemState is where a batch item stands.
type ItemState string

const (
	// ItemWaiting: not started, or to be started again.
	ItemWaiting ItemState = "waiting"
	// ItemRunning: leased to a steward.
	ItemRunning ItemState = "running"
	// ItemCompleted: the result is kept.
	ItemCompleted ItemState = "completed"
	// ItemFailed: can never be completed; the refusal is kept.
	ItemFailed ItemState = "failed"
	// ItemCancelled: the job was cancelled first.
	ItemCancelled ItemState = "cancelled"
)

// Item is one line of a job.
type Item struct {
	// CustomID is the caller's name for it, unique in the job.
	CustomID string
	// URL is the request path, e.g. /v1/chat/completions.
	URL string
	// Body is the request body (JSON).
	Body []byte
}

// ItemResult is one line of a job's results.
type ItemResult struct {
	CustomID string
	State    ItemState
	Attempts int
	Answer   *Answer
	Refusal  *outcome.Refusal
}

// JobState is where a job stands.
type JobState string

const (
	// JobOpen: being uploaded, not accepted.
	JobOpen JobState = "open"
	// JobAccepted: durable, items wait or run.
	JobAccepted JobState = "accepted"
	// JobCancelling: the cancel is durable, running items are being stopped.
	JobCancelling JobState = "cancelling"
	// JobCancelled: no item will start any more.
	JobCancelled JobState = "cancelled"
	// JobEnded: every item is completed or failed.
	JobEnded JobState = "ended"
)

// JobStatus is what GET /v1/jobs/{job} tells.
type JobStatus struct {
	Job       string   `json:"job"`
	Profile   string   `json:"profile"`
	State     JobState `json:"state"`
	Items     int      `json:"items"`
	Waiting   int      `json:"waiting"`
	Running   int      `json:"running"`
	Completed int      `json:"completed"`
	Failed    int      `json:"failed"`
	Cancelled int      `json:"cancelled"`
	// AcceptedMs, DueMs, EndedMs are Unix milliseconds; 0 is "not yet".
	AcceptedMs int64 `json:"accepted_ms"`
	DueMs      int64 `json:"due_ms"`
	EndedMs    int64 `json:"ended_ms"`
	// ForecastMs is the forecast of finishing, Unix milliseconds; 0 is "unknown".
	ForecastMs int64 `json:"forecast_ms"`
}

// JobOpenRequest opens the upload of a job under its scoped name CALLER/JOB.
type JobOpenRequest struct {
	Job     string
	Profile string
	// Upload names this upload: chunks of two uploads never mix.
	Upload string
	// DueMs is when the job is due, Unix milliseconds.
	DueMs int64
	// Repeatable is the profile's word for every item.
	Repeatable bool
	// MaxAttempts bounds the attempts at one item.
	MaxAttempts int
}

// JobOpenReply answers a JobOpenRequest.
type JobOpenReply struct {
	Refusal *outcome.Refusal
}

// JobChunkRequest carries the next items of an upload, in order.
type JobChunkRequest struct {
	Job    string
	Upload string
	Index  int
	Items  []Item
	// Abandon ends the upload, which will not be committed: what it put on the
	// log is dropped. The other fields but Job and Upload are not used.
	Abandon bool
}

// JobChunkReply answers a JobChunkRequest once the chunk is with the owner
// (bounded memory: the owner answers when it has room for the next).
type JobChunkReply struct {
	Refusal *outcome.Refusal
}

// JobCommitRequest ends an upload: the job is accepted if this becomes durable.
type JobCommitRequest struct {
	Job    string
	Upload string
	Chunks int
	Items  int
	// Fingerprint is the hash over profile and all items: the same job sent
	// again has the same one.
	Fingerprint string
}

// JobCommitReply answers a JobCommitRequest after read-back.
type JobCommitReply struct {
	// Created is false when the same job was already there.
	Created bool
	Status  JobStatus
	Refusal *outcome.Refusal
}

// ItemRef names an item across daemons.
type ItemRef struct {
	// Job is the scoped name; it hashes to the shard.
	Job string
	// Index is the item's line number from 0.
	Index int
	// Attempt is the attempt the lease was given for, from 1.
	Attempt int
}

// LeasedItem is an item handed to a steward.
type LeasedItem struct {
	Ref     ItemRef
	Item    Item
	Profile string
	// DueMs is the job's due time, Unix milliseconds.
	DueMs int64
	// Progress holds the tokens that an earlier, cancelled attempt delivered.
	Progress []string
	// Shard and Term are the owner's that hands the item over.
	Shard int
	Term  uint64
	// Suspect tells that the item was running on targets as they crashed: run it alone.
	Suspect bool
}

// PullRequest is a steward's request for items of a target group.
type PullRequest struct {
	// Steward is the asking daemon's incarnation id.
	Steward string
	// Group is the target group's name; the owner matches items by URL and model.
	Group string
	// Max bounds the items, MaxBytes the bytes of their lines together.
	Max      int
	MaxBytes int
	// Running lists the items of this owner's shards that the steward holds
	// already: a new owner learns its predecessor's leases from it.
	Running []ItemRef
	// Seq numbers the steward's pulls from 1; 0 comes from a steward that
	// doesn't count them.
	Seq uint64
	// Held lists every item in the steward's hands, whoever owns its shard, if
	// HeldWhole is set. The list was made while no earlier pull of the steward's
	// at this owner was in flight: each one's reply is in the list or was thrown
	// away for good.
	Held      []ItemRef
	HeldWhole bool
	// Terms are the highest terms that the steward has heard of, by shard: it
	// takes nothing any more from owners of earlier ones. Set with HeldWhole.
	Terms map[int]uint64
}

// PullReply answers a PullRequest.
type PullReply struct {
	Items []LeasedItem
	// LeaseMs is how long the steward may start the items, from when it SENT the pull.
	LeaseMs int64
	// Backlog is how many items of the group still wait at this owner.
	Backlog int
	// EarliestDueMs is the most urgent waiting item's due time, Unix
	// milliseconds, 0 if none.
	EarliestDueMs int64
	// Cancelled lists the Running items whose job was cancelled: stop them.
	Cancelled []ItemRef
	// Terms are the terms of all shards held at this owner's daemon, told when the
	// pull has HeldWhole.
	Terms map[int]uint64
}

// ItemEnd reports the end of one leased item.
type ItemEnd struct {
	Ref ItemRef
	// Answer is set on success; Refusal on a failed attempt; neither when the
	// item is handed back unfinished (Progress may then hold its tokens).
	Answer   *Answer
	Refusal  *outcome.Refusal
	Progress []string
	// Final tells that a failed attempt must not be repeated (rejected content).
	Final bool
	// Crashed tells that the target crashed while the item ran there.
	Crashed bool
	// Alone tells that nothing else ran on the target at that moment.
	Alone bool
}

// FinishItemsRequest reports the ends of leased items.
type FinishItemsRequest struct {
	Steward string
	Ends    []ItemEnd
}

// FinishItemsReply answers a FinishItemsRequest: what was taken over by the owner.
type FinishItemsReply struct {
	Refusal *outcome.Refusal
}

// ResultsRequest asks for results from an item index on.
type ResultsRequest struct {
	// Job is the scoped name CALLER/JOB.
	Job string
	// From is the first item's index in the job, from 0.
	From int
	// MaxBytes bounds the page: the item that passes it is the last one. 0 is 1 MiB.
	MaxBytes int
}

// ResultsReply holds ended items in line order from the index on, skipping
// those not ended yet.
type ResultsReply struct {
	Results []ItemResult
	// Next is the index to go on from; Next == Items means all were seen.
	Next    int
	Items   int
	Refusal *outcome.Refusal
}

// Client is how the rest of a daemon uses the ledger: every method finds the
// shard's owner (this daemon or another) and asks it. A refusal is returned as
// *outcome.Refusal; NoOwner and LogUnavailable tell when to come back.
type Client interface {
	// Begin asks for leave to run a keyed request. A non-repeatable one is
	// granted only once its start was read back from the log.
	Begin(ctx context.Context, req BeginRequest) (BeginReply, error)
	// Finish reports the end of a granted run.
	Finish(ctx context.Context, req FinishRequest) (FinishReply, error)
	// OnLog reads from the log itself, without an owner, what became of the
	// arrival's key: Free, Settled, or StillRunning if it may have run. It grants
	// nothing. An error means that the log couldn't be read, or not in time.
	OnLog(ctx context.Context, req BeginRequest) (BeginReply, error)
	// Request returns what is kept of the key CALLER/KEY; NotFound if nothing is.
	Request(ctx context.Context, key string) (KeptRequest, error)
	// OpenJob begins an upload.
	OpenJob(ctx context.Context, req JobOpenRequest) error
	// AddItems adds a chunk to an upload; chunks come in the order of their index.
	AddItems(ctx context.Context, req JobChunkRequest) error
	// CommitJob turns a whole upload into the job and returns once that is durable.
	CommitJob(ctx context.Context, req JobCommitRequest) (JobCommitReply, error)
	// Job returns the status of the job CALLER/JOB; NotFound if there is none.
	Job(ctx context.Context, job string) (JobStatus, error)
	// Results returns a page of a job's ended items.
	Results(ctx context.Context, req ResultsRequest) (ResultsReply, error)
	// Item returns one item of a job, ended or not.
	Item(ctx context.Context, job, customID string) (ItemResult, error)
	// CancelJob returns once no new item will start anywhere.
	CancelJob(ctx context.Context, job string) (JobStatus, error)
	// Pull asks ONE owner, named by its peer address, for items.
	Pull(ctx context.Context, owner string, req PullRequest) (PullReply, error)
	// FinishItems groups the ends by owner and delivers each; an undelivered
	// end is returned in the error-free remainder for a later try.
	FinishItems(ctx context.Context, req FinishItemsRequest) (undelivered []ItemEnd, err error)
}
