package jobs

import (
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"tarragonhollow.example/tarragonhollow/core/batch"
	"tarragonhollow.example/tarragonhollow/core/roster"
	"tarragonhollow.example/tarragonhollow/core/route"
	"tarragonhollow.example/tarragonhollow/core/slots"
	"tarragonhollow.example/tarragonhollow/daemon/places"
	"tarragonhollow.example/tarragonhollow/extern/partlog"
)

// versionRunner returns a runner that knows targets t0, t1, ... of the versions in the group g.
func versionRunner(versions ...string) *runner {
	view := places.New(places.Options{Host: "a", Zone: "z", Logger: zap.NewNop(), Policy: slots.Policy{}})
	view.Update(func(now time.Time, r *roster.Roster) {
		var list []roster.Target
		for i, version := range versions {
			list = append(list, roster.Target{ID: string(rune('0' + i)), Group: "g", Address: "x", Zone: "z", Version: version, Slots: 8})
		}
		r.Replace(now, list)
	})
	return newRunner(&Jobs{Options: Options{Places: view, Parts: 1, Logger: zap.NewNop(), Metrics: metrics.NewSet()}, store: batch.NewStore()})
}

// progressOfVersion returns progress of two events of the version.
func progressOfVersion(version string) *progress {
	p := newProgress()
	p.begin(roster.Target{Version: version})
	addEvent(p, 0)
	addEvent(p, 1)
	return p
}

// A leader of an earlier build grants slots at targets of any version, or of a version that it
// doesn't state it. An item must not go on there.
func TestSlotOfAnotherVersionIsNotUsed(t *testing.T) {
	for _, c := range []struct {
		name, had, slot string
		demand          versionDemand
		admitted        bool
		events          int64
	}{
		{"the same version", "v1", "v1", versionDemand{version: "v1"}, true, 2},
		{"another version", "v1", "v2", versionDemand{version: "v1"}, false, 2},
		{"an unknown version", "v1", "", versionDemand{version: "v1"}, false, 2},
		{"progress restored after the slot was requested", "v1", "v2", versionDemand{}, false, 2},
		{"another version after the wait", "v1", "v2", versionDemand{version: "v1", startOver: reasonNoSlot}, true, 0},
		{"its own version after the wait", "v1", "v1", versionDemand{version: "v1", startOver: reasonNoSlot}, true, 2},
		{"events of unknown version", "", "v1", versionDemand{startOver: reasonUnknownVersion}, true, 0},
		{"both unknown", "", "", versionDemand{startOver: reasonUnknownVersion}, true, 0},
	} {
		r, p := versionRunner("v1", "v2"), progressOfVersion(c.had)
		slot := places.Slot{Target: roster.Target{ID: "x", Version: c.slot}}
		admitted := r.admit(&candidate{route: &route.Route{Groups: []route.Share{{Group: "g", Weight: 1}}}}, p, slot, c.demand)
		version, events := p.streamVersion()
		if admitted != c.admitted || events != c.events {
			t.Errorf("%s: admitted %v with %d events", c.name, admitted, events)
		}
		if admitted && version != c.slot {
			t.Errorf("%s: events of version %q at a target of version %q", c.name, version, c.slot)
		}
	}
}

// With a leader of an earlier build, an item of a version that all known targets have would be
// refused each slot for ever.
func TestWaitForVersionEndsWithLeaderOfEarlierBuild(t *testing.T) {
	r, p, limits := versionRunner("v1"), progressOfVersion("v1"), newStartLimits()
	c := &candidate{route: &route.Route{Groups: []route.Share{{Group: "g", Weight: 1}}}, due: time.Now().Add(time.Hour)}
	if d := r.versionDemand(c, p, "g", limits); !d.sole || d.startOver != "" {
		t.Fatalf("%+v at first", d)
	}
	r.awaitVersion(c, p, versionDemand{version: "v1"})
	p.versionWaitSince = time.Now().Add(-time.Minute)
	if d := r.versionDemand(c, p, "g", limits); d.startOver != reasonNoSlot {
		t.Fatalf("%+v after a minute", d)
	}
}

