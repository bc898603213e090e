package members_test

import (
	"context"
	"fmt"
	"net"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tarragonhollow.example/tarragonhollow/core/membership"
	"tarragonhollow.example/tarragonhollow/daemon/duty"
	"tarragonhollow.example/tarragonhollow/daemon/members"
	"tarragonhollow.example/tarragonhollow/extern"
	"tarragonhollow.example/tarragonhollow/peer"
)

func TestMembers(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "members")
}

// fakeHostList is a host list that tests can change.
type fakeHostList struct {
	mu   sync.Mutex
	view extern.HostView
	err  error
}

func (l *fakeHostList) Hosts(context.Context) (extern.HostView, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.view, l.err
}

func (l *fakeHostList) set(change func(*fakeHostList)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	change(l)
}

// node is one daemon's membership on a real socket.
type node struct {
	*members.Members
	address string
	set     *metrics.Set
	stop    func()
}

// suspectAfter is how long a suspect may refute in the nodes' views; 0 is the default.
var suspectAfter time.Duration

func startNode(i int, hosts extern.HostList, every time.Duration, seeds ...string) (*node, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	n := &node{address: ln.Addr().String(), set: metrics.NewSet()}
	server := peer.NewServer(peer.ServerOptions{Metrics: n.set})
	client := peer.NewClient(peer.ClientOptions{Metrics: n.set})
	n.Members, err = members.New(members.Options{
		Host: fmt.Sprintf("host-%02d", i), Zone: "son-tra", PeerAddress: n.address, HTTPAddress: "127.0.0.1:1",
		Incarnation: uint64(time.Now().UnixNano()), HostList: hosts, HostListEvery: 20 * time.Millisecond,
		Seeds: seeds, Peer: client, Registrar: server, ProbeEvery: every, SuspectAfter: suspectAfter, Metrics: n.set,
	})
	if err != nil {
		return nil, err
	}
	go func() { _ = server.Serve(ln) }()
	ctx, cancel := context.WithCancel(context.Background())
	group := duty.NewGroup(ctx)
	n.Run(group)
	n.stop = sync.OnceFunc(func() {
		cancel()
		_ = server.Close()
		_ = client.Close()
		group.Wait()
	})
	return n, nil
}

func startFleet(n int, hosts extern.HostList) []*node {
	var fleet []*node
	seed := ""
	for i := range n {
		node, err := startNode(i, hosts, 50*time.Millisecond, seed)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(node.stop)
		fleet = append(fleet, node)
		seed = fleet[0].address
	}
	for _, node := range fleet {
		Eventually(func() int { return len(node.Members.Members()) }, "20s").Should(Equal(n))
	}
	return fleet
}

var _ = Describe("Members", func() {
	It("spreads facts and a leaving daemon's notice, and calls the hooks on changes", func() {
		fleet := startFleet(4, nil)
		notified := make(chan struct{}, 100)
		fleet[3].OnChange(func() {
			select {
			case notified <- struct{}{}:
			default:
			}
		})
		fleet[0].SetFacts(func(m *membership.Member) { m.Shards = []membership.ShardHold{{Shard: 1, Term: 2}} })
		Eventually(func() bool { _, ok := fleet[3].Holder(1); return ok }, "10s").Should(BeTrue())
		Eventually(notified, "10s").Should(Receive())
		fleet[0].Leave(context.Background())
		Eventually(func() membership.State { holder, _ := fleet[3].Holder(1); return holder.State }, "10s").
			Should(Equal(membership.Leaving))
	})

	// A daemon's process ends. Direct and indirect probes of it fail, and every view must drop
	// it, so that successors are found for its shards.
	It("drops a daemon that died", func() {
		fleet := startFleet(4, nil)
		id := fleet[2].Self().ID()
		Expect(fleet[0].LiveID(id)).To(BeTrue())
		fleet[2].stop()
		for _, i := range []int{0, 1, 3} {
			Eventually(func() bool { return fleet[i].LiveID(id) }, "20s").Should(BeFalse())
			Expect(fleet[i].Members.Members()).To(HaveLen(3))
		}
	})

	// A process is killed. Its host refuses connections, so other daemons need not wait for
	// the time to refute, which is an hour here.
	It("drops a daemon whose host refuses connections without waiting", func() {
		suspectAfter = time.Hour
		DeferCleanup(func() { suspectAfter = 0 })
		fleet := startFleet(4, nil)
		id := fleet[2].Self().ID()
		fleet[2].stop()
		for _, i := range []int{0, 1, 3} {
			fleet[i].ProbeNow(fleet[2].address)
			Eventually(func() bool { return fleet[i].LiveID(id) }, "20s").Should(BeFalse())
		}
	})

	// A daemon can't read the host list while a target begins to leave. It must learn of that
	// from the other daemons, and keep the last list it read.
	It("learns of a leaving target through a daemon that can read the list", func() {
		view := extern.HostView{Version: 1, Hosts: []extern.Host{
			{Name: "t", Role: extern.RoleTarget, Address: "10.0.0.1:80", State: extern.HostLive}}}
		good, bad := &fakeHostList{view: view}, &fakeHostList{view: view}
		a, err := startNode(0, good, 50*time.Millisecond)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(a.stop)
		b, err := startNode(1, bad, 50*time.Millisecond, a.address)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(b.stop)
		Eventually(b.HostListVersion, "10s").Should(Equal(int64(1)))
		bad.set(func(l *fakeHostList) { l.err = context.DeadlineExceeded })
		good.set(func(l *fakeHostList) {
			l.view = extern.HostView{Version: 2, Hosts: []extern.Host{
				{Name: "t", Role: extern.RoleTarget, Address: "10.0.0.1:80", State: extern.HostLeaving}}}
		})
		Eventually(func() bool { return b.TargetLeaving("10.0.0.1:80") }, "10s").Should(BeTrue())
		Expect(b.HostListVersion()).To(Equal(int64(1)))
	})
})

