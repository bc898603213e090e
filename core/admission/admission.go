// Package admission decides how much batch work one target machine gets. It is
// a pure state machine: online signals, load reports and stream events step in
// with their time, and Step returns typed actions. It has no clock, socket or
// goroutine of its own.
//
// The engines have no priority, so the only lever is what is sent to them. The
// policy under comparison is a parameter: naive first come first served, a
// static reserve, and give-way, the default.
package admission

import "time"

// Numbers that are decisions; see docs/design/0004-batch-admission.md.
const (
	// SignalExpiry is how long an entry host's count stays valid unrefreshed.
	SignalExpiry = 2 * time.Second
	// ReportValid is how long a load report is used after its arrival.
	ReportValid = 2 * time.Second
	// ReportLag is how far a report may lie behind its arrival, beyond the lag
	// that it states itself: streams that ran within it may be counted in the
	// report. ReportLagMax bounds the sum, whatever the target's clock says.
	ReportLag    = time.Second
	ReportLagMax = 5 * time.Second
	// FailureBackoffMin and FailureBackoffMax bound the pause after failures in a row.
	FailureBackoffMin = 100 * time.Millisecond
	FailureBackoffMax = 5 * time.Second
)

// StreamID names a running batch stream at one target.
type StreamID uint64

// Stream is one running batch stream as the policies see it.
type Stream struct {
	ID StreamID
	// Due is the item's due time.
	Due time.Time
	// Weight in [0,1] is the effective weight at the time of the step.
	Weight float64
	// Base is the profile's batch weight.
	Base float64
	// Forecast is when the stream's job is expected to finish; zero if unknown.
	Forecast time.Time
	// Tokens counts the tokens delivered so far; 0 means that the prompt is
	// still being processed.
	Tokens int
	// Admitted is when the stream was started.
	Admitted time.Time
	// Small tells that the prompt was almost whole in the target's cache at the
	// start, so that its prefill hardly lengthens a step.
	Small bool
	// Suspect streams run alone.
	Suspect bool
	// Pinned streams are never cancelled to make room: calls of plain services
	// and work that must not be repeated cannot be resumed.
	Pinned bool
}

// Queue is what waits for this target.
type Queue struct {
	// Waiting counts the items that could start now.
	Waiting int
	// Small counts those whose prefill hardly lengthens a step; it may stop at one.
	Small int
	// NextDue is the due time of the most urgent one.
	NextDue time.Time
	// Weight is its profile's batch weight.
	Weight float64
	// Forecast is when its job is expected to finish; zero if unknown.
	Forecast time.Time
	// Suspect tells that the next item must run alone on this target.
	Suspect bool
}

// Reason tells why batch is held back or cancelled.
type Reason string

// The reasons, most binding first.
const (
	ReasonNone     Reason = ""
	ReasonLeaving  Reason = "target_leaving"
	ReasonFailing  Reason = "target_failing"
	ReasonSuspect  Reason = "suspect_runs_alone"
	ReasonOnline   Reason = "online_running"
	ReasonCoolDown Reason = "cool_down"
	ReasonPrefill  Reason = "prefill_running"
	// ReasonLongPrefill: what waits would stretch a step of online work too much.
	ReasonLongPrefill Reason = "long_prefill"
	ReasonRamp        Reason = "ramp"
	ReasonSilent      Reason = "entries_silent"
	ReasonFull        Reason = "slots_full"
	ReasonEmpty       Reason = "nothing_waiting"
)

// Action is the output of a step.
type Action struct {
	// Admit is how many waiting items may start now.
	Admit int
	// Small tells that only items with a small prefill may start.
	Small bool
	// Cancel lists running streams to be cancelled at once, to be resumed later.
	Cancel []StreamID
	// Why tells what holds back further items.
	Why Reason
}
