package try

import (
	"context"
	"fmt"
	"io"
	"time"

	"tarragonhollow.example/tarragonhollow/caller"
	"tarragonhollow.example/tarragonhollow/daemon"
	"tarragonhollow.example/tarragonhollow/extern"
	"tarragonhollow.example/tarragonhollow/logging"
	"tarragonhollow.example/tarragonhollow/settings"
	"tarragonhollow.example/tarragonhollow/standin/deployment"
)

// adminToken is the bearer token for the daemons' operator paths.
const adminToken = "try-operator-token"

// fleet is the running deployment.
type fleet struct {
	shape    deployment.Shape
	standins *deployment.Deployment
	daemons  []*member
}

// member is one daemon with a client for it.
type member struct {
	daemon *daemon.Daemon
	client *caller.Client
	cancel context.CancelFunc
	done   chan struct{}
	killed bool
}

// startFleet starts the stand-ins and one daemon in each availability zone.
func startFleet(shape deployment.Shape, logs io.Writer) (*fleet, error) {
	standins, err := deployment.Start(shape, deployment.Options{})
	if err != nil {
		return nil, err
	}
	f := &fleet{shape: shape, standins: standins}
	for i, zone := range shape.Zones {
		if err := f.startDaemon(fmt.Sprintf("entry-%d", i+1), zone, logs); err != nil {
			f.stop()
			return nil, err
		}
	}
	return f, nil
}

func (f *fleet) startDaemon(name, zone string, logs io.Writer) error {
	s := settings.Default()
	s.Host = settings.Host{Name: name, Zone: zone, HTTPAddress: "127.0.0.1:0", PeerAddress: "127.0.0.1:0"}
	s.Platform.LogURL = f.standins.LogURL
	s.Platform.HostsURL = f.standins.HostsURL
	s.Platform.WeightsURL = f.standins.WeightsURL
	s.Admin.Token = adminToken
	s.Drain.Grace = time.Millisecond
	s.Drain.Timeout = 5 * time.Second
	logger, level := logging.New(logs, "warn")
	d, err := daemon.New(&s, daemon.Options{Logger: logger, Level: level})
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	m := &member{
		daemon: d,
		client: &caller.Client{HTTP: caller.NewHTTPClient(), Base: "http://" + d.HTTPAddress(), Token: adminToken},
		cancel: cancel,
		done:   make(chan struct{}),
	}
	go func() {
		defer close(m.done)
		_ = d.Run(ctx)
	}()
	f.daemons = append(f.daemons, m)
	return f.standins.Hosts.Put(extern.Host{
		Name:    name,
		Role:    extern.RoleDaemon,
		Address: d.PeerAddress(),
		Zone:    zone,
		State:   extern.HostLive,
	})
}

// publish publishes the deployment's configuration and waits until every daemon is ready.
func (f *fleet) publish(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	text := f.standins.ConfigText()
	err := retry(ctx, func() error {
		_, err := f.daemons[0].client.PublishConfig(ctx, text, 0)
		if refused := caller.AsRefusal(err); refused != nil && refused.Winner != "" {
			return nil
		}
		return err
	})
	if err != nil {
		return err
	}
	for _, m := range f.daemons {
		if err := retry(ctx, func() error { return m.client.Ready(ctx) }); err != nil {
			return err
		}
	}
	return nil
}

// kill stops the i-th daemon abruptly, like the loss of its host, and removes it from the
// platform's host list.
func (f *fleet) kill(i int) {
	m := f.daemons[i]
	m.killed = true
	m.daemon.Kill()
	<-m.done
	f.standins.Hosts.Remove(fmt.Sprintf("entry-%d", i+1))
}

// live returns the clients of the daemons that were not killed.
func (f *fleet) live() []*caller.Client {
	var out []*caller.Client
	for _, m := range f.daemons {
		if !m.killed {
			out = append(out, m.client)
		}
	}
	return out
}

func (f *fleet) stop() {
	for _, m := range f.daemons {
		m.cancel()
	}
	for _, m := range f.daemons {
		<-m.done
	}
	f.standins.Close()
}

// retryInterval is the pause between attempts of retry.
const retryInterval = 50 * time.Millisecond

// retry calls f until it succeeds or ctx is done. In the latter case it returns f's last
// error.
func retry(ctx context.Context, f func() error) error {
	for {
		err := f()
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(retryInterval):
		}
	}
}
