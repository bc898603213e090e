// Package ledger is the pure state machine that decides which request or item has which
// result, from the order of the records on a shard's log stream alone. It has no clock,
// no socket and no goroutine: callers pass inputs in and collect the outputs.
package ledger

import (
	"context"

	"tarragonhollow.example/tarragonhollow/core/outcome"
)

// Answer is the stored, complete answer of a keyed request or an item.
type Answer struct {
	// Status is the HTTP status.
	Status int
	// ContentType is the answer's media type.
	ContentType string
	// Body is the complete answer body, never the streamed form.
	Body []byte
}

// RequestState is the state of a keyed request.
type RequestState string

const (
	// RequestRunning: granted to an entry host, not ended yet.
	RequestRunning RequestState = "running"
	// RequestCompleted: ended with an answer, which is stored.
	RequestCompleted RequestState = "completed"
	// RequestFailed: ended permanently without an answer; the refusal is stored.
	RequestFailed RequestState = "failed"
	// RequestUnknown: a non-repeatable request started and its outcome is not known; a
	// completion that arrives later still resolves it.
	RequestUnknown RequestState = "may_have_run"
)

// BeginRequest asks the shard's owner for permission to run a keyed request.
type BeginRequest struct {
	// Key is CALLER/KEY; its hash selects the shard.
	Key string
	// Nonce identifies this arrival of the request: a repeated call with the same nonce
	// gets the same reply.
	Nonce string
	// Entry is the incarnation id of the calling daemon, the entry host.
	Entry string
	// Fingerprint is the hash of the request's content.
	Fingerprint string
	// Profile is the profile's name.
	Profile string
	// Repeatable is the profile's setting: whether the request may run more than once.
	Repeatable bool
	// WaitMs bounds how long the owner may delay its reply while another entry host runs
	// the same key, in milliseconds.
	WaitMs int64
}

// BeginVerdict is the decision on a BeginRequest.
type BeginVerdict string

const (
	// Granted: run the request now, as attempt Attempt.
	Granted BeginVerdict = "granted"
	// StillRunning: another entry host is running the request and WaitMs has passed; call
	// again.
	StillRunning BeginVerdict = "still_running"
	// Settled: Answer or Refusal holds the final result.
	Settled BeginVerdict = "settled"
	// Free: nothing is stored for the key. Only LookupOnLog returns it.
	Free BeginVerdict = "free"
)

// BeginReply answers a BeginRequest.
type BeginReply struct {
	Verdict BeginVerdict
	Attempt int
	Answer  *Answer
	Refusal *outcome.Refusal
}

// FinishRequest reports the end of a granted attempt.
type FinishRequest struct {
	Key     string
	Nonce   string
	Attempt int
	// Answer is set if the attempt succeeded.
	Answer *Answer
	// Refusal is set otherwise. With Run == not_run the key becomes free again; with
	// may_have_run the outcome of a non-repeatable request stays unknown.
	Refusal *outcome.Refusal
	// Begin is the request on which the attempt was granted. The ledger's client fills it
	// in, so that the result can still be stored if the previous owner died before it had
	// written the start to the log.
	Begin BeginRequest
}

// FinishReply answers a FinishRequest.
type FinishReply struct {
	// Durable reports that the end was read back from the log, or that it will never be
	// stored: it need not be reported again.
	Durable bool
	// Answer is the stored result, which may be that of an earlier attempt.
	Answer  *Answer
	Refusal *outcome.Refusal
}

// KeptRequest is the stored state of a keyed request, as returned to a caller.
type KeptRequest struct {
	State   RequestState
	Answer  *Answer
	Refusal *outcome.Refusal
}

// ItemState is the state of a batch item.
type ItemState string

const (
	// ItemWaiting: not started, or to be started again.
	ItemWaiting ItemState = "waiting"
	// ItemRunning: leased to a batch dispatcher.
	ItemRunning ItemState = "running"
	// ItemCompleted: ended with a result, which is stored.
	ItemCompleted ItemState = "completed"
	// ItemFailed: failed permanently; the refusal is stored.
	ItemFailed ItemState = "failed"
	// ItemCancelled: the job was cancelled before the item ended.
	ItemCancelled ItemState = "cancelled"
)

