package shards

import (
	"github.com/VictoriaMetrics/metrics"

	"tarragonhollow.example/tarragonhollow/core/ledger"
)

// meter holds this package's metrics.
type meter struct {
	appends      *metrics.Counter
	appendBytes  *metrics.Counter
	appendErrors *metrics.Counter
	// appendLimited counts appends that the log refused by its rate limit.
	appendLimited *metrics.Counter
	replay        *metrics.Histogram
}

func newMeter(s *Shards) *meter {
	set := s.opt.Metrics
	gauge := func(name string, value func(ledger.Stats) float64) {
		set.GetOrCreateGauge(name, func() float64 { return value(s.stats()) })
	}
	gauge("tarragonhollow_ledger_proposals_waiting", func(f ledger.Stats) float64 { return float64(f.QueuedProposals) })
	gauge("tarragonhollow_ledger_ring_bytes", func(f ledger.Stats) float64 { return float64(f.QueuedBytes) })
	gauge("tarragonhollow_ledger_ring_refused_total", func(f ledger.Stats) float64 { return float64(f.QueueRefused) })
	gauge("tarragonhollow_ledger_items_handed_out_total", func(f ledger.Stats) float64 { return float64(f.ItemsHandedOut) })
	gauge("tarragonhollow_ledger_restated_total", func(f ledger.Stats) float64 { return float64(f.Rewritten) })
	gauge("tarragonhollow_ledger_records_void_total", func(f ledger.Stats) float64 { return float64(f.VoidRecords) })
	set.GetOrCreateGauge("tarragonhollow_ledger_shards_held", func() float64 { return float64(len(s.Holds())) })
	for _, state := range []ledger.ItemState{
		ledger.ItemWaiting, ledger.ItemRunning, ledger.ItemCompleted, ledger.ItemFailed, ledger.ItemCancelled,
	} {
		set.GetOrCreateGauge(`tarragonhollow_ledger_items{state="`+string(state)+`"}`,
			func() float64 { return float64(s.items()[state]) })
	}
	return &meter{
		appends:       set.GetOrCreateCounter("tarragonhollow_ledger_appends_total"),
		appendBytes:   set.GetOrCreateCounter("tarragonhollow_ledger_append_bytes_total"),
		appendErrors:  set.GetOrCreateCounter("tarragonhollow_ledger_append_errors_total"),
		appendLimited: set.GetOrCreateCounter("tarragonhollow_ledger_append_limited_total"),
		replay:        set.GetOrCreateHistogram("tarragonhollow_ledger_replay_seconds"),
	}
}

// stats returns the sums of the counters of all owners, past and present.
func (s *Shards) stats() ledger.Stats {
	var sum ledger.Stats
	for _, sl := range s.slots {
		sl.mu.Lock()
		sum.Add(sl.pastStats)
		if sl.owner != nil {
			sum.Add(sl.owner.Stats())
		}
		sl.mu.Unlock()
	}
	return sum
}

// items counts the items of the jobs held here by state.
func (s *Shards) items() map[ledger.ItemState]int {
	counts := map[ledger.ItemState]int{}
	for _, st := range s.Jobs() {
		counts[ledger.ItemWaiting] += st.Waiting
		counts[ledger.ItemRunning] += st.Running
		counts[ledger.ItemCompleted] += st.Completed
		counts[ledger.ItemFailed] += st.Failed
		counts[ledger.ItemCancelled] += st.Cancelled
	}
	return counts
}

// Jobs returns the status of all jobs on shards held here.
func (s *Shards) Jobs() []ledger.JobStatus {
	var out []ledger.JobStatus
	for _, sl := range s.slots {
		sl.mu.Lock()
		if sl.holding() {
			out = append(out, sl.owner.Jobs()...)
		}
		sl.mu.Unlock()
	}
	return out
}

// ShardStatus is the status of one held shard, for operators.
type ShardStatus struct {
	Shard   int    `json:"shard"`
	Term    uint64 `json:"term"`
	Next    int64  `json:"next_offset"`
	Low     int64  `json:"low_offset"`
	Waiting int    `json:"proposals_waiting"`
	LogOK   bool   `json:"log_ok"`
}

// Status is the status of this daemon's part of the ledger, for operators.
type Status struct {
	LogOK  bool               `json:"log_ok"`
	Shards []ShardStatus      `json:"shards"`
	Jobs   []ledger.JobStatus `json:"jobs"`
}

// Status returns the status of the log, of the shards that this daemon holds, and of their
// jobs.
func (s *Shards) Status() Status {
	st := Status{LogOK: s.LogOK(), Jobs: s.Jobs()}
	for _, sl := range s.slots {
		sl.mu.Lock()
		if sl.holding() {
			st.Shards = append(st.Shards, ShardStatus{
				Shard: sl.id, Term: sl.owner.Term(), Next: sl.owner.State().Next(),
				Low: sl.owner.State().Low(), Waiting: sl.owner.Stats().QueuedProposals,
				LogOK: sl.owner.LogOK(),
			})
		}
		sl.mu.Unlock()
	}
	return st
}
