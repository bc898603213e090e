// Package feed supplies a daemon with the operator's configuration and the targets.
//
// In a small zone every daemon reads both from the platform's log. In a large one the
// zone's leader and few others do; the rest subscribe to one of these readers over
// net/rpc. core/feed says who reads, and when a daemon that no reader serves reads by
// itself.
//
// Files: feed.go decides what this daemon reads, subscribe.go asks a reader, serve.go
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
	// stepEvery is the pace at which a daemon decides what it reads, and reportEvery that
	// at which a reader reports to the leader.
	stepEvery   = 50 * time.Millisecond
	reportEvery = 300 * time.Millisecond
	// roleFor is how long a daemon that was chosen as a reader goes on without a word of a
	// leader: the next leader comes forward by then, most likely this daemon.
	roleFor = 3 * time.Second
)

// Configuration is the configuration that is passed on.
type Configuration interface {
	// Packed returns what a subscriber that holds a version lacks: the newer configuration,
	// compressed, or nothing. known tells that the version here is as new at least, and
	// age how old the log's last word about it is.
	Packed(version int64) (packed []byte, known bool, age time.Duration)
	// TakePacked takes what another daemon's Packed returned; from names that daemon.
	TakePacked(packed []byte, from string) error
	// Hear notes that nothing newer than what is held was in force at the moment at.
	Hear(at time.Time)
	// Age is how old the last word about the configuration is.
	Age(now time.Time) time.Duration
	// Version is the version in force, negative before the first.
	Version() int64
	// Routed returns a channel that the next configuration closes.
	Routed() <-chan struct{}
}

// Targets are the targets that are passed on; see places.Places.
type Targets interface {
	OwnZone() places.Zone
	SetRoles(places.Roles)
	SetCutOff(cutOff bool)
	Sample(holder string, whole bool, about []string) (places.Sample, bool)
	Listed() <-chan struct{}
	Adopt(at time.Time, targets []roster.Target, whole bool)
	Confirm(at time.Time, started map[string]roster.Start)
	Working() []string
	TargetsAge(now time.Time) (age time.Duration, complete bool)
	Rebuild()
}

// Read follows a list on the log until ctx is done. It calls answered whenever the log has
// told it that what it holds is whole and new.
type Read func(ctx context.Context, answered func())

// Options configure a Feed.
type Options struct {
	// Host is the daemon's name, Self its peer address.
	Host, Self string
	// Large tells whether the own zone is large; known is false while that is not known.
	Large func() (large, known bool)
	// Daemons is the number of the fleet's daemons, 0 for unknown.
	Daemons       func() int
	Configuration Configuration
	Targets       Targets
	Peers         peer.Caller
	Logger        *zap.Logger
	Metrics       *metrics.Set
}

// Feed is safe for concurrent use.
type Feed struct {
	Options

	mu      sync.Mutex
	readers *feed.Readers
	standby *feed.Standby
	source  *feed.Source
	backup  *feed.Fallback
	// leads tells whether this daemon led the zone when it last looked, large whether the
	// zone was large; leader is who led it, "" for nobody.
	leads, large bool
	leader       string
	// reached holds when each other reader was last known to reach the log.
	reached map[string]time.Time
	// chosen is when a leader last named this daemon as a reader.
	chosen time.Time
	// targets is the number of targets as a reader last told.
	targets  int
	reported time.Time
	// adopted is the digest of the sample that this daemon holds, 0 for none.
	adopted uint64

	configurationReading, targetReading reading
}

