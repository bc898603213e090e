package ledger

import (
	"bytes"

	"github.com/joomcode/errorx"
	"github.com/vmihailenco/msgpack/v5"
)

// Errors is the namespace of this package's errors.
var Errors = errorx.NewNamespace("ledger")

var (
	// BadRecord: the bytes on the stream are not a record of this shard.
	BadRecord = Errors.NewType("bad_record")
	// Gap: records that were still to be applied are missing from the input, for example
	// because they expired on the stream during a slow replay.
	Gap = Errors.NewType("gap")
)

// NoLow is the Low of a record whose writer had no anchored state.
const NoLow int64 = -1

// Record is one append on a shard's stream: a group of entries that are applied all
// together or not at all.
type Record struct {
	// Shard is checked on decoding, against a record on the wrong stream.
	Shard int
	// Term is the term in which the writer held the shard, or which it claims with this
	// record.
	Term uint64
	// Writer is the incarnation id of the daemon that wrote the record.
	Writer string
	// Seq increases with each record of the writer. A record that is appended again
	// because the response to its append was lost keeps its Seq, so that it is applied
	// once.
	Seq uint64
	// Low is the low watermark: an offset from which a replay is complete. It is the
	// offset of a valid record (or the start of the stream) at or before the last full
	// state of every live object, according to the records that the writer had applied
	// when it wrote this one.
	Low int64
	// AtMs is the writer's clock, Unix milliseconds. It is used for the times shown to
	// readers and for retention; no decision about validity depends on it.
	AtMs int64
	// Entries are applied in order.
	Entries []Entry
}

// Entry is one change; exactly one field is set.
type Entry struct {
	Claim          *Claim
	Release        *Release
	Start          *StartEntry
	Finish         *FinishEntry
	Chunk          *ChunkEntry
	Accept         *JobHeader
	Abort          *AbortEntry
	Starts         *ItemStarts
	Ends           *ItemEnds
	Cancel         *CancelEntry
	Ended          *EndedEntry
	RestateRequest *RequestBody
	RestateJob     *JobHeader
	RestateChunk   *ChunkBody
	Forget         *ForgetEntry
}

// Claim claims the shard for the record's term. It is the only entry in its record.
type Claim struct {
	// Reset marks a claim made when the stream holds nothing from which the state can be
	// rebuilt (all of it has expired). Its term is one more than the stream's next offset
	// as the claimer read it. No earlier term can be higher, because each claim raises
	// the term by one and takes an offset of its own.
	Reset bool
}

// Release ends the writer's hold on the shard; it has no holder until the next claim.
type Release struct {
	// Successor is the incarnation id that should claim at once.
	Successor string
}

// RequestBody is the full state of a keyed request.
type RequestBody struct {
	Key         string
	Fingerprint string
	Profile     string
	Repeatable  bool
	// Nonce and Entry identify the arrival and the entry host of the last attempt.
	Nonce   string
	Entry   string
	Attempt int
	State   RequestState
	Answer  *Answer
	Refusal *RefusalBody
	// AtMs is when State last changed, Unix milliseconds.
	AtMs int64
}

// StartEntry starts an attempt at a keyed request. It contains the request's full state.
type StartEntry struct{ Request RequestBody }

// FinishEntry ends a keyed request.
type FinishEntry struct {
	Key     string
	Attempt int
	// Free removes the key: no target received the request, so the key can be used again.
	Free bool
	// State is RequestCompleted, RequestFailed or RequestUnknown.
	State   RequestState
	Answer  *Answer
	Refusal *RefusalBody
}

// ChunkEntry carries the next items of an upload. It contains their full state.
type ChunkEntry struct {
	Job    string
	Upload string
	// First is the line number of the first item.
	First int
	Items []Item
}

// JobHeader is the full state of a job without its items. As Entry.Accept it turns an
// upload into the job.
type JobHeader struct {
	Job         string
	Upload      string
	Profile     string
	Fingerprint string
	State       JobState
	Items       int
	Repeatable  bool
	MaxAttempts int
	AcceptedMs  int64
	DueMs       int64
	EndedMs     int64
}

// AbortEntry drops an upload that was not committed.
type AbortEntry struct{ Job, Upload string }

// ItemMark identifies a started item, its attempt and its batch dispatcher.
type ItemMark struct {
	Job     string
	Index   int
	Attempt int
	Steward string
}

// ItemStarts records that non-repeatable items may reach a target from now on.
type ItemStarts struct{ Marks []ItemMark }

// ItemChange is the outcome of an attempt at an item.
type ItemChange struct {
	Job     string
	Index   int
	Attempt int
	// State is ItemCompleted or ItemFailed if the item has ended, ItemWaiting if it is to
	// be handed out again.
	State    ItemState
	Answer   *Answer
	Refusal  *RefusalBody
	Progress []string
	Suspect  bool
	// Crashes counts the targets that crashed while the item ran there alone.
	Crashes int
	// Failures counts the failed attempts that MaxAttempts bounds.
	Failures int
}

// ItemEnds groups item outcomes.
type ItemEnds struct{ Changes []ItemChange }

// CancelEntry cancels a job: items that haven't ended never will.
type CancelEntry struct{ Job string }

// EndedEntry closes a job: all items have ended, or its cancellation is complete.
type EndedEntry struct {
	Job   string
	State JobState
}

// ItemBody is the full state of one item.
type ItemBody struct {
	Item     Item
	State    ItemState
	Attempts int
	// Started is the batch dispatcher that may have started a non-repeatable item.
	Started  string
	Answer   *Answer
	Refusal  *RefusalBody
	Progress []string
	Suspect  bool
	Crashes  int
	Failures int
}

// ChunkBody is the full state of consecutive items. It may hold only the front part of a
// chunk; the remainder then becomes a chunk of its own.
type ChunkBody struct {
	Job    string
	Upload string
	// Open reports that the upload is not committed.
	Open  bool
	First int
	Items []ItemBody
}

// ForgetEntry drops answers and jobs whose retention time is over.
type ForgetEntry struct {
	Keys []string
	Jobs []string
}

// RefusalBody is a refusal as written to the log.
type RefusalBody struct {
	Code    string
	Message string
	Run     string
}

// EncodeRecord returns the record's encoding. Fields are encoded by position, so new
// fields may only be added at the end of a struct; an older reader skips them.
func EncodeRecord(r *Record) ([]byte, error) {
	var buf bytes.Buffer
	enc := msgpack.NewEncoder(&buf)
	enc.UseArrayEncodedStructs(true)
	enc.UseCompactInts(true)
	if err := enc.Encode(r); err != nil {
		return nil, BadRecord.Wrap(err, "encode record %d of shard %d", r.Seq, r.Shard)
	}
	return buf.Bytes(), nil
}

// DecodeRecord decodes a record of the shard. It returns an error of type BadRecord if
// the bytes are not a record or the record belongs to another shard.
func DecodeRecord(shard int, data []byte) (*Record, error) {
	var r Record
	if err := msgpack.Unmarshal(data, &r); err != nil {
		return nil, BadRecord.Wrap(err, "decode record on the stream of shard %d", shard)
	}
	if r.Shard != shard {
		return nil, BadRecord.New("record of shard %d on the stream of shard %d", r.Shard, shard)
	}
	return &r, nil
}
