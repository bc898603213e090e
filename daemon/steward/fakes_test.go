package steward

import (
	"context"
	"errors"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tarragonhollow.example/tarragonhollow/core/config"
	"tarragonhollow.example/tarragonhollow/core/ledger"
	"tarragonhollow.example/tarragonhollow/core/membership"
	"tarragonhollow.example/tarragonhollow/daemon/duty"
	"tarragonhollow.example/tarragonhollow/daemon/signal"
	"tarragonhollow.example/tarragonhollow/target"
	"tarragonhollow.example/tarragonhollow/target/faketarget"
)

func TestSteward(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "steward")
}

const (
	engineA = "10.0.0.1:80"
	engineB = "10.0.0.2:80"
)

var self = membership.Member{Host: "h1", Incarnation: 7, PeerAddress: "10.1.0.1:70", Shards: []membership.ShardHold{{Shard: 1, Term: 1}}}

// fakeView is a view with one member. lost makes another daemon the steward of all targets,
// and leaving marks targets as leaving.
type fakeView struct {
	mu      sync.Mutex
	leaving map[string]bool
	lost    bool
}

func (v *fakeView) Self() membership.Member              { return self }
func (v *fakeView) Members() []membership.Member         { return []membership.Member{self} }
func (v *fakeView) Holder(int) (membership.Member, bool) { return self, true }
func (v *fakeView) LiveID(string) bool                   { return true }

func (v *fakeView) First(key string) (membership.Member, bool) {
	return membership.FirstOf(v.Successors(key))
}

func (v *fakeView) Successors(string) []membership.Member {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.lost {
		return []membership.Member{{Host: "h2", Incarnation: 9}, self}
	}
	return []membership.Member{self}
}

func (v *fakeView) TargetLeaving(address string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.leaving[address]
}

func (v *fakeView) set(change func()) {
	v.mu.Lock()
	defer v.mu.Unlock()
	change()
}

// fakeLedger is an owner that leases items in order and records their ends.
type fakeLedger struct {
	ledger.Client
	mu      sync.Mutex
	waiting []ledger.LeasedItem
	leased  map[ledger.ItemRef]ledger.LeasedItem
	answers map[string]string
	ends    []ledger.ItemEnd
	leaseMs int64
	lines   int
	// forecast is returned for every job; zero is unknown.
	forecast time.Time
	// unreachable makes pulls fail and leaves all ends undelivered. cancelListed makes every
	// reply report the items listed in its pull as cancelled; listed holds those of the last
	// pull that listed any.
	unreachable  bool
	cancelListed bool
	listed       []ledger.ItemRef
	// only, if set, is the only group whose pulls get items.
	only string
	// gate, if set, delays pull replies with items until it is closed.
	gate chan struct{}
}

var errUnreachable = errors.New("the owner is unreachable")

func (l *fakeLedger) Pull(_ context.Context, _ string, req ledger.PullRequest) (ledger.PullReply, error) {
	l.mu.Lock()
	if l.unreachable {
		l.mu.Unlock()
		return ledger.PullReply{}, errUnreachable
	}
	n := min(req.Max, len(l.waiting))
	if l.only != "" && req.Group != l.only {
		n = 0
	}
	reply := ledger.PullReply{Items: l.waiting[:n:n], LeaseMs: l.leaseMs, Backlog: len(l.waiting) - n}
	l.waiting = l.waiting[n:]
	if len(req.Running) > 0 {
		l.listed = req.Running
	}
	if l.cancelListed {
		reply.Cancelled = req.Running
	}
	if len(l.waiting) > 0 {
		reply.EarliestDueMs = l.waiting[0].DueMs
	}
	for _, it := range reply.Items {
		l.leased[it.Ref] = it
	}
	gate := l.gate
	l.mu.Unlock()
	if gate != nil && n > 0 {
		<-gate
	}
	return reply, nil
}

func (l *fakeLedger) Job(context.Context, string) (ledger.JobStatus, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.forecast.IsZero() {
		return ledger.JobStatus{}, nil
	}
	return ledger.JobStatus{ForecastMs: l.forecast.UnixMilli()}, nil
}

// FinishItems stores answers, and queues unfinished and crashed items again under the next
// attempt.
func (l *fakeLedger) FinishItems(_ context.Context, req ledger.FinishItemsRequest) ([]ledger.ItemEnd, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.unreachable {
		return req.Ends, nil
	}
	for _, end := range req.Ends {
		l.ends = append(l.ends, end)
		it, ok := l.leased[end.Ref]
		if !ok {
			continue
		}
		delete(l.leased, end.Ref)
		if end.Answer != nil {
			l.answers[it.Item.CustomID] = string(end.Answer.Body)
			continue
		}
		if end.Final || (end.Crashed && end.Alone) {
			continue
		}
		it.Ref.Attempt++
		it.Progress, it.Suspect = end.Progress, end.Crashed
		l.waiting = append(l.waiting, it)
	}
	return nil, nil
}

