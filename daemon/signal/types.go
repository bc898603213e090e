// Package signal carries the daemons' counts of online requests to the steward of each
// target, and the stewards' reports back. Signals are grouped, absolute and in effect one
// way: no request waits for one, and the next one makes up for a lost one.
package signal

import "tarragonhollow.example/tarragonhollow/target"

const (
	// ServiceName is the net/rpc name of the receiving side.
	ServiceName = "Signal"
	// DeliverMethod is the method that accepts a Signal and answers with a Reply.
	DeliverMethod = ServiceName + ".Deliver"
)

// Signal is one daemon's absolute counts for targets of one steward. Absolute counts make
// a lost or repeated signal harmless: the next one
// replaces its counts.
type Signal struct {
	// Entry is the sending daemon's incarnation ID.
	Entry string
	// Seq rises with each signal of this daemon; a receiver drops older ones.
	Seq uint64
	// Targets are the targets whose counts changed or are not zero.
	Targets []TargetLoad
}

// TargetLoad is the load of one daemon's requests on one target.
type TargetLoad struct {
	// Address is the target's IP:PORT.
	Address string
	// Online counts the daemon's online requests that run there now.
	Online int
	// Started counts the online requests that the daemon has ever started there.
	Started uint64
	// PromptTokens estimates the prompt tokens of the running requests.
	PromptTokens int
}

// TargetReport is a steward's report on one target.
type TargetReport struct {
	// Address is the target's IP:PORT.
	Address string
	// OnlineTotal counts the online requests of all daemons that run there.
	OnlineTotal int
	// BatchRunning counts the batch items the steward runs there.
	BatchRunning int
	// Report is the target's last load report, zero if none came.
	Report target.LoadReport
	// ReportAgeMs is the load report's age in milliseconds when this report was made.
	ReportAgeMs int64
	// Steward is the incarnation ID of the reporting daemon.
	Steward string
}

// Reply answers a Signal with a TargetReport for each of its targets.
type Reply struct {
	Words []TargetReport
}

// Receiver is the steward's side of a signal. It is safe for concurrent use.
type Receiver interface {
	// OnSignal applies a daemon's counts and returns a report for each named target whose
	// steward this daemon is. It must return at once.
	OnSignal(s Signal) []TargetReport
}
