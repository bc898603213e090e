// Package suspects shares between daemons which requests ran on targets as
// they crashed, so that a request which crashes every target that runs it is
// refused everywhere, also when its caller sends it to another daemon.
package suspects

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/joomcode/errorx"
	"go.uber.org/zap"

	"tarragonhollow.example/tarragonhollow/core/membership"
	"tarragonhollow.example/tarragonhollow/core/retry"
	"tarragonhollow.example/tarragonhollow/daemon/duty"
	"tarragonhollow.example/tarragonhollow/peer"
)

const (
	// ServiceName is the net/rpc name of this package's service.
	ServiceName = "Suspects"
	tellMethod  = ServiceName + ".Tell"
	allMethod   = ServiceName + ".All"

	// tellEvery groups what is told to the other daemons.
	tellEvery = 200 * time.Millisecond
	// callTimeout bounds one call of a peer.
	callTimeout = time.Second
	// pullEvery is the wait between tries to learn from a peer after the start;
	// repullEvery is the wait afterwards, which heals what was told in vain.
	pullEvery   = 500 * time.Millisecond
	repullEvery = 30 * time.Second
	// expireEvery is how often old crashes are forgotten.
	expireEvery = time.Minute
	// maxPending bounds the crashes that wait to be told.
	maxPending = 256
)

var (
	namespace  = errorx.NewNamespace("suspects")
	badOptions = namespace.NewType("options")
)

// Options configure a Tracker.
type Options struct {
	// View names the other daemons; required.
	View membership.View
	// Peer carries the calls; required.
	Peer peer.Caller
	// Registrar takes the service; required.
	Registrar peer.Registrar
	// Limit returns how many targets a request may crash; required.
	Limit func() int
	// Clock returns the time; default time.Now.
	Clock func() time.Time
	// Logger gets one line for each condemned request; may be nil.
	Logger *zap.Logger
	// Metrics receives the counters; may be nil.
	Metrics *metrics.Set
}

// Tracker is this daemon's copy of the fleet's knowledge. It is safe for
// concurrent use, by the online path as well as by stewards.
type Tracker struct {
	opt     Options
	crashes *metrics.Counter
	wake    chan struct{}

	mu      sync.Mutex
	core    *retry.Suspects
	pending []retry.Crash
}

// Message carries crashes between daemons.
type Message struct {
	// From is the sender's incarnation id.
	From string
	// Crashes are what the sender learned.
	Crashes []retry.Crash
}

// New returns an empty tracker and registers its service.
func New(o Options) (*Tracker, error) {
	if o.View == nil || o.Peer == nil || o.Registrar == nil || o.Limit == nil {
		return nil, badOptions.New("View, Peer, Registrar and Limit are required")
	}
	if o.Clock == nil {
		o.Clock = time.Now
	}
	if o.Logger == nil {
		o.Logger = zap.NewNop()
	}
	if o.Metrics == nil {
		o.Metrics = metrics.NewSet()
	}
	t := &Tracker{
		opt:     o,
		crashes: o.Metrics.GetOrCreateCounter("tarragonhollow_suspects_crashes_total"),
		wake:    make(chan struct{}, 1),
		core:    retry.NewSuspects(o.Limit()),
	}
	return t, o.Registrar.Register(ServiceName, &service{t})
}

// Verdict returns what may be done with the request.
func (t *Tracker) Verdict(fingerprint string) retry.Verdict {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.core.Verdict(fingerprint)
}

// Crashed notes a crash seen here. AtMs may be 0 for now.
func (t *Tracker) Crashed(c retry.Crash) {
	if c.AtMs == 0 {
		c.AtMs = t.opt.Clock().UnixMilli()
	}
	t.crashes.Inc()
	if t.learn([]retry.Crash{c}) {
		t.tellLater([]retry.Crash{c})
	}
}

// Completed notes that the request ran to its end: it is no suspect any more.
func (t *Tracker) Completed(fingerprint string) {
	t.mu.Lock()
	changed := t.core.Completed(fingerprint)
	t.mu.Unlock()
	if len(changed) > 0 {
		t.tellLater(changed)
	}
}

