// Package h1 sends requests to targets over HTTP/1.1 on connections of its own,
// one request at a time on each.
//
// It takes the place of net/http's client, which repeats a request by itself
// when a kept connection breaks before the answer, gives no word on whether
// anything was sent, and takes whatever arrives next on a connection for the
// answer. Here a request is sent once; an error says whether the target can
// have got it; and an answer counts only if it carries the request's mark.
package h1

import (
	"bufio"
	"context"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/joomcode/errorx"

	"tarragonhollow.example/tarragonhollow/target/sockets"
)

const (
	// DialTimeout bounds a new connection. Targets are at most a few
	// milliseconds away; a lost opening packet is repeated only after a second,
	// and by then another target is the better choice: half of the shortest
	// objective is left for it.
	DialTimeout = 150 * time.Millisecond
	// maxIdlePerTarget bounds the kept connections to one target.
	maxIdlePerTarget = 8
	// keepMargin is how long before the target's own idle timeout a kept
	// connection is no longer used: a request must not meet its end.
	keepMargin = 700 * time.Millisecond
	// defaultKeep is how long a connection is kept whose target states no idle
	// timeout.
	defaultKeep = 4 * time.Second
	// readBuffer is the size of a connection's read buffer, in bytes.
	readBuffer = 4 << 10
)

var errorNamespace = errorx.NewNamespace("h1")

// Types of errors.
var (
	// NotSent: no connection; the target got nothing of the request.
	NotSent = errorNamespace.NewType("not_sent")
	// Broken: the connection ended, or what came is no answer; the request may
	// have run.
	Broken = errorNamespace.NewType("broken")
	// Silent: nothing came within the time allowed; the request may run still
	// until its connection is closed.
	Silent = errorNamespace.NewType("silent")
)

// Pool keeps connections to targets. It is safe for concurrent use.
type Pool struct {
	dialer net.Dialer
	opened func()

	mu   sync.Mutex
	idle map[string][]*conn
}

// conn is one connection.
type conn struct {
	net.Conn
	address string
	reader  *bufio.Reader
	// keep is how long it may stay idle; since when it is.
	keep  time.Duration
	since time.Time
}

// NewPool returns an empty pool. opened is called for each new connection.
func NewPool(opened func()) *Pool {
	return &Pool{
		dialer: net.Dialer{Timeout: DialTimeout, KeepAlive: -1, Control: sockets.DeadPeer},
		opened: opened,
		idle:   map[string][]*conn{},
	}
}

// take returns a connection that was idle for at most maxIdle, or a new one.
// fresh tells that it is new.
func (p *Pool) take(ctx context.Context, address string, maxIdle time.Duration) (*conn, bool, error) {
	for c := p.pop(address); c != nil; c = p.pop(address) {
		idle := time.Since(c.since)
		if idle <= min(maxIdle, c.keep) && sockets.Quiet(c.Conn.(*net.TCPConn)) {
			return c, false, nil
		}
		_ = c.Close()
	}
	raw, err := p.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, true, NotSent.Wrap(err, "no connection to %s", address)
	}
	p.opened()
	return &conn{Conn: raw, address: address, reader: bufio.NewReaderSize(raw, readBuffer), keep: defaultKeep}, true, nil
}

func (p *Pool) pop(address string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	if len(list) == 0 {
		return nil
	}
	last := list[len(list)-1]
	list = list[:len(list)-1]
	if len(list) == 0 {
		delete(p.idle, address)
	} else {
		p.idle[address] = list
	}
	return last
}

// Reachable tells whether the address takes a connection within the time.
func (p *Pool) Reachable(ctx context.Context, address string, within time.Duration) bool {
	ctx, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	c, err := p.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return false
	}
	p.opened()
	p.put(&conn{Conn: c, address: address, reader: bufio.NewReaderSize(c, readBuffer), keep: defaultKeep})
	return true
}

// put keeps a connection on which an answer has ended whole.
func (p *Pool) put(c *conn) {
	if err := c.SetDeadline(time.Time{}); err != nil {
		_ = c.Close()
		return
	}
	c.since = time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[c.address]
	if len(list) >= maxIdlePerTarget {
		_ = c.Close()
		return
	}
	p.idle[c.address] = append(list, c)
}

// Sweep closes the kept connections that have been idle for too long to be used again.
//
// Failure guarded against: a daemon sends each request to another one of thousands of
// targets. Connections that their targets have closed would hold descriptors until the
// same target is used again.
func (p *Pool) Sweep() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, list := range p.idle {
		fresh := slices.DeleteFunc(list, func(c *conn) bool {
			old := time.Since(c.since) > c.keep
			if old {
				_ = c.Close()
			}
			return old
		})
		if len(fresh) == 0 {
			delete(p.idle, address)
			continue
		}
		p.idle[address] = fresh
	}
}

// Idle returns the number of kept connections.
func (p *Pool) Idle() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, list := range p.idle {
		n += len(list)
	}
	return n
}

// Forget closes the kept connections to an address, whose target has gone.
func (p *Pool) Forget(address string) {
	p.mu.Lock()
	list := p.idle[address]
	delete(p.idle, address)
	p.mu.Unlock()
	for _, c := range list {
		_ = c.Close()
	}
}

// Close closes all kept connections.
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
