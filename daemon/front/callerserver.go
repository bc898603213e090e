package front

import (
	"context"
	"net"
	"net/http"
	"time"

	"go.uber.org/zap"

	"tarragonhollow.example/tarragonhollow/bodymemory"
	"tarragonhollow.example/tarragonhollow/callerconns"
	"tarragonhollow.example/tarragonhollow/daemon/duty"
)

const (
	// headerTimeout bounds the reading of a request's header.
	headerTimeout = 5 * time.Second
	// unreadBodyTimeout bounds the time for a body that no handler reads.
	unreadBodyTimeout = 5 * time.Second
	// idleTimeout closes a caller's connection that carries no request. It is longer than
	// the longest time for which callers are told that they may reuse a connection.
	idleTimeout = time.Minute
	// writeStallTimeout closes the connection of a caller that does not read its
	// response.
	writeStallTimeout = 5 * time.Second
	// drainDelay is how long a stopping daemon still accepts new connections: the
	// platform checks readiness every second and takes a daemon out of rotation after two
	// failures.
	drainDelay = 2600 * time.Millisecond
	// maxInternalConnections is the number of connections for readiness, and for metrics. The
	// platform and the collectors of metrics use one each.
	maxInternalConnections = 16
	// internalHeadMemory is the memory in bytes for the heads of their requests.
	internalHeadMemory = 1 << 20
	// stopMargin is the part of the grace period that is reserved for the last log lines.
	stopMargin = 400 * time.Millisecond
	// answerMargin is the part of the grace period before that in which requests that still run are
	// answered.
	answerMargin = 250 * time.Millisecond
)

// callerServer is the callers' listener and its server.
type callerServer struct {
	listener *callerconns.Listener
	server   *http.Server
}

// ServeCallers serves callers in the background until Stop.
func (n *Node) ServeCallers(handler http.Handler) error {
	inner, err := net.Listen("tcp", n.Settings.CallersAddress)
	if err != nil {
		return err
	}
	limit := connectionLimit(n.Settings.MemoryMB, descriptorLimit())
	n.Logger.Info("connection_limit", zap.Int("connections", limit))
	listener := callerconns.New(inner, limit, writeStallTimeout, callerconns.Metrics{
		Evicted: n.Metrics.GetOrCreateCounter("tarragonhollow_http_idle_connections_evicted_total"),
		Stalled: n.Metrics.GetOrCreateCounter("tarragonhollow_http_stalled_writes_total"),
		Refused: n.Metrics.GetOrCreateCounter("tarragonhollow_http_connections_refused_saturated_total"),
	})
	listener.Unhandled = n.logUnhandled
	listener.Unanswered = n.logUnanswered
	listener.WriteFailed = n.logWriteFailed
	listener.Delayed = func(caller net.Addr, waited time.Duration) {
		n.Logger.Warn("connection_delayed", zap.Stringer("caller_address", caller), zap.Int64("ms", waited.Milliseconds()),
			zap.Int("limit", limit))
	}
	listener.Limited = func(begins bool, refused int) {
		n.Logger.Warn("connections_limited", zap.Bool("begins", begins), zap.Int("refused", refused))
	}
	listener.Heads = n.callerHeads()
	n.Metrics.GetOrCreateGauge("tarragonhollow_http_connections", func() float64 { return float64(listener.Open()) })
	server := n.newServer(callerconns.ResetUnlessCompleted(callerconns.CountHeads(limitBodyTime(n.closing(handler)))))
	server.ConnState = listener.Track
	server.ConnContext = callerconns.ConnContext
	n.callers = &callerServer{listener, server}
	go n.serve(server, listener)
	return nil
}

// logUnhandled logs a response that net/http wrote itself. Its request has no known ID.
func (n *Node) logUnhandled(caller net.Addr, statusLine string) {
	n.Logger.Warn("request_unreadable", zap.Stringer("caller_address", caller), zap.String("answer", statusLine))
}

// logUnanswered logs a connection that was closed while its request was being read.
func (n *Node) logUnanswered(u callerconns.Unanswered) {
	n.Logger.Warn("request_unanswered", zap.Stringer("caller_address", u.Caller), zap.String("cause", u.Cause),
		zap.Int64("silent_ms", u.Silent.Milliseconds()))
}

