package standinset

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/joomcode/errorx"
	"go.uber.org/zap"

	"tarragonhollow.example/tarragonhollow/daemon/duty"
	"tarragonhollow.example/tarragonhollow/standin/engine"
	"tarragonhollow.example/tarragonhollow/standin/faultproxy"
	"tarragonhollow.example/tarragonhollow/standin/hostlist"
	"tarragonhollow.example/tarragonhollow/standin/logsvc"
	"tarragonhollow.example/tarragonhollow/standin/service"
	"tarragonhollow.example/tarragonhollow/standin/weights"
)

var (
	namespace = errorx.NewNamespace("standinset")
	// InvalidSettings is the type of errors in a settings file.
	InvalidSettings = namespace.NewType("invalid_settings")
	// CannotListen is the type of errors from opening a listener.
	CannotListen = namespace.NewType("cannot_listen")
)

const (
	// readHeaderTimeout closes connections that do not complete a request's headers.
	readHeaderTimeout = 10 * time.Second
	// shutdownTimeout bounds the wait for running requests at shutdown.
	shutdownTimeout = 2 * time.Second
)

// Run runs the stand-in until ctx is done. Once it listens, it prints
// "event=listening address=IP:PORT standin=KIND" to stdout; the line of the fault
// proxy also has control=IP:PORT.
func Run(ctx context.Context, kind Kind, s *Settings, stdout io.Writer, log *zap.Logger) error {
	if kind == KindFaultProxy {
		return runFaultProxy(ctx, s, stdout, log)
	}
	server, err := s.newServer(kind)
	if err != nil {
		return InvalidSettings.New("%s: [%s]: %v", s.File, kind, err)
	}
	defer server.Close()
	listener, err := listen(s.Listen[kind])
	if err != nil {
		return err
	}
	fmt.Fprintf(stdout, "event=listening address=%s standin=%s\n", listener.Addr(), kind)
	return serve(ctx, listener, server, log)
}

// server is the interface that the stand-ins share.
type server interface {
	Handler() http.Handler
	Close()
}

// selfServing is implemented by stand-ins that manage their listener themselves: a
// crashed engine closes it and refuses connections, as a dead process does.
type selfServing interface {
	Serve(net.Listener) error
}

func (s *Settings) newServer(kind Kind) (server, error) {
	switch kind {
	case KindLog:
		return logsvc.New(s.Log)
	case KindHosts:
		return hostlist.New(s.Hosts)
	case KindWeights:
		return weights.New(s.Weights)
	case KindEngine:
		return engine.New(s.Engine)
	case KindService:
		return service.New(s.Service)
	default:
		return nil, fmt.Errorf("unknown stand-in %q", kind)
	}
}

func listen(address string) (net.Listener, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, CannotListen.Wrap(err, "listen on %s", address)
	}
	return listener, nil
}

// serve serves the stand-in on the listener until ctx is done. It closes the stand-in
// before shutting down HTTP, since open long polls and streams would delay the
// shutdown.
func serve(ctx context.Context, listener net.Listener, s server, log *zap.Logger) error {
	httpServer := &http.Server{Handler: s.Handler(), ReadHeaderTimeout: readHeaderTimeout, ErrorLog: zap.NewStdLog(log)}
	ctx, cancel := context.WithCancel(ctx)
	group := duty.NewGroup(ctx)
	var failure error
	run := httpServer.Serve
	if selfServer, ok := s.(selfServing); ok {
		run = selfServer.Serve
	}
	group.Go(func(context.Context) {
		defer cancel()
		if err := run(listener); err != nil && !errors.Is(err, http.ErrServerClosed) {
			failure = err
		}
	})
	<-ctx.Done()
	s.Close()
	shutdown(httpServer)
	group.Wait()
	return failure
}

func shutdown(httpServer *http.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	if httpServer.Shutdown(ctx) != nil {
		httpServer.Close()
	}
}

// proxyControl serves the proxy's control endpoints as a stand-in.
type proxyControl struct{ proxy *faultproxy.Proxy }

func (p proxyControl) Handler() http.Handler { return p.proxy.Control() }
func (p proxyControl) Close()                { p.proxy.Close() }

func runFaultProxy(ctx context.Context, s *Settings, stdout io.Writer, log *zap.Logger) error {
	options := s.FaultProxy
	options.Listen = s.Listen[KindFaultProxy]
	options.Log = log
	proxy, err := faultproxy.New(options)
	if err != nil {
		return CannotListen.Wrap(err, "[%s]", KindFaultProxy)
	}
	defer proxy.Close()
	listener, err := listen(s.Control)
	if err != nil {
		return err
	}
	fmt.Fprintf(stdout, "event=listening address=%s control=%s standin=%s\n", proxy.Addr(), listener.Addr(), KindFaultProxy)
	return serve(ctx, listener, proxyControl{proxy}, log)
}
