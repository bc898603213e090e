package sockets

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"syscall"
	"time"
)

// Conn is a connection on which a read reports an error of the connection that a write received.
// Reads and writes may run at the same time.
//
// Failure guarded against: the kernel reports a reset, or a timeout, to one call only. If that is a
// write, reads see an end in order, and an answer that ends with its connection appears complete.
type Conn struct {
	net.Conn

	// writing is held during a write.
	writing sync.Mutex
	// writeErr is the first error of a write.
	writeErr error
}

// Dial returns a dial function whose connections are of type Conn.
func Dial(d *net.Dialer) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := d.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &Conn{Conn: c}, nil
	}
}

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(p)
	if c.writeErr == nil {
		c.writeErr = err
	}
	return n, err
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err == io.EOF {
		if broken := c.brokenAtWrite(); broken != nil {
			return n, broken
		}
	}
	return n, err
}

// brokenAtWrite returns the error of the connection that a write received, nil for none. It ends a
// write that is still under way: behind its end the other side reads no more.
func (c *Conn) brokenAtWrite() error {
	if !c.writing.TryLock() {
		_ = c.SetWriteDeadline(time.Unix(1, 0)) // fails only on a closed connection, whose writes end too
		c.writing.Lock()
	}
	defer c.writing.Unlock()
	var errno syscall.Errno
	// A reset that follows an end in order is EPIPE: the other side has not read all.
	if !errors.As(c.writeErr, &errno) || errno == syscall.EPIPE {
		return nil
	}
	return c.writeErr
}

// SyscallConn implements syscall.Conn.
func (c *Conn) SyscallConn() (syscall.RawConn, error) {
	raw, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errors.ErrUnsupported
	}
	return raw.SyscallConn()
}