// logWriteFailed logs the first failed write on a connection. The request has a line of its own.
func (n *Node) logWriteFailed(caller net.Addr, err error) {
	n.Logger.Info("response_write_failed", zap.Stringer("caller_address", caller), zap.Error(err))
}

// ServeInternal serves readiness or metrics in the background until the process ends.
//
// Failure guarded against: without a bound, connections to these listeners use up the memory and
// the descriptors that callers and targets need.
func (n *Node) ServeInternal(address string, handler http.Handler) error {
	inner, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	listener := callerconns.New(inner, maxInternalConnections, writeStallTimeout, callerconns.Metrics{
		Evicted: n.Metrics.GetOrCreateCounter("tarragonhollow_internal_connections_evicted_total"),
		Stalled: n.Metrics.GetOrCreateCounter("tarragonhollow_internal_stalled_writes_total"),
	})
	listener.Heads = n.newHeads(bodymemory.New(internalHeadMemory), func() int { return minHeadBytes })
	server := n.newServer(callerconns.CountHeads(handler))
	server.ConnState = listener.Track
	server.ConnContext = callerconns.ConnContext
	go n.serve(server, listener)
	return nil
}

func (n *Node) newServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler: handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout,
		DisableGeneralOptionsHandler: true, // it answers OPTIONS * with an empty 200
		ErrorLog:                     zap.NewStdLog(n.Logger.Named("http")),
	}
}

func (n *Node) serve(server *http.Server, listener net.Listener) {
	err := server.Serve(listener)
	if !n.stopping.Load() && err != http.ErrServerClosed {
		n.Logger.Error("listener_failed", zap.Stringer("address", listener.Addr()), zap.Error(err))
	}
}

// limitBodyTime sets the deadline of a request's body, which handlers that read it may change.
//
// Failure guarded against: where a handler has refused a request without its body, net/http waits for
// the rest of it before it sends the response, without a bound of time. Clients could hold all
// connections.
func limitBodyTime(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ContentLength != 0 {
			_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(unreadBodyTimeout)) // fails only on a closed connection
		}
		handler.ServeHTTP(w, r)
	})
}

// closing tells the callers of a stopping daemon to open a new connection for the next
// request.
func (n *Node) closing(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if n.stopping.Load() {
			w.Header().Set("Connection", "close")
		}
		handler.ServeHTTP(w, r)
	})
}

// StopsAt returns when a planned stop ends the requests that still run; stops is false without one.
func (n *Node) StopsAt() (at time.Time, stops bool) {
	if p := n.stopsAt.Load(); p != nil {
		return *p, true
	}
	return time.Time{}, false
}

// RequestsEnded returns a context that is done once a planned stop ends requests.
func (n *Node) RequestsEnded() context.Context {
	if n.requestsEnded == nil {
		return context.Background()
	}
	return n.requestsEnded
}

// OnRequestsEnd sets a function that is called right before a planned stop ends requests. It must be
// called before Stop.
func (n *Node) OnRequestsEnd(f func()) { n.onRequestsEnd = f }

// Stop stops the daemon without interrupting a request: first the platform and the other
// daemons are notified, while new connections are still served; then the callers'
// connections are closed as they become idle, while batch work ends in parallel. A request that still
// runs at the end of the grace period is answered then.
func (n *Node) Stop() {
	began := time.Now()
	n.Logger.Info("stopping")
	grace := n.Settings.StopGrace - stopMargin
	endsAt := began.Add(grace - answerMargin)
	n.stopsAt.Store(&endsAt)
	n.stopping.Store(true)
	defer time.AfterFunc(time.Until(endsAt), func() {
		n.onRequestsEnd()
		n.endRequests()
	}).Stop()
	n.Places.StepDown()
	n.quotas.StepDown()
	ctx, cancel := context.WithTimeout(context.Background(), grace)
	defer cancel()
	drained := make(chan struct{})
	go func() {
		n.Jobs.Drain(ctx)
		close(drained)
	}()
	n.hosts.deregister(ctx)
	duty.Pause(ctx, drainDelay-time.Since(began))
	if err := n.callers.listener.CloseGracefully(ctx, drainDelay); err != nil {
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