// Item is one line of a job.
type Item struct {
	// CustomID is the caller's name for the item, unique within the job.
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

// JobState is the state of a job.
type JobState string

const (
	// JobOpen: being uploaded, not accepted yet.
	JobOpen JobState = "open"
	// JobAccepted: durable; its items are waiting or running.
	JobAccepted JobState = "accepted"
	// JobCancelling: the cancel is durable; running items are being stopped.
	JobCancelling JobState = "cancelling"
	// JobCancelled: no further item will start.
	JobCancelled JobState = "cancelled"
	// JobEnded: every item is completed or failed.
	JobEnded JobState = "ended"
)

// JobStatus is the body of GET /v1/jobs/{job}.
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
	// ForecastMs is when the job is expected to end, Unix milliseconds; 0 is "unknown".
	ForecastMs int64 `json:"forecast_ms"`
}

// JobOpenRequest opens the upload of a job under its scoped name CALLER/JOB.
type JobOpenRequest struct {
	Job     string
	Profile string
	// Upload identifies this upload, so that chunks of two uploads are never mixed.
	Upload string
	// DueMs is when the job is due, Unix milliseconds.
	DueMs int64
	// Repeatable is the profile's setting, for every item of the job.
	Repeatable bool
	// MaxAttempts bounds the failed attempts at one item.
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
	// Abandon ends the upload without a commit: its chunks on the log are dropped. Only
	// Job and Upload are used then.
	Abandon bool
}

// JobChunkReply answers a JobChunkRequest once the owner has accepted the chunk and has
// capacity for the next one, which bounds its memory.
type JobChunkReply struct {
	Refusal *outcome.Refusal
}

// JobCommitRequest ends an upload; the job is accepted once the commit is durable.
type JobCommitRequest struct {
	Job    string
	Upload string
	Chunks int
	Items  int
	// Fingerprint is the hash over the profile and all items; a repeated upload of the
	// same job has the same one.
	Fingerprint string
}

// JobCommitReply answers a JobCommitRequest once the accepted job was read back.
type JobCommitReply struct {
	// Created is false if the same job existed already.
	Created bool
	Status  JobStatus
	Refusal *outcome.Refusal
}

// ItemRef identifies an item between daemons.
type ItemRef struct {
	// Job is the scoped name CALLER/JOB; its hash selects the shard.
	Job string
	// Index is the item's line number from 0.
	Index int
	// Attempt is the attempt that was leased, from 1.
	Attempt int
	// AcceptedMs is when the job was accepted, Unix milliseconds. It distinguishes the job
	// from an earlier one of its name, which was forgotten; 0 is unknown.
	AcceptedMs int64
}

// SameJob reports whether both items are of the same job, not of two jobs that had the
// same name one after the other.
func (r ItemRef) SameJob(other ItemRef) bool {
	unknown := r.AcceptedMs == 0 || other.AcceptedMs == 0
	return r.Job == other.Job && (unknown || r.AcceptedMs == other.AcceptedMs)
}

// LeasedItem is an item handed out to a batch dispatcher.
type LeasedItem struct {
	Ref     ItemRef
	Item    Item
	Profile string
	// DueMs is the job's due time, Unix milliseconds.
	DueMs int64
	// Progress holds the tokens that an earlier, interrupted attempt produced.
	Progress []string
	// Shard and Term are those of the owner that hands the item out.
	Shard int
	Term  uint64
	// Suspect reports that the item was running on targets when they crashed; it must run
	// alone.
	Suspect bool
}

// PullRequest is a batch dispatcher's request for items of a target group.
type PullRequest struct {
	// Steward is the incarnation id of the daemon whose batch dispatcher pulls.
	Steward string
	// Group is the target group's name. The owner matches items to it by URL and model.
	Group string
	// Max bounds the number of items, MaxBytes the total size of their bodies.
	Max      int
	MaxBytes int
	// Running lists the items of this owner's shards that the dispatcher holds already. A
	// new owner learns the leases of its predecessor from it.
	Running []ItemRef
	// Seq numbers the dispatcher's pulls from 1; 0 is from a dispatcher that doesn't
	// number them.
	Seq uint64
	// Held lists every item that the dispatcher holds, whoever owns its shard, if
	// HeldWhole is set. When the list was made, no earlier pull of this dispatcher from
	// this owner was in flight: the reply to each was either included in the list or
	// discarded for good.
	Held      []ItemRef
	HeldWhole bool
	// Terms are the highest terms that the dispatcher knows of, by shard: it discards
	// items from owners of earlier terms. Set with HeldWhole.
	Terms map[int]uint64
}

