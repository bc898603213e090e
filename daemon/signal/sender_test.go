package signal_test

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tarragonhollow.example/tarragonhollow/core/membership"
	"tarragonhollow.example/tarragonhollow/daemon/duty"
	"tarragonhollow.example/tarragonhollow/daemon/signal"
)

func TestSignal(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "signal")
}

// view names d1 as itself and "steward" as the steward of all targets but "own:1".
type view struct{ membership.View }

func (view) Self() membership.Member { return membership.Member{Host: "d1", PeerAddress: "d1:7"} }

func (v view) Members() []membership.Member {
	return []membership.Member{v.Self(), {Host: "steward", PeerAddress: "s:7"}}
}

func (v view) First(key string) (membership.Member, bool) {
	return membership.FirstOf(v.Successors(key))
}

func (v view) Successors(key string) []membership.Member {
	if key == "steward/own:1" {
		return []membership.Member{v.Self()}
	}
	return v.Members()[1:]
}

// steward applies signals as a receiver does; the first deliveries, as many as failures,
// are lost.
type steward struct {
	mu       sync.Mutex
	failures int
	signals  int
	online   map[string]int
	block    chan struct{}
}

func (s *steward) OnSignal(sig signal.Signal) []signal.TargetReport {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.signals++
	var reports []signal.TargetReport
	for _, t := range sig.Targets {
		s.online[t.Address] = t.Online
		reports = append(reports, signal.TargetReport{Address: t.Address, OnlineTotal: t.Online + 5})
	}
	return reports
}

func (s *steward) Call(_ context.Context, address, method string, args, reply any) error {
	Expect(address + " " + method).To(Equal("s:7 " + signal.DeliverMethod))
	if s.block != nil {
		<-s.block
	}
	s.mu.Lock()
	lost := s.failures > 0
	s.failures--
	s.mu.Unlock()
	if lost {
		return errors.New("lost")
	}
	reply.(*signal.Reply).Words = s.OnSignal(*args.(*signal.Signal))
	return nil
}

func (s *steward) Notify(string, string, any) {}

func (s *steward) count(address string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.online[address]
}

func startSender(s *steward) *signal.Sender {
	sender, err := signal.NewSender(signal.Options{View: view{}, Peer: s, RefreshEvery: 20 * time.Millisecond})
	Expect(err).NotTo(HaveOccurred())
	return sender
}

func run(sender *signal.Sender) {
	ctx, stop := context.WithCancel(context.Background())
	duties := duty.NewGroup(ctx)
	sender.Run(duties)
	DeferCleanup(func() { stop(); duties.Wait() })
}

var _ = Describe("Sender", func() {
	// A burst of requests comes while two messages are lost. The steward must end up with
	// the true count, or batch work would delay the online requests; and with zero once
	// they have ended, or batch would be queued without need.
	It("recovers from lost signals", func() {
		s := &steward{online: map[string]int{}, failures: 2}
		sender := startSender(s)
		run(sender)
		for range 10 {
			sender.Begin("t:1", 100)
		}
		Eventually(func() int { return s.count("t:1") }).Should(Equal(10))
		s.mu.Lock()
		s.failures = 2
		s.mu.Unlock()
		for range 10 {
			sender.End("t:1", 100)
		}
		Eventually(func() int { return s.count("t:1") }).Should(Equal(0))
	})

	// The steward is replaced while nothing changes at the sending daemons. Its successor
	// starts without counts and must learn what runs.
	It("reports to a new steward what runs", func() {
		s := &steward{online: map[string]int{}}
		sender := startSender(s)
		run(sender)
		sender.Begin("t:1", 1)
		Eventually(func() int { return s.count("t:1") }).Should(Equal(1))
		s.mu.Lock()
		s.online = map[string]int{}
		s.mu.Unlock()
		Eventually(func() int { return s.count("t:1") }).Should(Equal(1))
	})

	// The steward's host hangs. No request may wait for it, and once it is back it gets
	// the newest count in one message, not a queue of old ones.
	It("never delays a request and groups the changes meanwhile", func() {
		s := &steward{online: map[string]int{}, block: make(chan struct{})}
		sender := startSender(s)
		run(sender)
		for range 1000 {
			sender.Begin("t:1", 1)
		}
		close(s.block)
		Eventually(func() int { return s.count("t:1") }).Should(Equal(1000))
		s.mu.Lock()
		defer s.mu.Unlock()
		Expect(s.signals).To(BeNumerically("<=", 20))
	})

	It("delivers in process where this daemon is the steward, and passes reports on", func() {
		remote := &steward{online: map[string]int{}}
		local := &steward{online: map[string]int{}}
		sender := startSender(remote)
		sender.SetLocal(local)
		var mu sync.Mutex
		received := map[string]int{}
		sender.OnTargetReports(func(reports []signal.TargetReport) {
			mu.Lock()
			defer mu.Unlock()
			for _, r := range reports {
				received[r.Address] = r.OnlineTotal
			}
		})
		run(sender)
		sender.Watch([]string{"own:1", "t:1", "idle:1"})
		sender.Begin("own:1", 1)
		sender.Begin("t:1", 1)
		Eventually(func() map[string]int {
			mu.Lock()
			defer mu.Unlock()
			return map[string]int{"own:1": received["own:1"], "t:1": received["t:1"], "idle:1": received["idle:1"]}
		}).Should(Equal(map[string]int{"own:1": 6, "t:1": 6, "idle:1": 5}))
		Expect(remote.count("own:1")).To(BeZero())
		Expect(local.count("own:1")).To(Equal(1))
	})
})
