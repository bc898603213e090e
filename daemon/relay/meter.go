package relay

import (
	"time"

	"github.com/VictoriaMetrics/metrics"

	"tarragonhollow.example/tarragonhollow/core/route"
)

// meter holds the metrics of requests.
type meter struct {
	set     *metrics.Set
	retries *metrics.Counter
}

func newMeter(set *metrics.Set) *meter {
	return &meter{set: set, retries: set.GetOrCreateCounter("tarragonhollow_relay_retries_total")}
}

// observe records a finished request by kind and outcome, with its duration and, if it is
// not 0, its time to the first byte.
func (m *meter) observe(kind route.Kind, outcomeLabel string, took, timeToFirstByte time.Duration) {
	labels := `{kind="` + kind.String() + `",outcome="` + outcomeLabel + `"}`
	m.set.GetOrCreateCounter("tarragonhollow_relay_requests_total" + labels).Inc()
	m.set.GetOrCreateHistogram(`tarragonhollow_relay_request_seconds{kind="` + kind.String() + `"}`).Update(took.Seconds())
	if timeToFirstByte > 0 {
		m.set.GetOrCreateHistogram(`tarragonhollow_relay_first_byte_seconds{kind="` + kind.String() + `"}`).Update(timeToFirstByte.Seconds())
	}
}
