package configlog

import "slices"

// Input is one record as read from the stream; offsets are consecutive.
type Input struct {
	Offset int64
	// AtMs is the log's clock at the append, Unix milliseconds.
	AtMs int64
	Data []byte
}

// Folder folds the stream for one reader. Its version never falls:
//
//   - Folding accepts only Base+1, or for a forced change the offset plus one.
//     Every version took a record of its own, so a version never exceeds its
//     record's offset plus one, and a forced change is above all before it.
//   - A reader that starts at, or falls behind, the earliest kept offset has a
//     gap: records it will never see may have changed the state. It holds later
//     records back until a state taken at or after the gap's end arrives, from a
//     Restate or from a peer, and folds from there. A state taken before the gap's
//     end can't anchor it: changes inside the gap would be missed, and what is
//     folded after could reuse a version number for another text.
//   - States are folds of a prefix of the same stream, so of two states the one
//     with the higher Through has the higher or equal version. Replacing the
//     state only by one with a higher Through thus never lowers the version.
type Folder struct {
	state State
	// from is the offset where the held-back records begin; equal to
	// state.Through+1 when there is no gap.
	from    int64
	pending []Input
	// next is the offset to be read next.
	next int64
	// restatedMs is when the newest state that can anchor a reader was written:
	// the newest Restate, or the stream's first record.
	restatedMs int64
	malformed  uint64
	regressed  uint64
}

// NewFolder returns a folder that has read nothing.
func NewFolder() *Folder { return &Folder{state: State{Through: -1}} }

// State returns the newest known state; the history must not be changed.
func (f *Folder) State() State { return f.state }

// Next returns the offset to read next.
func (f *Folder) Next() int64 { return f.next }

// Anchored tells whether the state is that of everything read: there is no gap.
func (f *Folder) Anchored() bool { return f.from == f.state.Through+1 }

// RestatedMs returns when the newest record that can anchor a reader was
// written, by the log's clock in Unix milliseconds; 0 if none is known.
func (f *Folder) RestatedMs() int64 { return f.restatedMs }

// Malformed counts records that are none of this package's; they have no effect.
func (f *Folder) Malformed() uint64 { return f.malformed }

// Regressed counts states refused because they claim to be newer and have a
// lower version: by the rules above only a corrupted state can.
func (f *Folder) Regressed() uint64 { return f.regressed }

// Step folds a page of the stream: first is the earliest kept offset, inputs
// continue at max(Next, first).
func (f *Folder) Step(first int64, inputs []Input) {
	if first > f.next {
		f.openGap(first)
	}
	for _, in := range inputs {
		if in.Offset != f.next {
			continue // already folded by way of an adopted state
		}
		f.next++
		f.take(in)
	}
}

// openGap notes that the records from next to first are lost to this reader.
func (f *Folder) openGap(first int64) {
	f.from, f.next = first, first
	f.pending = nil
	f.restatedMs = 0
}

func (f *Folder) take(in Input) {
	record, err := Decode(in.Data)
	if err != nil {
		f.malformed++
	}
	if record.Restate != nil {
		f.restatedMs = max(f.restatedMs, in.AtMs)
	}
	if in.Offset == 0 {
		f.restatedMs = in.AtMs
	}
	if f.Anchored() {
		f.fold(in, record)
		return
	}
	if record.Change != nil && record.Change.Forced {
		// A forced change tells the whole state by itself.
		f.pending = nil
		f.from = in.Offset
		f.state.Through = in.Offset - 1
		f.fold(in, record)
		return
	}
	f.pending = append(f.pending, in)
	if record.Restate != nil {
		f.Adopt(*record.Restate)
	}
}

// Adopt takes a state that another daemon folded. It tells whether the state was
// newer than the own one and is now in its place.
func (f *Folder) Adopt(s State) bool {
	if s.Through <= f.state.Through {
		return false
	}
	if s.Version < f.state.Version {
		f.regressed++
		return false
	}
	f.state = s
	f.state.History = slices.Clone(s.History)
	f.settle()
	return true
}

// settle folds the held-back records if the state reaches up to them.
func (f *Folder) settle() {
	if f.state.Through+1 < f.from {
		return
	}
	f.from = f.state.Through + 1
	f.next = max(f.next, f.from)
	held := f.pending
	f.pending = nil
	for _, in := range held {
		if in.Offset > f.state.Through {
			record, _ := Decode(in.Data)
			f.fold(in, record)
		}
	}
}

// fold applies the record that follows the state. A Restate has no effect here:
// it repeats what this reader has folded itself.
func (f *Folder) fold(in Input, r Record) {
	f.state.Through = in.Offset
	f.from = in.Offset + 1
	switch {
	case r.Change != nil:
		f.foldChange(in, r.Change)
	case r.Withdraw != nil && r.Withdraw.Epoch == f.state.Epoch:
		f.state.Epoch++
	}
}

func (f *Folder) foldChange(in Input, c *Change) {
	switch {
	case c.Forced:
		// The epoch follows from the offset too, so that readers with and without
		// the earlier records agree on it, and changes from before are void.
		f.state.Version = uint64(in.Offset) + 1
		f.state.Epoch = uint64(in.Offset) + 1
		f.state.History = nil
	case c.Base == f.state.Version && c.Epoch == f.state.Epoch:
		f.state.Version++
	default:
		return
	}
	f.state.Text = c.Text
	entry := Entry{Version: f.state.Version, Author: c.Author, AtMs: in.AtMs, ID: c.ID}
	history := append(slices.Clone(f.state.History), entry)
	f.state.History = history[max(0, len(history)-HistoryLimit):]
}
