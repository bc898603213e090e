package shards

import (
	"context"
	"slices"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tarragonhollow.example/tarragonhollow/core/ledger"
	"tarragonhollow.example/tarragonhollow/peer"
)

// failingCaller fails the calls to one address, to none at first, and records the methods
// of all calls.
type failingCaller struct {
	peer.Caller

	mu    sync.Mutex
	to    string
	calls []string
}

func (c *failingCaller) Call(ctx context.Context, address, method string, args, reply any) error {
	if c.cut(address, method) {
		return peer.Unreachable.New("the connection to %s is cut", address)
	}
	return c.Caller.Call(ctx, address, method, args, reply)
}

func (c *failingCaller) cut(address, method string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calls = append(c.calls, method)
	return address == c.to
}

func (c *failingCaller) failCallsTo(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.to = address
}

func (c *failingCaller) called() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.calls)
}

var _ = Describe("Relaying", func() {
	now := time.Unix(1000, 0)
	active := func(r *relaying) bool {
		relayed, _ := r.active(now, "b")
		return relayed
	}

	It("doubles its period with each direct call that fails after it, and ends with the first that succeeds", func() {
		r := &relaying{}
		Expect(active(r)).To(BeFalse())
		Expect(r.record(now, "b", false)).To(BeTrue())
		for _, length := range []time.Duration{firstRelayPeriod, 2 * firstRelayPeriod, 4 * firstRelayPeriod} {
			Expect(active(r)).To(BeTrue())
			Expect(r.record(now, "b", false)).To(BeFalse()) // a call that was in flight
			now = now.Add(length - 1)
			Expect(active(r)).To(BeTrue())
			now = now.Add(1)
			Expect(active(r)).To(BeFalse())
			Expect(r.record(now, "b", false)).To(BeFalse())
		}
		now = now.Add(8 * firstRelayPeriod)
		r.record(now, "b", true)
		Expect(r.record(now, "b", false)).To(BeTrue())
		now = now.Add(firstRelayPeriod)
		Expect(active(r)).To(BeFalse())
	})

	It("forgets daemons that are no longer members", func() {
		r := &relaying{}
		r.record(now, "b", false)
		r.forget(func(string) bool { return false })
		Expect(active(r)).To(BeFalse())
	})

	// Guards against items that no daemon runs, because the batch dispatcher of their
	// targets can't reach their owner.
	It("delivers pulls and ends of items to an owner that can't be reached directly", func() {
		f := newFleet()
		callers := map[string]*failingCaller{}
		for _, host := range []string{"a", "b", "c"} {
			f.tune = func(o *Options) {
				callers[host] = &failingCaller{Caller: o.Peer}
				o.Peer = callers[host]
			}
			f.start(host)
		}
		owner := f.ownerOf("job")
		steward := f.other(owner)
		_, err := submit(owner, "job", "upload", 2)
		Expect(err).NotTo(HaveOccurred())
		caller := callers[steward.self.Host]
		caller.failCallsTo(owner.self.PeerAddress)

		var items []ledger.LeasedItem
		Eventually(func() []ledger.LeasedItem {
			reply, err := steward.shards.Pull(context.Background(), owner.self.PeerAddress, ledger.PullRequest{Steward: steward.self.ID(), Group: "g", Max: 2, MaxBytes: 1 << 20})
			if err == nil {
				items = append(items, reply.Items...)
			}
			return items
		}).WithTimeout(10 * time.Second).Should(HaveLen(2))
		Expect(caller.called()).To(ContainElement(methodRelayPull))
		Expect(finish(steward, items)).To(BeEmpty())
		Expect(caller.called()).To(ContainElement(methodRelayFinishItems))
	})

	It("calls members only", func() {
		f := newFleet("a", "b")
		err := f.nodes["a"].shards.relay("127.0.0.1:1", methodPull, ledger.PullRequest{}, &OwnerReply[ledger.PullReply]{})
		Expect(err).To(MatchError(ContainSubstring("is no member")))
	})
})
