// Package batch derives the state of batch jobs from the records of a partitioned log. It
// is deterministic: every daemon that reads the same records holds the same state.
//
// A job's acceptance and its end are in one partition, so that all daemons see them in the
// same order. The results of a job are in one partition of another topic, whose order is
// the order of the result list. A record is written only once under its key, so the newest
// record of each key (all that compaction keeps) is the complete history.
package batch

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/joomcode/errorx"
	"github.com/vmihailenco/msgpack/v5"
)

var errorNamespace = errorx.NewNamespace("batch")

// ErrRecord is the type of errors about records that cannot be read.
var ErrRecord = errorNamespace.NewType("record")

// Header is one header of an item's request.
type Header struct {
	Name, Value string
}

// Item is one request of a job. Its body is stored separately.
type Item struct {
	ID      string
	Path    string
	Headers []Header
	// Tokens is the sum of the prompt's tokens and the maximum that may be generated.
	Tokens int64
	// BodyBytes is the body's length in bytes.
	BodyBytes int
}

// JobRecord is the record of a job's acceptance.
type JobRecord struct {
	ID string
	// Account is the client account that submitted the job, "" if there were no accounts.
	Account string
	// Host and Path are those of the submission request; they select the route.
	Host, Path string
	// Quota names the quota that the job's waiting tokens count towards.
	Quota string
	// AcceptedMs is the accepting daemon's clock, Unix milliseconds.
	AcceptedMs int64
	// Items are the job's items; empty if the item list is stored separately.
	Items []Item
	// Count is the number of items, Tokens the sum of their tokens.
	Count  int
	Tokens int64
}

// ItemList is the list of a job's items if it is stored separately from the acceptance.
type ItemList struct {
	Items []Item
}

// inlineBytes is the maximum size of an encoded item list that stays in the acceptance.
const inlineBytes = 512

// Split returns the acceptance to write and, if the item list is stored separately, the
// encoded list; otherwise list is nil.
//
// Failure guarded against: every daemon reads every acceptance. If acceptances held long
// item lists, hundreds of daemons that restart after a power loss would use the log's
// entire read rate, and none of them would receive the routes meanwhile. A separate list
// is read only by the daemon that runs its items.
func (r *JobRecord) Split() (acceptance JobRecord, list []byte, err error) {
	acceptance = *r
	acceptance.setTotals()
	list, err = Encode(ItemList{r.Items})
	if err != nil || len(list) <= inlineBytes {
		return acceptance, nil, err
	}
	acceptance.Items = nil
	return acceptance, list, nil
}

// setTotals sets Count and Tokens from the items, if the record has them.
func (r *JobRecord) setTotals() {
	if len(r.Items) == 0 {
		return
	}
	r.Count, r.Tokens = len(r.Items), 0
	for i := range r.Items {
		r.Tokens += r.Items[i].Tokens
	}
}

// State is the final state of an item.
type State int8

const (
	// Succeeded items have their complete output.
	Succeeded State = iota + 1
	// Errored items can never succeed, or were abandoned.
	Errored
)

// Result is one entry of a job's result list.
type Result struct {
	// Item is the item's index in the job.
	Item int
	// ID is the item's ID.
	ID    string
	State State
	// Tokens is the item's Tokens.
	Tokens int64
	// Output is the data of all events, joined by line feeds.
	Output string
}

const (
	acceptedPrefix = "job/"
	endedPrefix    = "end/"
)

// AcceptedKey returns the key of a job's acceptance.
func AcceptedKey(job string) string { return acceptedPrefix + job }

// ParseAcceptedKey returns the job ID in the key of an acceptance. ok is false if key is not
// the key of an acceptance.
func ParseAcceptedKey(key string) (job string, ok bool) {
	return strings.CutPrefix(key, acceptedPrefix)
}

// EndedKey returns the key of a job's end.
func EndedKey(job string) string { return endedPrefix + job }

