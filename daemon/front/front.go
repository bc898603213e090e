// Package front assembles a daemon that serves routes on a platform: the view of the
// targets, the relay of online requests, the batch jobs and the calls between daemons. An
// adapter implements the platform's protocols.
package front

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"tarragonhollow.example/tarragonhollow/bodymemory"
	"tarragonhollow.example/tarragonhollow/core/accounts"
	"tarragonhollow.example/tarragonhollow/core/quota"
	"tarragonhollow.example/tarragonhollow/core/route"
	"tarragonhollow.example/tarragonhollow/core/slots"
	"tarragonhollow.example/tarragonhollow/daemon/duty"
	"tarragonhollow.example/tarragonhollow/daemon/feed"
	"tarragonhollow.example/tarragonhollow/daemon/jobs"
	"tarragonhollow.example/tarragonhollow/daemon/places"
	"tarragonhollow.example/tarragonhollow/daemon/quotas"
	"tarragonhollow.example/tarragonhollow/daemon/relay"
	"tarragonhollow.example/tarragonhollow/daemon/streams"
	"tarragonhollow.example/tarragonhollow/daemon/suspects"
	"tarragonhollow.example/tarragonhollow/extern/partlog"
	"tarragonhollow.example/tarragonhollow/peer"
	"tarragonhollow.example/tarragonhollow/settings"
	"tarragonhollow.example/tarragonhollow/target/h1"
)

// crashLimit is how many targets a request may crash before it is refused: one crash may
// have another cause, a second one at another target is hardly a coincidence.
const crashLimit = 2

// idleCloseEvery is the interval at which old connections to targets are closed.
const idleCloseEvery = 2 * time.Second

// startupTargetWait is how long after its start a daemon waits for a target of every
// group before it reports readiness without one: expired entries are written again within
// some 2 s.
const startupTargetWait = 4 * time.Second

// Adapter holds what the platform's adapter provides.
type Adapter struct {
	Log    partlog.Log
	Groups partlog.Groups
	Wire   relay.Wire
	Topics jobs.Topics
	// VersionsTopic is the topic in which the versions of targets are recorded.
	VersionsTopic string
	// HostsTopic is the topic through which the daemons find each other, CrashesTopic that of the
	// crashes of targets.
	HostsTopic, CrashesTopic string
	// Decode decodes a configuration; see ConfigurationOptions.
	Decode func(written []byte) (*route.Table, error)
}

// Node is one daemon.
type Node struct {
	Settings      *settings.Front
	Logger        *zap.Logger
	Metrics       *metrics.Set
	Configuration *Configuration
	Places        *places.Places
	Relay         *relay.Relay
	Jobs          *jobs.Jobs

	// Feed supplies the configuration and the targets.
	Feed *feed.Feed
	// Bodies bounds the memory for callers' requests and targets' responses.
	Bodies *bodymemory.Memory

	hosts      *hosts
	suspects   *suspects.Tracker
	quotas     *quotas.Quotas
	streams    *streams.Directory
	peers      *peer.Client
	peerServer *peer.Server
	pool       *h1.Pool
	stopping   atomic.Bool
	// stopsAt is when a planned stop ends the requests that still run, nil without one.
	stopsAt       atomic.Pointer[time.Time]
	requestsEnded context.Context
	endRequests   context.CancelFunc
	onRequestsEnd func()
	// targetsReady is set once every group has had a target, or startupTargetWait has
	// passed since started.
	targetsReady atomic.Bool
	started      time.Time
	callers      *callerServer
}

