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
	// firstBackoff and maxBackoff bound the pause after a failed dial, in which
	// calls fail at once instead of dialling again.
	firstBackoff = 50 * time.Millisecond
	maxBackoff   = time.Second
	// maxStalls is how many calls in a row may time out, with nothing heard from
	// the peer meanwhile, before their connection is dropped; and stallSilence is
	// for how long it must have been silent, so that a few calls of very short
	// deadlines don't end the longer ones on the same connection.
	maxStalls    = 3
	stallSilence = 500 * time.Millisecond
)

// remote is one peer: a bound on its pending calls and two lanes.
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

// reserve takes a pending slot.
func (r *remote) reserve(bound int) error {
	if r.pending.Add(1) > int64(bound) {
		r.pending.Add(-1)
		return Unreachable.New("%s has %d unanswered calls", r.address, bound)
	}
	r.client.meter.pending.Add(1)
	return nil
}

func (r *remote) release() {
	r.pending.Add(-1)
	r.client.meter.pending.Add(-1)
}

// holdUntil keeps a slot for a call whose caller has left until the call has
// really ended: a peer that answers nothing is then refused by reserve instead
// of gathering memory.
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

// lane is one connection to a peer, dialled when it is needed.
type lane struct {
	remote *remote

	mu      sync.Mutex
	conn    *clientConn
	dialing chan struct{} // closed when the running dial has ended
	failed  error         // why the last dial failed
	backoff time.Duration
	retryAt time.Time
	stalls  int
	// silentSince is when the first of the stalled calls began.
	silentSince time.Time
}

// clientConn is one live connection.
type clientConn struct {
	rpc  *rpc.Client
	wire *meteredConn
}

// connect returns the live connection, or waits for one dial that all waiting
// calls share. Its errors are Unreachable.
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

// current returns the connection, the reason why there is none, or the channel
// of a running dial, which it starts if needed.
func (l *lane) current() (*clientConn, <-chan struct{}, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn != nil && !l.conn.wire.broken.Load() {
		return l.conn, nil, nil
	}
	if l.dialing != nil {
		return nil, l.dialing, nil
	}
	if l.failed != nil && time.Now().Before(l.retryAt) {
		return nil, nil, Unreachable.Wrap(l.failed, "no connection to %s", l.remote.address)
	}
	l.failed = nil
	l.dialing = make(chan struct{})
	go l.dial(l.dialing)
	return nil, l.dialing, nil
}

// dial connects with the client's own timeout: a caller with little time left
// must not make the attempt useless for the callers behind it.
func (l *lane) dial(ended chan struct{}) {
	c := l.remote.client
	raw, err := c.dialer.Dial("tcp", l.remote.address)
	l.mu.Lock()
	defer l.mu.Unlock()
	defer close(ended)
	l.dialing = nil
	c.meter.countDial(err)
	if err != nil {
		l.backoff = min(max(2*l.backoff, firstBackoff), maxBackoff)
		// The jitter keeps the fleet from dialling a returned host in step.
		l.retryAt = time.Now().Add(l.backoff/2 + rand.N(l.backoff/2))
		l.failed = err
		return
	}
	select {
	case <-c.stop:
		// Close has passed this lane already; nobody would close the connection.
		_ = raw.Close()
		l.failed = net.ErrClosed
		return
	default:
	}
	l.backoff, l.stalls = 0, 0
	wire := newMeteredConn(raw, c.meter.sent, c.meter.received)
	l.conn = &clientConn{rpc: rpc.NewClientWithCodec(newClientCodec(wire)), wire: wire}
}

// timedOut counts a call that began at began and got no reply. It guards
// against a connection that stalled (a frozen peer, a one-way cut), which shows
// as calls that all time out while the socket stays open: after maxStalls of
// them with not one byte heard for stallSilence, the connection is dropped and
// the next call dials. A peer that is only slow in one method keeps answering
// others, which resets the count, so its connection stays.
func (l *lane) timedOut(conn *clientConn, began time.Time) {
	if !l.stalled(conn, began) {
		return
	}
	l.remote.client.opt.Logger.Warn("peer_connection_stalled", zap.String("peer", l.remote.address))
	l.remote.client.meter.stalled.Inc()
	l.drop(conn)
}

func (l *lane) stalled(conn *clientConn, began time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn != conn {
		return false
	}
	if conn.wire.lastReadNs.Load() >= began.UnixNano() {
		l.stalls = 0
		return false
	}
	if l.stalls == 0 || conn.wire.lastReadNs.Load() >= l.silentSince.UnixNano() {
		l.stalls, l.silentSince = 0, began
	}
	l.stalls++
	return l.stalls >= maxStalls && time.Since(l.silentSince) >= stallSilence
}

// drop closes the connection if it is still conn; nil means any.
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

// roundTrip runs one call to its end and turns net/rpc's errors into this
// layer's.
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
	if !env.sent() {
		return Unreachable.Wrap(call.Error, "%s was not sent", method)
	}
	return NoReply.Wrap(call.Error, "%s", method)
}