// PullReply answers a PullRequest.
type PullReply struct {
	Items []LeasedItem
	// LeaseMs is how long the dispatcher may start the items, measured from when it SENT
	// the pull, in milliseconds.
	LeaseMs int64
	// Backlog is how many items of the group are still waiting at this owner.
	Backlog int
	// EarliestDueMs is the earliest due time of the waiting items, Unix milliseconds, 0
	// if none is waiting.
	EarliestDueMs int64
	// Cancelled lists the items of Running that the dispatcher must stop: their job was
	// cancelled, they have ended, or another dispatcher holds them.
	Cancelled []ItemRef
	// Terms are the terms of all shards held by this owner's daemon, set if the pull has
	// HeldWhole.
	Terms map[int]uint64
}

// ItemEnd reports the end of one leased item.
type ItemEnd struct {
	Ref ItemRef
	// Answer is set on success, Refusal after a failed attempt; neither is set if the
	// item is handed back unfinished (Progress may then hold its tokens).
	Answer   *Answer
	Refusal  *outcome.Refusal
	Progress []string
	// Final reports that a failed attempt must not be repeated (rejected content).
	Final bool
	// Crashed reports that the target crashed while the item ran there.
	Crashed bool
	// Alone reports that nothing else was running on the target at the time of the crash.
	Alone bool
}

// FinishItemsRequest reports the ends of leased items.
type FinishItemsRequest struct {
	Steward string
	Ends    []ItemEnd
}

// FinishItemsReply answers a FinishItemsRequest once the ends are durable, or with a
// refusal.
type FinishItemsReply struct {
	Refusal *outcome.Refusal
}

// ResultsRequest requests a job's results from an item index on.
type ResultsRequest struct {
	// Job is the scoped name CALLER/JOB.
	Job string
	// From is the first item's index in the job, from 0.
	From int
	// MaxBytes bounds the page: the item that exceeds it is the last one. 0 means 1 MiB.
	MaxBytes int
}

// ResultsReply holds ended items in line order from the index on; items that haven't
// ended yet are skipped.
type ResultsReply struct {
	Results []ItemResult
	// Next is the index to continue from; if Next == Items, there are no further items.
	Next  int
	Items int
	// AcceptedMs is when the job was accepted; see ItemRef.
	AcceptedMs int64
	Refusal    *outcome.Refusal
}

// Client is how the rest of a daemon uses the ledger. Every method finds the shard's
// owner (this daemon or another) and calls it, unless it says otherwise. A refusal is
// returned as *outcome.Refusal; NoOwner and LogUnavailable carry the time after which to
// retry.
type Client interface {
	// Begin requests permission to run a keyed request. A non-repeatable request is
	// granted only once its start was read back from the log.
	Begin(ctx context.Context, req BeginRequest) (BeginReply, error)
	// Finish reports the end of a granted attempt.
	Finish(ctx context.Context, req FinishRequest) (FinishReply, error)
	// LookupOnLog reads from the log itself, without the owner, what is known about the
	// arrival's key: Free, Settled, or StillRunning if the request may have run. It
	// grants nothing. An error means that the log couldn't be read, or not in time.
	LookupOnLog(ctx context.Context, req BeginRequest) (BeginReply, error)
	// Request returns the stored state of the key CALLER/KEY, NotFound if there is none.
	Request(ctx context.Context, key string) (KeptRequest, error)
	// OpenJob begins an upload.
	OpenJob(ctx context.Context, req JobOpenRequest) error
	// AddItems adds a chunk to an upload; chunks are sent in the order of their index.
	AddItems(ctx context.Context, req JobChunkRequest) error
	// CommitJob turns a complete upload into the job and returns once that is durable.
	CommitJob(ctx context.Context, req JobCommitRequest) (JobCommitReply, error)
	// Job returns the status of the job CALLER/JOB; NotFound if there is none.
	Job(ctx context.Context, job string) (JobStatus, error)
	// Results returns a page of a job's ended items.
	Results(ctx context.Context, req ResultsRequest) (ResultsReply, error)
	// Item returns one item of a job, ended or not.
	Item(ctx context.Context, job, customID string) (ItemResult, error)
	// CancelJob cancels a job and returns once no new item can start on any host.
	CancelJob(ctx context.Context, job string) (JobStatus, error)
	// Pull requests items from ONE owner, named by its peer address.
	Pull(ctx context.Context, owner string, req PullRequest) (PullReply, error)
	// FinishItems groups the ends by owner and sends each group. Ends that could not be
	// delivered are returned in undelivered, without an error, to be sent again.
	FinishItems(ctx context.Context, req FinishItemsRequest) (undelivered []ItemEnd, err error)
}
