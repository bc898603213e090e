// Package configsync keeps the operators' configuration in force here: it
// follows the configuration stream, fetches newer versions from other daemons
// while the log can't be reached, and publishes changes.
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
	// unresolved holds changes whose operators were told that they may have been
	// made.
	unresolved chan configlog.Change

	mu     sync.Mutex
	folder *configlog.Folder
	// seen is the highest version known, in force or not.
	seen uint64
	// caughtUp says that the stream was once read to its end without a gap.
	caughtUp bool
	// atEnd says that the last read reached the stream's end, gap or not.
	atEnd bool
	// unknownSince is when it was first noticed that no record on the stream is
	// known to tell the state; zero while one is.
	unknownSince time.Time
	// fetched says that a peer's state was taken.
	fetched bool
	// regressed is the count last logged.
	regressed uint64
	// stepped is closed and replaced whenever the folder moved.
	stepped chan struct{}
}

// New returns a Sync without a configuration and registers the service "Config".
func New(o Options) (*Sync, error) {
	o, err := o.validated()
	if err != nil {
		return nil, err
	}
	s := &Sync{
		opt: o, folder: configlog.NewFolder(), stepped: make(chan struct{}),
		unresolved: make(chan configlog.Change, maxUnresolved),
	}
	s.current.Store(none())
	s.meter = newMeter(o.Metrics, s)
	if err := o.Registrar.Register(serviceName, &Service{s: s}); err != nil {
		return nil, badOptions.Wrap(err, "the service can't be registered")
	}
	return s, nil
}

// none is the configuration before the first version.
func none() *config.Config {
	return &config.Config{
		Profiles: map[string]*config.Profile{},
		Groups:   map[string]*config.TargetGroup{},
		Models:   map[string]*config.Model{},
		Limits:   config.DefaultLimits(),
	}
}

// Run starts the duties.
func (s *Sync) Run(g *duty.Group) {
	g.Go(s.followLoop)
	g.Go(s.peerLoop)
	g.Go(s.restateLoop)
	g.Go(s.withdrawLoop)
}

// Current returns the configuration in force, never nil; its Version is 0 while
// there is none. It must not be changed.
func (s *Sync) Current() *config.Config { return s.current.Load() }

// Ready tells whether this daemon may serve: a configuration is in force, it was
// read from the stream's end or a peer, and no live member knew a newer one when
// that was first so. Once ready, a Sync stays ready: what it has is never older
// than what it had.
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
	// applyWait bounds WaitApplied: the promise is five seconds.
	applyWait = 5 * time.Second
	// applyPoll is how often WaitApplied looks at the view.
	applyPoll = 25 * time.Millisecond
)

// WaitApplied returns nil when the version is in force on all members, or an
// error when ctx ends or five seconds have passed.
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

// missing names a member where the version is not in force, "" if there is none.
func (s *Sync) missing(version uint64) string {
	for _, m := range s.opt.View.Members() {
		if m.ConfigVersion < version {
			return m.Host
		}
	}
	return ""
}

func (s *Sync) state() configlog.State {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.folder.State()
}

// move runs f on the folder and brings a newer version into force.
func (s *Sync) move(f func(*configlog.Folder)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(s.folder)
	s.apply(s.folder.State())
	if n := s.folder.Regressed(); n != s.regressed {
		s.regressed = n
		s.opt.Logger.Error("config_state_of_lower_version_refused", zap.Uint64("times", n), zap.Uint64("version", s.seen))
	}
	close(s.stepped)
	s.stepped = make(chan struct{})
}

// apply brings the state's version into force if it is newer; the lock is held,
// so versions come into force in order. A text that this program can't parse was
// validated by another release of it: it stays out of force here, which shows as
// this log line, the metric and the version this daemon tells; the version still
// counts as seen, so that it isn't fetched again and again.
func (s *Sync) apply(state configlog.State) {
	if state.Version <= s.seen {
		return
	}
	s.seen = state.Version
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
