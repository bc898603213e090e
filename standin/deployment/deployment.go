package deployment

import (
	"errors"
	"fmt"
	"net"
	"net/http"

	"tarragonhollow.example/tarragonhollow/extern"
	"tarragonhollow.example/tarragonhollow/standin/engine"
	"tarragonhollow.example/tarragonhollow/standin/hostlist"
	"tarragonhollow.example/tarragonhollow/standin/logsvc"
	"tarragonhollow.example/tarragonhollow/standin/service"
	"tarragonhollow.example/tarragonhollow/standin/weights"
)

// Options configures the platform's stand-ins.
type Options struct {
	Log   logsvc.Options
	Hosts hostlist.Options
}

// Deployment is a running set of stand-ins.
type Deployment struct {
	// Shape describes the deployment.
	Shape Shape
	// Log, Hosts and Weights are the stand-ins for the platform's services.
	Log     *logsvc.Server
	Hosts   *hostlist.Server
	Weights *weights.Server
	// Engines and Services are the targets, in the order of EngineAddresses and
	// ServiceAddresses.
	Engines  []*engine.Server
	Services []*service.Server
	// LogURL, HostsURL and WeightsURL are base URLs.
	LogURL, HostsURL, WeightsURL string
	// EngineAddresses and ServiceAddresses are the targets' IP:PORT addresses.
	EngineAddresses, ServiceAddresses []string

	closers []func()
}

// Start starts the stand-ins of the shape.
func Start(shape Shape, opts Options) (*Deployment, error) {
	d := &Deployment{Shape: shape}
	err := errors.Join(d.startPlatform(opts), d.startTargets())
	if err != nil {
		d.Close()
		return nil, err
	}
	return d, nil
}

func (d *Deployment) startPlatform(opts Options) error {
	var err error
	if d.Log, err = logsvc.New(opts.Log); err != nil {
		return err
	}
	if d.Hosts, err = hostlist.New(opts.Hosts); err != nil {
		return err
	}
	models := []extern.Weights{{Model: d.Shape.Model, Version: "1", Bytes: 1 << 30}, {Model: d.Shape.Model, Version: "2", Bytes: 1 << 30}}
	if d.Weights, err = weights.New(weights.Options{Weights: models}); err != nil {
		return err
	}
	d.closers = append(d.closers, d.Log.Close, d.Hosts.Close)
	logAddress, err1 := d.serve(d.Log.Handler())
	hostsAddress, err2 := d.serve(d.Hosts.Handler())
	weightsAddress, err3 := d.serve(d.Weights.Handler())
	d.LogURL = "http://" + logAddress
	d.HostsURL = "http://" + hostsAddress
	d.WeightsURL = "http://" + weightsAddress
	return errors.Join(err1, err2, err3)
}

func (d *Deployment) startTargets() error {
	for i := range d.Shape.Engines {
		opts := d.Shape.EngineOptions
		opts.Seed = uint64(i)
		server, err := engine.New(opts)
		if err != nil {
			return err
		}
		address, err := d.serveEngine(server)
		if err != nil {
			return err
		}
		d.closers = append(d.closers, server.Close)
		d.Engines = append(d.Engines, server)
		d.EngineAddresses = append(d.EngineAddresses, address)
	}
	for range d.Shape.Services {
		server, err := service.New(d.Shape.ServiceOptions)
		if err != nil {
			return err
		}
		address, err := d.serve(server.Handler())
		if err != nil {
			return err
		}
		d.closers = append(d.closers, server.Close)
		d.Services = append(d.Services, server)
		d.ServiceAddresses = append(d.ServiceAddresses, address)
	}
	return d.registerTargets()
}

// registerTargets adds the targets to the host list.
func (d *Deployment) registerTargets() error {
	put := func(kind string, i int, address string) error {
		return d.Hosts.Put(extern.Host{
			Name:    fmt.Sprintf("%s-%d", kind, i),
			Role:    extern.RoleTarget,
			Address: address,
			Zone:    d.Shape.Zone(i),
			State:   extern.HostLive,
		})
	}
	for i, address := range d.EngineAddresses {
		if err := put("engine", i, address); err != nil {
			return err
		}
	}
	for i, address := range d.ServiceAddresses {
		if err := put("service", i, address); err != nil {
			return err
		}
	}
	return nil
}

// serve serves the handler on a free loopback port and returns its address.
func (d *Deployment) serve(handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: handler}
	go func() { _ = server.Serve(listener) }()
	d.closers = append(d.closers, func() { _ = server.Close() })
	return listener.Addr().String(), nil
}

// serveEngine serves an engine on a free loopback port and returns its address. It
// uses the engine's own Serve, which closes the listener while the engine is down
// after a crash, so that callers see refused connections, as from a host whose
// process died.
func (d *Deployment) serveEngine(server *engine.Server) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() { _ = server.Serve(listener) }()
	return listener.Addr().String(), nil
}

// ConfigText returns the operators' configuration file for the running targets.
func (d *Deployment) ConfigText() string {
	return d.Shape.ConfigText(d.EngineAddresses, d.ServiceAddresses)
}

// Close stops all stand-ins, in the reverse order of their start.
func (d *Deployment) Close() {
	for i := len(d.closers) - 1; i >= 0; i-- {
		d.closers[i]()
	}
}