func (l *fakeLedger) add(job, profile string, ids ...string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, id := range ids {
		body := `{"model":"m","messages":[{"role":"user","content":"` + id + `"}],"max_tokens":6,"seed":1}`
		l.waiting = append(l.waiting, ledger.LeasedItem{
			Ref:     ledger.ItemRef{Job: job, Index: l.lines, Attempt: 1},
			Item:    ledger.Item{CustomID: id, URL: "/v1/chat/completions", Body: []byte(body)},
			Profile: profile,
			DueMs:   time.Now().Add(24 * time.Hour).UnixMilli(),
		})
		l.lines++
	}
}

func (l *fakeLedger) leases() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.leased)
}

func (l *fakeLedger) set(change func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	change()
}

func (l *fakeLedger) answered() map[string]string {
	l.mu.Lock()
	defer l.mu.Unlock()
	all := make(map[string]string, len(l.answers))
	for id, body := range l.answers {
		all[id] = body
	}
	return all
}

func (l *fakeLedger) ended() []ledger.ItemEnd {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]ledger.ItemEnd(nil), l.ends...)
}

// bench is a steward with fake dependencies.
type bench struct {
	*Steward
	view   *fakeView
	ledger *fakeLedger
	engine *faketarget.Engine
	// skew is added to the steward's clock, in nanoseconds.
	skew   atomic.Int64
	seq    uint64
	cancel context.CancelFunc
	loops  *duty.Group
}

func newBench(slots int, addresses ...string) *bench {
	b := &bench{
		view:   &fakeView{leaving: map[string]bool{}},
		ledger: &fakeLedger{leased: map[ledger.ItemRef]ledger.LeasedItem{}, answers: map[string]string{}, leaseMs: 60_000},
		engine: &faketarget.Engine{},
	}
	group := &config.TargetGroup{Name: "g", Kind: config.KindEngine, Model: "m", Slots: slots}
	for _, a := range addresses {
		group.Targets = append(group.Targets, config.Target{Address: a})
	}
	cfg := &config.Config{
		Groups: map[string]*config.TargetGroup{"g": group},
		Profiles: map[string]*config.Profile{
			"night": {Name: "night", Urgency: config.Batch, Repeatable: true, Deadline: time.Minute},
			"once":  {Name: "once", Urgency: config.Batch, Deadline: time.Minute},
		},
	}
	var err error
	b.Steward, err = New(Options{
		View: b.view, Config: func() *config.Config { return cfg }, Ledger: b.ledger,
		Engine: b.engine, Service: &faketarget.Service{},
		Now: func() time.Time { return time.Now().Add(time.Duration(b.skew.Load())) },
	})
	Expect(err).NotTo(HaveOccurred())
	return b
}

// start runs the steward's loops after a signal from the entry host that it is idle.
func (b *bench) start() { b.startWithOnline(0) }

// startWithOnline runs the steward's loops with the given number of online requests already
// running at each target.
func (b *bench) startWithOnline(online int) {
	ctx, cancel := context.WithCancel(context.Background())
	b.cancel = cancel
	b.loops = duty.NewGroup(ctx)
	b.assign()
	b.online(online)
	b.Run(b.loops)
	DeferCleanup(func() {
		cancel()
		b.loops.Wait()
	})
}

// online signals the number of online requests at every assigned target.
func (b *bench) online(n int) {
	b.seq++
	sig := signal.Signal{Entry: self.ID(), Seq: b.seq}
	for address := range b.assignedTargets() {
		sig.Targets = append(sig.Targets, signal.TargetLoad{Address: address, Online: n, Started: b.seq * uint64(min(n, 1))})
	}
	b.OnSignal(sig)
}

// refresh repeats the signal, as an entry host does, until the loops end.
func (b *bench) refresh(online int) {
	b.loops.Go(func(ctx context.Context) {
		every(ctx, 100*time.Millisecond, func(context.Context) { b.online(online) })
	})
}

// decideAll makes a decision for every target now, instead of waiting for decideLoop.
func (b *bench) decideAll() {
	for _, t := range b.assignedTargets() {
		b.decide(t)
	}
}

func (b *bench) endedAs(how string) int {
	n := 0
	for _, c := range b.engine.Calls() {
		if c.Ended == how {
			n++
		}
	}
	return n
}

// gated scripts answers of MaxTokens tokens that send one token per receive from gate.
func gated(gate <-chan struct{}) func(string, target.GenerateRequest) faketarget.Generation {
	return func(_ string, req target.GenerateRequest) faketarget.Generation {
		g := faketarget.Generation{Gate: gate}
		for i := range req.MaxTokens {
			g.Tokens = append(g.Tokens, req.Messages[0].Content+strconv.Itoa(i)+" ")
		}
		return g
	}
}
