package shards

import (
	"context"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tarragonhollow.example/tarragonhollow/core/config"
	"tarragonhollow.example/tarragonhollow/core/membership"
	"tarragonhollow.example/tarragonhollow/daemon/duty"
	"tarragonhollow.example/tarragonhollow/extern/fakelog"
	"tarragonhollow.example/tarragonhollow/peer"
)

var _ = Describe("Claims after the loss of every daemon", func() {
	// All hosts come back from a power cut at once. Claims of all shards within
	// milliseconds exceed the burst that the log allows, so it refuses some, and
	// those wait. Claims must come spread out instead, and all soon.
	It("come within half of the fleet's append budget", func() {
		began := time.Now()
		var passed atomic.Int64
		self := membership.Member{Host: "a", Incarnation: 1, LogOK: true, Ready: true}
		n := &node{self: self, fleet: &fleet{nodes: map[string]*node{}}}
		n.fleet.nodes["a"] = n
		s, err := New(Options{
			Log: fakelog.New(fakelog.Options{}), View: n, Peer: peer.NewClient(peer.ClientOptions{}),
			Registrar: peer.NewServer(peer.ServerOptions{}), Config: func() *config.Config { return nil },
			Clock: func() time.Time { return began.Add(time.Duration(passed.Load())) },
		})
		Expect(err).NotTo(HaveOccurred())
		ctx, cancel := context.WithCancel(context.Background())
		s.group = duty.NewGroup(ctx)
		DeferCleanup(func() { cancel(); s.group.Wait() })

		// A log takes 20 at once; half of that is left to what isn't a claim.
		const round, burst = 10 * time.Millisecond, 10
		before := 0
		for s.busySlots() < DefaultShards && passed.Load() < int64(time.Second) {
			s.claimRound(ctx)
			budget := int(DefaultAppendBudget / 2 * round.Seconds())
			if before == 0 {
				budget = burst
			}
			Expect(s.busySlots() - before).To(BeNumerically("<=", budget))
			before = s.busySlots()
			passed.Add(int64(round))
		}
		Expect(s.busySlots()).To(Equal(DefaultShards))
		Expect(time.Duration(passed.Load())).To(BeNumerically("<=", 200*time.Millisecond))
	})
})

var _ = Describe("Daemons that are cut from each other but reach the log", func() {
	// Each takes the other for dead and claims its shards. If each claims again
	// the moment it reads of its loss, a shard changes hands ten times a second,
	// no holder keeps anything, and the claims use up the log's appends.
	It("let a claim stand before they claim against it", func() {
		f := newFleet("a", "b")
		first := f.ownerOf("key")
		second := f.other(first)
		Eventually(func() uint64 { return second.seenTerm("key") }).Should(Equal(first.term("key")))
		before, began := first.term("key"), time.Now()
		first.alone.Store(true)
		second.alone.Store(true)
		Eventually(func() uint64 { return first.term("key") }).WithTimeout(20*time.Second).
			Should(BeNumerically(">", before), "the first claims it back")
		// The other's claim between has stood; a slow machine only takes longer.
		Expect(time.Since(began)).To(BeNumerically(">=", standTime))
		Expect(first.term("key")).To(Equal(before + 2))
	})

	// A host whose clock is wrong by a day has claimed a shard and died: the
	// others wait no longer than for any other claim.
	It("wait for a claim once, whatever its record's time", func() {
		f := newFleet("a")
		s := f.ownerOf("key").shards
		sl := s.slotOf("key")
		for _, passed := range []time.Duration{-24 * time.Hour, 24 * time.Hour} {
			sl.mu.Lock()
			term := sl.known + 1
			stands := s.letStand(sl, term, passed)
			until := sl.standsUntil
			again := s.letStand(sl, term, passed)
			sl.mu.Unlock()
			Expect(stands).To(Equal(passed < 0))
			Expect(until).To(BeTemporally("<=", time.Now().Add(standTime)))
			Expect(again).To(BeFalse(), "a second time")
		}
	})
})
