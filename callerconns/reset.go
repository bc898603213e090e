package callerconns

import (
	"context"
	"io"
	"net"
	"net/http"
	"time"
)

// discardTime bounds how long a caller may take to close its side after the end of a response
// that ends with its connection. The caller has no reason to wait.
const discardTime = 500 * time.Millisecond

// connKey is the context key of a request's connection.
type connKey struct{}

// ConnContext is the server's ConnContext hook for ResetUnlessCompleted.
func ConnContext(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// ResetUnlessCompleted wraps a handler: a connection whose end would be the end of the
// response is reset if it ends before the handler returns, because the handler panics or
// the process ends. Such are HTTP/1.0 connections and those of responses that the handler
// sends with the transfer encoding "identity".
//
// Failure guarded against: without chunks a response of unknown length ends with its
// connection, and a caller can't distinguish a connection that was cut in an orderly way from the
// end of the response.
func ResetUnlessCompleted(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		conn, ok := r.Context().Value(connKey{}).(*stallConn)
		if !ok {
			next.ServeHTTP(w, r)
			return
		}
		conn.handlerBegins()
		guarded := &guardedWriter{ResponseWriter: w, conn: conn}
		if !r.ProtoAtLeast(1, 1) {
			guarded.guard()
		}
		next.ServeHTTP(guarded, r)
		guarded.completed()
	})
}

// guardedWriter has the connection of a response without framing reset unless the response
// is completed.
type guardedWriter struct {
	http.ResponseWriter
	conn    *stallConn
	guarded bool
	// flushed reports that net/http can't give the response a length any more.
	flushed bool
}

func (w *guardedWriter) guard() {
	w.guarded = true
	w.conn.responseBegins()
}

// completed ends the guard after the response was written. The last bytes are written first,
// since the end of the connection while they wait for a slow caller must be a reset too.
func (w *guardedWriter) completed() {
	if !w.guarded {
		return
	}
	if w.flushed && http.NewResponseController(w.ResponseWriter).Flush() != nil {
		return
	}
	w.conn.responseHandled()
}

func (w *guardedWriter) guardIfUnframed() {
	if !w.guarded && w.Header().Get("Transfer-Encoding") == "identity" {
		w.flushed = true
		w.guard()
	}
}

// WriteHeader implements http.ResponseWriter.
func (w *guardedWriter) WriteHeader(status int) {
	w.guardIfUnframed()
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *guardedWriter) Write(p []byte) (int, error) {
	w.guardIfUnframed()
	return w.ResponseWriter.Write(p)
}

// Flush implements http.Flusher.
func (w *guardedWriter) Flush() { _ = w.FlushError() }

// FlushError is for http.ResponseController.
func (w *guardedWriter) FlushError() error {
	w.flushed = true
	return http.NewResponseController(w.ResponseWriter).Flush()
}

// Unwrap is for http.ResponseController.
func (w *guardedWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// responseBegins has the connection reset when it is closed. The kernel keeps the setting,
// so it applies to the end of the process too.
func (c *stallConn) responseBegins() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.endsResponse, c.completed = true, false
	c.setReset(true)
}

// responseHandled undoes responseBegins, unless a write has failed: net/http does not report
// all such errors to the handler.
func (c *stallConn) responseHandled() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.completed = !c.writeFailed
	c.setReset(c.writeFailed)
}

// Close implements net.Conn.
func (c *stallConn) Close() error {
	if c.takeCompleted() {
		c.endInOrder()
	}
	return c.Conn.Close()
}

// takeCompleted reports whether closing the connection ends a completed response. A further
// Close ends the connection at once.
func (c *stallConn) takeCompleted() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	completed := c.completed && !c.writeFailed
	c.completed = false
	return completed
}

// endInOrder ends the sending side and discards what the caller still sends, until the caller
// closes the connection or discardTime has passed.
//
// Failure guarded against: the kernel resets a connection that is closed with unread bytes, such
// as those of a request that the caller has sent too early, and the completed response would
// look cut.
func (c *stallConn) endInOrder() {
	tcp, ok := c.Conn.(*net.TCPConn)
	if !ok || tcp.CloseWrite() != nil || tcp.SetReadDeadline(time.Now().Add(discardTime)) != nil {
		return
	}
	_, _ = io.Copy(io.Discard, tcp)
}

// noteWriteFailed has the connection reset when it is closed, if its end would be the end
// of the response. net/http writes the last bytes after the handler has returned.
func (c *stallConn) noteWriteFailed(err error) {
	c.mu.Lock()
	first := !c.writeFailed
	c.writeFailed = true
	c.setReset(c.endsResponse)
	c.mu.Unlock()
	if first && c.owner.WriteFailed != nil {
		c.owner.WriteFailed(c.RemoteAddr(), err)
	}
}

// setReset sets whether closing the connection resets it.
func (c *stallConn) setReset(reset bool) {
	tcp, ok := c.Conn.(*net.TCPConn)
	if !ok {
		return
	}
	linger := -1
	if reset {
		linger = 0
	}
	_ = tcp.SetLinger(linger) // fails only on a closed connection
}
