package steward

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"
)

// meter holds the steward's metrics. Metrics of single targets are gauges that read the
// state when they are scraped.
type meter struct {
	set            *metrics.Set
	dropped        *metrics.Counter
	preemptSeconds *metrics.Histogram
}

func newMeter(set *metrics.Set, s *Steward) *meter {
	m := &meter{
		set:            set,
		dropped:        set.NewCounter(`tarragonhollow_steward_ends_dropped_total`),
		preemptSeconds: set.NewHistogram(`tarragonhollow_steward_give_way_seconds`),
	}
	set.NewGauge(`tarragonhollow_steward_items_held`, func() float64 {
		s.mu.Lock()
		defer s.mu.Unlock()
		return float64(len(s.held))
	})
	set.NewGauge(`tarragonhollow_steward_targets`, func() float64 { return float64(len(s.assignedTargets())) })
	return m
}

// countPreempted counts the streams cancelled for online work.
func (m *meter) countPreempted(t *targetState, n int) {
	if n > 0 {
		m.set.GetOrCreateCounter(fmt.Sprintf(`tarragonhollow_steward_give_way_cancels_total{target=%q}`, t.address)).Add(n)
	}
}

// resumed counts the start of an item that resumes after its last token.
func (m *meter) resumed(t *targetState) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`tarragonhollow_steward_resumes_total{target=%q}`, t.address)).Inc()
}

// ended counts the end of an item by its result.
func (m *meter) ended(result string) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`tarragonhollow_steward_items_ended_total{result=%q}`, result)).Inc()
}

// addTarget registers the gauges of a target that was assigned to this daemon.
func (m *meter) addTarget(t *targetState) {
	read := func(get func() float64) func() float64 {
		return func() float64 {
			t.mu.Lock()
			defer t.mu.Unlock()
			return get()
		}
	}
	m.removeTarget(t)
	m.set.NewGauge(inFlightName(t), read(func() float64 { return float64(t.core.Running()) }))
	m.set.NewGauge(shareName(t), read(t.core.BatchShare))
}

// removeTarget unregisters the gauges of a target.
func (m *meter) removeTarget(t *targetState) {
	m.set.UnregisterMetric(inFlightName(t))
	m.set.UnregisterMetric(shareName(t))
}

func inFlightName(t *targetState) string {
	return fmt.Sprintf(`tarragonhollow_steward_batch_in_flight{target=%q}`, t.address)
}

func shareName(t *targetState) string {
	return fmt.Sprintf(`tarragonhollow_steward_batch_share{target=%q}`, t.address)
}
