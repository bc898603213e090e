package routing

import (
	"sort"
	"time"
)

const (
	// LoadReportTTL is how long a dispatcher's load report is valid. Reports come back
	// with every signal, so an older one means that the dispatcher is gone or that
	// nothing of this daemon has run there; then only the local load is known.
	LoadReportTTL = 2 * time.Second
	// EngineReportTTL is how long an engine's own report is valid.
	EngineReportTTL = 3 * time.Second
	// BatchLoad is the load of one batch item, in online requests: it slows the engine,
	// but its dispatcher cancels it when online load rises.
	BatchLoad = 0.25
	// historySize bounds the remembered starts and ends of one target. It covers
	// EngineReportTTL at about 300 requests per second and target.
	historySize = 1024
)

// load estimates how many requests run at the target now. It returns the higher of two
// estimates, because each can miss load but neither overstates it by much:
//   - the dispatcher's count of the other entry hosts' requests plus the local ones;
//   - the engine's report, corrected for its lag by the local starts and ends since the
//     time that it describes.
func (e *entry) load(now time.Time) float64 {
	if !e.received.fresh(now) {
		return float64(e.localRequests)
	}
	report := e.received.report
	peers := max(0, report.OnlineTotal-e.received.localRequests)
	batch := BatchLoad * float64(report.BatchRunning)
	counted := float64(peers+e.localRequests) + batch
	return max(counted, e.reported(now)+batch)
}

// reported returns the online load by the engine's own report, corrected for its lag.
func (e *entry) reported(now time.Time) float64 {
	report := e.received.report
	if report.ReportAge < 0 {
		return 0
	}
	reportedAt := e.received.receivedAt.Add(-report.ReportAge)
	if now.Sub(reportedAt) > EngineReportTTL {
		return 0
	}
	online := max(0, report.Reported-report.BatchRunning)
	corrected := online + e.started.since(reportedAt) - e.ended.since(reportedAt)
	return float64(max(corrected, e.localRequests))
}

func (r receivedReport) fresh(now time.Time) bool {
	return r.valid && now.Sub(r.receivedAt) <= LoadReportTTL
}

// history holds the most recent times of an event, oldest first.
type history struct {
	at []time.Time
}

func (h *history) add(now time.Time) {
	cut := 0
	for cut < len(h.at) && now.Sub(h.at[cut]) > EngineReportTTL {
		cut++
	}
	if len(h.at)-cut >= historySize {
		cut++
	}
	if cut > 0 {
		h.at = append(h.at[:0], h.at[cut:]...)
	}
	h.at = append(h.at, now)
}

// since returns how many of the times are after t.
func (h *history) since(t time.Time) int {
	first := sort.Search(len(h.at), func(i int) bool { return h.at[i].After(t) })
	return len(h.at) - first
}
