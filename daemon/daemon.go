// Package daemon assembles one daemon from its components: the membership, the
// configuration, the shards, the online path, the batch dispatchers (stewards) and the HTTP
// API. Most are packages below this one. A program embeds a daemon by New and Run.
package daemon

import (
	"context"
	"errors"
	"net"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"tarragonhollow.example/tarragonhollow/api"
	"tarragonhollow.example/tarragonhollow/daemon/burnlog"
	"tarragonhollow.example/tarragonhollow/daemon/configsync"
	"tarragonhollow.example/tarragonhollow/daemon/duty"
	"tarragonhollow.example/tarragonhollow/daemon/members"
	"tarragonhollow.example/tarragonhollow/daemon/online"
	"tarragonhollow.example/tarragonhollow/daemon/orders"
	"tarragonhollow.example/tarragonhollow/daemon/shards"
	"tarragonhollow.example/tarragonhollow/daemon/signal"
	"tarragonhollow.example/tarragonhollow/daemon/steward"
	"tarragonhollow.example/tarragonhollow/daemon/suspects"
	"tarragonhollow.example/tarragonhollow/daemon/trail"
	"tarragonhollow.example/tarragonhollow/extern"
	"tarragonhollow.example/tarragonhollow/peer"
	"tarragonhollow.example/tarragonhollow/settings"
	"tarragonhollow.example/tarragonhollow/target"
)

// Options are the dependencies of a daemon besides its settings.
type Options struct {
	// Logger receives one line per event.
	Logger *zap.Logger
	// Level is the logger's level, which operators can change at run time.
	Level zap.AtomicLevel
}

// Daemon is one daemon of the fleet.
type Daemon struct {
	settings *settings.Settings
	logger   *zap.Logger
	level    zap.AtomicLevel
	history  *trail.History
	metrics  *metrics.Set
	started  time.Time

	httpListener net.Listener
	peerListener net.Listener
	peerServer   *peer.Server
	peerClient   *peer.Client
	log          *extern.HTTPLog
	hosts        *extern.HTTPHostList
	engine       *target.EngineClient
	service      *target.ServiceClient

	members  *members.Members
	config   *configsync.Sync
	shards   *shards.Shards
	orders   *orders.Orders
	burn     *burnlog.Collector
	signals  *signal.Sender
	suspects *suspects.Tracker
	online   *online.Online
	steward  *steward.Steward
	api      *api.Server

	// stop ends the background loops; drain requests Run to stop gracefully.
	stop  context.CancelFunc
	drain chan struct{}
	// killed is closed by Kill.
	killed chan struct{}
}

// New opens the listeners and builds the components. It starts none of them; Run does.
func New(s *settings.Settings, o Options) (*Daemon, error) {
	history := trail.New()
	d := &Daemon{
		settings: s,
		logger:   history.Wrap(o.Logger).With(zap.String("host", s.Host.Name)),
		history:  history,
		level:    o.Level,
		metrics:  metrics.NewSet(),
		started:  time.Now(),
		drain:    make(chan struct{}, 1),
		killed:   make(chan struct{}),
	}
	if err := d.build(); err != nil {
		d.closeAll()
		return nil, err
	}
	return d, nil
}

// build builds the components in the order of their dependencies: listeners and clients
// first, then what uses them.
func (d *Daemon) build() error {
	steps := []func() error{
		d.listen,
		d.buildClients,
		d.buildMembers,
		d.buildConfig,
		d.buildShards,
		d.buildOrders,
		d.buildBurn,
		d.buildOnline,
		d.buildSteward,
		d.buildAPI,
	}
	for _, step := range steps {
		if err := step(); err != nil {
			return err
		}
	}
	return nil
}

// HTTPAddress returns the IP:PORT on which callers and operators are served.
func (d *Daemon) HTTPAddress() string { return d.httpListener.Addr().String() }

// PeerAddress returns the IP:PORT on which other daemons are served.
func (d *Daemon) PeerAddress() string { return d.peerListener.Addr().String() }

// Run runs the daemon until ctx is done or an operator drains it, then stops gracefully: no
// request is interrupted, and shards and batch items are handed off. It returns nil after a
// complete stop.
func (d *Daemon) Run(ctx context.Context) error {
	loopCtx, stop := context.WithCancel(context.Background())
	d.stop = stop
	defer stop()
	group := duty.NewGroup(loopCtx)
	d.startLoops(group)
	serving := d.serve(group)
	d.logger.Info("started",
		zap.String("zone", d.settings.Host.Zone),
		zap.String("http_address", d.HTTPAddress()),
		zap.String("peer_address", d.PeerAddress()))

	select {
	case <-ctx.Done():
	case <-d.drain:
	case <-d.killed:
		return errKilled
	case err := <-serving:
		return errors.Join(errListener.Wrap(err, "the HTTP listener failed"), d.finish(group))
	}
	d.stopGracefully()
	return d.finish(group)
}

// startLoops starts the background loops of all components.
func (d *Daemon) startLoops(group *duty.Group) {
	d.members.Run(group)
	d.config.Run(group)
	d.shards.Run(group)
	d.signals.Run(group)
	d.suspects.Run(group)
	d.online.Run(group)
	d.steward.Run(group)
	d.orders.Run(group)
	d.burn.Run(group)
	group.Go(d.factsLoop)
	group.Go(d.watchLoop)
}

// serve starts serving on both listeners. The channel returns the error if serving HTTP
// fails.
func (d *Daemon) serve(group *duty.Group) <-chan error {
	failed := make(chan error, 1)
	group.Go(func(context.Context) { _ = d.peerServer.Serve(d.peerListener) })
	group.Go(func(context.Context) {
		if err := d.api.Serve(d.httpListener); err != nil {
			failed <- err
		}
	})
	return failed
}

// finish ends the background loops and closes all listeners and connections.
func (d *Daemon) finish(group *duty.Group) error {
	d.stop()
	d.closeAll()
	group.Wait()
	d.logger.Info("stopped", zap.Float64("seconds_up", time.Since(d.started).Seconds()))
	return nil
}

// Kill stops the daemon abruptly, like the loss of its host: nothing is handed off, and all
// connections are closed. It is for the try command and tests.
func (d *Daemon) Kill() {
	close(d.killed)
	d.stop()
	d.closeAll()
}

// closeAll closes all listeners and connections. It may be called more than once.
func (d *Daemon) closeAll() {
	if d.api != nil {
		d.api.Abort()
	}
	for _, listener := range []net.Listener{d.httpListener, d.peerListener} {
		if listener != nil {
			_ = listener.Close()
		}
	}
	if d.peerServer != nil {
		_ = d.peerServer.Close()
	}
	if d.peerClient != nil {
		_ = d.peerClient.Close()
	}
}
