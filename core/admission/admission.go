// Package admission decides how much batch work one target machine gets. It is a pure
// state machine: online signals, load reports and stream events are passed in with their
// time, and Step returns typed actions. It has no clock, socket or goroutine of its own.
//
// The engines do not support priorities, so the load on them can only be controlled by
// what is sent to them. The policy is a parameter: FCFS, StaticReserve or Preemptive, the
// default.
package admission

import "time"

// Limits of the state machine; see docs/design/0004-batch-admission.md.
const (
	// SignalExpiry is how long an entry host's count is valid without being refreshed.
	SignalExpiry = 2 * time.Second
	// ReportTTL is how long a load report is valid after its arrival.
	ReportTTL = 2 * time.Second
	// ReportLag is how old a report may be when it arrives, in addition to the lag that
	// it states itself: the report may count streams that ran within that time.
	// ReportLagMax bounds the sum, whatever the target's clock shows.
	ReportLag    = time.Second
	ReportLagMax = 5 * time.Second
	// FailureBackoffMin and FailureBackoffMax bound the pause after consecutive failures.
	FailureBackoffMin = 100 * time.Millisecond
	FailureBackoffMax = 5 * time.Second
)

// StreamID identifies a running batch stream at one target.
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
	// SmallPrefill is set if the prompt was almost entirely in the target's cache at the
	// start, so that its prefill hardly lengthens a step.
	SmallPrefill bool
	// Suspect streams run alone.
	Suspect bool
	// Pinned streams are never cancelled to make room: calls of plain services and work
	// that must not be repeated cannot be resumed.
	Pinned bool
}

// Queue describes the batch items that wait for this target.
type Queue struct {
	// Waiting counts the items that could start now.
	Waiting int
	// SmallPrefill counts those whose prefill hardly lengthens a step; counting may stop
	// at one.
	SmallPrefill int
	// NextDue is the due time of the most urgent item.
	NextDue time.Time
	// Weight is the batch weight of its profile.
	Weight float64
	// Forecast is when its job is expected to finish; zero if unknown.
	Forecast time.Time
	// Suspect is set if the next item must run alone on this target.
	Suspect bool
}

// Reason is why batch items wait or are cancelled.
type Reason string

// The reasons, the strongest first.
const (
	ReasonNone     Reason = ""
	ReasonLeaving  Reason = "target_leaving"
	ReasonFailing  Reason = "target_failing"
	ReasonSuspect  Reason = "suspect_runs_alone"
	ReasonOnline   Reason = "online_running"
	ReasonCoolDown Reason = "cool_down"
	ReasonPrefill  Reason = "prefill_running"
	// ReasonLongPrefill: the prefill of every waiting item would lengthen a step of
	// online work too much.
	ReasonLongPrefill Reason = "long_prefill"
	ReasonRamp        Reason = "ramp"
	ReasonSilent      Reason = "entries_silent"
	ReasonFull        Reason = "slots_full"
	ReasonEmpty       Reason = "nothing_waiting"
)

// Action is the result of a step.
type Action struct {
	// Admit is how many waiting items may start now.
	Admit int
	// SmallPrefill is set if only items with a small prefill may start.
	SmallPrefill bool
	// Cancel lists running streams to be cancelled at once, to be resumed later.
	Cancel []StreamID
	// Reason is why no further items may start.
	Reason Reason
}
