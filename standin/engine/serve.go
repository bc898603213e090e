package engine

import (
	"errors"
	"net"
	"net/http"
	"time"
)

// relistenPause is the time between attempts to listen again after a crash.
const relistenPause = 20 * time.Millisecond

// Serve serves the handler on ln until Close. Unlike the handler alone, it closes the
// listener and all idle connections while the engine is down after a crash, as when a
// process dies: new connections are refused instead of accepted and closed.
func (s *Server) Serve(ln net.Listener) error {
	address := ln.Addr().String()
	for {
		err := s.serveOnce(ln)
		if s.closed() {
			return nil
		}
		if !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		if ln = s.relisten(address); ln == nil {
			return nil
		}
	}
}

// serveOnce serves until the engine crashes or is closed.
func (s *Server) serveOnce(ln net.Listener) error {
	hs := &http.Server{Handler: s.Handler(), ReadHeaderTimeout: time.Minute}
	s.mu.Lock()
	crashed := s.crashed
	s.mu.Unlock()
	ended := make(chan struct{})
	defer close(ended)
	go func() {
		select {
		case <-crashed:
		case <-s.done:
		case <-ended:
		}
		_ = hs.Close()
	}()
	return hs.Serve(ln)
}

// relisten waits until the crashed engine has restarted and listens on its address
// again. It returns nil if the engine closes first.
func (s *Server) relisten(address string) net.Listener {
	s.mu.Lock()
	wait := time.Until(s.downUntil)
	s.mu.Unlock()
	for s.sleep(wait) {
		if ln, err := net.Listen("tcp", address); err == nil {
			return ln
		}
		wait = relistenPause
	}
	return nil
}

// closed reports whether Close has been called.
func (s *Server) closed() bool {
	select {
	case <-s.done:
		return true
	default:
		return false
	}
}
