// Package batch is the state of batch jobs as it follows from records in a
// partitioned log. It is pure: every daemon that reads the same records holds
// the same state.
//
// A job's acceptance and its end stand in one partition, so that all daemons
// see them in one order; the results of a job stand in one partition of
// another topic, whose order is the order of the result list. A record is
// written under its key once, so that the newest record of each key is all
// there ever was.
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

// Item is one request of a job. Its body is kept apart.
type Item struct {
	ID      string
	Path    string
	Headers []Header
	// Tokens are the prompt's tokens and the most that may be generated.
	Tokens int64
	// BodyBytes is the body's length.
	BodyBytes int
}

// JobRecord is a job's acceptance.
type JobRecord struct {
	ID string
	// Account is the client account that handed it in, "" if there were no accounts.
	Account string
	// Host and Path are those of the submission; they select the route.
	Host, Path string
	// Quota names what the waiting tokens are added up under.
	Quota string
	// AcceptedMs is the accepting daemon's clock, Unix milliseconds.
	AcceptedMs int64
	// Items are the job's items; none in an acceptance whose list stands apart.
	Items []Item
	// Count is the number of items, Tokens the sum of their tokens.
	Count  int
	Tokens int64
}

// ItemList is the list of a job's items where it stands apart from the acceptance.
type ItemList struct {
	Items []Item
}

// inlineBytes is the size of an encoded list up to which it stays in the acceptance.
const inlineBytes = 512

// Split returns the acceptance as it is written, and the encoded list of the items
// where that stands apart, nil where it doesn't.
//
// Failure guarded against: every daemon reads every acceptance. With the items in
// them, hundreds of daemons that start again after a loss of power take all that the
// log gives, and none of them learns the routes meanwhile. A list is read by the daemon
// that runs its items.
func (r *JobRecord) Split() (acceptance JobRecord, list []byte, err error) {
	acceptance = *r
	acceptance.tally()
	list, err = Encode(ItemList{r.Items})
	if err != nil || len(list) <= inlineBytes {
		return acceptance, nil, err
	}
	acceptance.Items = nil
	return acceptance, list, nil
}

// tally works out Count and Tokens where the items are here.
func (r *JobRecord) tally() {
	if len(r.Items) == 0 {
		return
	}
	r.Count, r.Tokens = len(r.Items), 0
	for i := range r.Items {
		r.Tokens += r.Items[i].Tokens
	}
}

// State is how an item ended.
type State int8

const (
	// Succeeded items have their whole output.
	Succeeded State = iota + 1
	// Errored items can never be done, or were given up.
	Errored
)

// Result is one entry of a job's result list.
type Result struct {
	// Item is the item's index in the job.
	Item int
	// ID is the item's ID.
	ID    string
	State State
	// Tokens are those of the item.
	Tokens int64
	// Output is the data of all events, joined by line feeds.
	Output string
}

const (
	acceptedPrefix = "job/"
	endedPrefix    = "end/"
)

// AcceptedKey is the key of a job's acceptance.
func AcceptedKey(job string) string { return acceptedPrefix + job }

// ParseAcceptedKey returns the job of an acceptance's key.
func ParseAcceptedKey(key string) (job string, ok bool) {
	return strings.CutPrefix(key, acceptedPrefix)
}

// EndedKey is the key of a job's end.
func EndedKey(job string) string { return endedPrefix + job }

// ResultKey is the key of an item's result.
func ResultKey(job string, item int) string { return fmt.Sprintf("%s/%05d", job, item) }

// BodyKey is the key of one chunk of an item's body. Keys sort by item and
// chunk.
func BodyKey(job string, item, chunk int) string {
	return fmt.Sprintf("%s/%05d/%03d", job, item, chunk)
}

// ItemKey sorts directly before the keys of the item's chunks.
func ItemKey(job string, item int) string { return ResultKey(job, item) }

// itemsSuffix ends the key of a job's list of items. It sorts behind the keys of the
// job's bodies, among which the list stands.
const itemsSuffix = "/items"

// ItemsKey is the key of a job's list of items.
func ItemsKey(job string) string { return job + itemsSuffix }

// BeforeItemsKey sorts directly before ItemsKey among the keys of the job.
func BeforeItemsKey(job string) string { return BodyKey(job, maxItemNumber, maxChunkNumber) }

// ParseItemsKey returns the job whose list stands under the key.
func ParseItemsKey(key string) (job string, ok bool) {
	job, ok = strings.CutSuffix(key, itemsSuffix)
	return job, ok && job != ""
}

// ParseBodyKey is the reverse of BodyKey.
func ParseBodyKey(key string) (job string, item, chunk int, err error) {
	head, last, _ := cutLast(key)
	job, middle, ok := cutLast(head)
	item, itemOK := number(middle, maxItemNumber)
	chunk, chunkOK := number(last, maxChunkNumber)
	if !ok || !itemOK || !chunkOK {
		return "", 0, 0, ErrRecord.New("bad body key %q", key)
	}
	return job, item, chunk, nil
}

// The largest numbers that keys hold. A reader keeps a place for each number up to
// the one it reads, so a foreign key with a huge one would take all memory.
const (
	maxItemNumber  = 99_999
	maxChunkNumber = 999
)

func number(text string, most int) (int, bool) {
	n, err := strconv.Atoi(text)
	return n, err == nil && n >= 0 && n <= most
}

func parseResultKey(key string) (job string, item int, err error) {
	job, last, ok := cutLast(key)
	item, known := number(last, maxItemNumber)
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

// valid tells whether an acceptance is one of the job that its key names.
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

// valid tells whether a result is one of the item that its key names.
func (r *Result) valid(item int) bool {
	return r.Item == item && (r.State == Succeeded || r.State == Errored) && r.Tokens >= 0
}

// Encode returns the value of an acceptance or a result.
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
		return v, ErrRecord.Wrap(err, "cannot decode the record %q", key)
	}
	return v, nil
}
