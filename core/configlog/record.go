// Package configlog folds the stream of configuration records into the version
// in force. The log's order decides races between operators; the fold is a pure
// function of the records, so all daemons that folded the same offset agree.
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
	// Base is the version the text was made from.
	Base uint64 `json:"base"`
	// Epoch is the epoch the proposer saw; see Withdraw.
	Epoch uint64 `json:"epoch"`
	// Forced marks the change that begins anew after every record that could tell
	// the state has expired; see Folder for the rule.
	Forced bool `json:"forced,omitempty"`
	// Text is the INI source.
	Text string `json:"text"`
	// Author names the operator.
	Author string `json:"author"`
	// AtMs is the proposer's clock, Unix milliseconds; nothing is decided by it.
	AtMs int64 `json:"at_ms"`
}

// Withdraw ends an epoch: it raises the epoch by one if Epoch is the current
// one, so that no change proposed in that epoch can be accepted any more. A
// proposer appends it when the answer to its append was lost and the change is
// not on the stream: without it, the change might still arrive after the
// operator was told that it did not. Repeating a withdrawal has no effect.
type Withdraw struct {
	Epoch uint64 `json:"epoch"`
}

// Entry is one accepted change without its text.
type Entry struct {
	Version uint64 `json:"version"`
	Author  string `json:"author"`
	// AtMs is the publisher's time, Unix milliseconds.
	AtMs int64  `json:"at_ms"`
	ID   string `json:"id"`
}

// State is the fold of all records up to and including the offset Through.
type State struct {
	// Through is the last folded offset, -1 before the first.
	Through int64 `json:"through"`
	// Version is the current version, 0 if there is none yet.
	Version uint64 `json:"version"`
	// Epoch is the number of effective withdrawals.
	Epoch uint64 `json:"epoch"`
	// Text is the current version's text.
	Text string `json:"text"`
	// History holds the last accepted changes, oldest first, HistoryLimit at most.
	History []Entry `json:"history"`
}

// HistoryLimit bounds a State's history.
const HistoryLimit = 50

// Record is one record of the stream; exactly one field is set. A Restate
// repeats the state as of an earlier offset, for readers that come after the
// records before it have expired.
type Record struct {
	Change   *Change   `json:"change,omitempty"`
	Withdraw *Withdraw `json:"withdraw,omitempty"`
	Restate  *State    `json:"restate,omitempty"`
}

// errMalformed says that a record is none of this package's.
var errMalformed = errors.New("not a configuration record")

// Encode returns the record's form on the stream.
func (r Record) Encode() ([]byte, error) { return json.Marshal(r) }

// Decode reads a record from the stream.
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
