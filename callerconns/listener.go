// Package callerconns manages callers' connections: it bounds their number,
// disconnects callers that stop reading, and closes connections at a graceful shutdown
// without interrupting a request.
package callerconns

import (
	"container/list"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"tarragonhollow.example/tarragonhollow/target/sockets"
)

// writeChunk is the number of bytes that the caller must accept within the write
// timeout: a slow reader of a large response is served, one that stopped reading is
// disconnected.
const writeChunk = 64 << 10

// Metrics are the counters of a Listener.
type Metrics struct {
	// Evicted counts idle connections closed in favour of new ones, Stalled writes that
	// timed out.
	Evicted, Stalled *metrics.Counter
	// Refused counts new connections that were reset because the process is saturated. If it is nil,
	// all connections are admitted.
	Refused *metrics.Counter
}

// Listener bounds the number of open connections. At the limit it closes an idle connection to
// admit a new one; see evictable.
//
// Failure guarded against: thousands of connections without a request (from a caller's
// leaking pool, or an attack) would lock out all other callers until the idle timeout.
// A connection whose request is being read or runs is not closed, so no request is
// interrupted; one that becomes idle wakes a waiting Accept. A part of a request protects its
// connection for partialTime after the last byte.
type Listener struct {
	net.Listener
	// Unhandled, if not nil, must be set before the first Accept. It needs a handler that
	// ResetUnlessCompleted wraps.
	Unhandled Unhandled
	// Unanswered, WriteFailed, Delayed and Limited, if not nil, must be set before the first Accept. They
	// must not block. Delayed is called when a connection has waited longer than reportedDelay
	// because none could be closed for it, Limited when the saturated process begins to limit new
	// connections and when it ends, with the number of those refused in between.
	Unanswered  func(Unanswered)
	WriteFailed func(caller net.Addr, err error)
	Delayed     func(caller net.Addr, waited time.Duration)
	Limited     func(begins bool, refused int)
	// Heads, if not nil, must be set before the first Accept. It needs a handler that CountHeads
	// wraps.
	Heads        *Heads
	writeTimeout time.Duration
	evicted      *metrics.Counter
	stalled      *metrics.Counter
	refused      *metrics.Counter

	mu        sync.Mutex
	slotFreed *sync.Cond
	maxOpen   int
	open      map[net.Conn]*list.Element
	// kept holds the connections that wait for another request, longest idle first, unused those
	// without a request so far, oldest first. A connection whose request is being read stays in
	// its list: net/http does not report it as active until the header is complete.
	kept, unused *list.List // of net.Conn
	closed       bool
	// queued holds the connections that were in the kernel's accept queue when listening
	// ended.
	queued []net.Conn
	// admission is used by Accept only, and refusedNow, which counts the connections refused since
	// the limit began.
	admission  admission
	refusedNow int
}

// New wraps inner: at most maxOpen connections are open, and a write that the caller
// does not accept within writeTimeout closes its connection. The server's ConnState
// hook must be Track.
func New(inner net.Listener, maxOpen int, writeTimeout time.Duration, m Metrics) *Listener {
	l := &Listener{
		Listener: inner, writeTimeout: writeTimeout, evicted: m.Evicted, stalled: m.Stalled, maxOpen: maxOpen,
		open: make(map[net.Conn]*list.Element), kept: list.New(), unused: list.New(),
		admission: admission{wait: processorWait, measuredAt: time.Now()}, refused: m.Refused,
	}
	l.slotFreed = sync.NewCond(&l.mu)
	return l
}

// Accept implements net.Listener. It evicts an idle connection only after a new one was
// accepted: evicting earlier could close a connection needlessly. While Accept waits
// for a request to end it already holds the new connection, so at most maxOpen+1 are
// open.
func (l *Listener) Accept() (net.Conn, error) {
	inner, err := l.acceptAdmitted()
	for sockets.LocalFailure(err) && l.evictOne() {
		time.Sleep(closeTime)
		inner, err = l.acceptAdmitted()
	}
	if err != nil {
		queued, ok := l.takeQueued()
		if !ok {
			return nil, err
		}
		inner = queued
	}
	conn := &stallConn{Conn: inner, writeTimeout: l.writeTimeout, owner: l}
	if l.Heads != nil {
		conn.head = newHeadReader(conn, l.Heads)
	}
	_ = conn.markUsed() // a new connection cannot be closing yet
	l.mu.Lock()
	defer l.mu.Unlock()
	began := time.Now()
	l.waitForSlotLocked()
	if waited := time.Since(began); waited > reportedDelay && l.Delayed != nil {
		l.Delayed(conn.RemoteAddr(), waited)
	}
	l.open[conn] = l.unused.PushBack(conn)
	return conn, nil
}

// acceptAdmitted accepts a connection and resets those that the saturated process does not admit.
//
// Failure guarded against: a process that reads more requests than it can finish delays all of
// them until their callers leave. A caller whose connection is reset with its request unread
// can send it to another daemon.
func (l *Listener) acceptAdmitted() (net.Conn, error) {
	for {
		inner, err := l.Listener.Accept()
		if err != nil || l.refused == nil || l.admits() {
			return inner, err
		}
		l.refused.Inc()
		l.refusedNow++
		if tcp, ok := inner.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // fails only on a closed connection
		}
		_ = inner.Close()
	}
}

// admits reports whether a connection that was just accepted is admitted.
func (l *Listener) admits() bool {
	limited := l.admission.rate > 0
	admitted := l.admission.admit(time.Now())
	if begins := l.admission.rate > 0; begins != limited {
		if l.Limited != nil {
			l.Limited(begins, l.refusedNow)
		}
		l.refusedNow = 0
	}
	return admitted
}

