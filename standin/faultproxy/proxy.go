// Package faultproxy is a small TCP proxy for tests and trials. It can delay data,
// reset or refuse connections, stall one direction, and drop an answer after its
// request was delivered. It is controlled in process by its methods or over HTTP.
package faultproxy

import (
	"errors"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"time"

	"go.uber.org/zap"
)

// dialTimeout bounds the connection to the target.
const dialTimeout = 2 * time.Second

// Options configures a Proxy.
type Options struct {
	// Listen is the IP:PORT to accept clients on; port 0 selects a free port. The
	// default is 127.0.0.1:0.
	Listen string
	// Target is the IP:PORT that connections are forwarded to.
	Target string
	// Log receives a line for each connection to the target that fails; nil disables
	// logging.
	Log *zap.Logger
}

// Proxy forwards TCP connections and injects faults.
type Proxy struct {
	opts   Options
	faults *faultState
	addr   string
	wg     sync.WaitGroup

	// controlMu serializes SetFaults and Close, which open and close the listener.
	controlMu sync.Mutex

	mu       sync.Mutex
	listener net.Listener
	conns    map[*conn]struct{}
	stats    Stats
	closed   bool
}

// Stats is the body of GET /control/stats.
type Stats struct {
	// Connections is the number of connections forwarded since the start.
	Connections int64 `json:"connections"`
	// Open is the number of open connections.
	Open int `json:"open"`
	// Held is the number of connection directions that hold bytes back in a stall.
	Held int `json:"held"`
	// BytesUp and BytesDown are the bytes delivered to the target and to clients.
	BytesUp   int64 `json:"bytes_up"`
	BytesDown int64 `json:"bytes_down"`
	// DroppedAnswers counts connections reset by DropAnswers.
	DroppedAnswers int64 `json:"dropped_answers"`
}

// New starts a proxy without faults.
func New(opts Options) (*Proxy, error) {
	if opts.Listen == "" {
		opts.Listen = "127.0.0.1:0"
	}
	if opts.Log == nil {
		opts.Log = zap.NewNop()
	}
	if _, err := netip.ParseAddrPort(opts.Target); err != nil {
		return nil, fmt.Errorf("faultproxy: target %q: want IP:PORT", opts.Target)
	}
	p := &Proxy{opts: opts, faults: newFaultState(), addr: opts.Listen, conns: map[*conn]struct{}{}}
	if err := p.listen(); err != nil {
		return nil, err
	}
	return p, nil
}

// Addr returns the address that clients connect to.
func (p *Proxy) Addr() string { return p.addr }

// Faults returns the faults in force.
func (p *Proxy) Faults() Faults {
	faults, _ := p.faults.get()
	return faults
}

// Stats returns the counts so far.
func (p *Proxy) Stats() Stats {
	p.mu.Lock()
	defer p.mu.Unlock()
	stats := p.stats
	stats.Open = len(p.conns)
	stats.Held = p.faults.heldCount()
	return stats
}

// SetFaults replaces the faults in force. When it returns, the connections affected
// by a cut are closed.
func (p *Proxy) SetFaults(faults Faults) error {
	if err := faults.validate(); err != nil {
		return err
	}
	p.controlMu.Lock()
	defer p.controlMu.Unlock()
	if faults.Cut == CutRefuse {
		p.stopListening()
	}
	p.faults.set(faults)
	p.abortConns(func(c *conn) bool { return faults.forClient(c.clientIP).Cut != CutNone })
	if faults.Cut == CutRefuse {
		return nil
	}
	return p.listen()
}

// Clear removes all faults.
func (p *Proxy) Clear() error { return p.SetFaults(Faults{}) }

// CutConnections resets the open connections once. New ones are not affected.
func (p *Proxy) CutConnections() { p.abortConns(func(*conn) bool { return true }) }

func (p *Proxy) abortConns(match func(*conn) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		if match(c) {
			c.abort()
		}
	}
}

// Close stops listening, resets all connections and waits until they have ended.
func (p *Proxy) Close() {
	p.controlMu.Lock()
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.stopListening()
	p.CutConnections()
	p.controlMu.Unlock()
	p.wg.Wait()
}

// listen opens the listener unless it is open. After the first time it listens on the
// same port again. Callers other than New hold controlMu.
func (p *Proxy) listen() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return errors.New("faultproxy: closed")
	}
	if p.listener != nil {
		return nil
	}
	listener, err := net.Listen("tcp", p.addr)
	if err != nil {
		return fmt.Errorf("faultproxy: %w", err)
	}
	p.listener = listener
	p.addr = listener.Addr().String()
	p.wg.Add(1)
	go p.acceptLoop(listener)
	return nil
}

func (p *Proxy) stopListening() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.listener != nil {
		p.listener.Close()
		p.listener = nil
	}
}

func (p *Proxy) acceptLoop(listener net.Listener) {
	defer p.wg.Done()
	for {
		client, err := listener.Accept()
		if err != nil {
			return
		}
		p.wg.Add(1)
		go p.serve(client)
	}
}

// serve forwards one client connection until it ends.
func (p *Proxy) serve(client net.Conn) {
	defer p.wg.Done()
	if p.cuts(clientIP(client)) {
		reset(client)
		return
	}
	target, err := net.DialTimeout("tcp", p.opts.Target, dialTimeout)
	if err != nil {
		p.opts.Log.Info("target_unreachable", zap.String("target", p.opts.Target), zap.Error(err))
		reset(client)
		return
	}
	c := newConn(p, client, target)
	if !p.register(c) {
		c.abort()
	}
	c.run()
	p.unregister(c)
}

// register adds the connection and reports whether it may run. It returns false if a
// cut or Close came during the dial: those abort only registered connections and
// missed this one.
func (p *Proxy) register(c *conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conns[c] = struct{}{}
	p.stats.Connections++
	return !p.closed && !p.cuts(c.clientIP)
}

// cuts reports whether connections from the client are currently cut.
func (p *Proxy) cuts(client string) bool { return p.Faults().forClient(client).Cut != CutNone }

func (p *Proxy) unregister(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, c)
}

func (p *Proxy) countDelivered(d direction, size int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if d == up {
		p.stats.BytesUp += int64(size)
		return
	}
	p.stats.BytesDown += int64(size)
}

func (p *Proxy) countDropped() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stats.DroppedAnswers++
}

// clientIP returns the IP that a connection comes from.
func clientIP(c net.Conn) string {
	address, err := netip.ParseAddrPort(c.RemoteAddr().String())
	if err != nil {
		return ""
	}
	return address.Addr().Unmap().String()
}

// reset closes the connection so that its peer sees a reset, not an orderly close.
func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	c.Close()
}
