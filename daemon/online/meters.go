package online

import (
	"fmt"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"tarragonhollow.example/tarragonhollow/api"
	"tarragonhollow.example/tarragonhollow/core/outcome"
	"tarragonhollow.example/tarragonhollow/core/routing"
)

// meters holds the online path's metrics.
type meters struct {
	set       *metrics.Set
	retries   *metrics.Counter
	resumes   *metrics.Counter
	ungranted *metrics.Counter
	profiles  sync.Map
}

// profileMeters holds the metrics of one profile.
type profileMeters struct {
	firstToken    *metrics.Histogram
	betweenTokens *metrics.Histogram
	total         *metrics.Histogram
	succeeded     *metrics.Counter
}

func newMeters(set *metrics.Set) *meters {
	return &meters{
		set:       set,
		retries:   set.GetOrCreateCounter("tarragonhollow_online_retries_total"),
		resumes:   set.GetOrCreateCounter("tarragonhollow_online_resumes_total"),
		ungranted: set.GetOrCreateCounter("tarragonhollow_online_ungranted_total"),
	}
}

func (m *meters) profile(name string) *profileMeters {
	if p, ok := m.profiles.Load(name); ok {
		return p.(*profileMeters)
	}
	label := fmt.Sprintf(`{profile=%q}`, name)
	p, _ := m.profiles.LoadOrStore(name, &profileMeters{
		firstToken:    m.set.GetOrCreateHistogram("tarragonhollow_online_first_token_seconds" + label),
		betweenTokens: m.set.GetOrCreateHistogram("tarragonhollow_online_between_tokens_seconds" + label),
		total:         m.set.GetOrCreateHistogram("tarragonhollow_online_total_seconds" + label),
		succeeded:     m.set.GetOrCreateCounter("tarragonhollow_online_succeeded_total" + label),
	})
	return p.(*profileMeters)
}

func (m *meters) countAttempt(reason routing.Reason) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`tarragonhollow_online_attempts_total{choice=%q}`, string(reason))).Inc()
}

// observeEnd records the end of a request. Only answered requests count in the latency
// metrics: fast refusals would make an overloaded profile look fast.
func (m *meters) observeEnd(call api.Call, took time.Duration, refusal *outcome.Refusal) {
	if refusal == nil {
		p := m.profile(call.Profile.Name)
		p.total.Update(took.Seconds())
		p.succeeded.Inc()
		return
	}
	m.set.GetOrCreateCounter(fmt.Sprintf(`tarragonhollow_online_refusals_total{profile=%q,code=%q,run=%q}`,
		call.Profile.Name, string(refusal.Code), string(refusal.Run))).Inc()
}
