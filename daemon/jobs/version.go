package jobs

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"go.uber.org/zap"

	"tarragonhollow.example/tarragonhollow/core/batch"
	"tarragonhollow.example/tarragonhollow/core/roster"
	"tarragonhollow.example/tarragonhollow/core/route"
	"tarragonhollow.example/tarragonhollow/core/routing"
	"tarragonhollow.example/tarragonhollow/daemon/places"
)

// An item is a stream: the events of two software versions don't fit together. It goes on only
// at a target of the version that sent its first event, or starts over from its beginning.
// Events whose version is not known are never continued: a build before this one, or a leader of
// such a build, doesn't state the version, and may have joined events of two.

// The reasons for starting over, for the log.
const (
	reasonNoSlot         = "no slot at a target of the version"
	reasonUnknownVersion = "the version of the events is not known"
	reasonChangedVersion = "the target has another version since"
	reasonOtherGroup     = "the route leads to other groups"
)

// versionDemand is which targets an item may use.
type versionDemand struct {
	// version is the version that sent the item's events, "" for any.
	version string
	// startOver states why the item starts over if it gets no slot of this version, "" if it
	// doesn't.
	startOver string
	// sole reports that all known targets of the group have this version.
	sole bool
}

// versionDemand returns which targets of the group the item may use now.
func (r *runner) versionDemand(c *candidate, p *progress, group string, limits *startLimits) versionDemand {
	version, events := p.streamVersion()
	served := groupVersion{group, version}
	switch {
	case events == 0:
		return versionDemand{}
	case version == "":
		return versionDemand{startOver: reasonUnknownVersion}
	case !p.isOf(group, c.route):
		return versionDemand{startOver: reasonOtherGroup}
	case !p.versionWaitSince.IsZero() && time.Since(p.versionWaitSince) >= r.versionWait(c, events, limits.served.get(served, r.serves)):
		return versionDemand{version: version, startOver: reasonNoSlot}
	case limits.sole.get(group, r.jobs.Places.SoleVersion) == version:
		return versionDemand{version: version, sole: true}
	default:
		return versionDemand{version: version}
	}
}

func (r *runner) serves(v groupVersion) bool { return r.jobs.Places.ServesVersion(v.group, v.version) }

// versionWait returns how long the item waits for a slot of its version; see batch.VersionWait.
func (r *runner) versionWait(c *candidate, events int64, served bool) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	slack := time.Until(c.due) - r.estimator.Remaining(c.item.Tokens, 0)
	return batch.VersionWait(r.estimator.RunTime(events), slack, served)
}

// acquire requests a slot for the item. One that may start over gets a slot of any version only
// if there is none of its own.
func (r *runner) acquire(ctx context.Context, c *candidate, p *progress, group string, d versionDemand) (places.Slot, bool) {
	request := places.BatchRequest{
		Group: group, Exclude: map[string]bool{p.avoidTarget: true}, Headroom: r.jobs.Headroom, Version: d.version,
		Work: float64(c.item.Tokens), Slack: c.slack, ShortOfTime: c.shortOfTime, Needed: r.needed[group],
	}
	if !p.versionWaitSince.IsZero() {
		request.Exclude = nil // the only target of its version may be the one to avoid
	}
	slot, ok := r.jobs.Places.AcquireBatch(ctx, request)
	if ok || d.startOver == "" || d.version == "" {
		return slot, ok
	}
	request.Version = ""
	request.Exclude = map[string]bool{p.avoidTarget: true}
	return r.jobs.Places.AcquireBatch(ctx, request)
}

// denied records that the item got no slot that it may use.
func (r *runner) denied(c *candidate, p *progress, group string, d versionDemand, limits *startLimits) {
	if d.version == "" || d.sole || d.startOver != "" {
		limits.denied(group, c, r.jobs.Places.BatchReserve())
		return
	}
	r.deniedVersion(c, p, group, d, limits)
}

// deniedVersion records that the item got no slot of its version, and starts its wait.
func (r *runner) deniedVersion(c *candidate, p *progress, group string, d versionDemand, limits *startLimits) {
	limits.deniedVersion(group, d, c)
	r.awaitVersion(c, p, d)
}

// awaitVersion records that the item got no slot of its version.
func (r *runner) awaitVersion(c *candidate, p *progress, d versionDemand) {
	if !p.versionWaitSince.IsZero() {
		return
	}
	p.versionWaitSince = time.Now()
	r.jobs.Logger.Info("item_waits_for_version", zap.String("job", c.key.job), zap.String("id", c.item.ID),
		zap.String("version_wanted", d.version), zap.Int64("events", p.eventCount()))
}

