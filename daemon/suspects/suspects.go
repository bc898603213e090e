// Package suspects shares between daemons which requests ran on targets as they crashed,
// so that a request which crashes every target that runs it is refused everywhere, also
// when its caller sends it to another daemon.
package suspects

import (
	"context"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/joomcode/errorx"
	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"tarragonhollow.example/tarragonhollow/core/crashparts"
	"tarragonhollow.example/tarragonhollow/core/membership"
	"tarragonhollow.example/tarragonhollow/core/retry"
	"tarragonhollow.example/tarragonhollow/daemon/duty"
	"tarragonhollow.example/tarragonhollow/extern/partlog"
	"tarragonhollow.example/tarragonhollow/peer"
)

const (
	// ServiceName is the net/rpc name of this package's service.
	ServiceName     = "Suspects"
	broadcastMethod = ServiceName + ".Tell"
	allMethod       = ServiceName + ".All"

	// broadcastBurst rounds are sent without delay, so that a crash is known everywhere
	// before its caller can send the request to another daemon; a flood of crashes is
	// grouped into one round every broadcastEvery.
	broadcastBurst = 20
	broadcastEvery = 200 * time.Millisecond
	// defaultBroadcastWait bounds how long the end of a request that crashed a target
	// waits for the other daemons to receive the crash; a peer that is down costs no more
	// than that.
	defaultBroadcastWait = 100 * time.Millisecond
	// callTimeout bounds one call of a peer.
	callTimeout = time.Second
	// maxPending bounds the crashes that wait to be broadcast.
	maxPending = 256
)

var (
	namespace  = errorx.NewNamespace("suspects")
	badOptions = namespace.NewType("options")
)

// Fleet lists the daemons.
type Fleet interface {
	// Self returns this daemon's own entry.
	Self() membership.Member
	// Members returns all daemons; the caller owns the slice.
	Members() []membership.Member
}

// Options configure a Tracker.
type Options struct {
	// View lists the daemons; required.
	View Fleet
	// Peer carries the calls; required.
	Peer peer.Caller
	// Registrar registers the service; required.
	Registrar peer.Registrar
	// Limit returns how many targets a request may crash; required.
	Limit func() int
	// BroadcastWait bounds how long Crashed waits for the other daemons to receive the
	// crash; default 100 ms.
	BroadcastWait time.Duration
	// Clock returns the time; default time.Now.
	Clock func() time.Time
	// Zones are all availability zones; nil for one.
	Zones []string
	// Log and Topic are where crashes are kept for daemons that other daemons don't reach; Log may
	// be nil.
	Log   partlog.Log
	Topic string
	// Logger gets one line for each quarantined request and each refused part; may be nil.
	Logger *zap.Logger
	// Metrics receives the counters; may be nil.
	Metrics *metrics.Set
}

// Tracker is this daemon's copy of the fleet's knowledge of crashes. It is safe for
// concurrent use, by the online path as well as by stewards.
type Tracker struct {
	opt     Options
	crashes *metrics.Counter
	wake    chan struct{}

	// kept is the part of the crashes that this daemon keeps in the log.
	kept *keptCrashes

	mu      sync.Mutex
	core    *retry.Suspects
	pending []retry.Crash
	// parts is the evidence on prompt parts, pendingParts what of it waits to be broadcast.
	parts        *crashparts.Evidence
	pendingParts []crashparts.Crash
	// limited holds the parts with which a request runs here that must be the only one, waiting
	// what is called when a request is refused while it waits.
	limited map[string]bool
	waiting map[*waiter]bool
	// next is closed when the pending crashes have been broadcast; current, nil if there
	// is none, when the broadcast under way has been.
	next, current chan struct{}
}

// Message carries crashes between daemons.
type Message struct {
	// From is the sender's incarnation ID.
	From string
	// Crashes are the crashes that the sender knows, by the requests that ran there, and Parts by
	// the parts of their prompts.
	Crashes []retry.Crash
	Parts   []crashparts.Crash
}

// New returns an empty tracker and registers its service.
func New(o Options) (*Tracker, error) {
	if o.View == nil || o.Peer == nil || o.Registrar == nil || o.Limit == nil {
		return nil, badOptions.New("View, Peer, Registrar and Limit are required")
	}
	if o.BroadcastWait <= 0 {
		o.BroadcastWait = defaultBroadcastWait
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
		next:    make(chan struct{}),
		core:    retry.NewSuspects(o.Limit()),
		parts:   crashparts.New(),
		limited: map[string]bool{},
		waiting: map[*waiter]bool{},
	}
	t.kept = newKeptCrashes(t)
	return t, o.Registrar.Register(ServiceName, &service{t})
}

// Verdict returns whether and how the request may run.
func (t *Tracker) Verdict(fingerprint string) retry.Verdict {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.core.VerdictAt(t.opt.Clock().UnixMilli(), fingerprint)
}

// Crashed records a crash seen here, and returns once the other daemons have received it,
// after BroadcastWait at the latest. AtMs may be 0,
// which stands for the present time.
//
// Failure guarded against: the caller gets its refusal, sends the request to another
// daemon at once, and that daemon, not knowing of the crash, lets it crash a further
// target. The request has ended, so only its accounting is delayed. A crash that is known
// already waits too: its broadcast may still be under way.
func (t *Tracker) Crashed(c retry.Crash) {
	if c.AtMs == 0 {
		c.AtMs = t.opt.Clock().UnixMilli()
	}
	t.crashes.Inc()
	if t.apply([]retry.Crash{c}) {
		t.queueBroadcast([]retry.Crash{c}, nil)
		t.kept.add([]retry.Crash{c}, nil)
	}
	t.awaitBroadcast()
}

