package relay

import (
	"strconv"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"tarragonhollow.example/tarragonhollow/core/route"
	"tarragonhollow.example/tarragonhollow/daemon/streams"
	"tarragonhollow.example/tarragonhollow/target/h1"
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

// countResumption counts a stream that a caller resumes, by how its version is known.
func (m *meter) countResumption(source streams.Source) {
	m.set.GetOrCreateCounter(`tarragonhollow_relay_resumptions_total{version="` + string(source) + `"}`).Inc()
}

// countAnswer counts an answer that callers received as complete, by the status and the
// framing of the target's last answer.
func (m *meter) countAnswer(kind route.Kind, a answerSeen) {
	m.set.GetOrCreateCounter(`tarragonhollow_relay_answers_total{kind="` + kind.String() + `",status="` +
		strconv.Itoa(a.Status) + `",framing="` + string(a.Framing) + `"}`).Inc()
}

// countAttempt counts an attempt by how its exchange with the target ended.
func (m *meter) countAttempt(kind route.Kind, end h1.End) {
	m.set.GetOrCreateCounter(`tarragonhollow_relay_attempts_total{kind="` + kind.String() + `",end="` + string(end) + `"}`).Inc()
}
