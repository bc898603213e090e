// Package h1 is an HTTP/1.1 client for requests to targets, with a connection pool
// and one request at a time on each connection.
//
// It replaces net/http's client, which resends some requests when a kept connection
// breaks before the answer, doesn't report whether anything was sent, and accepts
// whatever arrives next on a connection as the answer. Here a request is sent once,
// an error states whether the target may have received the request, and an answer is
// accepted only if Options.Matches confirms that it belongs to the request.
package h1

import (
	"bufio"
	"context"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/joomcode/errorx"

	"tarragonhollow.example/tarragonhollow/bodymemory"
	"tarragonhollow.example/tarragonhollow/target/sockets"
)

const (
	// DialTimeout is the maximum time to open a connection. Targets are at most a few
	// milliseconds away. A lost SYN is retransmitted only after a second; trying
	// another target is better, and half of the shortest latency objective is left
	// for that.
	DialTimeout = 150 * time.Millisecond
	// maxIdlePerTarget is the maximum number of idle connections to one target.
	maxIdlePerTarget = 8
	// keepAliveMargin is how long before the target's idle timeout an idle connection
	// is no longer used, so that the target doesn't close it while a request is sent.
	keepAliveMargin = 700 * time.Millisecond
	// defaultKeepAlive is how long an idle connection is kept if its target states no
	// idle timeout.
	defaultKeepAlive = 4 * time.Second
	// readBuffer is the size of a connection's read buffer, in bytes.
	readBuffer = 4 << 10
)

var errorNamespace = errorx.NewNamespace("h1")

// Types of errors.
var (
	// NotSent means that there was no connection: the target received nothing of the
	// request.
	NotSent = errorNamespace.NewType("not_sent")
	// Broken means that the connection ended or that the received data was not a
	// valid answer. The request may have run.
	Broken = errorNamespace.NewType("broken")
	// Silent means that nothing was received within the time allowed. The request may
	// still be running until its connection is closed.
	Silent = errorNamespace.NewType("silent")
	// Unattributed means that an answer on a reused connection named no request: it may
	// be this request's or be left over from an earlier one. The request may have run.
	Unattributed = errorNamespace.NewType("unattributed")
)

// Pool is a pool of connections to targets. It is safe for concurrent use.
type Pool struct {
	// HeadMemory bounds what the heads of answers use together; nil for no bound. It is set before the
	// first use.
	HeadMemory *bodymemory.Memory

	dialTCP func(ctx context.Context, network, address string) (net.Conn, error)
	opened  func()

	breaks breaks

	mu   sync.Mutex
	idle map[string][]*conn
}

// conn is one connection.
type conn struct {
	net.Conn
	address string
	reader  *bufio.Reader
	// keepAlive is how long the connection may stay idle, idleSince when it became
	// idle.
	keepAlive time.Duration
	idleSince time.Time
	// identity is the key of the Identity that was confirmed, "" for none.
	identity string
	// heads is the memory reserved for the answer's head, nil for no bound; headCost is what the head
	// itself uses.
	heads    *bodymemory.Claim
	headCost int64
}

// NewPool returns an empty pool, which calls opened for each new connection.
func NewPool(opened func()) *Pool {
	return &Pool{
		dialTCP: sockets.Dial(&net.Dialer{Timeout: DialTimeout, KeepAlive: -1, Control: sockets.DetectDeadPeer}),
		opened:  opened,
		idle:    map[string][]*conn{},
	}
}

// get returns a connection that has been idle for at most maxIdle and was identified by the
// key, "" for any, or a new one, and whether it is new.
func (p *Pool) get(ctx context.Context, address string, maxIdle time.Duration, identity string) (*conn, bool, error) {
	for c := p.pop(address, identity); c != nil; c = p.pop(address, identity) {
		idle := time.Since(c.idleSince)
		if idle <= min(maxIdle, c.keepAlive) && sockets.StillIdle(c.Conn) {
			return c, false, nil
		}
		_ = c.Close()
	}
	raw, err := p.dial(ctx, address)
	switch {
	case sockets.LocalFailure(err):
		return nil, true, LocalFailure.Wrap(err, "no connection to %s", address)
	case err != nil:
		return nil, true, NotSent.Wrap(err, "no connection to %s", address)
	}
	p.opened()
	return p.newConn(raw, address), true, nil
}

