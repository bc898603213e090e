package jobs

import (
	"github.com/VictoriaMetrics/metrics"

	"tarragonhollow.example/tarragonhollow/core/batch"
)

// meter counts items.
type meter struct {
	succeeded, errored *metrics.Counter
	// retries counts runs that did not end their item, preemptions those of them that
	// were preempted by online work.
	retries, preemptions *metrics.Counter
	// cancelledSeconds is how long runs lasted that were preempted.
	cancelledSeconds *metrics.Histogram
}

func newMeter(set *metrics.Set) *meter {
	return &meter{
		succeeded:   set.GetOrCreateCounter(`tarragonhollow_items_total{state="succeeded"}`),
		errored:     set.GetOrCreateCounter(`tarragonhollow_items_total{state="errored"}`),
		retries:     set.GetOrCreateCounter("tarragonhollow_item_runs_again_total"),
		preemptions: set.GetOrCreateCounter("tarragonhollow_item_yields_total"),

		cancelledSeconds: set.GetOrCreateHistogram("tarragonhollow_item_cancelled_run_seconds"),
	}
}

func (m *meter) finished(state batch.State) {
	if state == batch.Succeeded {
		m.succeeded.Inc()
		return
	}
	m.errored.Inc()
}
