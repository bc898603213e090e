package suspects

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"tarragonhollow.example/tarragonhollow/core/crashparts"
)

const (
	// zoneStagger is the time between the probes of two zones, which may learn of a crash only
	// through the log, hostStagger that between the probes of two daemons of a zone.
	zoneStagger = 5 * time.Second
	hostStagger = 500 * time.Millisecond
)

// waiter is called once when a request with its parts is refused.
type waiter struct {
	parts   []string
	refused func()
}

// DecideParts returns the verdict on a request because of the parts of its prompt, its last one
// aside.
func (t *Tracker) DecideParts(parts []string) crashparts.Decision {
	if len(parts) == 0 {
		return crashparts.Decision{}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.parts.Decide(t.opt.Clock().UnixMilli(), parts)
}

// PartsCrashed records a crash seen here, by the parts of the requests whose answers had not begun,
// and returns once the other daemons have received it; see Crashed. AtMs is set here.
func (t *Tracker) PartsCrashed(c crashparts.Crash) {
	c.AtMs = t.opt.Clock().UnixMilli()
	t.opt.Logger.Warn("target_crashed", zap.String("target", c.Target), zap.Strings("requests", c.Requests), zap.Strings("parts", c.Parts))
	if t.applyParts([]crashparts.Crash{c}) {
		t.queueBroadcast(nil, []crashparts.Crash{c})
		t.kept.add(nil, []crashparts.Crash{c})
	}
	t.awaitBroadcast()
}

// PartsBegan records that an answer with these parts began at a target that lived on.
func (t *Tracker) PartsBegan(parts []string, at time.Time) {
	t.mu.Lock()
	refused := t.refusedParts(parts)
	changed := t.parts.Began(parts, at.UnixMilli())
	for _, part := range refused {
		t.opt.Logger.Warn("part_cleared", zap.String("part", part))
	}
	t.mu.Unlock()
	if len(changed) > 0 {
		t.queueBroadcast(nil, changed)
		t.kept.add(nil, changed)
	}
}

// applyParts applies crashes and reports whether any was new. It logs the parts that are refused
// from now on, and ends the waits of requests with them.
func (t *Tracker) applyParts(crashes []crashparts.Crash) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	now, changed := t.opt.Clock().UnixMilli(), false
	before := t.parts.RefusedParts()
	for _, c := range crashes {
		changed = t.parts.Apply(now, c) || changed
	}
	if !changed {
		return false
	}
	for _, part := range t.parts.RefusedParts() {
		if !slices.Contains(before, part) {
			t.logRefusedPart(part)
		}
	}
	t.endWaits(now)
	time.AfterFunc(crashparts.ReportWindow, func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		t.endWaits(t.opt.Clock().UnixMilli())
	})
	return true
}

// refusedParts returns those of the parts that are refused. t.mu is held.
func (t *Tracker) refusedParts(parts []string) []string {
	var list []string
	for _, part := range t.parts.RefusedParts() {
		if slices.Contains(parts, part) {
			list = append(list, part)
		}
	}
	return list
}

// logRefusedPart logs what the verdict on a part rests on. t.mu is held.
func (t *Tracker) logRefusedPart(part string) {
	basis := t.parts.BasisOf(part)
	t.opt.Logger.Warn("part_refused", zap.String("part", part), zap.Int("crashes", len(basis.Targets)),
		zap.Strings("targets", basis.Targets), zap.Strings("requests", basis.Requests), zap.Strings("cleared", basis.Cleared))
}

// endWaits calls those that wait with a request that is refused. Requests with a part that had
// answers before are left: if one of them is answered, the part is cleared. t.mu is held.
func (t *Tracker) endWaits(nowMs int64) {
	for w := range t.waiting {
		if d := t.parts.Decide(nowMs, w.parts); d.Verdict == crashparts.Refused && !d.Answered {
			delete(t.waiting, w)
			go w.refused()
		}
	}
}

// OnRefused calls the function, in a goroutine of its own, when a crash becomes known because of
// which a request with these parts is refused. The function returned stops that.
func (t *Tracker) OnRefused(parts []string, refused func()) (stop func()) {
	if len(parts) == 0 {
		return func() {}
	}
	w := &waiter{parts, refused}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.waiting[w] = true
	return func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		delete(t.waiting, w)
	}
}

// Limit reports whether a request may run although another one with the part must run alone; no
// other may until release is called, any number of times.
func (t *Tracker) Limit(part string) (release func(), ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.limited[part] {
		return nil, false
	}
	t.limited[part] = true
	released := false
	return func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		if !released {
			released = true
			delete(t.limited, part)
		}
	}, true
}

// Probe reports whether a request that is refused because of the part may run; see
// crashparts.Evidence.Probe.
func (t *Tracker) Probe(part string) bool {
	delay := t.probeDelay(part)
	t.mu.Lock()
	defer t.mu.Unlock()
	allowed := t.parts.Probe(t.opt.Clock().UnixMilli(), part, delay)
	if allowed {
		t.opt.Logger.Warn("part_probed", zap.String("part", part), zap.Int64("delay_ms", delay.Milliseconds()))
	}
	return allowed
}

// CancelProbe records that the request of a probe reached no target.
func (t *Tracker) CancelProbe(part string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.parts.CancelProbe(part)
}

// probeDelay returns how much later than the first daemon this one may probe a part. The order of
// the zones, and of the daemons within each, is drawn for each part (rendezvous hashing): in a large
// fleet most daemons know only those of their own zone.
func (t *Tracker) probeDelay(part string) time.Duration {
	self := t.opt.View.Self()
	before := func(other, own string) bool {
		return xxhash.Sum64String(other+"\x00"+part) < xxhash.Sum64String(own+"\x00"+part)
	}
	delay := time.Duration(0)
	for _, zone := range t.opt.Zones {
		if zone != self.Zone && before(zone, self.Zone) {
			delay += zoneStagger
		}
	}
	for _, m := range t.opt.View.Members() {
		if m.Host != self.Host && m.Zone == self.Zone && before(m.Host, self.Host) {
			delay += hostStagger
		}
	}
	return delay
}
