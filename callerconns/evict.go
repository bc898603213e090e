package callerconns

import (
	"container/list"
	"time"
)

const (
	// minKeptIdle is how long a connection has been idle after a response before it is closed
	// for a new one. A caller with further requests sends the next one within a few round trips.
	minKeptIdle = 100 * time.Millisecond
	// minUnusedAge is the age at which a connection without a byte of a request is closed for a
	// new one. Its request may be on the way; callers abandon a connection on which nothing was
	// read for a second.
	minUnusedAge = time.Second
	// reportedDelay is the least delay of a new connection that is reported. It bounds the reports
	// to ten a second.
	reportedDelay = 100 * time.Millisecond
	// closeTime is how long the descriptor of a closed connection is waited for: it becomes free
	// only when the goroutine that reads from the connection has returned.
	closeTime = 5 * time.Millisecond
)

// waitForSlotLocked waits until fewer than maxOpen connections are open, evicting idle
// ones, or until the listener is closed: a connection accepted by then may already
// carry a request and is served.
func (l *Listener) waitForSlotLocked() {
	for !l.closed && len(l.open) >= l.maxOpen {
		conn, next := l.evictableLocked(time.Now())
		if conn == nil {
			l.waitLocked(next)
			continue
		}
		l.evictLocked(conn)
	}
}

// evictOne closes an idle connection whose descriptor is needed for a new one, and reports whether
// there was any.
//
// Failure guarded against: without a descriptor http.Server accepts nothing for up to a second at
// a time, and callers abandon connections that were not accepted by then.
func (l *Listener) evictOne() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	conn, _ := l.evictableLocked(time.Now())
	if conn != nil {
		l.evictLocked(conn)
	}
	return conn != nil
}

// evictLocked closes a connection that is marked as closing.
func (l *Listener) evictLocked(conn *stallConn) {
	l.removeLocked(conn)
	l.evicted.Inc()
	_ = conn.Conn.Close()
}

// waitLocked waits until a slot may be free or, unless next is 0, for at most that time.
func (l *Listener) waitLocked(next time.Duration) {
	if next > 0 {
		timer := time.AfterFunc(next, func() {
			l.mu.Lock()
			defer l.mu.Unlock()
			l.slotFreed.Broadcast()
		})
		defer timer.Stop()
	}
	l.slotFreed.Wait()
}

// evictableLocked returns a connection that may be closed for a new one, marked as closing: the
// one that has been idle the longest after a response, or else the oldest one on which nothing
// was sent; one with a part of a request only if that does not go on. If there is none it returns
// the time after which there may be one, 0 if no connection is idle.
func (l *Listener) evictableLocked(now time.Time) (conn *stallConn, next time.Duration) {
	conn, keptNext := firstEvictable(l.kept, now, minKeptIdle)
	if conn != nil {
		return conn, 0
	}
	conn, next = firstEvictable(l.unused, now, minUnusedAge)
	if next == 0 || keptNext > 0 && keptNext < next {
		next = keptNext
	}
	return conn, next
}

// firstEvictable returns the first connection of the list that was idle for the given time, or
// for partialTime with a part of a request, marked as closing. If there is none it returns the
// time until one may have been.
func firstEvictable(idle *list.List, now time.Time, minIdle time.Duration) (conn *stallConn, next time.Duration) {
	for e := idle.Front(); e != nil; e = e.Next() {
		conn := e.Value.(*stallConn)
		left, begun := conn.idleLeft(now, minIdle)
		if left == 0 {
			if conn.markClosingIfIdle(now) {
				return conn, 0
			}
			left, begun = partialTime, true
		}
		if next == 0 || left < next {
			next = left
		}
		if !begun {
			return nil, next // the connections behind it became idle later
		}
	}
	return nil, next
}

// idleLeft returns how much longer the connection must be idle to be closed for a new one, and
// whether its request is being read.
func (c *stallConn) idleLeft(now time.Time, minIdle time.Duration) (left time.Duration, begun bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.requestBegun {
		minIdle = partialTime
	}
	return max(0, c.usedAt.Add(minIdle).Sub(now)), c.requestBegun
}

// markClosingIfIdle marks the connection as closing unless bytes wait to be read.
//
// Failure guarded against: a request that has arrived would be closed on if this process is too
// busy to have read it. Bytes that arrive later are discarded unread; see Read.
func (c *stallConn) markClosingIfIdle(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if hasUnread(c.Conn) {
		c.requestBegun, c.usedAt = true, now // looked up once in partialTime
		return false
	}
	c.closing = true
	return true
}