// New returns a daemon that is not running yet.
func New(s *settings.Front, a Adapter, logger *zap.Logger, set *metrics.Set) (*Node, error) {
	n := &Node{Settings: s, Logger: logger, Metrics: set, started: time.Now(), Bodies: bodymemory.New(s.BodyBytes())}
	n.requestsEnded, n.endRequests = context.WithCancel(context.Background())
	n.onRequestsEnd = func() {}
	set.GetOrCreateGauge("tarragonhollow_body_memory_bytes", func() float64 { return float64(n.Bodies.Total()) })
	opened := set.GetOrCreateCounter("tarragonhollow_target_connections_total")
	n.pool = h1.NewPool(opened.Inc)
	n.boundAnswerHeads()
	set.GetOrCreateGauge("tarragonhollow_target_connections_idle", func() float64 { return float64(n.pool.Idle()) })
	logger.Info("scheduling", zap.Bool("queue", s.Scheduling.Queue), zap.Bool("zone_balance", s.Scheduling.ZoneBalance),
		zap.Bool("batch_reserve", s.Scheduling.BatchReserve), zap.Bool("fair_shares", s.Scheduling.FairShares),
		zap.Bool("paced_return", s.Scheduling.PacedReturn), zap.Bool("target_rates", s.Scheduling.TargetRates))
	self := places.Peer{Address: s.PeerAddress, Zone: s.Zone, Cores: s.Cores}
	n.hosts = newHosts(hostsOptions{Log: a.Log, Topic: a.HostsTopic, Parts: s.LogPartitions, Host: s.Host, Local: self, Zones: s.Zones, Logger: logger})
	n.peers = peer.NewClient(peer.ClientOptions{Logger: logger, Metrics: set})
	n.peerServer = peer.NewServer(peer.ServerOptions{Logger: logger, Metrics: set})
	n.Configuration = NewConfiguration(ConfigurationOptions{Decode: a.Decode, Peers: n.peers, ListPeers: n.hosts.peers, Logger: logger, Metrics: set})
	n.Places = places.New(places.Options{
		Host: s.Host, Zone: s.Zone, PeerAddress: s.PeerAddress, Cores: s.Cores, FleetSize: n.hosts.fleetSize, Peers: n.peers,
		LargeZone: n.hosts.isLarge,
		Drain:     s.TargetDrain, Heartbeat: s.TargetHeartbeat,
		Policy:      slots.Policy(s.Scheduling),
		QuotasInUse: func() bool { return n.accounts().Len() > 0 },
		Logger:      logger, Metrics: set,
	})
	n.Places.OnRemoved(n.pool.CloseIdle)
	n.Feed = feed.New(feed.Options{
		Host: s.Host, Self: s.PeerAddress, Large: n.hosts.large, FleetSize: n.hosts.knownFleetSize,
		Configuration: n.Configuration, Targets: n.Places, Peers: n.peers, Logger: logger, Metrics: set,
	})
	n.hosts.readsLog, n.hosts.leaderFleetSize = n.Feed.ReadsLog, n.Places.LeaderFleetSize
	var err error
	n.suspects, err = suspects.New(suspects.Options{
		View: n.hosts, Peer: n.peers, Registrar: n.peerServer, Limit: func() int { return crashLimit },
		Zones: s.Zones, Log: a.Log, Topic: a.CrashesTopic, Logger: logger, Metrics: set,
	})
	if err != nil {
		return nil, err
	}
	n.quotas = quotas.New(quotas.Options{
		Self: s.PeerAddress, Leaders: n.Places, FleetSize: n.hosts.knownFleetSize, Accounts: n.accounts, Peers: n.peers, Logger: logger, Metrics: set,
		Tolerance: quota.Tolerance{Window: s.QuotaWindow, Overshoot: s.QuotaOvershoot, Slack: s.QuotaSlack},
	})
	versions := streamTargets{n.Places, n.Configuration}
	n.streams = streams.New(streams.Options{
		Self: s.PeerAddress, ListPeers: n.hosts.streamPeers, Peers: n.peers, Targets: versions, Metrics: set, Logger: logger,
		Records: streams.RecordOptions{Log: a.Log, Topic: a.VersionsTopic, Targets: versions, FirstStart: s.FirstStart, AllRecord: n.hosts.isLarge},
	})
	crashes := relay.NewCrashDetector(n.suspects, n.pool)
	n.Relay = relay.New(relay.Options{
		Wire: a.Wire, Pool: n.pool, Places: n.Places, Crashes: crashes, Quotas: n.quotas, Streams: n.streams, Stopping: n.stopping.Load,
		StopsAt: n.StopsAt, Ended: n.requestsEnded, Logger: logger, Metrics: set,
	})
	n.Jobs = jobs.New(jobs.Options{
		Host: s.Host, Zone: s.Zone, Log: a.Log, Groups: a.Groups, Peers: n.peers, Address: n.hosts.addressOf,
		ListPeers: n.hosts.peers, FleetSize: n.hosts.fleetSize, LargeZone: n.hosts.isLarge, CanHoldPartitions: n.hosts.hasAmpleCores, Topics: a.Topics, Parts: s.LogPartitions, Routes: n.Configuration.Routes,
		Places: n.Places, Pool: n.pool, Wire: a.Wire, Crashes: crashes, KeepFor: s.JobsReadable, Headroom: s.BatchHeadroom, PacedReturn: s.Scheduling.PacedReturn,
		Logger: logger, Metrics: set,
	})
	if err := n.Places.Register(n.peerServer); err != nil {
		return nil, err
	}
	if err := n.Feed.Register(n.peerServer); err != nil {
		return nil, err
	}
	if err := n.quotas.Register(n.peerServer); err != nil {
		return nil, err
	}
	if err := n.streams.Register(n.peerServer); err != nil {
		return nil, err
	}
	if err := n.peerServer.Register(configurationService, &configurationHandler{n.Configuration}); err != nil {
		return nil, err
	}
	return n, n.Jobs.Register(n.peerServer)
}

