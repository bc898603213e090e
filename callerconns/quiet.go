package callerconns

import (
	"context"
	"net"
	"time"
)

const (
	// quietTime is how long a kept connection must have been unused before a stop
	// closes it; a shorter grace bounds it.
	quietTime = 500 * time.Millisecond
	// quietPoll is the wait between two looks for such connections.
	quietPoll = 10 * time.Millisecond
)

// CloseQuietly ends accepting and closes each kept connection once it has been
// quiet for a while, grace at most, until none is open or ctx ends. An error
// tells that connections which were still queued in the kernel were reset.
//
// Failure guarded against: net/http's own Shutdown closes a connection the
// moment it is idle, and after an answer that ends during the stop at once. A
// caller whose stream began before the drain was told to keep its connection; it
// sends the next request there the moment the answer ends, into the close, and
// can't know whether that one ran. It shows as "server closed idle connection".
// Such a caller is served, and told to close by that answer.
//
// A queued connection is served like any other; see emptyQueue.
//
// What remains is HTTP/1.1's own race: a caller that comes back to a kept
// connection just as it is closed for having been quiet that long. No server can
// tell it apart from a caller that stays away.
func (l *Listener) CloseQuietly(ctx context.Context, grace time.Duration) error {
	queueErr := emptyQueue(l.Listener, l.keepQueued)
	_ = l.Close()
	quiet := min(quietTime, grace)
	tick := time.NewTicker(quietPoll)
	defer tick.Stop()
	for l.closeQuiet(quiet) > 0 {
		select {
		case <-ctx.Done():
			return queueErr
		case <-tick.C:
		}
	}
	return queueErr
}

// closeQuiet closes the idle connections that have not been used for that long
// and returns how many are left open.
func (l *Listener) closeQuiet(quiet time.Duration) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	before := time.Now().Add(-quiet)
	for e := l.idle.Front(); e != nil; {
		conn, next := e.Value.(*stallConn), e.Next()
		if conn.quitIfQuiet(before) {
			l.forgetLocked(conn)
			_ = conn.Conn.Close()
		}
		e = next
	}
	return len(l.open)
}

// keepQueued holds a connection for Accept, which gives it out at the
// listener's end.
func (l *Listener) keepQueued(conn net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.queued = append(l.queued, conn)
}

// takeQueued returns one that was held, if there is any.
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
