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
func (a *asked) Call(_ context.Context, address, method string, args, reply any) error {
	a.mu.Lock()
	a.calls++
	to := a.others[address]
	a.mu.Unlock()
	if to == nil {
		return peer.Unreachable.New("%s", address)
	}
	calls := &configurationCalls{to}
	if method == statusMethod {
		return calls.Status(args.(StatusArgs), reply.(*StatusReply))
	}
	return calls.Fetch(args.(FetchArgs), reply.(*FetchReply))
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
		newBorrower(cut).askOne(context.Background(), "other")
		Expect(cut.Routes().Version).To(BeEquivalentTo(7))
		Expect(cut.Age(time.Now())).To(BeNumerically(">", time.Hour))
		stale := configured()
		stale.takeVersion(8)
		others.others["stale"] = stale
		newBorrower(cut).askOne(context.Background(), "stale")
		Expect(cut.Routes().Version).To(BeEquivalentTo(7))
		stale.Hear(time.Now().Add(-time.Minute))
		newBorrower(cut).askOne(context.Background(), "stale")
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

	// Guards against fetches that fill the link together and are given up one after the other.
	It("fetches from one daemon at a time, and gives the next one more time", func() {
		cut.takeVersion(7)
		other.takeVersion(8)
		other.Hear(time.Now())
		b := newBorrower(cut)
		limit, free := b.begin()
		Expect(free).To(BeTrue())
		b.askOne(context.Background(), "other")
		Expect(cut.Version()).To(BeEquivalentTo(7))
		b.end(true)
		longer, free := b.begin()
		Expect(free).To(BeTrue())
		Expect(longer).To(Equal(2 * limit))
		b.end(true)
		longer, _ = b.begin()
		Expect(longer).To(Equal(4 * limit))
		b.end(false)
		b.askOne(context.Background(), "other")
		Expect(cut.Version()).To(BeEquivalentTo(8))
		Expect(b.fetchTime).To(Equal(firstFetchTime))
	})

	It("asks nobody while its source speaks", func() {
		cut.takeVersion(7)
		cut.Hear(time.Now().Add(time.Hour))
		borrow()
		Consistently(others.called, 2*askEvery).Should(BeZero())
	})
})
