package online_test

import (
	"cmp"
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tarragonhollow.example/tarragonhollow/api"
	"tarragonhollow.example/tarragonhollow/core/config"
	"tarragonhollow.example/tarragonhollow/core/ledger"
	"tarragonhollow.example/tarragonhollow/core/membership"
	"tarragonhollow.example/tarragonhollow/core/outcome"
	"tarragonhollow.example/tarragonhollow/daemon/duty"
	"tarragonhollow.example/tarragonhollow/daemon/online"
	"tarragonhollow.example/tarragonhollow/daemon/signal"
	"tarragonhollow.example/tarragonhollow/daemon/suspects/fakesuspects"
	"tarragonhollow.example/tarragonhollow/target"
	"tarragonhollow.example/tarragonhollow/target/faketarget"
)

func TestOnline(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "online")
}

// view is a fleet of one daemon.
type view struct{ membership.View }

func (view) Self() membership.Member        { return membership.Member{Host: "d1", Incarnation: 1} }
func (v view) Members() []membership.Member { return []membership.Member{v.Self()} }
func (view) TargetLeaving(string) bool      { return false }
func (v view) First(key string) (membership.Member, bool) {
	return membership.FirstOf(v.Successors(key))
}

func (v view) Successors(string) []membership.Member { return v.Members() }

type registrar struct{}

func (registrar) Register(string, any) error { return nil }

type caller struct{}

func (caller) Call(context.Context, string, string, any, any) error { return context.Canceled }
func (caller) Notify(string, string, any)                           {}

type signals struct {
	mu   sync.Mutex
	open int
}

func (s *signals) Begin(string, int)                           { s.mu.Lock(); s.open++; s.mu.Unlock() }
func (s *signals) End(string, int)                             { s.mu.Lock(); s.open--; s.mu.Unlock() }
func (s *signals) Watch([]string)                              {}
func (s *signals) OnTargetReports(func([]signal.TargetReport)) {}

// fakeLedger grants each key once and stores its result; down makes every call fail with
// log_unavailable.
type fakeLedger struct {
	ledger.Client
	mu   sync.Mutex
	down bool
	// broken makes every Begin fail without a refusal, as a broken connection does.
	broken   bool
	finished map[string]ledger.FinishRequest
	begun    map[string]string
	// first, if set, is the answer of another daemon's run, which is on the log before
	// that of any run here.
	first *ledger.Answer
}

func (l *fakeLedger) Begin(_ context.Context, r ledger.BeginRequest) (ledger.BeginReply, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.broken {
		return ledger.BeginReply{}, errors.New("the call broke")
	}
	if l.down {
		return ledger.BeginReply{}, outcome.Refuse(outcome.LogUnavailable, "the log is out").After(700)
	}
	if end, ok := l.finished[r.Key]; ok {
		return ledger.BeginReply{Verdict: ledger.Settled, Answer: end.Answer, Refusal: end.Refusal}, nil
	}
	if nonce, ok := l.begun[r.Key]; ok && nonce != r.Nonce {
		return ledger.BeginReply{Verdict: ledger.StillRunning}, nil
	}
	l.begun[r.Key] = r.Nonce
	return ledger.BeginReply{Verdict: ledger.Granted, Attempt: 1}, nil
}

func (l *fakeLedger) Finish(_ context.Context, r ledger.FinishRequest) (ledger.FinishReply, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return ledger.FinishReply{}, outcome.Refuse(outcome.LogUnavailable, "the log is out")
	}
	delete(l.begun, r.Key)
	if l.first != nil {
		return ledger.FinishReply{Durable: true, Answer: l.first}, nil
	}
	if r.Refusal == nil || r.Refusal.Run != outcome.NotRun {
		l.finished[r.Key] = r
	}
	return ledger.FinishReply{Durable: true, Answer: r.Answer, Refusal: r.Refusal}, nil
}

func (l *fakeLedger) setDown(down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = down
}

func (l *fakeLedger) end(key string) (ledger.FinishRequest, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	end, ok := l.finished[key]
	return end, ok
}

