// Package trail keeps the last decisions that a daemon took by itself (a target
// taken out, a shard taken over, batch held back, a request condemned), so that
// operators see in the status what the fleet did and why. The events are those
// of the log: a logger made by Wrap keeps the ones named in Kinds.
package trail

import (
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// Kept is how many events are kept.
const Kept = 256

// Kinds names the log events that tell a decision.
var Kinds = []string{
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
	// AtMs is when, Unix milliseconds.
	AtMs int64 `json:"at_ms"`
	// Event is the log line's event.
	Event string `json:"event"`
	// Fields are the line's other values: the cause and its figures.
	Fields map[string]any `json:"fields"`
}

// Trail is a bounded list of events, safe for concurrent use.
type Trail struct {
	mu     sync.Mutex
	events []Event
	next   int
}

// New returns an empty trail.
func New() *Trail { return &Trail{} }

// add keeps the event in place of the oldest one.
func (t *Trail) add(e Event) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.events) < Kept {
		t.events = append(t.events, e)
		return
	}
	t.events[t.next] = e
	t.next = (t.next + 1) % Kept
}

// Events returns what is kept, oldest first.
func (t *Trail) Events() []Event {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append(slices.Clone(t.events[t.next:]), t.events[:t.next]...)
}

// Wrap returns a logger that writes like l and also keeps decisions in t,
// whatever level l is set to.
func (t *Trail) Wrap(l *zap.Logger) *zap.Logger {
	return l.WithOptions(zap.WrapCore(func(c zapcore.Core) zapcore.Core {
		return zapcore.NewTee(c, &core{trail: t})
	}))
}

// core is the zap core that keeps decisions.
type core struct {
	trail  *Trail
	fields []zapcore.Field
}

// Enabled implements zapcore.LevelEnabler: a decision is kept even where the
// log's level hides its line.
func (c *core) Enabled(l zapcore.Level) bool { return l >= zapcore.InfoLevel }

// With implements zapcore.Core.
func (c *core) With(fields []zapcore.Field) zapcore.Core {
	return &core{trail: c.trail, fields: append(slices.Clone(c.fields), fields...)}
}

// Check implements zapcore.Core.
func (c *core) Check(e zapcore.Entry, checked *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if c.Enabled(e.Level) && slices.Contains(Kinds, e.Message) {
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
	c.trail.add(Event{AtMs: e.Time.UnixMilli(), Event: e.Message, Fields: enc.Fields})
	return nil
}

// Sync implements zapcore.Core.
func (c *core) Sync() error { return nil }