// accounts returns the active client accounts, nil for none.
func (n *Node) accounts() *accounts.Set {
	if t := n.Configuration.Routes(); t != nil {
		return t.Accounts
	}
	return nil
}

// Ready reports whether the daemon should get new connections: it knows routes and
// targets, has read the jobs, and is not stopping.
func (n *Node) Ready() bool {
	table := n.Configuration.Routes()
	return !n.stopping.Load() && table != nil && n.Places.TargetsKnown() && n.Jobs.Loaded() && n.hasTargets(table, time.Now())
}

// InLargeZone reports whether only a few daemons of the local zone read the log, for all
// others.
func (n *Node) InLargeZone() bool { return n.hosts.isLarge() }

// Await returns the active routes. A daemon that has just started waits for them, and for
// its first targets; Await returns nil if there are no routes by then, or ctx is done.
func (n *Node) Await(ctx context.Context) *route.Table {
	table := n.Configuration.Await(ctx)
	if timeLeft := startupWait - time.Since(n.started); table != nil && timeLeft > 0 && !n.Places.TargetsKnown() {
		ctx, cancel := context.WithTimeout(ctx, timeLeft)
		defer cancel()
		n.Places.AwaitTargets(ctx)
	}
	return table
}

// hasTargets reports whether every group that requests are sent to has a target, or has
// had time to get one.
//
// Failure guarded against: a daemon that starts while the targets' entries have expired
// reads an empty list, and refuses requests that other daemons could serve.
func (n *Node) hasTargets(table *route.Table, now time.Time) bool {
	if n.targetsReady.Load() {
		return true
	}
	for _, group := range table.UsedGroups() {
		if now.Sub(n.started) < startupTargetWait && !n.Places.HasTargets(group) {
			return false
		}
	}
	n.targetsReady.Store(true)
	return true
}

// Run starts the node's goroutines. readConfiguration and readTargets follow the log
// while this daemon reads them itself.
func (n *Node) Run(group *duty.Group, readConfiguration, readTargets feed.Read) error {
	listener, err := net.Listen("tcp", n.Settings.PeerAddress)
	if err != nil {
		return err
	}
	group.Go(func(context.Context) {
		if err := n.peerServer.Serve(listener); err != nil {
			n.Logger.Error("peer_listener_ended", zap.Error(err))
		}
	})
	group.Go(n.hosts.run)
	n.Feed.Run(group, readConfiguration, readTargets)
	group.Go(n.Configuration.fetchFromPeers)
	group.Go(func(ctx context.Context) { duty.Every(ctx, idleCloseEvery, n.pool.CloseExpired) })
	group.Go(func(ctx context.Context) { n.Places.BroadcastLoad(ctx, n.peers, n.hosts.peers) })
	group.Go(func(ctx context.Context) { n.Places.Lead(ctx, n.hosts.peers) })
	group.Go(n.Places.ReportLeases)
	group.Go(n.quotas.Run)
	group.Go(n.streams.Run)
	group.Go(n.streams.Record)
	n.suspects.Run(group)
	n.Jobs.Run(group)
	return nil
}

// Close closes the connections to peers and targets.
func (n *Node) Close() {
	if err := n.peers.Close(); err != nil {
		n.Logger.Info("peer_client_close", zap.Error(err))
	}
	if err := n.peerServer.Close(); err != nil {
		n.Logger.Info("peer_server_close", zap.Error(err))
	}
	n.pool.Close()
}
