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
	// Gap: records that the fold still needed are missing from the input, as
	// when the stream's retention overtook a slow replay.
	Gap = Errors.NewType("gap")
)

// NoLow is the Low of a record whose writer had no anchored state.
const NoLow int64 = -1

// Record is one append on a shard's stream: a group of entries that count
// together or not at all.
type Record struct {
	// Shard guards against a record on the wrong stream.
	Shard int
	// Term is the term the writer held the shard in, or claims with this record.
	Term uint64
	// Writer is the incarnation id of the daemon that wrote the record.
	Writer string
	// Seq rises with each record of the writer; a record appended again because
	// its answer was lost keeps its number, so that it counts once.
	Seq uint64
	// Low is an offset from which a fold is complete: a valid record (or the
	// start of the stream) at or before the last full representation of every
	// live object, as the writer had folded when it wrote.
	Low int64
	// AtMs is the writer's clock, Unix milliseconds. It dates things for
	// readers and for retention; it decides nothing.
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

// Claim asks for the shard in the record's term. It is alone in its record.
type Claim struct {
	// Reset marks a claim made when the stream holds nothing from which the
	// state could be folded any more (all of it expired): its term is the
	// stream's next offset, which no earlier term can exceed, because each
	// claim raises the term by one and takes an offset of its own.
	Reset bool
}

// Release ends the writer's hold; nobody holds the shard until the next claim.
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
	// Nonce and Entry name the arrival and the entry host of the last attempt.
	Nonce   string
	Entry   string
	Attempt int
	State   RequestState
	Answer  *Answer
	Refusal *RefusalBody
	// AtMs is when the state was last changed.
	AtMs int64
}

// StartEntry starts an attempt at a keyed request; it is a full representation.
type StartEntry struct{ Request RequestBody }

// FinishEntry ends a keyed request.
type FinishEntry struct {
	Key     string
	Attempt int
	// Free removes the key: no target got the request, so it may begin anew.
	Free bool
	// State is RequestCompleted, RequestFailed or RequestUnknown.
	State   RequestState
	Answer  *Answer
	Refusal *RefusalBody
}

// ChunkEntry carries the next items of an upload; it is a full representation.
type ChunkEntry struct {
	Job    string
	Upload string
	// First is the line number of the first item.
	First int
	Items []Item
}

// JobHeader is the full state of a job without its items; as Accept it
// turns an upload into the job.
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

// AbortEntry drops an upload that never committed.
type AbortEntry struct{ Job, Upload string }

// ItemMark names an item of a job in an entry.
type ItemMark struct {
	Job     string
	Index   int
	Attempt int
	Steward string
}

// ItemStarts says that non-repeatable items may reach a target from now on.
type ItemStarts struct{ Marks []ItemMark }

// ItemChange is the outcome of an attempt at an item.
type ItemChange struct {
	Job     string
	Index   int
	Attempt int
	// State is ItemCompleted or ItemFailed for an end, ItemWaiting when the
	// item is to be handed out again.
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

// CancelEntry cancels a job: items without an end will never get one.
type CancelEntry struct{ Job string }

// EndedEntry closes a job: all items have ended, or its cancel is complete.
type EndedEntry struct {
	Job   string
	State JobState
}

// ItemBody is the full state of one item.
type ItemBody struct {
	Item     Item
	State    ItemState
	Attempts int
	// Started names the steward that may have begun a non-repeatable item.
	Started  string
	Answer   *Answer
	Refusal  *RefusalBody
	Progress []string
	Suspect  bool
	Crashes  int
	Failures int
}

// ChunkBody is the full state of a run of items. It may state the front part of
// a chunk only: what remains becomes a chunk of its own.
type ChunkBody struct {
	Job    string
	Upload string
	// Open tells that the upload is not committed.
	Open  bool
	First int
	Items []ItemBody
}

// ForgetEntry drops what has been kept for its stated time.
type ForgetEntry struct {
	Keys []string
	Jobs []string
}

// RefusalBody is a refusal on the log.
type RefusalBody struct {
	Code    string
	Message string
	Run     string
}

// EncodeRecord returns the record's bytes. Fields go by position, so new ones
// are added at the end of a struct only; an older reader skips them.
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

// DecodeRecord reads a record of the shard.
func DecodeRecord(shard int, data []byte) (*Record, error) {
	var r Record
	if err := msgpack.Unmarshal(data, &r); err != nil {
		return nil, BadRecord.Wrap(err, "decode record on shard %d", shard)
	}
	if r.Shard != shard {
		return nil, BadRecord.New("record of shard %d on shard %d", r.Shard, shard)
	}
	return &r, nil
}
