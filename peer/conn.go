package peer

import (
	"net"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// writeTimeout bounds one write to a connection. If a peer stops reading, the socket's
// buffer fills up; without the bound the writer would hold the connection's write lock
// and block all calls behind it indefinitely.
const writeTimeout = 2 * time.Second

// meteredConn counts bytes, bounds the time of each write, and records when bytes were
// last received from the peer.
type meteredConn struct {
	net.Conn
	sent, received *metrics.Counter
	lastReadNs     atomic.Int64
	// broken is set by the first failed read or write.
	broken atomic.Bool
}

func newMeteredConn(conn net.Conn, sent, received *metrics.Counter) *meteredConn {
	c := &meteredConn{Conn: conn, sent: sent, received: received}
	c.lastReadNs.Store(time.Now().UnixNano())
	return c
}

// Read implements net.Conn.
func (c *meteredConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.received.Add(n)
		c.lastReadNs.Store(time.Now().UnixNano())
	}
	if err != nil {
		// net/rpc's client leaves its connection open when reading fails; without this
		// Close the file descriptor would leak until the process ends.
		c.broken.Store(true)
		_ = c.Close()
	}
	return n, err
}

// Write implements net.Conn.
func (c *meteredConn) Write(p []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(p)
	c.sent.Add(n)
	if err != nil {
		c.broken.Store(true)
		_ = c.Close()
	}
	return n, err
}
