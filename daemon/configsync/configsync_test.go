package configsync_test

import (
	"context"
	"errors"
	"fmt"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tarragonhollow.example/tarragonhollow/api"
	"tarragonhollow.example/tarragonhollow/core/config"
	"tarragonhollow.example/tarragonhollow/core/membership"
	"tarragonhollow.example/tarragonhollow/core/outcome"
	"tarragonhollow.example/tarragonhollow/daemon/configsync"
	"tarragonhollow.example/tarragonhollow/daemon/duty"
	"tarragonhollow.example/tarragonhollow/extern"
	"tarragonhollow.example/tarragonhollow/extern/fakelog"
	"tarragonhollow.example/tarragonhollow/peer"
)

func TestConfigsync(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "configsync")
}

// fakeMembership is the membership that all daemons of a test share.
type fakeMembership struct {
	mu      sync.Mutex
	members []membership.Member
}

// view is the membership as one daemon sees it.
type view struct {
	*fakeMembership
	host string
}

func (b *fakeMembership) update(host string, change func(*membership.Member)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for i := range b.members {
		if b.members[i].Host == host {
			change(&b.members[i])
		}
	}
}

func (v view) Self() membership.Member              { return membership.Member{Host: v.host} }
func (v view) Holder(int) (membership.Member, bool) { return membership.Member{}, false }
func (v view) LiveID(string) bool                   { return true }
func (v view) TargetLeaving(string) bool            { return false }
func (v view) First(key string) (membership.Member, bool) {
	return membership.FirstOf(v.Successors(key))
}

func (v view) Successors(string) []membership.Member { return v.Members() }
func (v view) Members() []membership.Member {
	v.mu.Lock()
	defer v.mu.Unlock()
	return append([]membership.Member{}, v.members...)
}

// parse returns a parser that rejects texts that begin with "bad". If old, it also rejects
// texts that begin with "new", as an older release does that can't parse them.
func parse(old bool) func(string) (*config.Config, error) {
	return func(text string) (*config.Config, error) {
		if strings.HasPrefix(text, "bad") || (old && strings.HasPrefix(text, "new")) {
			return nil, errors.New("line 1 is not understood")
		}
		return &config.Config{}, nil
	}
}

func (b *fakeMembership) start(host string, log extern.Log, change func(*configsync.Options)) *configsync.Sync {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	server, client := peer.NewServer(peer.ServerOptions{}), peer.NewClient(peer.ClientOptions{})
	b.mu.Lock()
	b.members = append(b.members, membership.Member{Host: host, PeerAddress: ln.Addr().String()})
	b.mu.Unlock()
	o := configsync.Options{
		Log: log, View: view{fakeMembership: b, host: host}, Peer: client, Registrar: server, Parse: parse(false),
		PollWait: 50 * time.Millisecond, PeerEvery: 10 * time.Millisecond, Retention: time.Hour,
		OnApplied: func(version uint64) {
			b.update(host, func(m *membership.Member) { m.ConfigVersion = version })
		},
	}
	if change != nil {
		change(&o)
	}
	s, err := configsync.New(o)
	Expect(err).NotTo(HaveOccurred())
	go func() { _ = server.Serve(ln) }()
	ctx, cancel := context.WithCancel(context.Background())
	group := duty.NewGroup(ctx)
	s.Run(group)
	DeferCleanup(func() {
		cancel()
		_ = server.Close()
		_ = client.Close()
		group.Wait()
	})
	return s
}

func background() context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	DeferCleanup(cancel)
	return ctx
}

func publish(s *configsync.Sync, text string, base uint64) uint64 {
	version, err := s.Publish(background(), text, base, "thu")
	ExpectWithOffset(1, err).NotTo(HaveOccurred())
	return version
}

func versionOf(s *configsync.Sync) func() uint64 {
	return func() uint64 { return s.Current().Version }
}

// lateLog reports the outcome of the first append as unknown and makes it only at release.
type lateLog struct {
	*fakelog.Client
	mu   sync.Mutex
	held []byte
}

func (l *lateLog) Append(ctx context.Context, stream string, data []byte) (int64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.held == nil {
		l.held = data
		return 0, extern.OutcomeUnknown.New("no answer")
	}
	return l.Client.Append(ctx, stream, data)
}

func (l *lateLog) release() {
	_, err := l.Client.Append(context.Background(), configsync.Stream, l.held)
	Expect(err).NotTo(HaveOccurred())
}

// cutLog answers no append while it is cut off. The first of them is made at release.
type cutLog struct {
	*fakelog.Client
	mu   sync.Mutex
	cut  bool
	held []byte
}

