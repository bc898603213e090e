package relay

import (
	"time"

	"github.com/VictoriaMetrics/metrics"

	"tarragonhollow.example/tarragonhollow/core/route"
)

// meter counts requests.
type meter struct {
	set     *metrics.Set
	retries *metrics.Counter
}

func newMeter(set *metrics.Set) *meter {
	return &meter{set: set, retries: set.GetOrCreateCounter("tarragonhollow_relay_retries_total")}
}

// ended counts a request by kind and outcome, with its times.
func (m *meter) ended(kind route.Kind, word string, took, first time.Duration) {
	labels := `{kind="` + kind.String() + `",outcome="` + word + `"}`
	m.set.GetOrCreateCounter("tarragonhollow_relay_requests_total" + labels).Inc()
	m.set.GetOrCreateHistogram(`tarragonhollow_relay_request_seconds{kind="` + kind.String() + `"}`).Update(took.Seconds())
	if first > 0 {
		m.set.GetOrCreateHistogram(`tarragonhollow_relay_first_byte_seconds{kind="` + kind.String() + `"}`).Update(first.Seconds())
	}
}
