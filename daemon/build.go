package daemon

import (
	"cmp"
	"net"
	"time"

	"tarragonhollow.example/tarragonhollow/api"
	"tarragonhollow.example/tarragonhollow/core/config"
	"tarragonhollow.example/tarragonhollow/core/membership"
	"tarragonhollow.example/tarragonhollow/daemon/burnlog"
	"tarragonhollow.example/tarragonhollow/daemon/configsync"
	"tarragonhollow.example/tarragonhollow/daemon/members"
	"tarragonhollow.example/tarragonhollow/daemon/online"
	"tarragonhollow.example/tarragonhollow/daemon/orders"
	"tarragonhollow.example/tarragonhollow/daemon/shards"
	"tarragonhollow.example/tarragonhollow/daemon/signal"
	"tarragonhollow.example/tarragonhollow/daemon/steward"
	"tarragonhollow.example/tarragonhollow/daemon/suspects"
	"tarragonhollow.example/tarragonhollow/extern"
	"tarragonhollow.example/tarragonhollow/peer"
	"tarragonhollow.example/tarragonhollow/target"
)

func (d *Daemon) listen() error {
	var err error
	if d.httpListener, err = net.Listen("tcp", d.settings.Host.HTTPAddress); err != nil {
		return errListener.Wrap(err, "cannot listen on [host] http_address %s", d.settings.Host.HTTPAddress)
	}
	if d.peerListener, err = net.Listen("tcp", d.settings.Host.PeerAddress); err != nil {
		return errListener.Wrap(err, "cannot listen on [host] peer_address %s", d.settings.Host.PeerAddress)
	}
	return nil
}

func (d *Daemon) buildClients() error {
	var err error
	p := d.settings.Platform
	if d.log, err = extern.NewHTTPLog(extern.Options{URL: p.LogURL, Client: d.settings.Host.Name}); err != nil {
		return errBuild.Wrap(err, "cannot use [platform] log_url")
	}
	if d.hosts, err = extern.NewHTTPHostList(extern.Options{URL: p.HostsURL, Client: d.settings.Host.Name}); err != nil {
		return errBuild.Wrap(err, "cannot use [platform] hosts_url")
	}
	d.engine = target.NewEngineClient(target.DefaultClientOptions())
	d.service = target.NewServiceClient(target.DefaultClientOptions())
	d.peerServer = peer.NewServer(peer.ServerOptions{Logger: d.logger, Metrics: d.metrics})
	d.peerClient = peer.NewClient(peer.ClientOptions{
		LocalIP: d.peerIP(),
		// These have a connection of their own, so that neither probes nor signals of
		// online requests wait behind a chunk of a job.
		ControlServices: []string{members.ServiceName, signal.ServiceName},
		Logger:          d.logger,
		Metrics:         d.metrics,
	})
	return nil
}

// peerIP returns the local IP of connections to other daemons. It is the IP of this daemon's
// peer address, so that other daemons and network devices can distinguish hosts.
func (d *Daemon) peerIP() string {
	ip, _, _ := net.SplitHostPort(d.PeerAddress())
	return ip
}

func (d *Daemon) buildMembers() error {
	var err error
	d.members, err = members.New(members.Options{
		Host:         d.settings.Host.Name,
		Zone:         d.settings.Host.Zone,
		PeerAddress:  cmp.Or(d.settings.Host.PeerAdvertise, d.PeerAddress()),
		HTTPAddress:  d.HTTPAddress(),
		Incarnation:  uint64(d.started.UnixNano()),
		HostList:     d.hosts,
		Seeds:        d.settings.Peers.Seeds,
		Peer:         d.peerClient,
		Registrar:    d.peerServer,
		ProbeEvery:   d.settings.Peers.ProbeEvery,
		SuspectAfter: d.settings.Peers.SuspectAfter,
		Logger:       d.logger,
		Metrics:      d.metrics,
	})
	return err
}

func (d *Daemon) buildConfig() error {
	var err error
	d.config, err = configsync.New(configsync.Options{
		Log:       d.log,
		View:      d.members,
		Peer:      d.peerClient,
		Registrar: d.peerServer,
		Parse:     config.Parse,
		OnApplied: d.setConfigVersion,
		Retention: d.settings.Platform.Retention,
		Logger:    d.logger,
		Metrics:   d.metrics,
	})
	return err
}

// setConfigVersion announces to the other daemons which configuration version this daemon
// applies.
func (d *Daemon) setConfigVersion(version uint64) {
	d.members.SetFacts(func(m *membership.Member) { m.ConfigVersion = version })
}