// engine is the fake engine, with a fault: if restarts is set, it ignores ResumeTokens.
type engine struct {
	*faketarget.Engine
	restarts bool
}

func (e engine) Generate(ctx context.Context, address string, r target.GenerateRequest, sink func(target.Token) error) (target.Finish, error) {
	if e.restarts {
		r.ResumeTokens = nil
	}
	return e.Engine.Generate(ctx, address, r, sink)
}

// bench is one daemon's online path with fake dependencies.
type bench struct {
	engine faketarget.Engine
	// restarts makes the engine send every answer from its first token, whatever the
	// request resumes after.
	restarts bool
	// nonRepeatableBeginWait is how long a non-repeatable request waits for its owner; 0 is 100 ms.
	nonRepeatableBeginWait time.Duration
	service                faketarget.Service
	ledger                 *fakeLedger
	client                 ledger.Client // the ledger, if it isn't the fake
	signals                *signals
	config                 *config.Config
	online                 *online.Online
	stop                   context.CancelFunc
	loops                  *duty.Group
}

func newBench(targets ...string) *bench {
	b := &bench{
		ledger:  &fakeLedger{finished: map[string]ledger.FinishRequest{}, begun: map[string]string{}},
		signals: &signals{},
	}
	var list []config.Target
	for _, t := range targets {
		list = append(list, config.Target{Address: t, Zone: "hai-chau"})
	}
	b.config = &config.Config{
		Version: 1,
		Groups: map[string]*config.TargetGroup{
			"menu":    {Name: "menu", Kind: config.KindEngine, Model: "menu", Targets: list, Slots: 64},
			"kitchen": {Name: "kitchen", Kind: config.KindService, Targets: list, Slots: 64},
		},
		Limits: config.Limits{RetryShare: 0.1, CrashLimit: 2},
	}
	return b
}

func (b *bench) start() {
	var err error
	if b.client == nil {
		b.client = b.ledger
	}
	b.online, err = online.New(online.Options{
		View: view{}, Config: func() *config.Config { return b.config }, Ledger: b.client,
		Engine: engine{&b.engine, b.restarts}, Service: &b.service, Peer: caller{}, Registrar: registrar{},
		Signals: b.signals, Suspects: fakesuspects.New(2),
		Host: "d1", Zone: "hai-chau",
		StallMin: 50 * time.Millisecond, StallMax: 50 * time.Millisecond,
		RepeatableBeginWait: 20 * time.Millisecond, NonRepeatableBeginWait: cmp.Or(b.nonRepeatableBeginWait, 100*time.Millisecond),
	})
	Expect(err).NotTo(HaveOccurred())
	var ctx context.Context
	ctx, b.stop = context.WithCancel(context.Background())
	b.loops = duty.NewGroup(ctx)
	b.online.Run(b.loops)
	DeferCleanup(func() { b.stop(); b.loops.Wait() })
}

var (
	menu  = &config.Profile{Name: "menu", Urgency: config.Online, Repeatable: true, Retries: 3}
	order = &config.Profile{Name: "order", Urgency: config.Online, Retries: 3}
)

func callOf(p *config.Profile, key, content string) api.Call {
	return api.Call{
		RequestID: "r-" + content, Caller: "hotel", Profile: p, Key: key,
		Deadline: time.Now().Add(20 * time.Second), Fingerprint: content,
	}
}

func chatOf(p *config.Profile, key, content string) api.ChatCall {
	return api.ChatCall{Call: callOf(p, key, content), Request: target.GenerateRequest{
		Model: "menu", Messages: []target.Message{{Role: "user", Content: content}}, MaxTokens: 8,
	}}
}

func serviceOf(p *config.Profile, key, content string) api.ServiceCall {
	return api.ServiceCall{Call: callOf(p, key, content), Service: "kitchen", Request: target.ServiceRequest{
		Method: "POST", Path: "/tickets", Body: []byte(content),
	}}
}

func refusalOf(err error) *outcome.Refusal {
	var r *outcome.Refusal
	ExpectWithOffset(1, err).To(BeAssignableToTypeOf(r))
	return err.(*outcome.Refusal)
}