// learn takes crashes and tells whether any was new. It logs who became
// condemned by them.
func (t *Tracker) learn(crashes []retry.Crash) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.core.SetLimit(t.opt.Limit())
	changed := false
	for _, c := range crashes {
		before := t.condemnedOf(c)
		if !t.core.Crashed(c) {
			continue
		}
		changed = true
		t.logCondemned(c, before)
	}
	return changed
}

func (t *Tracker) condemnedOf(c retry.Crash) map[string]bool {
	condemned := map[string]bool{}
	for _, f := range c.Running {
		condemned[f] = t.core.Verdict(f) == retry.Condemned
	}
	return condemned
}

func (t *Tracker) logCondemned(c retry.Crash, before map[string]bool) {
	for _, f := range c.Running {
		if before[f] || t.core.Verdict(f) != retry.Condemned {
			continue
		}
		t.opt.Logger.Warn("request_condemned",
			zap.String("fingerprint", f), zap.String("target", c.Target),
			zap.Int("running_there", c.Total), zap.Int("crash_limit", t.opt.Limit()))
	}
}

func (t *Tracker) tellLater(crashes []retry.Crash) {
	t.mu.Lock()
	t.pending = append(t.pending, crashes...)
	if extra := len(t.pending) - maxPending; extra > 0 {
		t.pending = t.pending[extra:]
	}
	t.mu.Unlock()
	select {
	case t.wake <- struct{}{}:
	default:
	}
}

// Run starts the duties.
func (t *Tracker) Run(g *duty.Group) {
	g.Go(t.tellLoop)
	g.Go(t.pullLoop)
	g.Go(t.expireLoop)
}

// tellLoop tells all live daemons what is new here, at most every tellEvery.
// Crashes are rare, so the fan-out costs nothing in ordinary times.
func (t *Tracker) tellLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.wake:
		}
		t.tell(ctx)
		if !pause(ctx, tellEvery) {
			return
		}
	}
}

func (t *Tracker) tell(ctx context.Context) {
	t.mu.Lock()
	crashes := t.pending
	t.pending = nil
	t.mu.Unlock()
	self := t.opt.View.Self()
	message := &Message{From: self.ID(), Crashes: crashes}
	var all sync.WaitGroup
	for _, m := range t.opt.View.Members() {
		if m.Host == self.Host {
			continue
		}
		all.Go(func() { t.call(ctx, m.PeerAddress, tellMethod, message, &Message{}) })
	}
	all.Wait()
}

func (t *Tracker) call(ctx context.Context, address, method string, args, reply *Message) bool {
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return t.opt.Peer.Call(call, address, method, args, reply) == nil
}

// pullLoop learns from one random peer what happened before this daemon
// started, and now and then what it was told in vain.
func (t *Tracker) pullLoop(ctx context.Context) {
	wait := pullEvery
	for pause(ctx, wait) {
		self := t.opt.View.Self()
		others := t.opt.View.Members()
		others = others[:without(others, self.Host)]
		if len(others) == 0 {
			continue
		}
		from := others[rand.IntN(len(others))]
		var reply Message
		if t.call(ctx, from.PeerAddress, allMethod, &Message{From: self.ID()}, &reply) {
			t.learn(reply.Crashes)
			wait = repullEvery
		}
	}
}

// without moves the named host out of the list and returns the new length.
func without(members []membership.Member, host string) int {
	n := 0
	for _, m := range members {
		if m.Host != host {
			members[n] = m
			n++
		}
	}
	return n
}

func (t *Tracker) expireLoop(ctx context.Context) {
	for pause(ctx, expireEvery) {
		t.mu.Lock()
		t.core.Expire(t.opt.Clock().UnixMilli())
		t.mu.Unlock()
	}
}

func pause(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// service is the net/rpc face of a Tracker.
type service struct {
	tracker *Tracker
}

// Tell takes crashes from another daemon. They are not passed on: the one who
// saw them tells everybody.
func (s *service) Tell(m *Message, _ *Message) error {
	s.tracker.learn(m.Crashes)
	return nil
}

// All answers with everything known here.
func (s *service) All(_ *Message, reply *Message) error {
	s.tracker.mu.Lock()
	defer s.tracker.mu.Unlock()
	reply.From = s.tracker.opt.View.Self().ID()
	reply.Crashes = s.tracker.core.Crashes()
	return nil
}