func (d *Daemon) buildShards() error {
	var err error
	l := d.settings.Ledger
	d.shards, err = shards.New(shards.Options{
		Log:            d.log,
		View:           d.members,
		Peer:           d.peerClient,
		Registrar:      d.peerServer,
		Config:         d.config.Current,
		Shards:         l.Shards,
		AppendInterval: l.AppendPace,
		AppendBudget:   float64(l.AppendBudget),
		Lease:          l.Lease,
		Retention:      d.settings.Platform.Retention,
		Logger:         d.logger,
		Metrics:        d.metrics,
	})
	return err
}

// buildOrders builds the component that sends orders to engines for the models whose shards
// this daemon holds. Without a weight store it sends none.
func (d *Daemon) buildOrders() error {
	leadership, err := orders.NewLogLeadership(orders.LeadershipOptions{
		Holds: d.shards.Holds,
		Self:  d.members.Self().ID(),
		Log:   d.log,
	})
	if err != nil {
		return err
	}
	var weights extern.WeightStore
	if url := d.settings.Platform.WeightsURL; url != "" {
		store, err := extern.NewHTTPWeightStore(extern.Options{URL: url, Client: d.settings.Host.Name})
		if err != nil {
			return errBuild.Wrap(err, "cannot use [platform] weights_url")
		}
		weights = store
	}
	d.orders, err = orders.New(orders.Options{
		Config:     d.config.Current,
		View:       d.members,
		Leadership: leadership,
		Engine:     d.engine,
		Weights:    weights,
		Shards:     d.settings.Ledger.Shards,
		Logger:     d.logger,
		Metrics:    d.metrics,
	})
	return err
}

func (d *Daemon) buildBurn() error {
	var err error
	d.burn, err = burnlog.New(burnlog.Options{
		Log:       d.log,
		View:      d.members,
		Peer:      d.peerClient,
		Registrar: d.peerServer,
		Config:    d.config.Current,
		Retention: d.settings.Platform.Retention,
		Logger:    d.logger,
		Metrics:   d.metrics,
	})
	return err
}

func (d *Daemon) buildOnline() error {
	var err error
	if d.signals, err = signal.NewSender(signal.Options{View: d.members, Peer: d.peerClient, Metrics: d.metrics}); err != nil {
		return err
	}
	d.suspects, err = suspects.New(suspects.Options{
		View:      d.members,
		Peer:      d.peerClient,
		Registrar: d.peerServer,
		Limit:     func() int { return d.config.Current().Limits.CrashLimit },
		Logger:    d.logger,
		Metrics:   d.metrics,
	})
	if err != nil {
		return err
	}
	d.online, err = online.New(online.Options{
		View:      d.members,
		Config:    d.config.Current,
		Ledger:    d.shards,
		Engine:    d.engine,
		Service:   d.service,
		Peer:      d.peerClient,
		Registrar: d.peerServer,
		Signals:   d.signals,
		Suspects:  d.suspects,
		Host:      d.settings.Host.Name,
		Zone:      d.settings.Host.Zone,
		Logger:    d.logger,
		Metrics:   d.metrics,
	})
	return err
}

func (d *Daemon) buildSteward() error {
	var err error
	d.steward, err = steward.New(steward.Options{
		View:      d.members,
		Config:    d.config.Current,
		Ledger:    d.burn.Items(d.shards),
		Engine:    d.engine,
		Service:   d.service,
		Registrar: d.peerServer,
		PolicyOf:  policyOf,
		OwnerOf:   d.ownerOf,
		Logger:    d.logger,
		Metrics:   d.metrics,
	})
	if err != nil {
		return err
	}
	d.signals.SetLocal(d.steward)
	return signal.Register(d.peerServer, d.steward)
}

func (d *Daemon) buildAPI() error {
	var err error
	h := d.settings.HTTP
	d.api, err = api.New(api.Options{
		Backend:           &backend{Daemon: d},
		AdminToken:        d.settings.Admin.Token,
		MaxHeaderBytes:    int(h.MaxHeaderBytes),
		ReadHeaderTimeout: h.ReadHeaderTimeout,
		IdleTimeout:       h.IdleTimeout,
		WriteStall:        h.WriteStall,
		BodyStall:         h.BodyStall,
		MaxConnections:    h.MaxConnections,
		MaxInFlight:       h.MaxInFlight,
		MaxUploads:        h.MaxUploads,
		MaxHeadMemory:     h.MaxHeadMemory,
		MaxBodyMemory:     h.MaxBodyMemory,
		DrainGrace:        max(d.settings.Drain.Grace, time.Millisecond),
		OnRefused:         d.burn.Refused,
		Logger:            d.logger,
		Metrics:           d.metrics,
	})
	return err
}
