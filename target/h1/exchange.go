package h1

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/joomcode/errorx"
	"golang.org/x/net/http/httpguts"

	"tarragonhollow.example/tarragonhollow/target/sockets"
)

// asyncWriteBytes is the size above which a request is written while its answer is
// awaited: a target may answer before it has read a long body.
const asyncWriteBytes = 16 << 10

// Request is one request. It is sent unchanged.
type Request struct {
	Method string
	// URI is the request target: path and query, byte for byte.
	URI    string
	Host   string
	Header http.Header
	Body   []byte
}

// messageHeaders are the headers that encode writes or leaves out itself. With a second one
// targets could disagree on the request's host or on where it ends.
var messageHeaders = []string{"Host", "Content-Length", "Transfer-Encoding"}

// Check returns an error if the request can't be sent as it is: a line end or a space within
// a field would end it early, and the target would read the rest as another field or as a
// second request, whose answer belongs to nobody.
func (r *Request) Check() error {
	if !httpguts.ValidHeaderFieldName(r.Method) { // a method is a token, as a name is
		return errors.New("invalid method")
	}
	if r.URI == "" || strings.ContainsFunc(r.URI, isSpaceOrControl) {
		return errors.New("invalid request target")
	}
	if strings.ContainsFunc(r.Host, isSpaceOrControl) {
		return errors.New("invalid host")
	}
	for name, values := range r.Header {
		if !httpguts.ValidHeaderFieldName(name) {
			return errors.New("invalid header name")
		}
		if slices.Contains(messageHeaders, http.CanonicalHeaderKey(name)) {
			return errors.New("the header " + name + " is written with the request")
		}
		for _, value := range values {
			if !httpguts.ValidHeaderFieldValue(value) {
				return errors.New("invalid value of the header " + name)
			}
		}
	}
	return nil
}

func isSpaceOrControl(c rune) bool { return c <= ' ' || c == 0x7f }

// Options are the limits of an exchange.
type Options struct {
	// MaxIdle is the maximum time that a reused connection may have been idle; 0
	// requires a new connection.
	MaxIdle time.Duration
	// Deadline ends the whole exchange.
	Deadline time.Time
	// MaxWait is the maximum wait for the answer's head; with 0 only Deadline applies.
	MaxWait time.Duration
	// HeadWait, if not nil, is called when the wait for the answer's head begins, and the
	// function that it returns when the wait ends. MaxWait then bounds the wait for an
	// identity only: the caller ends a longer wait for the head through the context.
	HeadWait func() (ended func())
	// Matches returns whether an answer with this status and header belongs to this
	// request; nil accepts every answer.
	Matches func(status int, header http.Header) Match
	// Identity, if not nil, must be confirmed on the connection before the request is sent.
	Identity *Identity
	// Record, if not nil, receives what is known of the exchange until its answer is closed.
	Record *Record
}

// Match is whether an answer belongs to a request.
type Match int

const (
	// Other: the answer belongs to another request and is skipped.
	Other Match = iota
	// Own: the answer names the request.
	Own
	// Unnamed: the answer names no request. On a new connection it can only be this
	// request's.
	Unnamed
)

// Framing is how an answer marks the end of its body.
type Framing string

const (
	// FramedByLength is an answer with a known length, which may be 0.
	FramedByLength Framing = "length"
	// FramedByChunks is an answer in chunks.
	FramedByChunks Framing = "chunked"
	// Unframed is an answer that ends with its connection.
	Unframed Framing = "none"
)

// Answer is an answer whose body is still to be read. Close must be called.
type Answer struct {
	Status  int
	Header  http.Header
	Framing Framing
	// Length is the stated length of the body, also of one that an answer to HEAD leaves out, or
	// negative.
	Length int64

	ctx      context.Context
	pool     *Pool
	conn     *conn
	body     io.Reader
	deadline time.Time
	release  func() bool
	written  <-chan error
	complete bool
	reusable bool
	record   *Record
	// witness is nil unless the answer is watched; see watch.
	witness *sockets.Witness
	// ending is what is known of the end of an unframed answer.
	ending Ending
}

// Do sends the request once and returns its answer after the head has been read.
// Errors are of the types NotSent, Broken, Silent and Unattributed. When ctx ends, the connection
// is closed; with a cause of the type Silent that is recorded as a timeout.
func (p *Pool) Do(ctx context.Context, address string, r *Request, o Options) (*Answer, error) {
	record := o.Record
	if record == nil {
		record = &Record{}
	}
	*record = Record{}
	if err := r.Check(); err != nil {
		record.end(EndNotSent)
		return nil, NotSent.Wrap(err, "%s", address)
	}
	c, isNew, err := p.get(ctx, address, o.MaxIdle, o.Identity.key())
	if err != nil {
		record.end(EndNotSent)
		return nil, err
	}
	record.Reused = !isNew
	release := context.AfterFunc(ctx, func() { _ = c.SetDeadline(time.Unix(1, 0)) })
	if err := c.prepare(ctx, isNew, o); err != nil {
		record.end(EndNotSent)
		release()
		c.releaseHead()
		_ = c.Close()
		return nil, err
	}
	// A second answer to the identity's request could be taken for this request's.
	isNew = isNew && o.Identity == nil
	written := p.write(c, r)
	h, err := awaitHead(ctx, c, r, isNew, o)
	if err != nil {
		record.end(endOf(ctx, o.Deadline, err))
		if isNew { // a kept connection may end at any time
			p.noteBreak(address, record.End)
		}
		return nil, abandon(c, release, err)
	}
	record.Status, record.Framing = h.status, h.framing
	answer := &Answer{
		Status: h.status, Header: h.header, Framing: h.framing, Length: h.statedLength(), ctx: ctx, pool: p, conn: c, body: c.newBody(h),
		deadline: o.Deadline, release: release, written: written, record: record,
		reusable: !h.closes(),
	}
	answer.watch()
	return answer, nil
}

