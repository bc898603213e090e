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

// fakePeers calls other daemons' configurations directly, by address.
type fakePeers struct {
	mu     sync.Mutex
	others map[string]*Configuration
	calls  int
}

// Call implements peer.Caller.
func (a *fakePeers) Call(_ context.Context, address, method string, args, reply any) error {
	a.mu.Lock()
	a.calls++
	to := a.others[address]
	a.mu.Unlock()
	if to == nil {
		return peer.Unreachable.New("%s", address)
	}
	calls := &configurationHandler{to}
	if method == statusMethod {
		return calls.Status(args.(StatusArgs), reply.(*StatusReply))
	}
	return calls.Fetch(args.(FetchArgs), reply.(*FetchReply))
}

// Notify implements peer.Caller.
func (a *fakePeers) Notify(string, string, any) {}

func (a *fakePeers) list() []places.Peer {
	a.mu.Lock()
	defer a.mu.Unlock()
	var list []places.Peer
	for address := range a.others {
		list = append(list, places.Peer{Address: address})
	}
	return list
}

func (a *fakePeers) called() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.calls
}

var _ = Describe("A daemon that does not hear of the configuration", func() {
	const limit = 10 * time.Second
	var (
		cut, other *Configuration
		others     *fakePeers
	)
	BeforeEach(func() {
		cut, other = newTestConfiguration(), newTestConfiguration()
		others = &fakePeers{others: map[string]*Configuration{"other": other}}
		cut.Peers, cut.ListPeers = others, others.list
	})
	fetchInBackground := func() { go cut.fetchFromPeers(GinkgoT().Context()) }

	// The platform rejects a host while the operator revokes a key. Callers still reach
	// that host with the key. Without a configuration from another daemon it would serve
	// them for as long as the platform rejects it.
	It("fetches a newer configuration from another daemon", func() {
		cut.applyVersion(7)
		cut.Confirm(time.Now().Add(-time.Minute))
		other.applyVersion(8)
		other.Confirm(time.Now())
		fetchInBackground()
		Eventually(func() int64 { return cut.Routes().Version }).WithTimeout(limit).Should(BeEquivalentTo(8))
		Eventually(func() time.Duration { return cut.Age(time.Now()) }).WithTimeout(limit).Should(BeNumerically("<", time.Minute))
	})

	It("fetches its first configuration from another daemon", func() {
		other.applyVersion(8)
		other.Confirm(time.Now())
		fetchInBackground()
		Eventually(cut.Routes).WithTimeout(limit).ShouldNot(BeNil())
	})

	// Two hosts are rejected. The other one's last confirmation is older than the active
	// version here, or as old: it must neither activate an old configuration nor make
	// this one look fresh.
	It("accepts nothing from a daemon whose configuration is older or unconfirmed", func() {
		cut.applyVersion(7)
		other.applyVersion(5)
		other.Confirm(time.Now())
		newPeerFetcher(cut).pollPeer(context.Background(), "other")
		Expect(cut.Routes().Version).To(BeEquivalentTo(7))
		Expect(cut.Age(time.Now())).To(BeNumerically(">", time.Hour))
		stale := newTestConfiguration()
		stale.applyVersion(8)
		others.others["stale"] = stale
		newPeerFetcher(cut).pollPeer(context.Background(), "stale")
		Expect(cut.Routes().Version).To(BeEquivalentTo(7))
		stale.Confirm(time.Now().Add(-time.Minute))
		newPeerFetcher(cut).pollPeer(context.Background(), "stale")
		Expect(cut.Routes().Version).To(BeEquivalentTo(8))
		Expect(cut.Age(time.Now())).To(BeNumerically(">=", time.Minute))
	})

	// Guards against a daemon that stays behind because replies to calls that timed out
	// fill its link.
	It("takes a configuration that its link carries slowly", func() {
		link := &slowLink{bytesPerSecond: 1 << 20}
		cut.applyVersion(7)
		var addresses []string
		for range 4 {
			holder := newTestConfiguration()
			holder.applyPadded(8, 600<<10)
			holder.Confirm(time.Now().Add(time.Hour))
			addresses = append(addresses, link.serve(holder))
		}
		client := peer.NewClient(peer.ClientOptions{})
		DeferCleanup(client.Close)
		cut.Peers = client
		cut.ListPeers = func() []places.Peer {
			var list []places.Peer
			for _, a := range addresses {
				list = append(list, places.Peer{Address: a})
			}
			return list
		}
		fetchInBackground()
		Eventually(func() int64 { return cut.Routes().Version }).WithTimeout(limit).Should(BeEquivalentTo(8))
	})

	// Guards against fetches that share the link and time out one after the other.
	It("fetches from one daemon at a time, with more time after a time-out", func() {
		cut.applyVersion(7)
		other.applyVersion(8)
		other.Confirm(time.Now())
		fetcher := newPeerFetcher(cut)
		limit, free := fetcher.beginFetch()
		Expect(free).To(BeTrue())
		fetcher.pollPeer(context.Background(), "other")
		Expect(cut.Version()).To(BeEquivalentTo(7))
		fetcher.endFetch(true)
		longer, free := fetcher.beginFetch()
		Expect(free).To(BeTrue())
		Expect(longer).To(Equal(2 * limit))
		fetcher.endFetch(true)
		longer, _ = fetcher.beginFetch()
		Expect(longer).To(Equal(4 * limit))
		fetcher.endFetch(false)
		fetcher.pollPeer(context.Background(), "other")
		Expect(cut.Version()).To(BeEquivalentTo(8))
		Expect(fetcher.fetchTimeout).To(Equal(minFetchTimeout))
	})

	It("polls nobody while its source answers", func() {
		cut.applyVersion(7)
		cut.Confirm(time.Now().Add(time.Hour))
		fetchInBackground()
		Consistently(others.called, 2*peerPollEvery).Should(BeZero())
	})
})
