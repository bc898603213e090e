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

// brokenLine fails the direct calls to one address, none at first, and records the methods
// of all calls.
type brokenLine struct {
	peer.Caller

	mu    sync.Mutex
	to    string
	calls []string
}

func (b *brokenLine) Call(ctx context.Context, address, method string, args, reply any) error {
	if b.cut(address, method) {
		return peer.Unreachable.New("the line to %s is cut", address)
	}
	return b.Caller.Call(ctx, address, method, args, reply)
}

func (b *brokenLine) cut(address, method string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.calls = append(b.calls, method)
	return address == b.to
}

func (b *brokenLine) breakTo(address string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.to = address
}

func (b *brokenLine) called() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.Clone(b.calls)
}

var _ = Describe("Relaying", func() {
	now := time.Unix(1000, 0)
	active := func(r *relaying) bool {
		relayed, _ := r.active(now, "b")
		return relayed
	}

	It("lasts longer with each direct call that fails after it, and ends with the first that succeeds", func() {
		r := &relaying{}
		Expect(active(r)).To(BeFalse())
		Expect(r.note(now, "b", false)).To(BeTrue())
		for _, length := range []time.Duration{firstRelayPeriod, 2 * firstRelayPeriod, 4 * firstRelayPeriod} {
			Expect(active(r)).To(BeTrue())
			Expect(r.note(now, "b", false)).To(BeFalse()) // a call that was under way
			now = now.Add(length - 1)
			Expect(active(r)).To(BeTrue())
			now = now.Add(1)
			Expect(active(r)).To(BeFalse())
			Expect(r.note(now, "b", false)).To(BeFalse())
		}
		now = now.Add(8 * firstRelayPeriod)
		r.note(now, "b", true)
		Expect(r.note(now, "b", false)).To(BeTrue())
		now = now.Add(firstRelayPeriod)
		Expect(active(r)).To(BeFalse())
	})

	It("forgets daemons that left", func() {
		r := &relaying{}
		r.note(now, "b", false)
		r.forget(func(string) bool { return false })
		Expect(active(r)).To(BeFalse())
	})

	// Guards against items without anybody to run them: the daemon of their targets cannot
	// reach their owner.
	It("carries pulls and ends of items to an owner that can't be reached", func() {
		f := newFleet()
		lines := map[string]*brokenLine{}
		for _, host := range []string{"a", "b", "c"} {
			f.tune = func(o *Options) {
				lines[host] = &brokenLine{Caller: o.Peer}
				o.Peer = lines[host]
			}
			f.start(host)
		}
		owner := f.ownerOf("job")
		steward := f.other(owner)
		_, err := submit(owner, "job", "upload", 2)
		Expect(err).NotTo(HaveOccurred())
		line := lines[steward.self.Host]
		line.breakTo(owner.self.PeerAddress)

		var items []ledger.LeasedItem
		Eventually(func() []ledger.LeasedItem {
			reply, err := steward.shards.Pull(context.Background(), owner.self.PeerAddress, ledger.PullRequest{Steward: steward.self.ID(), Group: "g", Max: 2, MaxBytes: 1 << 20})
			if err == nil {
				items = append(items, reply.Items...)
			}
			return items
		}).WithTimeout(10 * time.Second).Should(HaveLen(2))
		Expect(line.called()).To(ContainElement(methodRelayPull))
		Expect(finish(steward, items)).To(BeEmpty())
		Expect(line.called()).To(ContainElement(methodRelayFinishItems))
	})

	It("leads to members only", func() {
		f := newFleet("a", "b")
		err := f.nodes["a"].shards.relay("127.0.0.1:1", methodPull, ledger.PullRequest{}, &Word[ledger.PullReply]{})
		Expect(err).To(MatchError(ContainSubstring("is no member")))
	})
})
