// Package configsync keeps the operators' configuration in force on this daemon: it tails the
// configuration stream, fetches newer versions from other daemons while the log can't be
// reached, and publishes changes.
package configsync

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"tarragonhollow.example/tarragonhollow/api"
	"tarragonhollow.example/tarragonhollow/core/config"
	"tarragonhollow.example/tarragonhollow/core/configlog"
	"tarragonhollow.example/tarragonhollow/core/membership"
	"tarragonhollow.example/tarragonhollow/daemon/duty"
)

// Stream is the name of the configuration's stream on the log.
const Stream = "config"

// Sync holds the configuration in force.
type Sync struct {
	opt     Options
	meter   *meter
	current atomic.Pointer[config.Config]
	ready   atomic.Bool
	// unresolved queues the changes to be withdrawn whose operators were told that they may
	// have been made.
	unresolved chan configlog.Change

	mu       sync.Mutex
	replayer *configlog.Replayer
	// seenVersion is the highest known version, whether in force or not.
	seenVersion uint64
	// caughtUp reports that the stream was once read to its end without a gap.
	caughtUp bool
	// atEnd reports that the last read reached the end of the stream, with or without a gap.
	atEnd bool
	// noStateSince is when it was first noticed that no record on the stream is known to hold
	// the state; zero while one is.
	noStateSince time.Time
	// fetched reports that a state of a peer was adopted.
	fetched bool
	// loggedRegressions is the count that was last logged.
	loggedRegressions uint64
	// changed is closed and replaced after each update of the replayer.
	changed chan struct{}
}

// New returns a Sync with an empty configuration and registers the service "Config".
func New(o Options) (*Sync, error) {
	o, err := o.validated()
	if err != nil {
		return nil, err
	}
	s := &Sync{
		opt: o, replayer: configlog.NewReplayer(), changed: make(chan struct{}),
		unresolved: make(chan configlog.Change, maxUnresolved),
	}
	s.current.Store(emptyConfig())
	s.meter = newMeter(o.Metrics, s)
	if err := o.Registrar.Register(serviceName, &Service{s: s}); err != nil {
		return nil, badOptions.Wrap(err, "the service can't be registered")
	}
	return s, nil
}

// emptyConfig returns the configuration before the first version.
func emptyConfig() *config.Config {
	return &config.Config{
		Profiles: map[string]*config.Profile{},
		Groups:   map[string]*config.TargetGroup{},
		Models:   map[string]*config.Model{},
		Limits:   config.DefaultLimits(),
	}
}

// Run starts the loops in the group.
func (s *Sync) Run(g *duty.Group) {
	g.Go(s.followLoop)
	g.Go(s.peerLoop)
	g.Go(s.rewriteLoop)
	g.Go(s.withdrawLoop)
}

// Current returns the configuration in force. It is never nil; its Version is 0 before the
// first version. It must not be modified.
func (s *Sync) Current() *config.Config { return s.current.Load() }

// Ready reports whether this daemon may serve. It becomes true when a configuration is in
// force, the state was read from the stream up to its end or fetched from a peer, and no
// live member has a newer version in force. Once ready, a Sync stays ready, since its
// configuration never gets older.
func (s *Sync) Ready() bool {
	if s.ready.Load() {
		return true
	}
	s.mu.Lock()
	known := s.caughtUp || s.fetched
	s.mu.Unlock()
	version := s.Current().Version
	if !known || version == 0 || version < highestVersion(s.opt.View.Members()) {
		return false
	}
	s.ready.Store(true)
	return true
}

// highestVersion returns the highest version in force on a member, 0 if there is none.
func highestVersion(members []membership.Member) uint64 {
	highest := uint64(0)
	for _, m := range members {
		highest = max(highest, m.ConfigVersion)
	}
	return highest
}

// History returns the last accepted changes, newest first.
func (s *Sync) History() []api.ConfigChange {
	entries := s.state().History
	changes := make([]api.ConfigChange, 0, len(entries))
	for _, e := range slices.Backward(entries) {
		changes = append(changes, api.ConfigChange{Version: e.Version, Author: e.Author, AtMs: e.AtMs, ID: e.ID})
	}
	return changes
}

// Applied returns the version in force on each member, by host.
func (s *Sync) Applied() map[string]uint64 {
	applied := make(map[string]uint64)
	for _, m := range s.opt.View.Members() {
		applied[m.Host] = m.ConfigVersion
	}
	return applied
}

const (
	// applyWait is the maximum wait of WaitApplied: versions must be in force on all members
	// within five seconds.
	applyWait = 5 * time.Second
	// applyPoll is the interval at which WaitApplied checks the members' versions.
	applyPoll = 25 * time.Millisecond
)

// WaitApplied waits until the version is in force on all members. It returns an error if ctx
// ends or five seconds pass before that.
func (s *Sync) WaitApplied(ctx context.Context, version uint64) error {
	ctx, cancel := context.WithTimeout(ctx, applyWait)
	defer cancel()
	ticker := time.NewTicker(applyPoll)
	defer ticker.Stop()
	for {
		missing := s.missing(version)
		if missing == "" {
			return nil
		}
		select {
		case <-ctx.Done():
			return notApplied.New("version %d is not in force on %s yet", version, missing)
		case <-ticker.C:
		}
	}
}

// missing returns the host of a member where the version is not in force, "" if there is
// none.
func (s *Sync) missing(version uint64) string {
	for _, m := range s.opt.View.Members() {
		if m.ConfigVersion < version {
			return m.Host
		}
	}
	return ""
}

// state returns the newest known state.
func (s *Sync) state() configlog.State {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.replayer.State()
}

// update runs f on the replayer, brings a newer version into force, and wakes those who wait
// for a state.
func (s *Sync) update(f func(*configlog.Replayer)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(s.replayer)
	s.apply(s.replayer.State())
	if n := s.replayer.Regressed(); n != s.loggedRegressions {
		s.loggedRegressions = n
		s.opt.Logger.Error("config_state_of_lower_version_refused", zap.Uint64("times", n), zap.Uint64("version", s.seenVersion))
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// apply brings the state's version into force if it is newer. The caller holds the lock, so
// versions come into force in order. A text that can't be parsed here was validated by a
// daemon of another release. It does not come into force here, which shows in the log, the
// metric and the version that this daemon announces. The version still counts as seen, so
// that it isn't fetched repeatedly.
func (s *Sync) apply(state configlog.State) {
	if state.Version <= s.seenVersion {
		return
	}
	s.seenVersion = state.Version
	parsed, err := s.opt.Parse(state.Text)
	if err != nil {
		s.meter.unparsable.Inc()
		s.opt.Logger.Error("config_text_unusable_old_one_kept", zap.Uint64("version", state.Version),
			zap.Uint64("kept_version", s.Current().Version), zap.Error(err))
		return
	}
	parsed.Version = state.Version
	parsed.Text = state.Text
	s.current.Store(parsed)
	s.opt.Logger.Info("config_in_force", zap.Uint64("version", state.Version))
	s.opt.OnApplied(state.Version)
}
