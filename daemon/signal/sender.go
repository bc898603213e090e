package signal

import (
	"context"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/joomcode/errorx"

	"tarragonhollow.example/tarragonhollow/core/membership"
	"tarragonhollow.example/tarragonhollow/daemon/duty"
	"tarragonhollow.example/tarragonhollow/peer"
)

const (
	// defaultGroupEvery is how long changes are collected into one message.
	defaultGroupEvery = 5 * time.Millisecond
	// defaultRefreshEvery is how often counts that are not zero are sent again, to make up
	// for lost messages and to inform a new steward.
	defaultRefreshEvery = 500 * time.Millisecond
	// deliverTimeout bounds one delivery.
	deliverTimeout = 500 * time.Millisecond
	// zeroRepeats is how often a count that fell to zero is still refreshed: the message
	// that carries the zero may be lost as well.
	zeroRepeats = 3
	// watchPerDaemon scales the period at which the reports of idle targets are
	// requested, so that a steward receives at most 200 such signals a second from the
	// fleet.
	watchPerDaemon = 5 * time.Millisecond
	// watchSlack absorbs the refresh ticker's jitter.
	watchSlack = 50 * time.Millisecond
)

var (
	namespace  = errorx.NewNamespace("signal")
	badOptions = namespace.NewType("options")
)

// Options configure a Sender.
type Options struct {
	// View names the steward of a target; required.
	View membership.View
	// Peer carries the signals; required.
	Peer peer.Caller
	// GroupEvery is how long changes are collected into one signal; default 5 ms.
	GroupEvery time.Duration
	// RefreshEvery is the refresh period of counts that are not zero; default 500 ms.
	RefreshEvery time.Duration
	// Metrics receives the counters; may be nil.
	Metrics *metrics.Set
}

// Sender counts this daemon's online requests by target and sends the counts to the
// stewards. Begin and End only change counters under a short lock: no request ever waits
// for a message.
type Sender struct {
	opt          Options
	sent, failed *metrics.Counter
	wake         chan struct{}
	// deliveries are the deliveries in flight, at most one per steward.
	deliveries      sync.WaitGroup
	mu              sync.Mutex
	loads           map[string]*load
	seq             uint64
	local           Receiver
	onTargetReports func([]TargetReport)
	inFlight        map[string]bool
}

type load struct {
	TargetLoad
	dirty bool
	// watched reports that the target's report is also requested while none of this
	// daemon's requests runs there.
	watched bool
	// sentAt is when the count was last sent.
	sentAt time.Time
	// repeats counts the refreshes left after the count fell to zero.
	repeats int
}

// NewSender returns a sender without load.
func NewSender(o Options) (*Sender, error) {
	if o.View == nil || o.Peer == nil {
		return nil, badOptions.New("View and Peer are required")
	}
	if o.GroupEvery <= 0 {
		o.GroupEvery = defaultGroupEvery
	}
	if o.RefreshEvery <= 0 {
		o.RefreshEvery = defaultRefreshEvery
	}
	if o.Metrics == nil {
		o.Metrics = metrics.NewSet()
	}
	return &Sender{
		opt:      o,
		sent:     o.Metrics.GetOrCreateCounter("tarragonhollow_signal_sent_total"),
		failed:   o.Metrics.GetOrCreateCounter("tarragonhollow_signal_failed_total"),
		wake:     make(chan struct{}, 1),
		loads:    map[string]*load{},
		inFlight: map[string]bool{},
	}, nil
}

// SetLocal sets this daemon's own receiver, for the targets whose steward it is itself.
// It must be called before Run.
func (s *Sender) SetLocal(r Receiver) { s.local = r }

// OnTargetReports sets the function that receives the stewards' reports. It must be
// called before Run; the function must return at once.
func (s *Sender) OnTargetReports(f func([]TargetReport)) { s.onTargetReports = f }

// Watch sets the targets that may be picked. Their stewards' reports are requested now
// and then even while none of this daemon's requests runs there: otherwise a target that
// only other daemons use would look empty.
func (s *Sender) Watch(addresses []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, l := range s.loads {
		l.watched = false
	}
	for _, address := range addresses {
		s.load(address).watched = true
	}
	for address, l := range s.loads {
		if !l.watched && !l.dirty && l.Online == 0 && l.repeats == 0 {
			delete(s.loads, address)
		}
	}
}

// load returns the target's counts. The lock is held.
func (s *Sender) load(address string) *load {
	l := s.loads[address]
	if l == nil {
		l = &load{TargetLoad: TargetLoad{Address: address}}
		s.loads[address] = l
	}
	return l
}