// New returns a feed that does nothing yet.
func New(o Options) *Feed {
	f := &Feed{Options: o, readers: feed.NewReaders(o.Self), standby: feed.NewStandby(o.Self), reached: map[string]time.Time{}, source: feed.NewSource(o.Self), backup: feed.NewFallback(time.Now())}
	o.Metrics.GetOrCreateGauge("tarragonhollow_feed_reads_log", func() float64 {
		if f.Reads() {
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
	f.configurationReading.use(readConfiguration)
	f.targetReading.use(readTargets)
	group.Go(f.decide)
	group.Go(f.subscribe)
}

// Reads tells whether this daemon reads the targets from the log.
func (f *Feed) Reads() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.targetReading.Running()
}

// decide starts and ends the readings until ctx is done.
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
	zone := f.Targets.OwnZone()
	f.mu.Lock()
	turned := large != f.large
	f.large = large
	configuration, targets := true, true
	if large {
		configuration, targets = f.role(now, zone)
	} else {
		f.Targets.SetCutOff(false)
	}
	f.set(ctx, configuration, targets)
	report := f.reportDue(now, zone, targets)
	f.mu.Unlock()
	if turned {
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
	f.noteReached(now, zone)
	f.Targets.SetCutOff(f.outdone(now))
	if len(zone.Readers) > 0 {
		f.source.SetReaders(zone.Readers)
	}
	if slices.ContainsFunc(zone.Readers, func(r feed.Reader) bool { return r.Address == f.Self }) && now.Sub(zone.ReceivedAt) < roleFor {
		f.chosen = now
	}
	if now.Sub(f.chosen) < roleFor && !f.chosen.IsZero() {
		return true, true
	}
	if len(zone.Members) < 2 {
		return false, false // the zone's list has not reached the election yet
	}
	return f.backup.Decide(now, f.situation(now, zone))
}

// lead chooses the zone's readers. f.mu is held.
func (f *Feed) lead(now time.Time, zone places.Zone) {
	if !f.leads {
		f.leads = true
		f.readers.Adopt(now, zone.Readers)
		f.Logger.Info("readers_chosen_here", zap.Int("members", len(zone.Members)))
	}
	f.chosen = now
	own := f.logAge(now)
	list := f.readers.Select(now, own, zone.Members)
	f.Targets.SetRoles(places.Roles{Readers: list, Standby: f.standby.Select(now, zone.Members), Daemons: f.Daemons()})
	f.source.SetReaders(list)
	zone.Leader, zone.Readers, zone.ReceivedAt = f.Self, list, now
	f.noteReached(now, zone)
	f.Targets.SetCutOff(f.outdone(now))
}

// noteReached notes which readers reach the log, as the zone's leader knows. f.mu is held.
//
// A leader that was lost no longer counts: it may have been the only one that reached the
// log, and its standby leads next.
func (f *Feed) noteReached(now time.Time, zone places.Zone) {
	if zone.Leader != f.leader {
		delete(f.reached, f.leader)
		f.leader = zone.Leader
	}
	if now.Sub(zone.ReceivedAt) > feed.StaleAfter {
		return
	}
	for i, r := range zone.Readers {
		lost := i == 0 && r.Address != zone.Leader
		if r.Fresh() && r.Address != f.Self && !lost {
			f.reached[r.Address] = now
		}
	}
}

// outdone tells whether this daemon does not reach the log while another reader did a
// moment ago. f.mu is held.
func (f *Feed) outdone(now time.Time) bool {
	if (feed.Reader{Age: f.logAge(now)}).Fresh() {
		return false
	}
	outdone := false
	for address, at := range f.reached {
		if now.Sub(at) > roleFor {
			delete(f.reached, address)
			continue
		}
		outdone = true
	}
	return outdone
}

// logAge is how long ago the log last answered this daemon's own readings, of the two the
// longer time; feed.Never if one of them was not answered. f.mu is held.
func (f *Feed) logAge(now time.Time) time.Duration {
	configuration, targets := f.configurationReading.age(now), f.targetReading.age(now)
	if configuration == feed.Never || targets == feed.Never {
		return feed.Never
	}
	return max(configuration, targets)
}

// situation is what the fallback goes by. f.mu is held.
func (f *Feed) situation(now time.Time, zone places.Zone) feed.Situation {
	turn := max(0, slices.Index(zone.Members, f.Self))
	return feed.Situation{Turn: turn, Members: len(zone.Members), Targets: f.targets,
		ConfigurationAge: f.configurationReading.age(now), TargetsAge: f.targetReading.age(now)}
}

// set starts and ends the readings. f.mu is held.
func (f *Feed) set(ctx context.Context, configuration, targets bool) {
	if f.configurationReading.Set(ctx, configuration) {
		f.Logger.Info("configuration_reading", zap.Bool("from_log", configuration))
	}
	if f.targetReading.Set(ctx, targets) {
		f.Logger.Info("target_reading", zap.Bool("from_log", targets))
	}
	if targets {
		f.adopted = 0 // the next sample is another reader's
	}
}

// reportDue returns the report to the leader if it is due. f.mu is held.
func (f *Feed) reportDue(now time.Time, zone places.Zone, reads bool) *ReaderReport {
	if !f.large || !reads || zone.Leads || zone.Leader == "" || now.Sub(f.reported) < reportEvery {
		return nil
	}
	f.reported = now
	return &ReaderReport{From: f.Self, Age: f.logAge(now)}
}
