// Package rawtarget is a target for tests whose scripts write the raw bytes of each
// answer, so that every kind of broken answer can be produced.
package rawtarget

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Request is a request as the target received it.
type Request struct {
	Method, URI, Host string
	Header            http.Header
	Body              []byte
	// Conn is the index of the connection, Index that of the request on its
	// connection; both start at 0.
	Conn, Index int
}

// Target answers each request by calling a script.
type Target struct {
	// Address is IP:PORT.
	Address  string
	listener net.Listener
	script   func(r *Request, c net.Conn)

	mu       sync.Mutex
	requests []Request
	conns    int
	open     map[net.Conn]bool
	hook     func()
}

// acceptPause is the time between two attempts to accept a connection.
const acceptPause = 10 * time.Millisecond

// Start serves on a free loopback port. script writes the answer to c; closing
// c ends the connection.
func Start(script func(r *Request, c net.Conn)) (*Target, error) {
	return StartAt("127.0.0.1:0", script)
}

// StartAt is Start at the given IP:PORT.
func StartAt(address string, script func(r *Request, c net.Conn)) (*Target, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	t := &Target{Address: listener.Addr().String(), listener: listener, script: script, open: map[net.Conn]bool{}}
	go t.accept()
	return t, nil
}

func (t *Target) accept() {
	for {
		c, err := t.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil { // no free descriptor, in tests of that
			time.Sleep(acceptPause)
			continue
		}
		t.mu.Lock()
		connIndex := t.conns
		t.conns++
		t.open[c] = true
		t.mu.Unlock()
		go t.serve(c, connIndex)
	}
}

func (t *Target) serve(c net.Conn, connIndex int) {
	defer func() {
		_ = c.Close()
		t.mu.Lock()
		delete(t.open, c)
		t.mu.Unlock()
	}()
	reader := bufio.NewReader(c)
	for index := 0; ; index++ {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		r := Request{Method: req.Method, URI: req.RequestURI, Host: req.Host, Header: req.Header, Body: body, Conn: connIndex, Index: index}
		t.mu.Lock()
		t.requests = append(t.requests, r)
		hook := t.hook
		t.mu.Unlock()
		if hook != nil {
			hook()
		}
		t.script(&r, c)
	}
}

// Requests returns the requests received so far.
func (t *Target) Requests() []Request {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]Request(nil), t.requests...)
}

// OnRequest sets a function that is called when a request has been read, before its
// script runs.
func (t *Target) OnRequest(hook func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.hook = hook
}

// Open returns the number of connections that the other side keeps open.
func (t *Target) Open() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.open)
}

// Close stops the target and closes its connections.
func (t *Target) Close() {
	_ = t.listener.Close()
	t.mu.Lock()
	defer t.mu.Unlock()
	for c := range t.open {
		_ = c.Close()
	}
}

// Reset closes a connection with a TCP reset.
func Reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

// Write writes text. It ignores errors: the caller may have closed the connection.
func Write(c net.Conn, text string) { _, _ = io.WriteString(c, text) }

// Head returns the head of an answer with the given headers, "Name: value" each.
func Head(status int, headers ...string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	for _, h := range headers {
		b.WriteString(h + "\r\n")
	}
	b.WriteString("\r\n")
	return b.String()
}

// Whole returns a complete answer with a Content-Length header.
func Whole(status int, body string, headers ...string) string {
	return Head(status, append(headers, "Content-Length: "+strconv.Itoa(len(body)))...) + body
}

// Chunk returns one chunk of a chunked body.
func Chunk(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }

// LastChunk ends a chunked body.
const LastChunk = "0\r\n\r\n"

// Event returns one server-sent event.
func Event(id int, data string) string { return fmt.Sprintf("id: %d\ndata: %s\n\n", id, data) }
