// Package feed supplies a daemon with the operator's configuration and the targets.
//
// In a small zone every daemon reads both from the platform's log. In a large zone the
// zone's leader and a few others do; the rest subscribe to one of these readers over
// net/rpc. core/feed decides who reads, and when a daemon that no reader serves reads the
// log itself.
//
// Files: feed.go decides what this daemon reads, subscribe.go polls a reader, serve.go
// answers subscribers, reading.go reads one list from the log.
package feed

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"tarragonhollow.example/tarragonhollow/core/feed"
	"tarragonhollow.example/tarragonhollow/core/roster"
	"tarragonhollow.example/tarragonhollow/daemon/duty"
	"tarragonhollow.example/tarragonhollow/daemon/places"
	"tarragonhollow.example/tarragonhollow/peer"
)

const (
	// stepEvery is the interval at which a daemon decides what it reads, and reportEvery
	// that at which a reader reports to the leader.
	stepEvery   = 50 * time.Millisecond
	reportEvery = 300 * time.Millisecond
	// roleTTL is how long a daemon that was chosen as a reader goes on without being
	// named by a leader again: the next leader is elected by then, most likely this
	// daemon.
	roleTTL = 3 * time.Second
)

// Configuration is the configuration that is passed on.
type Configuration interface {
	// Packed returns the configuration for a subscriber that holds the given version: the
	// newer configuration, compressed, or nothing. known reports that the version here is
	// at least as new, and age is the time since the log last confirmed that.
	Packed(version int64) (packed []byte, known bool, age time.Duration)
	// ApplyPacked applies what another daemon's Packed returned; from names that daemon.
	ApplyPacked(packed []byte, from string) error
	// Confirm records that nothing newer than the held version was active at the time at.
	Confirm(at time.Time)
	// Age returns the time since the configuration was last confirmed.
	Age(now time.Time) time.Duration
	// Version returns the active version, negative before the first.
	Version() int64
	// Changed returns a channel that is closed at the next configuration.
	Changed() <-chan struct{}
}

// Targets are the targets that are passed on; see places.Places.
type Targets interface {
	LocalZone() places.Zone
	SetRoles(places.Roles)
	SetCutOffFromLog(cutOff bool)
	Sample(holder string, wholeZone bool, ids []string) (places.Sample, bool)
	TargetsChanged() <-chan struct{}
	Adopt(at time.Time, targets []roster.Target, wholeZone bool)
	AdoptVersions(at time.Time, several []string, throughout bool)
	Confirm(at time.Time, started map[string]roster.Start)
	AdoptDepartures(at time.Time, all map[string]places.SampledDeparture)
	BusyTargets() []string
	TargetsAge(now time.Time) (age time.Duration, complete bool)
	Rebuild()
}

// Read follows a list on the log until ctx is done. It calls answered whenever the log
// has confirmed that the list is complete and current.
type Read func(ctx context.Context, answered func())

// Options configure a Feed.
type Options struct {
	// Host is the daemon's name, Self its peer address.
	Host, Self string
	// Large reports whether the local zone is large; known is false while that is not
	// known.
	Large func() (large, known bool)
	// FleetSize returns the number of the fleet's daemons, 0 for unknown.
	FleetSize     func() int
	Configuration Configuration
	Targets       Targets
	Peers         peer.Caller
	Logger        *zap.Logger
	Metrics       *metrics.Set
}

// Feed supplies a daemon with the configuration and the targets. It is safe for
// concurrent use.
type Feed struct {
	Options

	mu       sync.Mutex
	readers  *feed.Readers
	standby  *feed.Standby
	source   *feed.Source
	fallback *feed.Fallback
	// leads reports whether this daemon led the zone at the last step, large whether the
	// zone was large; leader is the daemon that led it, "" for none.
	leads, large bool
	leader       string
	// logReachedAt holds when each other reader was last known to reach the log.
	logReachedAt map[string]time.Time
	// chosenAt is when a leader last named this daemon as a reader.
	chosenAt time.Time
	// targetCount is the number of targets as last reported by a reader.
	targetCount int
	reportedAt  time.Time
	// adoptedDigest is the digest of the sample that this daemon holds, 0 for none.
	adoptedDigest uint64

	configurationReading, targetReading reading
}

// New returns a feed that is not running yet.
func New(o Options) *Feed {
	f := &Feed{Options: o, readers: feed.NewReaders(o.Self), standby: feed.NewStandby(o.Self), logReachedAt: map[string]time.Time{}, source: feed.NewSource(o.Self), fallback: feed.NewFallback(time.Now())}
	o.Metrics.GetOrCreateGauge("tarragonhollow_feed_reads_log", func() float64 {
		if f.ReadsLog() {
			return 1
		}
		return 0
	})
	o.Metrics.GetOrCreateGauge("tarragonhollow_feed_configuration_age_seconds", func() float64 {
		return o.Configuration.Age(time.Now()).Seconds()
	})
	o.Metrics.GetOrCreateGauge("tarragonhollow_feed_targets_age_seconds", func() float64 {
		age, _ := o.Targets.TargetsAge(time.Now())
		return age.Seconds()
	})
	return f
}

// Run keeps the daemon supplied until the group's context is done: readConfiguration and
// readTargets follow the log.
func (f *Feed) Run(group *duty.Group, readConfiguration, readTargets Read) {
	f.configurationReading.setLoop(readConfiguration)
	f.targetReading.setLoop(readTargets)
	group.Go(f.decide)
	group.Go(f.subscribe)
}

// ReadsLog reports whether this daemon reads the targets from the log.
func (f *Feed) ReadsLog() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.targetReading.Running()
}

