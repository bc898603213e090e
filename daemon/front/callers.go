package front

import (
	"context"
	"net"
	"net/http"
	"time"

	"go.uber.org/zap"

	"tarragonhollow.example/tarragonhollow/callerconns"
	"tarragonhollow.example/tarragonhollow/daemon/duty"
)

const (
	// headerTimeout bounds the reading of a request's head.
	headerTimeout = 5 * time.Second
	// idleTimeout closes a caller's connection without a request. It is above the
	// longest time for which callers are told they may reuse one.
	idleTimeout = time.Minute
	// maxConnections bounds callers' connections, below the descriptors that a
	// small host has.
	maxConnections = 3000
	// writeStall cuts a caller that does not read its answer.
	writeStall = 5 * time.Second
	// leaveRotation is how long a stopping daemon still takes new connections:
	// the platform asks for readiness every second and takes a daemon out after
	// two misses.
	leaveRotation = 2600 * time.Millisecond
	// stopMargin is what is left of the grace for the last lines.
	stopMargin = 400 * time.Millisecond
)

// callers is the listener of the callers and its server.
type callers struct {
	listener *callerconns.Listener
	server   *http.Server
}

// ServeCallers serves callers in the background until Stop.
func (n *Node) ServeCallers(handler http.Handler) error {
	inner, err := net.Listen("tcp", n.Settings.CallersAddress)
	if err != nil {
		return err
	}
	listener := callerconns.New(inner, maxConnections, writeStall, callerconns.Metrics{
		Evicted: n.Metrics.GetOrCreateCounter("tarragonhollow_http_idle_connections_evicted_total"),
		Stalled: n.Metrics.GetOrCreateCounter("tarragonhollow_http_stalled_writes_total"),
	})
	n.Metrics.GetOrCreateGauge("tarragonhollow_http_connections", func() float64 { return float64(listener.Open()) })
	server := n.newServer(n.closing(handler))
	server.ConnState = listener.Track
	n.callers = &callers{listener, server}
	go n.serve(server, listener)
	return nil
}

// ServeSide serves readiness or metrics in the background until the process
// ends.
func (n *Node) ServeSide(address string, handler http.Handler) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	go n.serve(n.newServer(handler), listener)
	return nil
}

func (n *Node) newServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler: handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout,
		ErrorLog: zap.NewStdLog(n.Logger.Named("http")),
	}
}

func (n *Node) serve(server *http.Server, listener net.Listener) {
	err := server.Serve(listener)
	if !n.stopping.Load() && err != http.ErrServerClosed {
		n.Logger.Error("listener_failed", zap.Stringer("address", listener.Addr()), zap.Error(err))
	}
}

// closing tells callers of a stopping daemon to use a new connection next.
func (n *Node) closing(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if n.stopping.Load() {
			w.Header().Set("Connection", "close")
		}
		handler.ServeHTTP(w, r)
	})
}

// Stop ends the daemon without interrupting a request: first the platform and
// the other daemons learn of it, while new connections are still served; then
// the callers' connections are closed as they fall quiet, and batch work ends
// beside it.
func (n *Node) Stop() {
	began := time.Now()
	n.Logger.Info("stopping")
	n.stopping.Store(true)
	n.Places.StepDown()
	n.quotas.StepDown()
	ctx, cancel := context.WithTimeout(context.Background(), n.Settings.StopGrace-stopMargin)
	defer cancel()
	drained := make(chan struct{})
	go func() {
		n.Jobs.Drain(ctx)
		close(drained)
	}()
	n.hosts.leave(ctx)
	duty.Pause(ctx, leaveRotation-time.Since(began))
	if err := n.callers.listener.CloseQuietly(ctx, leaveRotation); err != nil {
		n.Logger.Info("queued_connections_reset", zap.Error(err))
	}
	if open := n.callers.listener.Open(); open > 0 {
		n.Logger.Warn("requests_cut", zap.Int("connections", open))
	}
	select {
	case <-drained:
	case <-ctx.Done():
	}
	n.Logger.Info("stopped", zap.Float64("seconds", time.Since(began).Seconds()))
}
