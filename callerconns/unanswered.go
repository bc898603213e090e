package callerconns

import (
	"net"
	"time"
)

// Causes of the end of a connection, as Unanswered states them.
const (
	causeStopping = "closed by the shutdown"
	causeServer   = "closed by the server"
)

// Unanswered describes a connection that was closed after a part of a request was read and
// before the handler was called, without any response. No part of the request is known.
type Unanswered struct {
	Caller net.Addr
	// Silent is the time since the last byte was read.
	Silent time.Duration
	Cause  string
}

// closesUnansweredLocked reports a connection that is about to be closed, or was, if a part of a
// request was read from it and not passed to the handler. An empty cause stands for the last
// error of a read.
func (l *Listener) closesUnansweredLocked(conn *stallConn, cause string) {
	if _, open := l.open[conn]; !open || l.Unanswered == nil {
		return
	}
	if silent, readCause, ok := conn.unanswered(); ok {
		if cause == "" {
			cause = readCause
		}
		l.Unanswered(Unanswered{Caller: conn.RemoteAddr(), Silent: silent, Cause: cause})
	}
}

// unanswered reports whether a part of a request was read and neither handled nor answered, with
// the time since the last use and the cause of the end of the reading.
func (c *stallConn) unanswered() (silent time.Duration, cause string, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Since(c.usedAt), causeOf(c.readErr), c.requestBegun && !c.handled
}

func causeOf(readErr error) string {
	if readErr == nil {
		return causeServer
	}
	return readErr.Error()
}

func (c *stallConn) noteReadError(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readErr = err
}