func (l *cutLog) set(cut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut = cut
}

func (l *cutLog) Append(ctx context.Context, stream string, data []byte) (int64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.cut {
		return l.Client.Append(ctx, stream, data)
	}
	if l.held == nil {
		l.held = data
	}
	return 0, extern.OutcomeUnknown.New("no answer")
}

func (l *cutLog) release() {
	_, err := l.Client.Append(context.Background(), configsync.Stream, l.held)
	Expect(err).NotTo(HaveOccurred())
}

var _ = Describe("Sync", func() {
	var log *fakelog.Log
	var fleet *fakeMembership
	BeforeEach(func() {
		log, fleet = fakelog.New(fakelog.Options{}), &fakeMembership{}
	})

	// Two operators publish from the same version at the same time. One must win, the other
	// must be told who did, and all daemons must end up with the winner's text.
	It("lets one of two racing operators win and reports the winner to the other", func() {
		a, b := fleet.start("a", log.NewClient(), nil), fleet.start("b", log.NewClient(), nil)
		type result struct {
			version uint64
			err     error
		}
		results := make([]result, 2)
		var wg sync.WaitGroup
		for i, s := range []*configsync.Sync{a, b} {
			wg.Go(func() {
				results[i].version, results[i].err = s.Publish(context.Background(), fmt.Sprint("text ", i), 0, fmt.Sprint("operator ", i))
			})
		}
		wg.Wait()
		winner, loser := 0, 1
		if results[0].err != nil {
			winner, loser = 1, 0
		}
		Expect(results[winner]).To(Equal(result{version: 1}))
		var conflict *api.ConfigConflict
		Expect(errors.As(results[loser].err, &conflict)).To(BeTrue(), "%v", results[loser].err)
		Expect(*conflict).To(Equal(api.ConfigConflict{Winner: fmt.Sprint("operator ", winner), Version: 1}))
		Expect(a.WaitApplied(background(), 1)).To(Succeed())
		Expect(b.Current().Text).To(Equal(fmt.Sprint("text ", winner)))
		Expect(b.Applied()).To(Equal(map[string]uint64{"a": 1, "b": 1}))
	})

	// The log appends a change but its answer is lost, or the change itself is lost. The
	// operator must get the version that the change became, and it must be made once.
	DescribeTable("resolves a lost answer", func(lose func(*fakelog.Log)) {
		s := fleet.start("a", log, nil)
		publish(s, "one", 0)
		lose(log)
		Expect(publish(s, "two", 1)).To(Equal(uint64(2)))
		Expect(s.History()).To(HaveLen(2))
		Expect(s.Current().Text).To(Equal("two"))
	},
		Entry("after the append", func(l *fakelog.Log) { l.LoseAnswers(1) }),
		Entry("before the append", func(l *fakelog.Log) { l.LoseAppends(1) }))

	// The log's answer is lost and the change is not on the stream, so it is proposed again;
	// then the first proposal arrives after all. It must have no effect, although its base is
	// again the current version.
	It("makes a change that arrives late void", func() {
		late := &lateLog{Client: log.NewClient()}
		s := fleet.start("a", late, nil)
		Expect(publish(s, "first", 0)).To(Equal(uint64(1)))
		late.release()
		Expect(publish(s, "second", 1)).To(Equal(uint64(2)))
		Expect(s.History()).To(HaveLen(2))
	})

	// The log answers no append. The operator must be told that the change may have been made
	// while that lasts, not after it; and the change, which arrives long afterwards, must have
	// no effect.
	It("answers while the log answers no append, and withdraws the change afterwards", func() {
		cut := &cutLog{Client: log.NewClient()}
		s := fleet.start("a", cut, nil)
		publish(s, "one", 0)
		cut.set(true)
		answered := make(chan error, 1)
		go func() {
			_, err := s.Publish(context.Background(), "two", 1, "thu")
			answered <- err
		}()
		var err error
		Eventually(answered, configsync.DefaultPublishWait+5*time.Second).Should(Receive(&err))
		var refusal *outcome.Refusal
		Expect(errors.As(err, &refusal)).To(BeTrue(), "%v", err)
		Expect(refusal.Run).To(Equal(outcome.MayHaveRun))
		Expect(refusal.RetryAfterMs).To(BeNumerically(">", 0))
		cut.set(false)
		Eventually(func() int { return len(log.Records(configsync.Stream)) }, "10s").Should(Equal(2))
		cut.release()
		Expect(publish(s, "three", 1)).To(Equal(uint64(2)))
		Expect(s.Current().Text).To(Equal("three"))
	})

	It("refuses a text that is not valid, and a change as not run while the log is unavailable", func() {
		s := fleet.start("a", log, nil)
		publish(s, "one", 0)
		var refusal *outcome.Refusal
		_, err := s.Publish(background(), "bad text", 1, "thu")
		Expect(errors.As(err, &refusal)).To(BeTrue())
		Expect(refusal.Code).To(Equal(outcome.BadRequest))
		log.SetOutage(true)
		_, err = s.Publish(background(), "two", 1, "thu")
		Expect(errors.As(err, &refusal)).To(BeTrue())
		Expect(refusal.Code).To(Equal(outcome.LogUnavailable))
		Expect(refusal.Run).To(Equal(outcome.NotRun))
		Expect(s.Current().Text).To(Equal("one"))
	})

	// A daemon can't reach the log. It must get new versions from the other daemons. If it was
	// just started, it must not serve before it has the newest one, and it must not go back to
	// an older one later.
	It("fetches versions from peers while cut off from the log", func() {
		a := fleet.start("a", log.NewClient(), nil)
		publish(a, "one", 0)
		client := log.NewClient()
		client.SetCut(true)
		fleet.update("a", func(m *membership.Member) { m.ConfigVersion = 9 })
		b := fleet.start("b", client, nil)
		Eventually(versionOf(b), "5s").Should(Equal(uint64(1)))
		Expect(b.Ready()).To(BeFalse(), "a member announces a newer version")
		fleet.update("a", func(m *membership.Member) { m.ConfigVersion = 1 })
		Expect(b.Ready()).To(BeTrue())
		publish(a, "two", 1)
		Eventually(versionOf(b), "5s").Should(Equal(uint64(2)))
		log.Trim(configsync.Stream, 1)
		client.SetCut(false)
		publish(b, "three", 2)
		Eventually(versionOf(a), "5s").Should(Equal(uint64(3)))
	})

	// The early records expire and every daemon is replaced. The state must have been
	// rewritten forward before, or the fleet would start over at version 0.
	It("keeps the version across expiry and restarts", func() {
		now := time.Now()
		var mu sync.Mutex
		clock := func() time.Time {
			mu.Lock()
			defer mu.Unlock()
			return now
		}
		a := fleet.start("a", log, func(o *configsync.Options) { o.Clock, o.Retention = clock, time.Second })
		publish(a, "one", 0)
		publish(a, "two", 1)
		mu.Lock()
		now = now.Add(time.Second / 2)
		mu.Unlock()
		Eventually(func() int { return len(log.Records(configsync.Stream)) }, "5s").Should(BeNumerically(">", 2))
		log.Trim(configsync.Stream, 2)
		fresh := (&fakeMembership{}).start("c", log.NewClient(), nil)
		Eventually(versionOf(fresh), "5s").Should(Equal(uint64(2)))
		Expect(fresh.Current().Text).To(Equal("two"))
		Expect(fresh.Ready()).To(BeTrue())
	})

	// The whole fleet was down for longer than the retention, and no record of the state is
	// left. Operators must be able to start over, with a higher version.
	It("starts over above all versions once everything has expired", func() {
		a := fleet.start("a", log.NewClient(), nil)
		publish(a, "one", 0)
		publish(a, "two", 1)
		log.Trim(configsync.Stream, 2)
		fresh := (&fakeMembership{}).start("c", log.NewClient(), nil)
		Eventually(func() error { _, err := fresh.Publish(background(), "three", 0, "minh"); return err }, "5s").Should(Succeed())
		Expect(fresh.Current().Version).To(Equal(uint64(3)))
		Eventually(versionOf(a), "5s").Should(Equal(uint64(3)))
	})

	// During an upgrade an operator publishes a text that only the new release can parse. A
	// daemon of the old release must keep its version, report that, and apply the next one.
	It("keeps the old text when it can't parse the new one", func() {
		a := fleet.start("a", log.NewClient(), nil)
		old := fleet.start("b", log.NewClient(), func(o *configsync.Options) { o.Parse = parse(true) })
		publish(a, "one", 0)
		Eventually(versionOf(old), "5s").Should(Equal(uint64(1)))
		publish(a, "new two", 1)
		Eventually(func() int { return len(old.History()) }, "5s").Should(Equal(2))
		Expect(old.Current().Text).To(Equal("one"))
		Expect(old.Applied()).To(HaveKeyWithValue("b", uint64(1)))
		publish(a, "three", 2)
		Eventually(versionOf(old), "5s").Should(Equal(uint64(3)))
	})
})
