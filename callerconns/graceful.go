package callerconns

import (
	"container/list"
	"context"
	"net"
	"time"
)

const (
	// unusedTime is how long a kept-alive connection must have been unused before a
	// shutdown closes it; a shorter grace takes precedence.
	unusedTime = 500 * time.Millisecond
	// partialTime is how long no byte must have been read from a connection with a part of a
	// request before a shutdown closes it, or a new connection at the limit.
	partialTime = 3 * time.Second
	// unusedPoll is the interval between checks for such connections.
	unusedPoll = 10 * time.Millisecond
)

// CloseGracefully stops accepting and closes each kept-alive connection once it has been
// unused for unusedTime or, if that is shorter, grace, until no connection is open or
// ctx ends. An error means that connections in the kernel's accept queue were reset.
//
// Failure guarded against: http.Server's Shutdown closes a connection as soon as it is
// idle, that is, immediately after a response that ends during the shutdown. A caller
// whose stream began before the drain still has a keep-alive connection. It sends the
// next request there as soon as the response ends, while the connection is being closed,
// and can't know whether that request ran. The symptom is "server closed idle
// connection". Here such a request is served, and its response asks the caller to close
// the connection.
//
// A connection from which a part of a request was read is kept for partialTime after the last byte.
// The request may be whole: net/http reports it only once it has parsed the header, and the
// process may be slow or suspended before that.
//
// A connection from the accept queue is served like any other; see acceptQueued.
//
// One race remains, which is inherent to HTTP/1.1: a caller may send a request on a
// kept-alive connection just as it is closed for having been unused. A server cannot
// know in advance whether another request will come.
func (l *Listener) CloseGracefully(ctx context.Context, grace time.Duration) error {
	queueErr := acceptQueued(l.Listener, l.holdQueued)
	_ = l.Close()
	unused := min(unusedTime, grace)
	tick := time.NewTicker(unusedPoll)
	defer tick.Stop()
	for l.closeUnused(unused) > 0 {
		select {
		case <-ctx.Done():
			return queueErr
		case <-tick.C:
		}
	}
	return queueErr
}

// closeUnused closes the idle connections that have not been used for the duration and
// returns the number of connections that remain open.
func (l *Listener) closeUnused(unused time.Duration) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closeUnusedOfLocked(l.kept, unused)
	l.closeUnusedOfLocked(l.unused, unused)
	return len(l.open)
}

func (l *Listener) closeUnusedOfLocked(idle *list.List, unused time.Duration) {
	now := time.Now()
	for e := idle.Front(); e != nil; {
		conn, next := e.Value.(*stallConn), e.Next()
		if conn.markClosingIfUnused(now, unused) {
			l.closesUnansweredLocked(conn, causeStopping)
			l.removeLocked(conn)
			_ = conn.Conn.Close()
		}
		e = next
	}
}

// holdQueued stores a connection for Accept, which returns it after the listener was
// closed.
func (l *Listener) holdQueued(conn net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.queued = append(l.queued, conn)
}

// takeQueued removes and returns a stored connection, if there is any.
func (l *Listener) takeQueued() (net.Conn, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.queued) == 0 {
		return nil, false
	}
	conn := l.queued[0]
	l.queued = l.queued[1:]
	return conn, true
}