// admit reports whether the item may run at the slot's target, and prepares its progress for
// this. An item that has to start over does so here, so that it loses nothing until it has a
// slot. r.mu is held, so that no progress is restored in between.
func (r *runner) admit(c *candidate, p *progress, slot places.Slot, d versionDemand) bool {
	reason := ""
	switch version, events := p.streamVersion(); {
	case events == 0:
	case version == "":
		reason = reasonUnknownVersion
	case !p.isOf(slot.Group, c.route):
		reason = reasonOtherGroup
	case r.lastTargetChanged(p):
		reason = reasonChangedVersion
	case version == slot.Version:
	case d.startOver != "":
		reason = d.startOver
	default:
		return false
	}
	if reason != "" {
		r.startOver(c.key, c.item.ID, p, reason, slot.Version)
	}
	p.begin(slot.Target)
	p.lastTarget, p.versionWaitSince = slot.Target, time.Time{}
	return true
}

// refuseSlot releases a slot at a target of another version, or of a version that isn't known:
// an earlier build's leader grants slots without regard to versions.
func (r *runner) refuseSlot(c *candidate, p *progress, slot places.Slot, d versionDemand, limits *startLimits) {
	r.jobs.Places.ReleaseBatch(slot, routing.Neutral)
	p.notBefore = time.Now().Add(rejectedDelay)
	r.jobs.Logger.Info("slot_of_other_version", zap.String("job", c.key.job), zap.String("id", c.item.ID), zap.String("target", slot.ID),
		zap.String("version", slot.Version), zap.String("version_wanted", d.version), zap.String("granted_by", slot.GrantedBy))
	if d.version != "" {
		r.deniedVersion(c, p, slot.Group, d, limits)
	}
}

// lastTargetChanged reports whether the target of the item's last run has another version now. A
// target may restart under its ID before its entry says so, so its last events may be of either
// version.
func (r *runner) lastTargetChanged(p *progress) bool {
	entry, known := r.jobs.Places.Entry(p.lastTarget.ID)
	return known && entry.Version != p.lastTarget.Version
}

// versionChanged reports whether the run's target has, or may have, another version than when
// the run started. It must be called before the slot is released. Events of a target whose
// version isn't known are not continued anyway.
func (r *runner) versionChanged(run *itemRun) bool {
	if run.target.Version == "" {
		return false
	}
	entry, known := r.jobs.Places.Entry(run.target.ID)
	if !known {
		return run.slot.Alive.Err() != nil
	}
	return entry.Version != run.target.Version
}

// mayMixVersions reports whether the item's events may be of two versions, or may be continued at
// another version than theirs, if the target of the run that has ended got another version
// meanwhile. before is the item's last event before the run.
func mayMixVersions(p *progress, end runResult, before int64) bool {
	wholeRun := end.complete && before == noEvent
	return p.begun() && !wholeRun
}

// startOver drops the item's events, here and on the log.
func (r *runner) startOver(key itemKey, id string, p *progress, reason, nextVersion string) {
	version, events := p.startOver()
	r.jobs.Logger.Info("item_started_over", zap.String("job", key.job), zap.String("id", id), zap.String("reason", reason),
		zap.String("version", version), zap.String("next_version", nextVersion), zap.Int64("events_dropped", events),
		zap.Int64("waited_ms", sinceMs(p.versionWaitSince)))
}

// sinceMs returns the milliseconds since then, 0 for the zero time.
func sinceMs(then time.Time) int64 {
	if then.IsZero() {
		return 0
	}
	return time.Since(then).Milliseconds()
}

// streamVersion returns the version of the item's events and how many there are.
func (p *progress) streamVersion() (version string, events int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.version, p.lastEvent + 1
}

// begin records the version and the group of the target to which the item is sent, if that
// sends its first event.
func (p *progress) begin(t roster.Target) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.lastEvent == noEvent {
		p.version, p.group = t.Version, t.Group
	}
}

// chooseGroup returns the group for the next run: that of the item's events, if the route leads
// there.
func (p *progress) chooseGroup(to *route.Route) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.lastEvent != noEvent && slices.Contains(to.GroupNames(), p.group) {
		return p.group
	}
	return to.Pick(rand.Float64())
}

// isOf reports whether the item's events are from targets of the group, one of those of the
// route.
func (p *progress) isOf(group string, of *route.Route) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.group == group || p.group == "" && len(of.Groups) == 1
}

// startOver drops the events and returns their version and number.
func (p *progress) startOver() (version string, events int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	version, events = p.version, p.lastEvent+1
	p.dropEvents()
	p.stale = p.stale || p.saved > 0
	p.saved = 0
	return version, events
}