// decide starts and stops the readings until ctx is done.
func (f *Feed) decide(ctx context.Context) {
	for {
		f.step(ctx, time.Now())
		if !duty.Pause(ctx, stepEvery) {
			break
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.configurationReading.Stop()
	f.targetReading.Stop()
}

// step decides once what this daemon reads.
func (f *Feed) step(ctx context.Context, now time.Time) {
	large, known := f.Large()
	if !known {
		return
	}
	zone := f.Targets.LocalZone()
	f.mu.Lock()
	sizeChanged := large != f.large
	f.large = large
	configuration, targets := true, true
	if large {
		configuration, targets = f.role(now, zone)
	} else {
		f.Targets.SetCutOffFromLog(false)
	}
	f.setReadings(ctx, configuration, targets)
	report := f.reportDue(now, zone, targets)
	f.mu.Unlock()
	if sizeChanged {
		f.Targets.Rebuild()
	}
	if report != nil {
		f.Peers.Notify(zone.Leader, reportMethod, *report)
	}
}

// role decides what a daemon of a large zone reads. f.mu is held.
func (f *Feed) role(now time.Time, zone places.Zone) (configuration, targets bool) {
	if zone.Leads {
		f.lead(now, zone)
		return true, true
	}
	f.leads = false
	f.recordReached(now, zone)
	f.Targets.SetCutOffFromLog(f.cutOffFromLog(now))
	if len(zone.Readers) > 0 {
		f.source.SetReaders(zone.Readers)
	}
	if slices.ContainsFunc(zone.Readers, func(r feed.Reader) bool { return r.Address == f.Self }) && now.Sub(zone.ReceivedAt) < roleTTL {
		f.chosenAt = now
	}
	if now.Sub(f.chosenAt) < roleTTL && !f.chosenAt.IsZero() {
		return true, true
	}
	if len(zone.Members) < 2 {
		return false, false // the election does not know the zone's members yet
	}
	return f.fallback.Decide(now, f.situation(now, zone))
}

// lead chooses the zone's readers. f.mu is held.
func (f *Feed) lead(now time.Time, zone places.Zone) {
	if !f.leads {
		f.leads = true
		f.readers.Adopt(now, zone.Readers)
		f.Logger.Info("readers_chosen_here", zap.Int("members", len(zone.Members)))
	}
	f.chosenAt = now
	ownAge := f.logAge(now)
	list := f.readers.Select(now, ownAge, zone.Members)
	f.Targets.SetRoles(places.Roles{Readers: list, Standby: f.standby.Select(now, zone.Members), Daemons: f.FleetSize()})
	f.source.SetReaders(list)
	zone.Leader, zone.Readers, zone.ReceivedAt = f.Self, list, now
	f.recordReached(now, zone)
	f.Targets.SetCutOffFromLog(f.cutOffFromLog(now))
}

// recordReached records which readers reach the log, as far as the zone's leader knows.
// f.mu is held.
//
// A leader that was lost no longer counts: it may have been the only one that reached the
// log, and its standby leads next.
func (f *Feed) recordReached(now time.Time, zone places.Zone) {
	if zone.Leader != f.leader {
		delete(f.logReachedAt, f.leader)
		f.leader = zone.Leader
	}
	if now.Sub(zone.ReceivedAt) > feed.StaleAfter {
		return
	}
	for i, r := range zone.Readers {
		lost := i == 0 && r.Address != zone.Leader
		if r.Fresh() && r.Address != f.Self && !lost {
			f.logReachedAt[r.Address] = now
		}
	}
}

// cutOffFromLog reports whether this daemon does not reach the log while another reader
// did within the last roleTTL. f.mu is held.
func (f *Feed) cutOffFromLog(now time.Time) bool {
	if (feed.Reader{Age: f.logAge(now)}).Fresh() {
		return false
	}
	cutOff := false
	for address, at := range f.logReachedAt {
		if now.Sub(at) > roleTTL {
			delete(f.logReachedAt, address)
			continue
		}
		cutOff = true
	}
	return cutOff
}

// logAge returns the time since the log last answered this daemon's own readings, the
// longer of the two; feed.Never if one of them was not answered. f.mu is held.
func (f *Feed) logAge(now time.Time) time.Duration {
	configuration, targets := f.configurationReading.age(now), f.targetReading.age(now)
	if configuration == feed.Never || targets == feed.Never {
		return feed.Never
	}
	return max(configuration, targets)
}

// situation returns the input of the fallback's decision. f.mu is held.
func (f *Feed) situation(now time.Time, zone places.Zone) feed.Situation {
	position := max(0, slices.Index(zone.Members, f.Self))
	return feed.Situation{Position: position, Members: len(zone.Members), Targets: f.targetCount,
		ConfigurationAge: f.configurationReading.age(now), TargetsAge: f.targetReading.age(now)}
}

// setReadings starts and stops the readings. f.mu is held.
func (f *Feed) setReadings(ctx context.Context, configuration, targets bool) {
	if f.configurationReading.Set(ctx, configuration) {
		f.Logger.Info("configuration_reading", zap.Bool("from_log", configuration))
	}
	if f.targetReading.Set(ctx, targets) {
		f.Logger.Info("target_reading", zap.Bool("from_log", targets))
	}
	if targets {
		f.adoptedDigest = 0 // the next sample comes from another reader
	}
}

// reportDue returns the report to the leader if it is due. f.mu is held.
func (f *Feed) reportDue(now time.Time, zone places.Zone, reads bool) *ReaderReport {
	if !f.large || !reads || zone.Leads || zone.Leader == "" || now.Sub(f.reportedAt) < reportEvery {
		return nil
	}
	f.reportedAt = now
	return &ReaderReport{From: f.Self, Age: f.logAge(now)}
}
