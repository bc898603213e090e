package peer

import (
	"context"
	"errors"
	"net"
	"reflect"
	"strings"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"
)

const (
	defaultDialTimeout = 500 * time.Millisecond
	defaultMaxPending  = 1024
	defaultIdleTimeout = 30 * time.Second
	// defaultNotifyTimeout bounds how long a one-way message may occupy a pending
	// slot. After that its content is stale.
	defaultNotifyTimeout = time.Second
	// notifySlotsDivisor divides the pending slots of a peer: one-way messages may
	// use one half, so that a flood of them cannot cause calls that a caller waits for
	// to be refused.
	notifySlotsDivisor = 2
	// maxCallTime bounds a call whose context has no deadline or a later one.
	maxCallTime = 2 * time.Minute
	// maxAttempts includes the first attempt and the one on a new connection.
	maxAttempts = 2
)

// ClientOptions configure a Client; zero values take the defaults.
type ClientOptions struct {
	// DialTimeout bounds one attempt to connect; default 500 ms.
	DialTimeout time.Duration
	// MaxPending bounds the unanswered calls of one peer; default 1024.
	MaxPending int
	// IdleTimeout is how long an unused connection is kept; default 30 s.
	IdleTimeout time.Duration
	// NotifyTimeout bounds a one-way message; default 1 s.
	NotifyTimeout time.Duration
	// ControlServices names the services whose calls use a separate connection to
	// each peer, so that a probe never waits behind a large body; default "Members".
	ControlServices []string
	// LocalIP is the address to dial from; empty leaves it to the system.
	LocalIP string
	// Logger logs each stalled connection that is dropped; may be nil.
	Logger *zap.Logger
	// Metrics receives the counters; may be nil.
	Metrics *metrics.Set
}

// Client implements Caller.
type Client struct {
	opt     ClientOptions
	dialer  net.Dialer
	control map[string]bool
	meter   *meter
	stop    chan struct{}

	mu     sync.Mutex
	closed bool
	peers  map[string]*remote
}

var _ Caller = (*Client)(nil)

// NewClient returns a client without connections. The caller must close it with Close.
func NewClient(o ClientOptions) *Client {
	c := &Client{opt: o.withDefaults(), control: make(map[string]bool), peers: make(map[string]*remote), stop: make(chan struct{})}
	c.dialer.Timeout = c.opt.DialTimeout
	if ip := net.ParseIP(o.LocalIP); ip != nil {
		c.dialer.LocalAddr = &net.TCPAddr{IP: ip}
	}
	for _, name := range c.opt.ControlServices {
		c.control[name] = true
	}
	c.meter = newMeter(c.opt.Metrics)
	go c.idleLoop()
	return c
}

func (o ClientOptions) withDefaults() ClientOptions {
	if o.DialTimeout <= 0 {
		o.DialTimeout = defaultDialTimeout
	}
	if o.MaxPending <= 0 {
		o.MaxPending = defaultMaxPending
	}
	if o.IdleTimeout <= 0 {
		o.IdleTimeout = defaultIdleTimeout
	}
	if o.NotifyTimeout <= 0 {
		o.NotifyTimeout = defaultNotifyTimeout
	}
	if o.ControlServices == nil {
		o.ControlServices = []string{"Members"}
	}
	if o.Logger == nil {
		o.Logger = zap.NewNop()
	}
	if o.Metrics == nil {
		o.Metrics = metrics.NewSet()
	}
	return o
}

// Call implements Caller. Neither args nor what it points to may be changed after
// the call, because after a timeout the encoder may still be reading it. The reply
// is written only if the error is nil.
func (c *Client) Call(ctx context.Context, address, method string, args, reply any) error {
	err := c.call(ctx, address, method, args, reply, c.opt.MaxPending)
	c.meter.count(method, err)
	return err
}

// Notify implements Caller.
func (c *Client) Notify(address, method string, args any) {
	r, err := c.remote(address)
	if err == nil {
		err = r.reserve(c.opt.MaxPending / notifySlotsDivisor)
	}
	if err != nil {
		c.meter.count(method, err)
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), c.opt.NotifyTimeout)
		defer cancel()
		c.meter.count(method, c.exchange(ctx, r, method, args, nil))
	}()
}

// Close closes all connections; calls in flight fail with NoReply.
func (c *Client) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil
	}
	c.closed = true
	close(c.stop)
	for _, r := range c.peers {
		r.close()
	}
	return nil
}

func (c *Client) call(ctx context.Context, address, method string, args, reply any, limit int) error {
	r, err := c.remote(address)
	if err != nil {
		return err
	}
	if err := r.reserve(limit); err != nil {
		return err
	}
	return c.exchange(ctx, r, method, args, reply)
}

// exchange runs one call in a reserved slot of r. The call is attempted again, on a
// new connection, only if it failed before it was written, as on a connection that the
// peer has closed since the last call.
func (c *Client) exchange(ctx context.Context, r *remote, method string, args, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, maxCallTime)
	defer cancel()
	defer r.release()
	l := r.lane(c.isControl(method))
	for attempt := 1; ; attempt++ {
		conn, err := l.connect(ctx)
		if err != nil {
			return err
		}
		err = c.attempt(ctx, l, conn, method, args, reply)
		if !IsUnreachable(err) || attempt == maxAttempts || ctx.Err() != nil {
			return err
		}
	}
}

// attempt runs one call on conn. The reply is decoded into a new value, because a
// reply that arrives after the caller has returned must not be written into memory
// that the caller may be reusing.
func (c *Client) attempt(ctx context.Context, l *lane, conn *clientConn, method string, args, reply any) error {
	callReply := newReply(reply)
	env := &envelope{args: args}
	done := make(chan error, 1)
	startedAt := time.Now()
	go func() { done <- conn.roundTrip(env, method, callReply) }()
	select {
	case err := <-done:
		if err == nil && reply != nil {
			reflect.ValueOf(reply).Elem().Set(reflect.ValueOf(callReply).Elem())
		}
		return err
	case <-ctx.Done():
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			l.timedOut(conn, startedAt)
		}
		l.remote.holdUntil(done)
		if env.withdraw() {
			return Unreachable.Wrap(ctx.Err(), "%s at %s was not sent", method, l.remote.address)
		}
		return NoReply.Wrap(ctx.Err(), "%s at %s", method, l.remote.address)
	}
}

func newReply(reply any) any {
	if reply == nil {
		return nil
	}
	return reflect.New(reflect.TypeOf(reply).Elem()).Interface()
}

func (c *Client) isControl(method string) bool {
	service, _, _ := strings.Cut(method, ".")
	return c.control[service]
}

func (c *Client) remote(address string) (*remote, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil, Unreachable.New("the client is closed")
	}
	r := c.peers[address]
	if r == nil {
		r = newRemote(c, address)
		c.peers[address] = r
	}
	r.lastUse = time.Now()
	return r, nil
}

// idleLoop removes peers that have not been called within IdleTimeout and closes their
// connections, so that a daemon keeps connections only to peers that it calls.
func (c *Client) idleLoop() {
	ticker := time.NewTicker(c.opt.IdleTimeout / 2)
	defer ticker.Stop()
	for {
		select {
		case <-c.stop:
			return
		case now := <-ticker.C:
			c.closeIdle(now)
		}
	}
}

func (c *Client) closeIdle(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, r := range c.peers {
		if now.Sub(r.lastUse) < c.opt.IdleTimeout || r.pending.Load() > 0 {
			continue
		}
		r.close()
		delete(c.peers, address)
	}
}
