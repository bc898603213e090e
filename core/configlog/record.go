// Package configlog derives the current configuration version from the stream of
// configuration records. The log's order decides between concurrent changes of operators.
// The state is a pure function of the records, so all daemons that have applied the stream
// up to the same offset agree.
package configlog

import (
	"encoding/json"
	"errors"
)

// Change proposes a new text. It is accepted if, at its offset, Base is the
// current version and Epoch the current epoch; the version then becomes Base+1.
type Change struct {
	// ID is unique for each proposal.
	ID string `json:"id"`
	// Base is the version that the text is based on.
	Base uint64 `json:"base"`
	// Epoch is the epoch that the proposer knew; see Withdraw.
	Epoch uint64 `json:"epoch"`
	// Forced marks a change that starts over after every record from which the state
	// could be derived has expired; see Replayer for the rule.
	Forced bool `json:"forced,omitempty"`
	// Text is the INI source.
	Text string `json:"text"`
	// Author names the operator.
	Author string `json:"author"`
	// AtMs is the proposer's clock in Unix milliseconds; it has no effect on the state.
	AtMs int64 `json:"at_ms"`
}

// Withdraw ends an epoch: it raises the epoch by one if Epoch is the current one, so that
// no change proposed in that epoch can be accepted any more. A proposer appends it if the
// answer to its append was lost and the change is not on the stream: otherwise the change
// could still arrive after a failure was reported to the operator. Repeating a withdrawal
// has no effect.
type Withdraw struct {
	Epoch uint64 `json:"epoch"`
}

// Entry is one accepted change without its text.
type Entry struct {
	Version uint64 `json:"version"`
	Author  string `json:"author"`
	// AtMs is the log's clock at the append of the change, in Unix milliseconds.
	AtMs int64  `json:"at_ms"`
	ID   string `json:"id"`
}

// State is the result of all records up to and including the offset Through.
type State struct {
	// Through is the last applied offset, -1 before the first.
	Through int64 `json:"through"`
	// Version is the current version, 0 if there is none yet.
	Version uint64 `json:"version"`
	// Epoch is the number of effective withdrawals.
	Epoch uint64 `json:"epoch"`
	// Text is the current version's text.
	Text string `json:"text"`
	// History holds the last accepted changes, oldest first, at most HistoryLimit.
	History []Entry `json:"history"`
}

// HistoryLimit is the maximum number of entries in a State's history.
const HistoryLimit = 50

// Record is one record of the stream; exactly one field is set. A Restate is a snapshot of
// the state as of an earlier offset, for readers that start after the records before it
// have expired.
type Record struct {
	Change   *Change   `json:"change,omitempty"`
	Withdraw *Withdraw `json:"withdraw,omitempty"`
	Restate  *State    `json:"restate,omitempty"`
}

// errMalformed means that the data is not a valid record of the stream.
var errMalformed = errors.New("not a configuration record")

// Encode returns the encoding of the record on the stream.
func (r Record) Encode() ([]byte, error) { return json.Marshal(r) }

// Decode decodes a record of the stream.
func Decode(data []byte) (Record, error) {
	var r Record
	if err := json.Unmarshal(data, &r); err != nil {
		return Record{}, errMalformed
	}
	fields := 0
	for _, set := range []bool{r.Change != nil, r.Withdraw != nil, r.Restate != nil} {
		if set {
			fields++
		}
	}
	if fields != 1 {
		return Record{}, errMalformed
	}
	return r, nil
}
