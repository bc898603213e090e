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
type checkedConn struct {
	net.Conn

	mu   sync.Mutex
	next *startCheck
}

// expect sets the check of the call to which the connection was given, nil for none.
func (c *checkedConn) expect(check *startCheck) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.next = check
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
