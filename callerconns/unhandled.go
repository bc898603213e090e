package callerconns

import (
	"bytes"
	"net"
)

// Unhandled is called for each response that the server writes without calling the handler,
// because it can't read the request or doesn't support it. No part of the request is known.
type Unhandled func(caller net.Addr, statusLine string)

// handlerBegins records that the handler of the current request is called.
func (c *stallConn) handlerBegins() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.handled = true
}

// reportUnhandled reports a response whose request was not passed to the handler.
func (c *stallConn) reportUnhandled(response []byte) {
	if !c.firstWriteUnhandled() || c.owner.Unhandled == nil {
		return
	}
	line, _, _ := bytes.Cut(response, []byte("\r\n"))
	c.owner.Unhandled(c.RemoteAddr(), string(line))
}

// firstWriteUnhandled reports whether no handler was called for the current response, once.
func (c *stallConn) firstWriteUnhandled() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	unhandled := !c.handled
	c.handled = true
	return unhandled
}
