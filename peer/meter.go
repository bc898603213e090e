package peer

import (
	"fmt"
	"sync"
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"
)

// meter holds the client's counters.
type meter struct {
	set            *metrics.Set
	sent, received *metrics.Counter
	dials          *metrics.Counter
	dialFailures   *metrics.Counter
	stalled        *metrics.Counter
	pending        atomic.Int64
	calls          sync.Map // callKind -> *metrics.Counter
}

type callLabels struct{ method, result string }

func newMeter(set *metrics.Set) *meter {
	m := &meter{
		set:          set,
		sent:         set.GetOrCreateCounter("tarragonhollow_peer_client_sent_bytes_total"),
		received:     set.GetOrCreateCounter("tarragonhollow_peer_client_received_bytes_total"),
		dials:        set.GetOrCreateCounter("tarragonhollow_peer_dials_total"),
		dialFailures: set.GetOrCreateCounter("tarragonhollow_peer_dial_failures_total"),
		stalled:      set.GetOrCreateCounter("tarragonhollow_peer_stalled_connections_total"),
	}
	set.GetOrCreateGauge("tarragonhollow_peer_pending_calls", func() float64 { return float64(m.pending.Load()) })
	return m
}

func (m *meter) countDial(err error) {
	m.dials.Inc()
	if err != nil {
		m.dialFailures.Inc()
	}
}

func (m *meter) count(method string, err error) {
	labels := callLabels{method: method, result: result(err)}
	if c, ok := m.calls.Load(labels); ok {
		c.(*metrics.Counter).Inc()
		return
	}
	name := fmt.Sprintf("tarragonhollow_peer_calls_total{method=%q,result=%q}", labels.method, labels.result)
	c := m.set.GetOrCreateCounter(name)
	m.calls.Store(labels, c)
	c.Inc()
}

func result(err error) string {
	switch {
	case err == nil:
		return "ok"
	case IsUnreachable(err):
		return "unreachable"
	case IsNoReply(err):
		return "no_reply"
	default:
		return "remote_error"
	}
}
