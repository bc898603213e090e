package h1

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sort"
	"strconv"
	"strings"
	"time"
)

const (
	// maxStrays bounds the answers of other requests that are passed over in
	// front of the own one.
	maxStrays = 2
	// maxStrayBytes bounds the body of such an answer.
	maxStrayBytes = 1 << 20
	// writeAside is the body size from which the request is written while the
	// answer is awaited: a target may answer before it has read a long body.
	writeAside = 16 << 10
	// maxInformational bounds the 1xx answers in front of the final one.
	maxInformational = 5
)

// Request is one request, sent as it stands.
type Request struct {
	Method string
	// URI is the request target: path and query, byte for byte.
	URI    string
	Host   string
	Header http.Header
	Body   []byte
}

// Options bound an exchange.
type Options struct {
	// MaxIdle is the longest a kept connection may have been idle; 0 demands a
	// new one.
	MaxIdle time.Duration
	// Deadline ends the whole exchange.
	Deadline time.Time
	// Patience bounds the wait for the answer's head; 0 leaves it to Deadline.
	Patience time.Duration
	// Mine tells whether an answer's head belongs to this request. Answers that
	// don't are passed over.
	Mine func(status int, header http.Header) bool
}

// Answer is an answer whose body is being read. Close must be called.
type Answer struct {
	Status int
	Header http.Header

	pool     *Pool
	conn     *conn
	body     io.ReadCloser
	deadline time.Time
	release  func() bool
	written  <-chan error
	whole    bool
	reusable bool
}

// Do sends the request once and returns the head of its answer. Errors are of
// types NotSent, Broken and Silent. The end of ctx closes the connection.
func (p *Pool) Do(ctx context.Context, address string, r *Request, o Options) (*Answer, error) {
	c, _, err := p.take(ctx, address, o.MaxIdle)
	if err != nil {
		return nil, err
	}
	release := context.AfterFunc(ctx, func() { _ = c.SetDeadline(time.Unix(1, 0)) })
	if err := c.SetDeadline(o.Deadline); err != nil {
		release()
		_ = c.Close()
		return nil, NotSent.Wrap(err, "%s", address)
	}
	written := p.write(c, r)
	if err := setPatience(c, o.Deadline, o.Patience); err != nil {
		return nil, abandon(c, release, err)
	}
	response, err := readHead(c, r, o)
	if err != nil {
		return nil, abandon(c, release, err)
	}
	return &Answer{
		Status: response.StatusCode, Header: response.Header, pool: p, conn: c, body: response.Body,
		deadline: o.Deadline, release: release, written: written,
		reusable: !response.Close && response.ProtoAtLeast(1, 1),
	}, nil
}

func abandon(c *conn, release func() bool, err error) error {
	release()
	_ = c.Close()
	return classify(c.address, err)
}

// classify tells silence from a broken connection.
func classify(address string, err error) error {
	var timeout net.Error
	if errors.Is(err, os.ErrDeadlineExceeded) || errors.As(err, &timeout) && timeout.Timeout() && !isReset(err) {
		return Silent.Wrap(err, "%s", address)
	}
	return Broken.Wrap(err, "%s", address)
}

// isReset tells a connection that the kernel gave up from one whose deadline
// has passed; both call themselves a timeout.
func isReset(err error) bool {
	var call *os.SyscallError
	return errors.As(err, &call)
}

// write sends the request: a short one at once, a long one beside the wait for
// the answer. The channel gives the result.
func (p *Pool) write(c *conn, r *Request) <-chan error {
	done := make(chan error, 1)
	data := encode(r)
	if len(data) <= writeAside {
		_, err := c.Write(data)
		done <- err
		return done
	}
	go func() {
		_, err := c.Write(data)
		done <- err
	}()
	return done
}

// encode writes the head and the body. Headers go out in one order, so that
// equal requests are equal bytes.
func encode(r *Request) []byte {
	var b bytes.Buffer
	b.Grow(512 + len(r.Body))
	b.WriteString(r.Method + " " + r.URI + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	names := make([]string, 0, len(r.Header))
	for name := range r.Header {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		for _, value := range r.Header[name] {
			b.WriteString(name + ": " + value + "\r\n")
		}
	}
	if len(r.Body) > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut || r.Method == http.MethodPatch {
		b.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	b.Write(r.Body)
	return b.Bytes()
}

// readHead reads heads until one is the request's own.
func readHead(c *conn, r *Request, o Options) (*http.Response, error) {
	for strays, early := 0, 0; ; {
		response, err := http.ReadResponse(c.reader, &http.Request{Method: r.Method})
		if err != nil {
			return nil, err
		}
		if response.StatusCode < 200 && response.StatusCode != http.StatusSwitchingProtocols {
			if early++; early > maxInformational {
				return nil, errors.New("too many informational answers")
			}
			continue
		}
		if o.Mine == nil || o.Mine(response.StatusCode, response.Header) {
			return response, nil
		}
		if strays++; strays > maxStrays {
			return nil, errors.New("only answers of other requests")
		}
		if err := discard(response); err != nil {
			return nil, err
		}
	}
}

func discard(response *http.Response) error {
	n, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxStrayBytes+1))
	if err == nil && n > maxStrayBytes {
		return errors.New("the answer of another request is too long")
	}
	if err == nil && response.Close {
		return errors.New("the connection ended after the answer of another request")
	}
	return err
}

func setPatience(c *conn, deadline time.Time, patience time.Duration) error {
	if patience <= 0 {
		return nil
	}
	until := time.Now().Add(patience)
	if until.After(deadline) {
		until = deadline
	}
	return c.SetReadDeadline(until)
}

// Read reads the body, waiting at most patience for the next bytes. io.EOF
// means that the answer is whole as its framing tells; a body without any
// framing ends with its connection, and one that was reset is Broken.
func (a *Answer) Read(into []byte, patience time.Duration) (int, error) {
	if err := setPatience(a.conn, a.deadline, patience); err != nil {
		return 0, classify(a.conn.address, err)
	}
	n, err := a.body.Read(into)
	if err == io.EOF {
		a.whole = true
		return n, io.EOF
	}
	if err != nil {
		err = classify(a.conn.address, err)
	}
	return n, err
}

// drainSize is the most that Drain reads at once.
const drainSize = 4 << 10

// Drain reads the short body of a refusal to its end, so that the connection can
// be kept.
func (a *Answer) Drain(patience time.Duration) {
	buffer := make([]byte, drainSize)
	for {
		if _, err := a.Read(buffer, patience); err != nil {
			return
		}
	}
}

// Close ends the exchange. The connection is kept only if the answer was read
// to its end, the request was sent to its end and nothing lies behind the
// answer: bytes there belong to no request. Otherwise it is closed, which ends
// the target's work.
func (a *Answer) Close() {
	inTime := a.release()
	if !inTime || !a.whole || !a.reusable || !a.sent() || a.conn.reader.Buffered() > 0 {
		_ = a.conn.Close()
		return
	}
	a.conn.keep = keepTime(a.Header)
	a.pool.put(a.conn)
}

// sent tells whether the whole request was written without an error.
func (a *Answer) sent() bool {
	select {
	case err := <-a.written:
		return err == nil
	default:
		return false
	}
}

// keepTime reads "Keep-Alive: timeout=N", in whole seconds.
func keepTime(header http.Header) time.Duration {
	for _, field := range strings.Split(header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		seconds, err := strconv.Atoi(value)
		if strings.EqualFold(name, "timeout") && err == nil {
			return time.Duration(seconds)*time.Second - keepMargin
		}
	}
	return defaultKeep
}