func (p *Pool) newConn(raw net.Conn, address string) *conn {
	c := &conn{Conn: raw, address: address, reader: bufio.NewReaderSize(raw, readBuffer), keepAlive: defaultKeepAlive}
	if p.HeadMemory != nil {
		c.heads = p.HeadMemory.Claim(address)
	}
	return c
}

// dial opens a connection. If this process lacks a descriptor or memory for it, the connection of
// the pool that has been idle the longest is closed in its favour.
func (p *Pool) dial(ctx context.Context, address string) (net.Conn, error) {
	c, err := p.dialTCP(ctx, "tcp", address)
	if sockets.LocalFailure(err) && p.closeLongestIdle() {
		c, err = p.dialTCP(ctx, "tcp", address)
	}
	return c, err
}

// closeLongestIdle closes the connection that has been idle the longest, if there is any.
func (p *Pool) closeLongestIdle() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	var oldest *conn
	for _, list := range p.idle {
		if c := list[0]; oldest == nil || c.idleSince.Before(oldest.idleSince) {
			oldest = c
		}
	}
	if oldest == nil {
		return false
	}
	if p.idle[oldest.address] = p.idle[oldest.address][1:]; len(p.idle[oldest.address]) == 0 {
		delete(p.idle, oldest.address)
	}
	_ = oldest.Close()
	return true
}

// pop takes the connection to the address that became idle last and was identified by the key,
// "" for any, nil for none.
func (p *Pool) pop(address, identity string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	for i := len(list) - 1; i >= 0; i-- {
		c := list[i]
		if identity != "" && c.identity != identity {
			continue
		}
		if list = slices.Delete(list, i, i+1); len(list) == 0 {
			delete(p.idle, address)
		} else {
			p.idle[address] = list
		}
		return c
	}
	return nil
}

// Reachable reports whether the address accepts a connection within the given time, or may do so
// because this process can't open one. The connection is kept in the pool.
func (p *Pool) Reachable(ctx context.Context, address string, within time.Duration) bool {
	err := p.reach(ctx, address, within)
	return sockets.Accepted(err) || sockets.LocalFailure(err)
}

// reach opens a connection to the address within the given time and keeps it in the pool.
func (p *Pool) reach(ctx context.Context, address string, within time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	c, err := p.dial(ctx, address)
	if err != nil {
		return err
	}
	p.opened()
	p.put(p.newConn(c, address))
	return nil
}

// put returns a connection to the pool. The last answer on it must have been read to
// its end.
func (p *Pool) put(c *conn) {
	if err := c.SetDeadline(time.Time{}); err != nil {
		_ = c.Close()
		return
	}
	c.idleSince = time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[c.address]
	if len(list) >= maxIdlePerTarget {
		_ = c.Close()
		return
	}
	p.idle[c.address] = append(list, c)
}

// CloseExpired closes the connections that have been idle for too long to be reused.
//
// It guards against a leak of file descriptors: a daemon sends each request to another
// one of thousands of targets, and connections that their targets have closed would
// hold descriptors until the same target is used again.
func (p *Pool) CloseExpired() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, list := range p.idle {
		kept := slices.DeleteFunc(list, func(c *conn) bool {
			expired := time.Since(c.idleSince) > c.keepAlive
			if expired {
				_ = c.Close()
			}
			return expired
		})
		if len(kept) == 0 {
			delete(p.idle, address)
			continue
		}
		p.idle[address] = kept
	}
}

// Idle returns the number of idle connections.
func (p *Pool) Idle() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, list := range p.idle {
		n += len(list)
	}
	return n
}

// CloseIdle closes the idle connections to an address whose target was removed.
func (p *Pool) CloseIdle(address string) {
	p.mu.Lock()
	list := p.idle[address]
	delete(p.idle, address)
	p.mu.Unlock()
	for _, c := range list {
		_ = c.Close()
	}
}

// Close closes all idle connections.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, list := range p.idle {
		for _, c := range list {
			_ = c.Close()
		}
		delete(p.idle, address)
	}
}
