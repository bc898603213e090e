package configlog

import "slices"

// Input is one record as read from the stream; offsets are consecutive.
type Input struct {
	Offset int64
	// AtMs is the log's clock at the append, Unix milliseconds.
	AtMs int64
	Data []byte
}

// Replayer applies the stream for one reader. Its version never falls:
//
//   - A change is accepted only as version Base+1, or, if forced, as its offset plus one.
//     Each version has a record of its own, so a version never exceeds its record's offset
//     plus one, and a forced change has a higher version than all changes before it.
//   - A reader that starts at the earliest kept offset, or falls behind it, has a gap:
//     expired records that it can't read may have changed the state. It buffers later
//     records until it gets a state as of the gap's end or later, from a Restate or from a
//     peer, and continues from there. A state as of an earlier offset does not close the
//     gap: changes inside the gap would be missed, and changes applied afterwards could
//     reuse a version number for another text.
//   - Each state is the result of a prefix of the same stream, so of two states the one
//     with the higher Through has the higher or equal version. The state is only replaced
//     by one with a higher Through, which never lowers the version.
type Replayer struct {
	state State
	// pendingFrom is the offset where the buffered records begin; it equals
	// state.Through+1 if there is no gap.
	pendingFrom int64
	pending     []Input
	// next is the offset to read next.
	next int64
	// restatedMs is when the newest record from which a new reader can start was
	// written: the newest Restate, or the stream's first record.
	restatedMs int64
	malformed  uint64
	regressed  uint64
}

// NewReplayer returns a replayer that has read nothing.
func NewReplayer() *Replayer { return &Replayer{state: State{Through: -1}} }

// State returns the newest known state; the caller must not modify its history.
func (r *Replayer) State() State { return r.state }

// Next returns the offset to read next.
func (r *Replayer) Next() int64 { return r.next }

// Complete reports whether the state includes every record read, that is, there is no gap.
func (r *Replayer) Complete() bool { return r.pendingFrom == r.state.Through+1 }

// RestatedMs returns when the newest record from which a new reader can start was written,
// by the log's clock in Unix milliseconds; 0 if none is known.
func (r *Replayer) RestatedMs() int64 { return r.restatedMs }

// Malformed returns the number of records that could not be decoded; they have no effect.
func (r *Replayer) Malformed() uint64 { return r.malformed }

// Regressed returns the number of states that were rejected because they have a higher
// Through and a lower version. By the rules above, only corrupted states do.
func (r *Replayer) Regressed() uint64 { return r.regressed }

// Apply applies a page of the stream: first is the earliest kept offset, and inputs continue
// at max(Next, first).
func (r *Replayer) Apply(first int64, inputs []Input) {
	if first > r.next {
		r.openGap(first)
	}
	for _, in := range inputs {
		if in.Offset != r.next {
			continue // already part of an adopted state
		}
		r.next++
		r.applyInput(in)
	}
}

// openGap records that the records from next up to first have expired before this reader
// read them.
func (r *Replayer) openGap(first int64) {
	r.pendingFrom, r.next = first, first
	r.pending = nil
	r.restatedMs = 0
}

func (r *Replayer) applyInput(in Input) {
	record, err := Decode(in.Data)
	if err != nil {
		r.malformed++
	}
	if record.Restate != nil {
		r.restatedMs = max(r.restatedMs, in.AtMs)
	}
	if in.Offset == 0 {
		r.restatedMs = in.AtMs
	}
	if r.Complete() {
		r.applyRecord(in, record)
		return
	}
	if record.Change != nil && record.Change.Forced {
		// A forced change defines the whole state.
		r.pending = nil
		r.pendingFrom = in.Offset
		r.state.Through = in.Offset - 1
		r.applyRecord(in, record)
		return
	}
	r.pending = append(r.pending, in)
	if record.Restate != nil {
		r.Adopt(*record.Restate)
	}
}

// Adopt replaces the state with one from another daemon or a Restate if that is newer. It
// reports whether it replaced the state.
func (r *Replayer) Adopt(s State) bool {
	if s.Through <= r.state.Through {
		return false
	}
	if s.Version < r.state.Version {
		r.regressed++
		return false
	}
	r.state = s
	r.state.History = slices.Clone(s.History)
	r.applyPending()
	return true
}

// applyPending applies the buffered records if the state includes every record before them.
func (r *Replayer) applyPending() {
	if r.state.Through+1 < r.pendingFrom {
		return
	}
	r.pendingFrom = r.state.Through + 1
	r.next = max(r.next, r.pendingFrom)
	pending := r.pending
	r.pending = nil
	for _, in := range pending {
		if in.Offset > r.state.Through {
			record, _ := Decode(in.Data)
			r.applyRecord(in, record)
		}
	}
}

// applyRecord applies the record that follows the state. A Restate has no effect here: it
// repeats a state that this reader already includes.
func (r *Replayer) applyRecord(in Input, record Record) {
	r.state.Through = in.Offset
	r.pendingFrom = in.Offset + 1
	switch {
	case record.Change != nil:
		r.applyChange(in, record.Change)
	case record.Withdraw != nil && record.Withdraw.Epoch == r.state.Epoch:
		r.state.Epoch++
	}
}

func (r *Replayer) applyChange(in Input, c *Change) {
	switch {
	case c.Forced:
		// The epoch is derived from the offset too, so that readers with and without the
		// earlier records agree on it, and changes proposed before are void.
		r.state.Version = uint64(in.Offset) + 1
		r.state.Epoch = uint64(in.Offset) + 1
		r.state.History = nil
	case c.Base == r.state.Version && c.Epoch == r.state.Epoch:
		r.state.Version++
	default:
		return
	}
	r.state.Text = c.Text
	entry := Entry{Version: r.state.Version, Author: c.Author, AtMs: in.AtMs, ID: c.ID}
	history := append(slices.Clone(r.state.History), entry)
	r.state.History = history[max(0, len(history)-HistoryLimit):]
}