// awaitBroadcast waits for the broadcast of everything that is known now.
func (t *Tracker) awaitBroadcast() {
	t.mu.Lock()
	round := t.current
	if len(t.pending)+len(t.pendingParts) > 0 {
		round = t.next
	}
	t.mu.Unlock()
	if round == nil {
		return
	}
	timer := time.NewTimer(t.opt.BroadcastWait)
	defer timer.Stop()
	select {
	case <-round:
	case <-timer.C:
	}
}

// Completed records that the request ran to its end: it is no longer a suspect.
func (t *Tracker) Completed(fingerprint string) {
	t.mu.Lock()
	changed := t.core.Completed(fingerprint)
	t.mu.Unlock()
	if len(changed) > 0 {
		t.queueBroadcast(changed, nil)
		t.kept.add(changed, nil)
	}
}

// apply applies crashes and reports whether any was new. It logs the requests that they
// quarantine.
func (t *Tracker) apply(crashes []retry.Crash) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.core.SetLimit(t.opt.Limit())
	now := t.opt.Clock().UnixMilli()
	changed := false
	for _, c := range crashes {
		before := t.quarantinedBy(c)
		if !t.core.Apply(now, c) {
			continue
		}
		changed = true
		t.logQuarantined(c, before)
	}
	return changed
}

func (t *Tracker) quarantinedBy(c retry.Crash) map[string]bool {
	quarantined := map[string]bool{}
	for _, f := range c.Running {
		quarantined[f] = t.core.Verdict(f) == retry.Quarantined
	}
	return quarantined
}

func (t *Tracker) logQuarantined(c retry.Crash, before map[string]bool) {
	for _, f := range c.Running {
		if before[f] || t.core.Verdict(f) != retry.Quarantined {
			continue
		}
		t.opt.Logger.Warn("request_condemned",
			zap.String("fingerprint", f), zap.String("target", c.Target),
			zap.Int("running_there", c.Total), zap.Int("crash_limit", t.opt.Limit()))
	}
}

func (t *Tracker) queueBroadcast(crashes []retry.Crash, parts []crashparts.Crash) {
	t.mu.Lock()
	t.pending = newest(append(t.pending, crashes...))
	t.pendingParts = newest(append(t.pendingParts, parts...))
	t.mu.Unlock()
	duty.Wake(t.wake)
}

// newest returns the last maxPending elements.
func newest[T any](list []T) []T { return list[max(0, len(list)-maxPending):] }

// Run starts the tracker's goroutines.
func (t *Tracker) Run(g *duty.Group) {
	g.Go(t.broadcastLoop)
	g.Go(t.pullLoop)
	g.Go(t.expireLoop)
	if t.opt.Log != nil {
		g.Go(t.kept.follow)
		g.Go(t.kept.write)
	}
}

// broadcastLoop broadcasts new crashes to all live daemons. Crashes are rare, so the
// fan-out normally costs nothing. A peer that does not answer must not delay the next
// round, so calls may outlast their round; callTimeout and the rate of rounds bound their
// number.
func (t *Tracker) broadcastLoop(ctx context.Context) {
	var calls sync.WaitGroup
	defer calls.Wait()
	rounds := rate.NewLimiter(rate.Every(broadcastEvery), broadcastBurst)
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.wake:
		}
		if rounds.Wait(ctx) != nil {
			return
		}
		message, done := t.beginRound()
		if len(message.Crashes)+len(message.Parts) > 0 {
			t.broadcast(ctx, &calls, message)
		}
		t.endRound(done)
	}
}

// beginRound takes the pending crashes.
func (t *Tracker) beginRound() (*Message, chan struct{}) {
	self := t.opt.View.Self()
	t.mu.Lock()
	defer t.mu.Unlock()
	message := &Message{From: self.ID(), Crashes: t.pending, Parts: t.pendingParts}
	t.pending, t.pendingParts = nil, nil
	t.current, t.next = t.next, make(chan struct{})
	return message, t.current
}

func (t *Tracker) endRound(done chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.current = nil
	close(done)
}

// broadcast returns when all others have received the crashes, or after BroadcastWait.
func (t *Tracker) broadcast(ctx context.Context, calls *sync.WaitGroup, message *Message) {
	self := t.opt.View.Self()
	var round sync.WaitGroup
	for _, m := range t.opt.View.Members() {
		if m.Host == self.Host {
			continue
		}
		round.Add(1)
		calls.Go(func() {
			defer round.Done()
			t.call(ctx, m.PeerAddress, broadcastMethod, message, &Message{})
		})
	}
	done := make(chan struct{})
	calls.Go(func() { round.Wait(); close(done) })
	timer := time.NewTimer(t.opt.BroadcastWait)
	defer timer.Stop()
	select {
	case <-done:
	case <-timer.C:
	}
}

func (t *Tracker) call(ctx context.Context, address, method string, args, reply *Message) bool {
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return t.opt.Peer.Call(call, address, method, args, reply) == nil
}
