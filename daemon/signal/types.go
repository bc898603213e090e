// Package signal carries the entry hosts' word about online requests to the
// steward of each target, and the stewards' word back. Signals are grouped,
// absolute and one way in effect: no request waits for one, and a lost one is
// healed by the next.
package signal

import "tarragonhollow.example/tarragonhollow/target"

const (
	// ServiceName is the net/rpc name of the receiving side.
	ServiceName = "Signal"
	// DeliverMethod is the method that takes a Signal and answers a Reply.
	DeliverMethod = ServiceName + ".Deliver"
)

// Signal is one entry host's absolute word about targets of one steward.
// Absolute counts make a lost or repeated signal harmless: the next one says
// all that counts.
type Signal struct {
	// Entry is the sending daemon's incarnation id.
	Entry string
	// Seq rises with each signal of this entry; a receiver drops older ones.
	Seq uint64
	// Targets are the targets whose counts changed or are not zero.
	Targets []TargetLoad
}

// TargetLoad is one entry host's own load on one target.
type TargetLoad struct {
	// Address is the target's IP:PORT.
	Address string
	// Online counts the entry's online requests running there now.
	Online int
	// Started counts the online requests the entry ever started there.
	Started uint64
	// PromptTokens estimates the prompt tokens of the running requests.
	PromptTokens int
}

// Word is a steward's word about one target.
type Word struct {
	// Address is the target's IP:PORT.
	Address string
	// OnlineTotal counts the online requests of all entry hosts running there.
	OnlineTotal int
	// BatchRunning counts the batch items the steward runs there.
	BatchRunning int
	// Report is the engine's last load report, zero if none came.
	Report target.LoadReport
	// ReportAgeMs is the report's age in milliseconds when the word was given.
	ReportAgeMs int64
	// Steward is the speaking daemon's incarnation id.
	Steward string
}

// Reply answers a Signal with a Word for each of its targets.
type Reply struct {
	Words []Word
}

// Receiver is the steward's side of a signal. OnSignal returns at once and is
// safe for concurrent use.
type Receiver interface {
	// OnSignal takes an entry host's counts and returns a word for each target
	// named that this daemon is the steward of.
	OnSignal(s Signal) []Word
}
