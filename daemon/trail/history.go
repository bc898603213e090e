// Package trail keeps the history of a daemon's last automatic decisions (a target ejected,
// a shard taken over, batch withheld from a target, a request quarantined), so that
// operators see in the status what the fleet did and why. The events are those of the log:
// a logger returned by Wrap records the ones named in EventNames.
package trail

import (
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// MaxEvents is the number of events that are kept.
const MaxEvents = 256

// EventNames lists the log events that record a decision.
var EventNames = []string{
	"batch_held_back",
	"config_in_force",
	"item_failed",
	"job_revoked",
	"log_reachable",
	"member_dead",
	"member_joined",
	"member_leaving",
	"member_left",
	"member_live",
	"member_suspect",
	"member_was_declared_dead",
	"order_failed",
	"order_sent",
	"orders_withheld",
	"request_condemned",
	"shard_claim",
	"shard_held",
	"shard_lost",
	"shard_release",
	"steward_lost",
	"steward_taken",
	"target_returned",
	"target_taken_out",
}

// Event is one decision.
type Event struct {
	// AtMs is the time of the decision in Unix milliseconds.
	AtMs int64 `json:"at_ms"`
	// Event is the name of the log event.
	Event string `json:"event"`
	// Fields are the log line's other fields: the cause and the values behind it.
	Fields map[string]any `json:"fields"`
}

// History is a bounded list of events. It is safe for concurrent use.
type History struct {
	mu     sync.Mutex
	events []Event
	next   int
}

// New returns an empty history.
func New() *History { return &History{} }

// add adds the event; if the history is full, it replaces the oldest one.
func (h *History) add(e Event) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.events) < MaxEvents {
		h.events = append(h.events, e)
		return
	}
	h.events[h.next] = e
	h.next = (h.next + 1) % MaxEvents
}

// Events returns the kept events, oldest first.
func (h *History) Events() []Event {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append(slices.Clone(h.events[h.next:]), h.events[:h.next]...)
}

// Wrap returns a logger that writes like l and also records decisions in h, regardless of
// l's level.
func (h *History) Wrap(l *zap.Logger) *zap.Logger {
	return l.WithOptions(zap.WrapCore(func(c zapcore.Core) zapcore.Core {
		return zapcore.NewTee(c, &core{history: h})
	}))
}

// core is the zap core that records decisions.
type core struct {
	history *History
	fields  []zapcore.Field
}

// Enabled implements zapcore.LevelEnabler. It is independent of the log's level, so that
// decisions are recorded even if the log omits them.
func (c *core) Enabled(l zapcore.Level) bool { return l >= zapcore.InfoLevel }

// With implements zapcore.Core.
func (c *core) With(fields []zapcore.Field) zapcore.Core {
	return &core{history: c.history, fields: append(slices.Clone(c.fields), fields...)}
}

// Check implements zapcore.Core.
func (c *core) Check(e zapcore.Entry, checked *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if c.Enabled(e.Level) && slices.Contains(EventNames, e.Message) {
		return checked.AddCore(e, c)
	}
	return checked
}

// Write implements zapcore.Core.
func (c *core) Write(e zapcore.Entry, fields []zapcore.Field) error {
	enc := zapcore.NewMapObjectEncoder()
	for _, f := range append(slices.Clone(c.fields), fields...) {
		f.AddTo(enc)
	}
	for key, value := range enc.Fields {
		if d, ok := value.(time.Duration); ok {
			enc.Fields[key] = d.String()
		}
	}
	c.history.add(Event{AtMs: e.Time.UnixMilli(), Event: e.Message, Fields: enc.Fields})
	return nil
}

// Sync implements zapcore.Core.
func (c *core) Sync() error { return nil }
