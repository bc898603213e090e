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
	// All hosts restart at the same time after a power failure. Claims of all shards
	// within milliseconds exceed the burst that the log allows, so the log refuses some
	// of them, which delays these. Claims must be spread out, and complete soon.
	It("stay within half of the fleet's append budget", func() {
		began := time.Now()
		var elapsed atomic.Int64
		self := membership.Member{Host: "a", Incarnation: 1, LogOK: true, Ready: true}
		n := &node{self: self, fleet: &fleet{nodes: map[string]*node{}}}
		n.fleet.nodes["a"] = n
		s, err := New(Options{
			Log: fakelog.New(fakelog.Options{}), View: n, Peer: peer.NewClient(peer.ClientOptions{}),
			Registrar: peer.NewServer(peer.ServerOptions{}), Config: func() *config.Config { return nil },
			Clock: func() time.Time { return began.Add(time.Duration(elapsed.Load())) },
		})
		Expect(err).NotTo(HaveOccurred())
		ctx, cancel := context.WithCancel(context.Background())
		s.group = duty.NewGroup(ctx)
		DeferCleanup(func() { cancel(); s.group.Wait() })

		// The log accepts a burst of 20 appends; half of that is left to other records.
		const round, burst = 10 * time.Millisecond, 10
		before := 0
		for s.busySlots() < DefaultShards && elapsed.Load() < int64(time.Second) {
			s.claimRound(ctx)
			budget := int(DefaultAppendBudget / 2 * round.Seconds())
			if before == 0 {
				budget = burst
			}
			Expect(s.busySlots() - before).To(BeNumerically("<=", budget))
			before = s.busySlots()
			elapsed.Add(int64(round))
		}
		Expect(s.busySlots()).To(Equal(DefaultShards))
		Expect(time.Duration(elapsed.Load())).To(BeNumerically("<=", 200*time.Millisecond))
	})
})

var _ = Describe("Daemons that can't reach each other but reach the log", func() {
	// Each considers the other dead and claims its shards. If each claims a shard again
	// as soon as it reads that it lost it, the shard changes holders ten times a second,
	// no holder gets anything done, and the claims use up the log's append limit.
	It("grant a claim a grace time before they claim against it", func() {
		f := newFleet("a", "b")
		first := f.ownerOf("key")
		second := f.other(first)
		Eventually(func() uint64 { return second.seenTerm("key") }).Should(Equal(first.term("key")))
		before, began := first.term("key"), time.Now()
		first.isolated.Store(true)
		second.isolated.Store(true)
		Eventually(func() uint64 { return first.term("key") }).WithTimeout(20*time.Second).
			Should(BeNumerically(">", before), "the first claims it back")
		// The other daemon's claim had its grace time; a slow machine only takes longer.
		Expect(time.Since(began)).To(BeNumerically(">=", claimGrace))
		Expect(first.term("key")).To(Equal(before + 2))
	})

	// A host whose clock is wrong by a day has claimed a shard and died. The others must
	// wait no longer than for any other claim.
	It("wait once for a claim, whatever the time in its record", func() {
		f := newFleet("a")
		s := f.ownerOf("key").shards
		sl := s.slotOf("key")
		for _, passed := range []time.Duration{-24 * time.Hour, 24 * time.Hour} {
			sl.mu.Lock()
			term := sl.knownTerm + 1
			inGrace := s.startGrace(sl, term, passed)
			until := sl.graceUntil
			again := s.startGrace(sl, term, passed)
			sl.mu.Unlock()
			Expect(inGrace).To(Equal(passed < 0))
			Expect(until).To(BeTemporally("<=", time.Now().Add(claimGrace)))
			Expect(again).To(BeFalse(), "a second time")
		}
	})
})