// Close stops accepting connections. Further calls do nothing: http.Server's Shutdown
// closes its listener too unless its accept loop has already ended.
func (l *Listener) Close() error {
	l.mu.Lock()
	closed := l.closed
	l.closed = true
	l.slotFreed.Broadcast()
	l.mu.Unlock()
	if closed {
		return nil
	}
	return l.Listener.Close()
}

// Track is the server's ConnState hook: it maintains the list of idle connections.
func (l *Listener) Track(conn net.Conn, state http.ConnState) {
	if c, ok := conn.(*stallConn); ok && c.head != nil {
		c.head.track(state)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	e, ok := l.open[conn]
	if !ok {
		return
	}
	switch state {
	case http.StateActive:
		l.unlistLocked(e)
		l.open[conn] = nil
	case http.StateIdle:
		conn.(*stallConn).keptOpen()
		l.open[conn] = l.kept.PushBack(conn)
		l.slotFreed.Signal()
	case http.StateClosed:
		l.closesUnansweredLocked(conn.(*stallConn), "")
		l.removeLocked(conn)
	case http.StateHijacked:
		l.removeLocked(conn)
	}
}

// Open returns the number of open connections.
func (l *Listener) Open() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.open)
}

// removeLocked removes a connection from the open ones.
func (l *Listener) removeLocked(conn net.Conn) {
	e, ok := l.open[conn]
	if !ok {
		return
	}
	l.unlistLocked(e)
	delete(l.open, conn)
	l.slotFreed.Signal()
}

// unlistLocked removes an element from its list; a connection with a running request is in none.
func (l *Listener) unlistLocked(e *list.Element) {
	if e != nil {
		l.kept.Remove(e) // does nothing with an element of another list
		l.unused.Remove(e)
	}
}

// stallConn sets a deadline for every write.
//
// Failure guarded against: a caller that stops reading its stream fills the socket
// buffers, and the write then blocks forever and holds the goroutine and the target's
// slot. The symptom is slots that never become free. The deadline makes the write fail,
// which fails the token sink, which cancels the stream at the target. Memory stays
// bounded, since writes are never queued in this process.
type stallConn struct {
	net.Conn
	writeTimeout time.Duration
	owner        *Listener
	// head is nil if heads are not bounded.
	head *headReader

	mu sync.Mutex
	// usedAt is when the connection was accepted, last read from or last finished a
	// response.
	usedAt time.Time
	// requestBegun reports that a byte was read, or waits to be read, since the connection was
	// accepted or last finished a response, readErr is the last error of a read.
	requestBegun bool
	readErr      error
	// closing reports whether the connection is being closed because it was unused.
	closing bool
	// endsResponse reports that the end of the connection is the end of its response, and
	// writeFailed that not all of the response was written.
	endsResponse, writeFailed bool
	// completed reports that the response was written to its end and that the end of the
	// connection follows; see Close.
	completed bool
	// handled reports that the handler was called for the current request.
	handled bool
}

// markUsed records a use of the connection. It returns false if the connection is being
// closed.
func (c *stallConn) markUsed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.usedAt = time.Now()
	return !c.closing
}

// markRead is markUsed for a use by reading.
func (c *stallConn) markRead() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.usedAt = time.Now()
	c.requestBegun = c.requestBegun || !c.closing
	return !c.closing
}

// keptOpen records that a response has ended and the connection waits for the next request.
func (c *stallConn) keptOpen() {
	_ = c.markUsed()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.completed, c.handled, c.requestBegun = false, false, false
}

// markClosingIfUnused reports whether the connection has not been used for the given time, or for
// partialTime with a part of a request, and marks it as closing if so.
func (c *stallConn) markClosingIfUnused(now time.Time, unused time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.requestBegun {
		unused = max(unused, partialTime)
	}
	if now.Sub(c.usedAt) < unused {
		return false
	}
	if !c.requestBegun && hasUnread(c.Conn) {
		c.requestBegun, c.usedAt = true, now
		return false
	}
	c.closing = true
	return true
}

// Read implements net.Conn.
func (c *stallConn) Read(p []byte) (int, error) {
	if c.head == nil {
		return c.readRaw(p)
	}
	return c.head.read(p)
}

// SetReadDeadline implements net.Conn.
func (c *stallConn) SetReadDeadline(t time.Time) error {
	if c.head == nil {
		return c.Conn.SetReadDeadline(t)
	}
	return c.head.setReadDeadline(t)
}

// readRaw reads from the connection. It records the use before net/http does, which treats a
// connection as idle until the complete header of a request has arrived.
//
// Failure guarded against: bytes that arrive while the connection is being closed would
// be handled as a request and forwarded, though the response could not be sent. Marking
// a use and deciding to close exclude each other, so such bytes are discarded.
func (c *stallConn) readRaw(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 && !c.markRead() {
		return 0, net.ErrClosed
	}
	if err != nil {
		c.noteReadError(err)
	}
	return n, err
}

// Write implements net.Conn.
func (c *stallConn) Write(p []byte) (int, error) {
	c.reportUnhandled(p)
	written := 0
	for {
		end := min(written+writeChunk, len(p))
		if err := c.Conn.SetWriteDeadline(time.Now().Add(c.writeTimeout)); err != nil {
			return written, err
		}
		n, err := c.Conn.Write(p[written:end])
		written += n
		if err != nil {
			c.countStall(err)
			c.noteWriteFailed(err)
			return written, err
		}
		if written == len(p) {
			return written, nil
		}
	}
}

// countStall counts a write that exceeded its deadline.
func (c *stallConn) countStall(err error) {
	if ne, ok := err.(net.Error); ok && ne.Timeout() {
		c.owner.stalled.Inc()
	}
}
