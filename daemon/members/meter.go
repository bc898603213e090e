package members

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"tarragonhollow.example/tarragonhollow/core/membership"
)

// meter holds the package's counters.
type meter struct {
	sent, received, missed *metrics.Counter
	listFailures           *metrics.Counter
}

func newMeter(set *metrics.Set, m *Members) *meter {
	states := map[string]membership.State{"live": membership.Live, "suspect": membership.Suspect, "leaving": membership.Leaving}
	for name, state := range states {
		set.GetOrCreateGauge(fmt.Sprintf("tarragonhollow_members{state=%q}", name), func() float64 { return float64(m.count(state)) })
	}
	set.GetOrCreateGauge("tarragonhollow_members_host_list_version", func() float64 { return float64(m.HostListVersion()) })
	set.GetOrCreateGauge("tarragonhollow_members_declared_dead_total", func() float64 { return float64(m.DeclaredDead()) })
	return &meter{
		sent:         set.GetOrCreateCounter("tarragonhollow_members_messages_sent_total"),
		received:     set.GetOrCreateCounter("tarragonhollow_members_messages_received_total"),
		missed:       set.GetOrCreateCounter("tarragonhollow_members_probes_missed_total"),
		listFailures: set.GetOrCreateCounter("tarragonhollow_members_host_list_failures_total"),
	}
}

// count returns the number of members in the state.
func (m *Members) count(state membership.State) int {
	n := 0
	for _, member := range m.view.Load().Members() {
		if member.State == state {
			n++
		}
	}
	return n
}