// An item whose version has no free slot must not keep items from starting that can use other
// targets of the group.
func TestItemThatWaitsForItsVersionKeepsNoSlotFromOthers(t *testing.T) {
	r, limits := versionRunner("v1", "v2"), newStartLimits()
	limits.left["g"] = 5
	c, first := &candidate{route: &route.Route{Groups: []route.Share{{Group: "g", Weight: 1}}}}, progressOfVersion("v1")
	demand := r.versionDemand(c, first, "g", limits)
	r.denied(c, first, "g", demand, limits)
	if first.versionWaitSince.IsZero() {
		t.Error("the item doesn't count as waiting")
	}
	for _, other := range []struct {
		name    string
		demand  versionDemand
		allowed bool
	}{
		{"a new item", versionDemand{}, true},
		{"an item of the other version", versionDemand{version: "v2"}, true},
		{"an item of the same version", versionDemand{version: "v1"}, false},
		{"an item that may start over", versionDemand{version: "v1", startOver: reasonNoSlot}, true},
	} {
		if got := limits.allow("g", c) && limits.allowVersion("g", other.demand, c); got != other.allowed {
			t.Errorf("%s: %v", other.name, got)
		}
	}
}

// In a service of one version, an item without a slot ends the requests of its step, as without
// versions.
func TestItemOfTheSoleVersionEndsTheStepsRequests(t *testing.T) {
	r, limits, p := versionRunner("v1", "v1"), newStartLimits(), progressOfVersion("v1")
	limits.left["g"] = 5
	c := &candidate{route: &route.Route{Groups: []route.Share{{Group: "g", Weight: 1}}}}
	r.denied(c, p, "g", r.versionDemand(c, p, "g", limits), limits)
	if limits.allow("g", c) || !p.versionWaitSince.IsZero() {
		t.Errorf("allowed %v, waits since %v", limits.allow("g", c), p.versionWaitSince)
	}
}

// Dropped events that stay on the log would come back at the next holder.
func TestStartingOverRemovesSavedProgress(t *testing.T) {
	for _, c := range []struct {
		name     string
		failures int
		events   int
		want     string
	}{
		{"nothing new", 0, 0, "none"},
		{"failures", 2, 0, ""},
		{"an event of another version", 0, 1, "v2"},
	} {
		r, key := versionRunner("v1"), itemKey{"j", 0}
		p := newProgress()
		p.restore(batch.Progress{LastEvent: 1, Output: "a\nb", Version: "v1"})
		p.failures = c.failures
		r.progress[key] = p
		r.startOver(key, "", p, reasonNoSlot, "v2")
		p.begin(roster.Target{Version: "v2"})
		for id := range c.events {
			addEvent(p, id)
		}
		records := r.progressRecords(batch.ShouldSave)[0]
		if len(records) != 1 || (len(records[0].Value) == 0) != (c.want == "none") {
			t.Errorf("%s: %d records", c.name, len(records))
			continue
		}
		if again := r.progressRecords(batch.ShouldSave)[0]; len(again) != 0 {
			t.Errorf("%s: written again", c.name)
		}
		if c.want == "none" {
			continue
		}
		_, got, _, err := batch.DecodeProgress(records[0].Key, records[0].Value)
		if err != nil || got.Version != c.want || got.Failures != c.failures || got.LastEvent != int64(c.events-1) {
			t.Errorf("%s: %+v %v", c.name, got, err)
		}
	}
}

// Progress that a holder of the previous build saved, without its version, must not replace events
// whose version is known.
func TestRestoreKeepsEventsOfKnownVersion(t *testing.T) {
	r, key := versionRunner("v1"), itemKey{"j", 0}
	r.progress[key] = progressOfVersion("v1")
	value, err := batch.Encode(batch.Progress{LastEvent: 3, Output: "a\nb\nc\nd", Failures: 1})
	if err != nil {
		t.Fatal(err)
	}
	(&progressReader{runner: r}).restoreOne(partlog.StoredRecord{Record: partlog.Record{Key: batch.ResultKey("j", 0), Value: value}})
	p := r.progress[key]
	if version, events := p.streamVersion(); version != "v1" || events != 2 || p.failureCount() != 1 {
		t.Errorf("%d events of %q, %d failures", events, version, p.failureCount())
	}
	records := r.progressRecords(batch.ShouldSave)[0]
	if len(records) != 1 {
		t.Fatalf("%d records replace the saved one", len(records))
	}
	if _, got, _, err := batch.DecodeProgress(records[0].Key, records[0].Value); err != nil || got.Version != "v1" || got.LastEvent != 1 {
		t.Errorf("%+v %v", got, err)
	}
}
