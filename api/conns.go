package api

import (
	"container/list"
	"net"
	"net/http"
	"sync"
	"time"
)

// writeChunk is how much of one write must be taken within WriteStall: a slow
// reader of a large answer is served, one that stopped reading is not.
const writeChunk = 64 << 10

// limitListener bounds the open connections. At the bound the connection that
// has been idle the longest makes room.
//
// Failure guarded against: thousands of connections without a request (a
// caller's leaking pool, or an attack) would keep everybody else out until
// their idle timeout. A connection with a request running is never closed, so
// no request is interrupted; one that turns idle wakes a waiting accept.
type limitListener struct {
	net.Listener
	stall   time.Duration
	metrics *httpMetrics

	mu   sync.Mutex
	room *sync.Cond
	max  int
	open map[net.Conn]*list.Element
	idle *list.List // of net.Conn, longest idle first
	shut bool
}

// newLimitListener wraps inner.
func newLimitListener(inner net.Listener, most int, stall time.Duration, m *httpMetrics) *limitListener {
	l := &limitListener{
		Listener: inner, stall: stall, metrics: m, max: most,
		open: make(map[net.Conn]*list.Element), idle: list.New(),
	}
	l.room = sync.NewCond(&l.mu)
	return l
}

// Accept makes room only for a connection that is really there: making it
// ahead would evict an idle connection for nobody. While it waits for a
// request to end it holds the one connection, so at most max+1 are open.
func (l *limitListener) Accept() (net.Conn, error) {
	inner, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	conn := &stallConn{Conn: inner, stall: l.stall, owner: l}
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.makeRoomLocked() {
		_ = inner.Close()
		return nil, net.ErrClosed
	}
	l.open[conn] = l.idle.PushBack(conn)
	l.metrics.connections.Store(int64(len(l.open)))
	return conn, nil
}

// makeRoomLocked returns false once the listener is closed.
func (l *limitListener) makeRoomLocked() bool {
	for !l.shut && len(l.open) >= l.max {
		if front := l.idle.Front(); front != nil {
			l.evictLocked(front)
			continue
		}
		l.room.Wait()
	}
	return !l.shut
}

// evictLocked closes an idle connection.
func (l *limitListener) evictLocked(e *list.Element) {
	conn := e.Value.(*stallConn)
	l.forgetLocked(conn)
	l.metrics.evicted.Inc()
	_ = conn.Conn.Close()
}

// Close ends accepting.
func (l *limitListener) Close() error {
	l.mu.Lock()
	l.shut = true
	l.room.Broadcast()
	l.mu.Unlock()
	return l.Listener.Close()
}

// track is the server's ConnState hook: it keeps the idle list.
func (l *limitListener) track(conn net.Conn, state http.ConnState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e, ok := l.open[conn]
	if !ok {
		return
	}
	switch state {
	case http.StateActive:
		if e != nil {
			l.idle.Remove(e)
		}
		l.open[conn] = nil
	case http.StateIdle:
		l.open[conn] = l.idle.PushBack(conn)
		l.room.Signal()
	case http.StateClosed, http.StateHijacked:
		l.forgetLocked(conn)
	}
}

// forgetLocked drops a connection from the count.
func (l *limitListener) forgetLocked(conn net.Conn) {
	e, ok := l.open[conn]
	if !ok {
		return
	}
	if e != nil {
		l.idle.Remove(e)
	}
	delete(l.open, conn)
	l.metrics.connections.Store(int64(len(l.open)))
	l.room.Signal()
}

// stallConn gives every write a deadline of its own.
//
// Failure guarded against: a caller that stops reading its stream fills the
// socket buffers, and the write then blocks for ever, with the target's slot
// and the goroutine held. It shows as slots that never come free. The deadline
// makes the write fail, which fails the token sink, which cancels the stream at
// the target. Memory stays bounded, since a write never queues in this process.
type stallConn struct {
	net.Conn
	stall time.Duration
	owner *limitListener
}

// Write implements net.Conn.
func (c *stallConn) Write(p []byte) (int, error) {
	written := 0
	for {
		end := min(written+writeChunk, len(p))
		if err := c.Conn.SetWriteDeadline(time.Now().Add(c.stall)); err != nil {
			return written, err
		}
		n, err := c.Conn.Write(p[written:end])
		written += n
		if err != nil {
			c.countStall(err)
			return written, err
		}
		if written == len(p) {
			return written, nil
		}
	}
}

// countStall counts writes that ran into the deadline.
func (c *stallConn) countStall(err error) {
	if ne, ok := err.(net.Error); ok && ne.Timeout() {
		c.owner.metrics.stalled.Inc()
	}
}
