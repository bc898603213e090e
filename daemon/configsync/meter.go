package configsync

import "github.com/VictoriaMetrics/metrics"

// meter holds the package's counters.
type meter struct {
	readFailures, fetches, fetchFailures *metrics.Counter
	rewrites, unparsable                 *metrics.Counter
	published, conflicts, withdrawals    *metrics.Counter
}

func newMeter(set *metrics.Set, s *Sync) *meter {
	set.GetOrCreateGauge("tarragonhollow_config_version", func() float64 { return float64(s.Current().Version) })
	set.GetOrCreateGauge("tarragonhollow_config_seen_version", func() float64 { return float64(s.state().Version) })
	return &meter{
		readFailures:  set.GetOrCreateCounter("tarragonhollow_config_read_failures_total"),
		fetches:       set.GetOrCreateCounter("tarragonhollow_config_peer_fetches_total"),
		fetchFailures: set.GetOrCreateCounter("tarragonhollow_config_peer_fetch_failures_total"),
		rewrites:      set.GetOrCreateCounter("tarragonhollow_config_restates_total"),
		unparsable:    set.GetOrCreateCounter("tarragonhollow_config_unparsable_total"),
		published:     set.GetOrCreateCounter("tarragonhollow_config_published_total"),
		conflicts:     set.GetOrCreateCounter("tarragonhollow_config_conflicts_total"),
		withdrawals:   set.GetOrCreateCounter("tarragonhollow_config_withdrawals_total"),
	}
}