func abandon(c *conn, release func() bool, err error) error {
	release()
	c.releaseHead()
	_ = c.Close()
	return classify(c.address, err)
}

// classify returns err as Silent if it is a timeout, else as Broken. Unattributed is kept.
func classify(address string, err error) error {
	if errorx.IsOfType(err, Unattributed) {
		return err
	}
	var timeout net.Error
	if errors.Is(err, os.ErrDeadlineExceeded) || errors.As(err, &timeout) && timeout.Timeout() && !isReset(err) {
		return Silent.Wrap(err, "%s", address)
	}
	return Broken.Wrap(err, "%s", address)
}

// isReset reports whether the kernel ended the connection. Its error reports itself
// as a timeout, as does that of an exceeded deadline.
func isReset(err error) bool {
	var call *os.SyscallError
	return errors.As(err, &call)
}

// write sends the request: a short one before it returns, a long one in a goroutine
// while the answer is awaited. The channel receives the result.
func (p *Pool) write(c *conn, r *Request) <-chan error {
	done := make(chan error, 1)
	data := encode(r)
	if len(data) <= asyncWriteBytes {
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

// encode returns the request's head and body. Headers are sorted, so that equal
// requests are encoded to equal bytes.
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

// setReadTimeout sets the deadline of the next read. If ctx has ended it returns the error
// of an interrupted read: the deadline may have replaced the one that interrupts reads.
func setReadTimeout(ctx context.Context, c *conn, deadline time.Time, maxWait time.Duration) error {
	if maxWait > 0 {
		limit := time.Now().Add(maxWait)
		if limit.After(deadline) {
			limit = deadline
		}
		if err := c.SetReadDeadline(limit); err != nil {
			return err
		}
	}
	if ctx.Err() != nil {
		return os.ErrDeadlineExceeded
	}
	return nil
}

// Read reads the body, waiting at most maxWait for the next bytes. io.EOF means that
// the answer is complete according to its framing. A body without framing ends with
// its connection; if that was reset, the error is Broken.
func (a *Answer) Read(buffer []byte, maxWait time.Duration) (int, error) {
	if err := setReadTimeout(a.ctx, a.conn, a.deadline, maxWait); err != nil {
		a.record.end(endOf(a.ctx, a.deadline, err))
		return 0, classify(a.conn.address, err)
	}
	began := time.Now()
	n, err := a.body.Read(buffer)
	if err == io.EOF {
		a.observeEnd(began)
		a.complete = true
		a.recordComplete()
		return n, io.EOF
	}
	if err != nil {
		a.record.end(endOf(a.ctx, a.deadline, err))
		a.pool.noteBreak(a.conn.address, a.record.End)
		err = classify(a.conn.address, err)
	}
	return n, err
}

func (a *Answer) recordComplete() {
	if a.Framing == Unframed {
		a.record.end(EndConnection)
		return
	}
	a.record.end(EndFraming)
}

// drainSize is the size of Drain's read buffer, in bytes.
const drainSize = 4 << 10

// Drain reads the short body of a refusal to its end, so that the connection can be
// reused. It takes at most maxWait, and no time for an answer that ends with its connection.
func (a *Answer) Drain(maxWait time.Duration) {
	if a.Framing == Unframed {
		return
	}
	buffer := make([]byte, drainSize)
	end := time.Now().Add(maxWait)
	for left := maxWait; left > 0; left = time.Until(end) {
		if _, err := a.Read(buffer, left); err != nil {
			return
		}
	}
}

// Close ends the exchange. The connection is kept only if the answer was read to its
// end, the request was sent completely and no bytes follow the answer, since those
// would belong to no request. Otherwise the connection is closed, which makes the
// target stop its work.
func (a *Answer) Close() {
	a.record.end(EndAbandoned)
	a.witness.Close()
	a.conn.releaseHead()
	inTime := a.release()
	if !inTime || !a.complete || !a.reusable || !a.sent() || a.conn.reader.Buffered() > 0 {
		_ = a.conn.Close()
		return
	}
	a.conn.keepAlive = keepAliveTimeout(a.Header)
	a.pool.put(a.conn)
}

// sent reports whether the whole request was written without an error.
func (a *Answer) sent() bool {
	select {
	case err := <-a.written:
		return err == nil
	default:
		return false
	}
}

// keepAliveTimeout returns how long a connection may stay idle: N seconds from
// "Keep-Alive: timeout=N" less keepAliveMargin, or defaultKeepAlive.
func keepAliveTimeout(header http.Header) time.Duration {
	for _, field := range strings.Split(header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		seconds, err := strconv.Atoi(value)
		if strings.EqualFold(name, "timeout") && err == nil {
			return time.Duration(seconds)*time.Second - keepAliveMargin
		}
	}
	return defaultKeepAlive
}
