package target

import (
	"context"
	"net"
	"sync"
)

// WithStartCheck returns a context whose calls of engines and services call check right before
// their first byte is written. If it returns an error, nothing is written, and the call ends with
// a Failure that wraps the error and has Reached unset. A check may be called from another
// goroutine than that of the call.
func WithStartCheck(ctx context.Context, check func() error) context.Context {
	return context.WithValue(ctx, startCheckContext, check)
}

// StartCheckFrom returns the check of ctx, nil if there is none.
func StartCheckFrom(ctx context.Context) func() error {
	check, _ := ctx.Value(startCheckContext).(func() error)
	return check
}

// startCheck is the check of one call.
type startCheck struct {
	check func() error

	mu sync.Mutex
	// failed is the error of the check, nil if it passed or was not called.
	failed error
}

func (c *startCheck) run() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.failed = c.check()
	return c.failed
}

// failure returns the error of the check; c may be nil.
func (c *startCheck) failure() error {
	if c == nil {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.failed
}

// checkedConn is a connection that runs the check of a call before its first byte. Only a check
// this late covers the time that a call waits for its connection and for the processor.
//
// It also keeps what it reads of a call's answer until the answer's head is complete: net/http accepts
// heads that are none, and does not show them as they came.
type checkedConn struct {
	net.Conn

	mu   sync.Mutex
	next *startCheck
	// head is what was read since the call began, nil if nothing is kept.
	head []byte
}

// expect sets the check of the call to which the connection was given, nil for none.
func (c *checkedConn) expect(check *startCheck) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.next = check
	c.head = []byte{}
}

// Read implements net.Conn.
func (c *checkedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.head != nil && len(c.head) <= maxAnswerHeaderBytes { // net/http ends a longer head
		c.head = append(c.head, p[:n]...)
	}
	return n, err
}

// takeHead returns what was read of the answer, whose head net/http has accepted, and keeps no more.
func (c *checkedConn) takeHead() []byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	head := c.head
	c.head = nil
	return head
}

// Write implements net.Conn.
func (c *checkedConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	check := c.next
	c.next = nil
	c.mu.Unlock()
	if check != nil {
		if err := check.run(); err != nil {
			return 0, err
		}
	}
	return c.Conn.Write(p)
}