// ResultKey returns the key of an item's result.
func ResultKey(job string, item int) string { return fmt.Sprintf("%s/%05d", job, item) }

// BodyKey returns the key of one chunk of an item's body. Keys sort by item and chunk.
func BodyKey(job string, item, chunk int) string {
	return fmt.Sprintf("%s/%05d/%03d", job, item, chunk)
}

// LongestKey returns the length in bytes of the longest key that a record of the job may have.
func LongestKey(job string) int { return len(BodyKey(job, maxItemNumber, maxChunkNumber)) }

// ItemKey returns a key that sorts directly before the keys of the item's chunks.
func ItemKey(job string, item int) string { return ResultKey(job, item) }

// itemsSuffix is the suffix of the key of a job's item list. The list is in the same
// partition as the job's bodies, and its key sorts after theirs.
const itemsSuffix = "/items"

// ItemsKey returns the key of a job's item list.
func ItemsKey(job string) string { return job + itemsSuffix }

// BeforeItemsKey returns a key that sorts directly before ItemsKey among the job's keys.
func BeforeItemsKey(job string) string { return BodyKey(job, maxItemNumber, maxChunkNumber) }

// ParseItemsKey returns the job ID in the key of an item list. ok is false if key is not the
// key of an item list.
func ParseItemsKey(key string) (job string, ok bool) {
	job, ok = strings.CutSuffix(key, itemsSuffix)
	return job, ok && job != ""
}

// ParseBodyKey is the reverse of BodyKey.
func ParseBodyKey(key string) (job string, item, chunk int, err error) {
	head, last, _ := cutLast(key)
	job, middle, ok := cutLast(head)
	item, itemOK := parseNumber(middle, maxItemNumber)
	chunk, chunkOK := parseNumber(last, maxChunkNumber)
	if !ok || !itemOK || !chunkOK {
		return "", 0, 0, ErrRecord.New("bad body key %q", key)
	}
	return job, item, chunk, nil
}

// The largest numbers allowed in keys. A reader allocates an entry for each number up to
// the one it reads, so an invalid key with a huge number would exhaust the memory.
const (
	maxItemNumber  = 99_999
	maxChunkNumber = 999
)

func parseNumber(text string, limit int) (int, bool) {
	n, err := strconv.Atoi(text)
	return n, err == nil && n >= 0 && n <= limit
}

func parseResultKey(key string) (job string, item int, err error) {
	job, last, ok := cutLast(key)
	item, known := parseNumber(last, maxItemNumber)
	if !ok || !known {
		return "", 0, ErrRecord.New("bad result key %q", key)
	}
	return job, item, nil
}

func cutLast(key string) (before, after string, found bool) {
	at := strings.LastIndexByte(key, '/')
	if at < 0 {
		return "", key, false
	}
	return key[:at], key[at+1:], true
}

// valid reports whether the acceptance is valid and belongs to the job in its key.
func (r *JobRecord) valid(id string) bool {
	return id != "" && r.ID == id && r.Count > 0 && r.Count <= maxItemNumber && r.Tokens >= 0 && validItems(r.Items)
}

func validItems(items []Item) bool {
	for i := range items {
		if items[i].Tokens < 0 || items[i].BodyBytes < 0 {
			return false
		}
	}
	return true
}

// valid reports whether the result is valid and belongs to the item in its key.
func (r *Result) valid(item int) bool {
	return r.Item == item && (r.State == Succeeded || r.State == Errored) && r.Tokens >= 0
}

// Encode returns the encoded value of an acceptance, an item list, a result or progress.
func Encode(v any) ([]byte, error) {
	data, err := msgpack.Marshal(v)
	if err != nil {
		return nil, ErrRecord.Wrap(err, "cannot encode %T", v)
	}
	return data, nil
}

func decode[T any](key string, data []byte) (T, error) {
	var v T
	if err := msgpack.Unmarshal(data, &v); err != nil {
		return v, ErrRecord.Wrap(err, "cannot decode record %q", key)
	}
	return v, nil
}
