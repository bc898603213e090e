package suspects_test

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tarragonhollow.example/tarragonhollow/core/membership"
	"tarragonhollow.example/tarragonhollow/core/retry"
	"tarragonhollow.example/tarragonhollow/daemon/duty"
	"tarragonhollow.example/tarragonhollow/daemon/suspects"
	"tarragonhollow.example/tarragonhollow/extern/partlog"
	"tarragonhollow.example/tarragonhollow/peer"
)

func TestSuspects(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "suspects")
}

// fleet is a membership that grows, over real peer sockets.
type fleet struct {
	mu      sync.Mutex
	members []membership.Member
}

func (f *fleet) add(m membership.Member) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.members = append(f.members, m)
	return len(f.members) - 1
}

func (f *fleet) all() []membership.Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]membership.Member(nil), f.members...)
}

type view struct {
	membership.View
	fleet *fleet
	self  int
}

func (v view) Self() membership.Member      { return v.fleet.all()[v.self] }
func (v view) Members() []membership.Member { return v.fleet.all() }

// startDaemon serves a tracker on a loopback port of its own.
func startDaemon(f *fleet, host string) *suspects.Tracker { return startDaemonWithLog(f, host, nil) }

func startDaemonWithLog(f *fleet, host string, log partlog.Log) *suspects.Tracker {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	self := f.add(membership.Member{Host: host, Incarnation: 1, PeerAddress: listener.Addr().String()})
	server, client := peer.NewServer(peer.ServerOptions{}), peer.NewClient(peer.ClientOptions{})
	tracker, err := suspects.New(suspects.Options{
		View: view{fleet: f, self: self}, Peer: client, Registrar: server,
		Limit: func() int { return 2 }, BroadcastWait: time.Minute, Log: log, Topic: "crashes",
	})
	Expect(err).NotTo(HaveOccurred())
	go func() { _ = server.Serve(listener) }()
	DeferCleanup(func() { _ = server.Close(); _ = client.Close() })
	return tracker
}

func run(trackers ...*suspects.Tracker) {
	ctx, stop := context.WithCancel(context.Background())
	duties := duty.NewGroup(ctx)
	for _, t := range trackers {
		t.Run(duties)
	}
	DeferCleanup(func() { stop(); duties.Wait() })
}

var _ = Describe("Tracker", func() {
	// A request crashes a target through one daemon; its caller sends it again through
	// another daemon, where it crashes a second target. Every daemon, also one that
	// starts later, must refuse it from then on.
	It("quarantines on all daemons after crashes seen on different ones", func() {
		f := &fleet{}
		a, b, c := startDaemon(f, "a"), startDaemon(f, "b"), startDaemon(f, "c")
		run(a, b, c)
		a.Crashed(retry.Crash{Target: "t1", Running: []string{"drawing", "menu"}, Total: 2})
		Eventually(func() retry.Verdict { return b.Verdict("drawing") }).Should(Equal(retry.PreferAlone))
		b.Crashed(retry.Crash{Target: "t2", Running: []string{"drawing"}, Total: 1})
		for _, t := range []*suspects.Tracker{a, b, c} {
			Eventually(func() retry.Verdict { return t.Verdict("drawing") }).Should(Equal(retry.Quarantined))
			Expect(t.Verdict("menu")).NotTo(Equal(retry.Quarantined))
		}
		late := startDaemon(f, "late")
		run(late)
		Eventually(func() retry.Verdict { return late.Verdict("drawing") }, "5s").Should(Equal(retry.Quarantined))
	})

	// The caller of a request is refused after a crash and sends it again at once, to the
	// next daemon, over and over. Guards against broadcasts that are delayed for 200 ms
	// after the first crash, so that the next daemon does not know of the second one.
	It("has broadcast a crash when the end of the request is accounted for", func() {
		f := &fleet{}
		a, b := startDaemon(f, "a"), startDaemon(f, "b")
		run(a, b)
		for _, name := range []string{"drawing", "model", "map"} {
			a.Crashed(retry.Crash{Target: "t1", Running: []string{name}, Total: 1})
			Expect(b.Verdict(name)).To(Equal(retry.PreferAlone), name)
		}
	})

	// A request that did not cause the crash ran at the crashed target. Its completion on
	// one daemon clears it on all.
	It("clears an innocent request on all daemons", func() {
		f := &fleet{}
		a, b := startDaemon(f, "a"), startDaemon(f, "b")
		run(a, b)
		a.Crashed(retry.Crash{Target: "t1", Running: []string{"drawing", "menu"}, Total: 2})
		Eventually(func() retry.Verdict { return b.Verdict("menu") }).Should(Equal(retry.PreferAlone))
		b.Completed("menu")
		Eventually(func() retry.Verdict { return a.Verdict("menu") }).Should(Equal(retry.Clear))
		Expect(a.Verdict("drawing")).To(Equal(retry.PreferAlone))
	})
})
