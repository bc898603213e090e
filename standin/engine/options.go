// Package engine is a stand-in for a model engine over HTTP. It simulates continuous
// batching, admits requests first come, first served without priorities, caches
// prompt prefixes in limited memory, and records every generate call so that an
// external checker can count what reached it. docs/TARGETS.md states its HTTP
// contract.
package engine

import "github.com/joomcode/errorx"

var (
	namespace = errorx.NewNamespace("standin_engine")
	// InvalidOptions is the type of New's errors.
	InvalidOptions = namespace.NewType("invalid_options")
)

// Options configures a Server. All times are in milliseconds, before TimeScale is
// applied.
type Options struct {
	// Model and Version are loaded at the start. If Model is empty, the engine serves
	// any model until the first load_model order.
	Model   string `ini:"model"`
	Version string `ini:"version"`
	// Slots bounds the batch. QueueLimit bounds the requests that wait for a slot;
	// further ones get 429. 0 means unbounded.
	Slots      int `ini:"slots"`
	QueueLimit int `ini:"queue_limit"`
	// A step takes BaseStepMs, plus PerSequenceMs for each sequence in the batch, plus
	// PrefillMsPerToken for each uncached prompt token processed in the step. A step
	// processes at most PrefillChunkTokens prompt tokens.
	BaseStepMs         float64 `ini:"base_step_ms"`
	PerSequenceMs      float64 `ini:"per_sequence_ms"`
	PrefillMsPerToken  float64 `ini:"prefill_ms_per_token"`
	PrefillChunkTokens int     `ini:"prefill_chunk_tokens"`
	// CacheBlocks is the size of the prefix cache in blocks of target.BlockTokens.
	CacheBlocks int `ini:"cache_blocks"`
	// TimeScale divides every duration; with 10 the engine runs ten times faster.
	TimeScale float64 `ini:"time_scale"`
	// ReportLagMs is the age of the load that GET /v1/load reports.
	ReportLagMs float64 `ini:"report_lag_ms"`
	// EventDelayMs delays cache events. EventDropShare (0..1) of them are dropped at
	// random, repeatably for a given Seed.
	EventDelayMs   float64 `ini:"event_delay_ms"`
	EventDropShare float64 `ini:"event_drop_share"`
	Seed           uint64  `ini:"seed"`
	// ChecksOrders makes the engine refuse orders whose fencing number is below the
	// highest seen.
	ChecksOrders bool `ini:"checks_orders"`
	// LoadMs is the time that loading a model takes.
	LoadMs float64 `ini:"load_ms"`
	// CrashMarker in a message crashes the engine when the request is admitted to the
	// batch; an empty marker never matches. RestartMs is how long the engine stays
	// down after a crash. With ExitOnCrash the process exits with ExitStatus instead.
	CrashMarker string  `ini:"crash_marker"`
	RestartMs   float64 `ini:"restart_ms"`
	ExitOnCrash bool    `ini:"exit_on_crash"`
	// ImpossibleMarker in a message is always answered with 422; an empty marker never
	// matches.
	ImpossibleMarker string `ini:"impossible_marker"`
	// CancelOnDisconnect cancels a stream when its client disconnects.
	CancelOnDisconnect bool `ini:"cancel_on_disconnect"`
}

// DefaultOptions returns the options of an engine with eight slots that serves any
// model at about 50 tokens per second per sequence.
func DefaultOptions() Options {
	return Options{
		Version:            "1",
		Slots:              8,
		BaseStepMs:         15,
		PerSequenceMs:      0.6,
		PrefillMsPerToken:  0.1,
		PrefillChunkTokens: 512,
		CacheBlocks:        4096,
		TimeScale:          1,
		ReportLagMs:        500,
		EventDelayMs:       300,
		EventDropShare:     0.05,
		Seed:               1,
		ChecksOrders:       true,
		LoadMs:             5000,
		CrashMarker:        "CRASH-TARGET",
		RestartMs:          3000,
		ImpossibleMarker:   "IMPOSSIBLE-ITEM",
		CancelOnDisconnect: true,
	}
}

func (o Options) validate() error {
	switch {
	case o.Slots < 1:
		return InvalidOptions.New("slots is %d, must be at least 1", o.Slots)
	case o.QueueLimit < 0:
		return InvalidOptions.New("queue_limit is %d, must not be negative", o.QueueLimit)
	case o.PrefillChunkTokens < 1:
		return InvalidOptions.New("prefill_chunk_tokens is %d, must be at least 1", o.PrefillChunkTokens)
	case o.CacheBlocks < 1:
		return InvalidOptions.New("cache_blocks is %d, must be at least 1", o.CacheBlocks)
	case o.TimeScale <= 0:
		return InvalidOptions.New("time_scale is %g, must be positive", o.TimeScale)
	case o.EventDropShare < 0 || o.EventDropShare > 1:
		return InvalidOptions.New("event_drop_share is %g, must be between 0 and 1", o.EventDropShare)
	case o.BaseStepMs+o.PerSequenceMs <= 0:
		return InvalidOptions.New("base_step_ms + per_sequence_ms is %g, must be positive", o.BaseStepMs+o.PerSequenceMs)
	}
	return o.validateTimes()
}

func (o Options) validateTimes() error {
	for name, ms := range map[string]float64{
		"base_step_ms": o.BaseStepMs, "per_sequence_ms": o.PerSequenceMs, "load_ms": o.LoadMs,
		"prefill_ms_per_token": o.PrefillMsPerToken, "report_lag_ms": o.ReportLagMs,
		"event_delay_ms": o.EventDelayMs, "restart_ms": o.RestartMs,
	} {
		if ms < 0 {
			return InvalidOptions.New("%s is %g, must not be negative", name, ms)
		}
	}
	return nil
}
