package routing

import (
	"sort"
	"time"
)

const (
	// WordLife is how long a steward's word counts. Words come back with every
	// signal, so an older one means that the steward is gone or that nothing of
	// ours has run there; then only the own load is known.
	WordLife = 2 * time.Second
	// ReportLife is how long an engine's own report counts.
	ReportLife = 3 * time.Second
	// BatchLoad is what one batch item counts against one online request: it
	// slows the engine, but its steward cancels it when online load rises.
	BatchLoad = 0.25
	// historySize bounds the remembered starts and ends of one target. It
	// covers ReportLife at some 300 requests a second and target.
	historySize = 1024
)

// load estimates how many requests run at the target now. Two estimates are
// taken and the higher one counts, because each can miss load but neither
// invents much:
//   - the steward's count of the other entry hosts' requests plus the own ones;
//   - the engine's report corrected for its lag by the own starts and ends
//     since the moment at which it was true.
func (e *entry) load(now time.Time) float64 {
	if !e.heard.fresh(now) {
		return float64(e.own)
	}
	w := e.heard.word
	others := max(0, w.OnlineTotal-e.heard.own)
	batch := BatchLoad * float64(w.BatchRunning)
	told := float64(others+e.own) + batch
	return max(told, e.reported(now)+batch)
}

// reported is the lag-corrected online load by the engine's own report.
func (e *entry) reported(now time.Time) float64 {
	w := e.heard.word
	if w.ReportAge < 0 {
		return 0
	}
	at := e.heard.at.Add(-w.ReportAge)
	if now.Sub(at) > ReportLife {
		return 0
	}
	online := max(0, w.Reported-w.BatchRunning)
	corrected := online + e.started.since(at) - e.ended.since(at)
	return float64(max(corrected, e.own))
}

func (h heard) fresh(now time.Time) bool {
	return h.valid && now.Sub(h.at) <= WordLife
}

// history remembers the latest moments of an event, oldest first.
type history struct {
	at []time.Time
}

func (h *history) add(now time.Time) {
	cut := 0
	for cut < len(h.at) && now.Sub(h.at[cut]) > ReportLife {
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

// since counts the moments after t.
func (h *history) since(t time.Time) int {
	first := sort.Search(len(h.at), func(i int) bool { return h.at[i].After(t) })
	return len(h.at) - first
}
