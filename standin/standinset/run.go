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
	// InvalidSettings is the type of faults in a settings file.
	InvalidSettings = namespace.NewType("invalid_settings")
	// CannotListen is the type of a listener that cannot be opened.
	CannotListen = namespace.NewType("cannot_listen")
)

const (
	// readHeaderTimeout ends connections that never finish a request's head.
	readHeaderTimeout = 10 * time.Second
	// shutdownTimeout bounds the wait for requests at a stop.
	shutdownTimeout = 2 * time.Second
)

// Run runs the stand-in until ctx is done. Once it listens it prints
// "event=listening address=IP:PORT standin=KIND" on stdout, and for the fault
// proxy also control=IP:PORT.
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

// server is what the stand-ins have in common.
type server interface {
	Handler() http.Handler
	Close()
}

// selfServing stand-ins close their listener themselves: an engine that crashes
// refuses connections, as a dead process does.
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

// serve answers on the listener until ctx is done. The stand-in is closed
// first: its long polls and streams would keep the shutdown waiting.
func serve(ctx context.Context, listener net.Listener, s server, log *zap.Logger) error {
	web := &http.Server{Handler: s.Handler(), ReadHeaderTimeout: readHeaderTimeout, ErrorLog: zap.NewStdLog(log)}
	ctx, cancel := context.WithCancel(ctx)
	duties := duty.NewGroup(ctx)
	var failure error
	run := web.Serve
	if own, ok := s.(selfServing); ok {
		run = own.Serve
	}
	duties.Go(func(context.Context) {
		defer cancel()
		if err := run(listener); err != nil && !errors.Is(err, http.ErrServerClosed) {
			failure = err
		}
	})
	<-ctx.Done()
	s.Close()
	shutdown(web)
	duties.Wait()
	return failure
}

func shutdown(web *http.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	if web.Shutdown(ctx) != nil {
		web.Close()
	}
}

// proxyControl makes the proxy's steering a server of its own.
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
