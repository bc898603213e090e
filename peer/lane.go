package peer

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/rpc"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
)

const (
	// firstBackoff and maxBackoff bound the backoff after a failed dial, during which
	// calls fail at once instead of dialling again.
	firstBackoff = 50 * time.Millisecond
	maxBackoff   = time.Second
	// maxStalledCalls is the number of consecutive calls that time out without a byte
	// received from the peer before their connection is dropped. minStallTime is how
	// long nothing must have been received, so that a few calls with very short
	// deadlines do not end longer ones on the same connection.
	maxStalledCalls = 3
	minStallTime    = 500 * time.Millisecond
)

// remote is one peer: the count of its pending calls and two lanes, one for control
// services and one for the others.
type remote struct {
	client  *Client
	address string
	lastUse time.Time // guarded by client.mu
	pending atomic.Int64
	lanes   [2]lane
}

func newRemote(c *Client, address string) *remote {
	r := &remote{client: c, address: address}
	for i := range r.lanes {
		r.lanes[i].remote = r
	}
	return r
}

// reserve takes a pending slot. Its error is Unreachable if limit slots are in use.
func (r *remote) reserve(limit int) error {
	if r.pending.Add(1) > int64(limit) {
		r.pending.Add(-1)
		return Unreachable.New("%s has %d unanswered calls", r.address, limit)
	}
	r.client.meter.pending.Add(1)
	return nil
}

func (r *remote) release() {
	r.pending.Add(-1)
	r.client.meter.pending.Add(-1)
}

// holdUntil keeps a slot occupied after the caller has returned, until the call has
// ended. Calls to a peer that does not reply are then refused by reserve instead of
// accumulating in memory.
func (r *remote) holdUntil(done <-chan error) {
	r.pending.Add(1)
	r.client.meter.pending.Add(1)
	go func() {
		<-done
		r.release()
	}()
}

func (r *remote) lane(control bool) *lane {
	if control {
		return &r.lanes[0]
	}
	return &r.lanes[1]
}

func (r *remote) close() {
	for i := range r.lanes {
		r.lanes[i].drop(nil)
	}
}

// lane is one connection to a peer, dialled on demand.
type lane struct {
	remote *remote

	mu        sync.Mutex
	conn      *clientConn
	dialing   chan struct{} // closed when the running dial has ended
	dialError error         // why the last dial failed
	backoff   time.Duration
	retryAt   time.Time
	stalls    int
	// stallStart is when the first of the stalled calls began.
	stallStart time.Time
}

// clientConn is one live connection.
type clientConn struct {
	rpc  *rpc.Client
	wire *meteredConn
}

// connect returns the live connection. If there is none, it waits for one dial that all
// waiting calls share. Its errors are Unreachable.
func (l *lane) connect(ctx context.Context) (*clientConn, error) {
	for {
		conn, wait, err := l.current()
		if conn != nil || err != nil {
			return conn, err
		}
		select {
		case <-wait:
		case <-ctx.Done():
			return nil, Unreachable.Wrap(ctx.Err(), "no connection to %s yet", l.remote.address)
		}
	}
}

// current returns the connection, the error of the last dial during its backoff, or a
// channel that is closed when the running dial has ended. It starts a dial if needed.
func (l *lane) current() (*clientConn, <-chan struct{}, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn != nil && !l.conn.wire.broken.Load() {
		return l.conn, nil, nil
	}
	if l.dialing != nil {
		return nil, l.dialing, nil
	}
	if l.dialError != nil && time.Now().Before(l.retryAt) {
		return nil, nil, Unreachable.Wrap(l.dialError, "no connection to %s", l.remote.address)
	}
	l.dialError = nil
	l.dialing = make(chan struct{})
	go l.dial(l.dialing)
	return nil, l.dialing, nil
}

// dial connects with the client's dial timeout and not a caller's deadline: a caller
// with little time left must not abort the dial that other callers wait for.
func (l *lane) dial(done chan struct{}) {
	c := l.remote.client
	raw, err := c.dialer.Dial("tcp", l.remote.address)
	l.mu.Lock()
	defer l.mu.Unlock()
	defer close(done)
	l.dialing = nil
	c.meter.countDial(err)
	if err != nil {
		l.backoff = min(max(2*l.backoff, firstBackoff), maxBackoff)
		// Without jitter, all daemons would dial a recovered host at the same time.
		l.retryAt = time.Now().Add(l.backoff/2 + rand.N(l.backoff/2))
		l.dialError = err
		return
	}
	select {
	case <-c.stop:
		// Client.Close has already closed this lane and will not close the new connection.
		_ = raw.Close()
		l.dialError = net.ErrClosed
		return
	default:
	}
	l.backoff, l.stalls = 0, 0
	wire := newMeteredConn(raw, c.meter.sent, c.meter.received)
	l.conn = &clientConn{rpc: rpc.NewClientWithCodec(newClientCodec(wire)), wire: wire}
}

// timedOut records that a call that began at startedAt timed out. It guards against a
// stalled connection (a frozen peer or a one-way network cut), on which all calls time
// out while the socket stays open. After maxStalledCalls of them without a byte received
// for minStallTime, the connection is dropped and the next call dials. A peer that is
// slow in only one method still replies to others, which resets the count, so its
// connection is kept.
func (l *lane) timedOut(conn *clientConn, startedAt time.Time) {
	if !l.stalled(conn, startedAt) {
		return
	}
	l.remote.client.opt.Logger.Warn("peer_connection_stalled", zap.String("peer", l.remote.address))
	l.remote.client.meter.stalled.Inc()
	l.drop(conn)
}

func (l *lane) stalled(conn *clientConn, startedAt time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn != conn {
		return false
	}
	if conn.wire.lastReadNs.Load() >= startedAt.UnixNano() {
		l.stalls = 0
		return false
	}
	if l.stalls == 0 || conn.wire.lastReadNs.Load() >= l.stallStart.UnixNano() {
		l.stalls, l.stallStart = 0, startedAt
	}
	l.stalls++
	return l.stalls >= maxStalledCalls && time.Since(l.stallStart) >= minStallTime
}

// drop closes the current connection if it is conn; a nil conn matches any.
func (l *lane) drop(conn *clientConn) {
	l.mu.Lock()
	current := l.conn
	if current == nil || (conn != nil && current != conn) {
		l.mu.Unlock()
		return
	}
	l.conn = nil
	l.mu.Unlock()
	_ = current.rpc.Close()
}

// roundTrip runs one call until it ends and converts the errors of net/rpc to those of
// this package.
func (c *clientConn) roundTrip(env *envelope, method string, reply any) error {
	call := <-c.rpc.Go(method, env, reply, make(chan *rpc.Call, 1)).Done
	if call.Error == nil {
		return nil
	}
	var remote rpc.ServerError
	if errors.As(call.Error, &remote) {
		return RemoteError.New("%s: %s", method, string(remote))
	}
	if errors.Is(call.Error, rpc.ErrShutdown) {
		c.wire.broken.Store(true)
	}
	if !env.mayBeSent() {
		return Unreachable.Wrap(call.Error, "%s was not sent", method)
	}
	return NoReply.Wrap(call.Error, "%s", method)
}