// Begin counts a request that is about to be sent to the target.
func (s *Sender) Begin(address string, promptTokens int) {
	s.mu.Lock()
	l := s.load(address)
	l.Online++
	l.Started++
	l.PromptTokens += promptTokens
	l.dirty = true
	s.mu.Unlock()
	s.wakeLoop()
}

// End counts the end of a request that Begin counted.
func (s *Sender) End(address string, promptTokens int) {
	s.mu.Lock()
	if l := s.loads[address]; l != nil {
		l.Online = max(0, l.Online-1)
		l.PromptTokens = max(0, l.PromptTokens-promptTokens)
		l.dirty = true
		l.repeats = zeroRepeats
	}
	s.mu.Unlock()
	s.wakeLoop()
}

func (s *Sender) wakeLoop() { duty.Wake(s.wake) }

// Run starts the sending goroutine.
func (s *Sender) Run(g *duty.Group) { g.Go(s.sendLoop) }

func (s *Sender) sendLoop(ctx context.Context) {
	defer s.deliveries.Wait()
	refresh := time.NewTicker(s.opt.RefreshEvery)
	defer refresh.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-refresh.C:
			s.send(ctx, true)
		case <-s.wake:
			s.send(ctx, false)
			if !duty.Pause(ctx, s.opt.GroupEvery) {
				return
			}
		}
	}
}

// send delivers the counts that are due, in one signal for each steward: the changed ones,
// and at a refresh also those that are not zero, that repeat a zero or whose target is
// watched. One delivery per steward is in flight at a time: meanwhile its targets stay
// dirty, and their newest counts are sent after it.
func (s *Sender) send(ctx context.Context, refresh bool) {
	self := s.opt.View.Self().ID()
	for steward, signal := range s.collect(self, refresh) {
		if steward.id == self {
			s.deliverLocal(signal)
			continue
		}
		s.deliveries.Go(func() { s.deliver(ctx, steward, signal) })
	}
}

// destination identifies a steward.
type destination struct {
	id, address string
}

func (s *Sender) collect(self string, refresh bool) map[destination]Signal {
	s.mu.Lock()
	defer s.mu.Unlock()
	due := map[destination]Signal{}
	s.seq++
	now := time.Now()
	watch := max(s.opt.RefreshEvery, time.Duration(len(s.opt.View.Members()))*watchPerDaemon)
	for address, l := range s.loads {
		idle := refresh && l.watched && now.Sub(l.sentAt) >= watch-watchSlack
		if !l.due(refresh) && !idle {
			continue
		}
		member, ok := StewardOf(s.opt.View, address)
		to := destination{member.ID(), member.PeerAddress}
		if !ok || s.inFlight[to.id] {
			continue
		}
		signal := due[to]
		signal.Entry, signal.Seq = self, s.seq
		signal.Targets = append(signal.Targets, l.TargetLoad)
		due[to] = signal
		l.dirty, l.sentAt = false, now
	}
	for to := range due {
		s.inFlight[to.id] = to.id != self
	}
	return due
}

// due reports whether the count is to be sent now. Each refresh of a zero count uses up
// one of its repeats.
func (l *load) due(refresh bool) bool {
	if l.dirty {
		return true
	}
	if !refresh {
		return false
	}
	if l.Online > 0 {
		return true
	}
	if l.repeats > 0 {
		l.repeats--
		return true
	}
	return false
}

func (s *Sender) deliverLocal(signal Signal) {
	s.sent.Inc()
	if s.local != nil {
		s.receive(s.local.OnSignal(signal))
	}
}

func (s *Sender) deliver(ctx context.Context, to destination, signal Signal) {
	call, cancel := context.WithTimeout(ctx, deliverTimeout)
	defer cancel()
	var reply Reply
	err := s.opt.Peer.Call(call, to.address, DeliverMethod, &signal, &reply)
	s.sent.Inc()
	s.finish(to.id, signal, err)
	if err == nil {
		s.receive(reply.Words)
	}
}

// finish frees the steward for the next signal. A failed delivery is not repeated at
// once: the next refresh makes up for it, and a steward that is down costs one message
// per refresh, not one per request.
func (s *Sender) finish(steward string, signal Signal, err error) {
	s.mu.Lock()
	delete(s.inFlight, steward)
	again := false
	for _, t := range signal.Targets {
		l := s.load(t.Address)
		again = again || l.dirty
		if err != nil {
			l.repeats = zeroRepeats
		}
	}
	s.mu.Unlock()
	if err != nil {
		s.failed.Inc()
		return
	}
	if again {
		s.wakeLoop()
	}
}

func (s *Sender) receive(reports []TargetReport) {
	if s.onTargetReports != nil && len(reports) > 0 {
		s.onTargetReports(reports)
	}
}
