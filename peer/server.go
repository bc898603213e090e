package peer

import (
	"errors"
	"net"
	"net/rpc"
	"sync"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"
)

// ServerOptions configure a Server; both fields may be nil.
type ServerOptions struct {
	// Logger logs each failure of a listener.
	Logger *zap.Logger
	// Metrics receives the byte and connection counters.
	Metrics *metrics.Set
}

// Server accepts connections from other daemons and runs the registered services. It
// has no authentication: every client of the peer listener is trusted as a daemon of
// the fleet, so the listener must be reachable only from the fleet's network.
type Server struct {
	rpc            *rpc.Server
	logger         *zap.Logger
	sent, received *metrics.Counter
	accepted       *metrics.Counter

	mu        sync.Mutex
	closed    bool
	listeners map[net.Listener]struct{}
	conns     map[net.Conn]struct{}
}

// NewServer returns a server without services.
func NewServer(o ServerOptions) *Server {
	if o.Logger == nil {
		o.Logger = zap.NewNop()
	}
	if o.Metrics == nil {
		o.Metrics = metrics.NewSet()
	}
	return &Server{
		rpc:       rpc.NewServer(),
		logger:    o.Logger,
		sent:      o.Metrics.GetOrCreateCounter("tarragonhollow_peer_server_sent_bytes_total"),
		received:  o.Metrics.GetOrCreateCounter("tarragonhollow_peer_server_received_bytes_total"),
		accepted:  o.Metrics.GetOrCreateCounter("tarragonhollow_peer_server_connections_total"),
		listeners: make(map[net.Listener]struct{}),
		conns:     make(map[net.Conn]struct{}),
	}
}

// Register implements Registrar. Its errors are of type badService.
func (s *Server) Register(name string, receiver any) error {
	if err := s.rpc.RegisterName(name, receiver); err != nil {
		return badService.Wrap(err, "service %s", name)
	}
	return nil
}

// Serve accepts connections until Close or a failure of the listener. It
// returns nil after Close.
func (s *Server) Serve(ln net.Listener) error {
	if !s.addListener(ln) {
		return ln.Close()
	}
	for {
		conn, err := ln.Accept()
		if err != nil {
			if s.isClosed() || errors.Is(err, net.ErrClosed) {
				return nil
			}
			s.logger.Error("peer_listener_failed", zap.Error(err))
			return err
		}
		if !s.addConn(conn) {
			_ = conn.Close()
			return nil
		}
		s.accepted.Inc()
		go s.serveConn(conn)
	}
}

// Close closes the listeners and all connections. It does not wait for methods that are
// still running, because their replies can no longer be sent.
func (s *Server) Close() error {
	s.mu.Lock()
	s.closed = true
	for ln := range s.listeners {
		_ = ln.Close()
	}
	for conn := range s.conns {
		_ = conn.Close()
	}
	s.mu.Unlock()
	return nil
}

func (s *Server) serveConn(conn net.Conn) {
	defer s.dropConn(conn)
	s.rpc.ServeCodec(newServerCodec(newMeteredConn(conn, s.sent, s.received)))
}

func (s *Server) addListener(ln net.Listener) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.closed {
		s.listeners[ln] = struct{}{}
	}
	return !s.closed
}

func (s *Server) addConn(conn net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.closed {
		s.conns[conn] = struct{}{}
	}
	return !s.closed
}

func (s *Server) dropConn(conn net.Conn) {
	s.mu.Lock()
	delete(s.conns, conn)
	s.mu.Unlock()
	_ = conn.Close()
}

func (s *Server) isClosed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closed
}
