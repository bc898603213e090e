package peer

import (
	"bufio"
	"encoding/gob"
	"errors"
	"net/rpc"
	"sync/atomic"
)

// sendState is the state of sending a call.
type sendState = int32

const (
	notSent sendState = iota
	// started means that bytes of the call may have been sent.
	started
	// withdrawn means that the call will never be written.
	withdrawn
)

// errWithdrawn is the error of a call whose caller returned before it was written.
var errWithdrawn = errors.New("withdrawn before sending")

// envelope carries a call's arguments to the client codec, which alone knows when the
// first byte is about to be written. The caller, at its deadline, and the codec change
// the state by compare-and-swap, so that only a call that the codec will never write
// is reported as certainly not delivered.
type envelope struct {
	args  any
	state atomic.Int32
}

func (e *envelope) start() bool     { return e.state.CompareAndSwap(notSent, started) }
func (e *envelope) withdraw() bool  { return e.state.CompareAndSwap(notSent, withdrawn) }
func (e *envelope) mayBeSent() bool { return e.state.Load() == started }

// clientCodec is the gob codec of net/rpc with two additions: a call that was
// withdrawn while it waited for its turn on the connection is not written, and each
// call records whether writing it has begun.
type clientCodec struct {
	conn *meteredConn
	buf  *bufio.Writer
	enc  *gob.Encoder
	dec  *gob.Decoder
}

func newClientCodec(conn *meteredConn) *clientCodec {
	buf := bufio.NewWriter(conn)
	return &clientCodec{conn: conn, buf: buf, enc: gob.NewEncoder(buf), dec: gob.NewDecoder(bufio.NewReader(conn))}
}

// WriteRequest implements rpc.ClientCodec.
func (c *clientCodec) WriteRequest(r *rpc.Request, body any) error {
	env := body.(*envelope)
	if !env.start() {
		return errWithdrawn
	}
	err := encodeMessage(c.enc, c.buf, r, env.args)
	if err != nil {
		// A header without its body would leave the peer's decoder waiting in the
		// middle of a message, and every later call would time out. The stream cannot
		// be recovered, so the connection is closed.
		_ = c.conn.Close()
	}
	return err
}

// ReadResponseHeader implements rpc.ClientCodec.
func (c *clientCodec) ReadResponseHeader(r *rpc.Response) error { return c.dec.Decode(r) }

// ReadResponseBody implements rpc.ClientCodec; a nil body discards the value.
func (c *clientCodec) ReadResponseBody(body any) error { return c.dec.Decode(body) }

// Close implements rpc.ClientCodec.
func (c *clientCodec) Close() error { return c.conn.Close() }

// serverCodec is the gob codec of net/rpc on a metered connection.
type serverCodec struct {
	conn *meteredConn
	buf  *bufio.Writer
	enc  *gob.Encoder
	dec  *gob.Decoder
}

func newServerCodec(conn *meteredConn) *serverCodec {
	buf := bufio.NewWriter(conn)
	return &serverCodec{conn: conn, buf: buf, enc: gob.NewEncoder(buf), dec: gob.NewDecoder(bufio.NewReader(conn))}
}

// ReadRequestHeader implements rpc.ServerCodec.
func (c *serverCodec) ReadRequestHeader(r *rpc.Request) error { return c.dec.Decode(r) }

// ReadRequestBody implements rpc.ServerCodec.
func (c *serverCodec) ReadRequestBody(body any) error { return c.dec.Decode(body) }

// WriteResponse implements rpc.ServerCodec.
func (c *serverCodec) WriteResponse(r *rpc.Response, body any) error {
	err := encodeMessage(c.enc, c.buf, r, body)
	if err != nil {
		// As in WriteRequest: an incomplete reply makes the stream unusable.
		_ = c.conn.Close()
	}
	return err
}

// Close implements rpc.ServerCodec.
func (c *serverCodec) Close() error { return c.conn.Close() }

func encodeMessage(enc *gob.Encoder, buf *bufio.Writer, header, body any) error {
	if err := enc.Encode(header); err != nil {
		return err
	}
	if err := enc.Encode(body); err != nil {
		return err
	}
	return buf.Flush()
}