// benchFleet starts daemons with the default probe interval and waits for the time settle.
func benchFleet(b *testing.B, size int, settle time.Duration) (fleet []*node) {
	seed := ""
	for i := range size {
		n, err := startNode(i, nil, membership.DefaultProbeEvery, seed)
		if err != nil {
			b.Fatal(err)
		}
		b.Cleanup(n.stop)
		fleet = append(fleet, n)
		seed = fleet[0].address
	}
	time.Sleep(settle)
	return fleet
}

// BenchmarkTraffic reports the membership traffic of one daemon in fleets of two sizes:
// go test -bench Traffic -benchtime 1x.
func BenchmarkTraffic(b *testing.B) {
	for _, size := range []int{12, 48} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			const window = 10 * time.Second
			fleet := benchFleet(b, size, 30*time.Second)
			bytes, messages := traffic(fleet)
			time.Sleep(window)
			bytesAfter, messagesAfter := traffic(fleet)
			per := float64(size) * window.Seconds()
			b.ReportMetric((bytesAfter-bytes)/per, "sent-bytes/s/daemon")
			b.ReportMetric((messagesAfter-messages)/per, "messages/s/daemon")
			b.ReportMetric(float64(len(fleet[size-1].Members.Members())), "members-seen")
			for _, n := range fleet {
				n.stop()
			}
		})
	}
}

// BenchmarkDeath reports how long after the end of a daemon's process the first and the last
// of the eleven others dropped it: go test -bench Death -benchtime 5x.
func BenchmarkDeath(b *testing.B) {
	var first, last time.Duration
	for range b.N {
		fleet := benchFleet(b, 12, 5*time.Second)
		id := fleet[5].Self().ID()
		fleet[5].stop()
		began := time.Now()
		others := append(fleet[:5:5], fleet[6:]...)
		keeps := func(n *node) bool { return n.LiveID(id) }
		for !slices.ContainsFunc(others, func(n *node) bool { return !keeps(n) }) {
			time.Sleep(time.Millisecond)
		}
		first = max(first, time.Since(began))
		for slices.ContainsFunc(others, keeps) {
			time.Sleep(time.Millisecond)
		}
		last = max(last, time.Since(began))
		for _, n := range others {
			n.stop()
		}
	}
	b.ReportMetric(first.Seconds(), "max-s-first")
	b.ReportMetric(last.Seconds(), "max-s-last")
}

// traffic returns the bytes sent, and the messages sent and received, by the fleet.
func traffic(fleet []*node) (bytes, messages float64) {
	for _, n := range fleet {
		bytes += float64(n.set.GetOrCreateCounter("tarragonhollow_peer_client_sent_bytes_total").Get())
		bytes += float64(n.set.GetOrCreateCounter("tarragonhollow_peer_server_sent_bytes_total").Get())
		messages += float64(n.set.GetOrCreateCounter("tarragonhollow_members_messages_sent_total").Get())
		messages += float64(n.set.GetOrCreateCounter("tarragonhollow_members_messages_received_total").Get())
	}
	return bytes, messages
}
