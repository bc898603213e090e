package front

import (
	"context"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tarragonhollow.example/tarragonhollow/daemon/places"
	"tarragonhollow.example/tarragonhollow/peer"
)

// asked calls other daemons' configurations directly, by address.
type asked struct {
	mu     sync.Mutex
	others map[string]*Configuration
	calls  int
}

// Call implements peer.Caller.
func (a *asked) Call(_ context.Context, address, _ string, args, reply any) error {
	a.mu.Lock()
	a.calls++
	to := a.others[address]
	a.mu.Unlock()
	if to == nil {
		return peer.Unreachable.New("%s", address)
	}
	return (&configurationCalls{to}).Newer(args.(NewerArgs), reply.(*NewerReply))
}

// Notify implements peer.Caller.
func (a *asked) Notify(string, string, any) {}

func (a *asked) list() []places.Peer {
	a.mu.Lock()
	defer a.mu.Unlock()
	var list []places.Peer
	for address := range a.others {
		list = append(list, places.Peer{Address: address})
	}
	return list
}

func (a *asked) called() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.calls
}

var _ = Describe("A daemon that does not hear of the configuration", func() {
	const limit = 10 * time.Second
	var (
		cut, other *Configuration
		others     *asked
	)
	BeforeEach(func() {
		cut, other = configured(), configured()
		others = &asked{others: map[string]*Configuration{"other": other}}
		cut.Peers, cut.Others = others, others.list
	})
	borrow := func() { go cut.borrow(GinkgoT().Context()) }

	// The platform turns a host away while the operator takes a key away. Callers still
	// reach that host with the key. Without another daemon's word it would serve them for
	// as long as the platform turns it away.
	It("takes a newer one from another daemon", func() {
		cut.takeVersion(7)
		cut.Hear(time.Now().Add(-time.Minute))
		other.takeVersion(8)
		other.Hear(time.Now())
		borrow()
		Eventually(func() int64 { return cut.Routes().Version }).WithTimeout(limit).Should(BeEquivalentTo(8))
		Eventually(func() time.Duration { return cut.Age(time.Now()) }).WithTimeout(limit).Should(BeNumerically("<", time.Minute))
	})

	It("has a first one from another daemon", func() {
		other.takeVersion(8)
		other.Hear(time.Now())
		borrow()
		Eventually(cut.Routes).WithTimeout(limit).ShouldNot(BeNil())
	})

	// Two hosts are turned away. The other one's word is older than what is in force
	// here, or as old: it must neither put an old configuration in force nor make this
	// one look fresh.
	It("learns nothing from a daemon that knows less", func() {
		cut.takeVersion(7)
		other.takeVersion(5)
		other.Hear(time.Now())
		cut.borrowOne(context.Background(), "other")
		Expect(cut.Routes().Version).To(BeEquivalentTo(7))
		Expect(cut.Age(time.Now())).To(BeNumerically(">", time.Hour))
		stale := configured()
		stale.takeVersion(8)
		others.others["stale"] = stale
		cut.borrowOne(context.Background(), "stale")
		Expect(cut.Routes().Version).To(BeEquivalentTo(7))
		stale.Hear(time.Now().Add(-time.Minute))
		cut.borrowOne(context.Background(), "stale")
		Expect(cut.Routes().Version).To(BeEquivalentTo(8))
		Expect(cut.Age(time.Now())).To(BeNumerically(">=", time.Minute))
	})

	// Guards against a daemon that stays behind because answers it has given up fill its link.
	It("takes a configuration that its link carries slowly", func() {
		link := &slowLink{bytesPerSecond: 1 << 20}
		cut.takeVersion(7)
		var addresses []string
		for range 4 {
			holder := configured()
			holder.takePadded(8, 600<<10)
			holder.Hear(time.Now().Add(time.Hour))
			addresses = append(addresses, link.serve(holder))
		}
		client := peer.NewClient(peer.ClientOptions{})
		DeferCleanup(client.Close)
		cut.Peers = client
		cut.Others = func() []places.Peer {
			var list []places.Peer
			for _, a := range addresses {
				list = append(list, places.Peer{Address: a})
			}
			return list
		}
		borrow()
		Eventually(func() int64 { return cut.Routes().Version }).WithTimeout(limit).Should(BeEquivalentTo(8))
	})

	It("asks nobody while its source speaks", func() {
		cut.takeVersion(7)
		cut.Hear(time.Now().Add(time.Hour))
		borrow()
		Consistently(others.called, 2*borrowEvery).Should(BeZero())
	})
})
