package places_test

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"tarragonhollow.example/tarragonhollow/core/roster"
	"tarragonhollow.example/tarragonhollow/core/routing"
	"tarragonhollow.example/tarragonhollow/core/slots"
	"tarragonhollow.example/tarragonhollow/daemon/places"
)

const (
	fleetSize   = 48
	fleetZones  = 4
	zoneTargets = 3
	targetSlots = 4
	// slotTimeout is long: on a busy machine a late answer must not count as none.
	slotTimeout = time.Second
)

// largeFleet is a fleet whose zones have leaders, in one process.
type largeFleet struct {
	network *network
	views   []*places.Places
	peers   []places.Peer
	stops   []context.CancelFunc
	ended   []*sync.WaitGroup
}

// newLargeFleet starts a fleet. Daemon i is in zone i%fleetZones; daemon 4 has the most
// cores of zone 0.
func newLargeFleet(policy ...slots.Policy) *largeFleet {
	f := &largeFleet{network: newNetwork()}
	var targets []roster.Target
	for i := range fleetZones * zoneTargets {
		id := fmt.Sprint("t", i)
		targets = append(targets, roster.Target{ID: id, Start: roster.StartOf(id, 0), Group: "g", Address: id,
			Zone: fmt.Sprint("z", i%fleetZones), Slots: targetSlots})
	}
	for i := range fleetSize {
		p := places.Peer{Address: fmt.Sprint("p", i), Zone: fmt.Sprint("z", i%fleetZones), Cores: 0.2}
		if i/fleetZones == 1 {
			p.Cores = 0.8
		}
		f.peers = append(f.peers, p)
	}
	for i, p := range f.peers {
		v := places.New(places.Options{Host: p.Address, Zone: p.Zone, PeerAddress: p.Address, Cores: p.Cores, Peers: f.network, SlotTimeout: slotTimeout,
			FleetSize: func() int { return fleetSize }, Policy: firstPolicy(policy), Logger: zap.NewNop()})
		v.Update(func(now time.Time, r *roster.Roster) {
			r.StoreAnswered(now)
			r.Replace(now, targets)
		})
		Expect(v.Register(f.network.At(p.Address))).To(Succeed())
		f.views = append(f.views, v)
		f.run(i)
	}
	DeferCleanup(func() {
		for i := range f.views {
			f.stop(i)
		}
	})
	return f
}

// firstPolicy returns the given policy, or else the one without optional parts.
func firstPolicy(policy []slots.Policy) slots.Policy {
	if len(policy) == 0 {
		return slots.Policy{}
	}
	return policy[0]
}

func (f *largeFleet) run(i int) {
	v := f.views[i]
	others := slices.Delete(slices.Clone(f.peers), i, i+1)
	peers := func() []places.Peer { return others }
	ctx, cancel := context.WithCancel(context.Background())
	var ended sync.WaitGroup
	ended.Go(func() { v.Lead(ctx, peers) })
	ended.Go(func() { v.ReportLeases(ctx) })
	ended.Go(func() { v.BroadcastLoad(ctx, f.network, peers) })
	f.stops = append(f.stops, cancel)
	f.ended = append(f.ended, &ended)
}

func (f *largeFleet) stop(i int) {
	f.stops[i]()
	f.ended[i].Wait()
}

func (f *largeFleet) acquire(i int) places.Slot {
	GinkgoHelper()
	slot, refusal := f.views[i].Acquire(context.Background(), places.Request{Group: "g", MaxWait: time.Second})
	Expect(refusal).To(BeNil())
	return slot
}

// awaitLeader waits until daemon i gets its slots from the leader.
func (f *largeFleet) awaitLeader(i int, leader string) {
	GinkgoHelper()
	Eventually(func() string {
		slot := f.acquire(i)
		f.views[i].Release(slot, routing.Neutral, 0)
		return slot.GrantedBy
	}).WithTimeout(limit).Should(Equal(leader))
}

// fillZone acquires all slots of zone 0 at once and counts them by target. A round in
// which the leader did not grant all of them, because a busy machine delayed its
// heartbeats, is released and repeated.
func (f *largeFleet) fillZone() map[string]int {
	GinkgoHelper()
	got := map[string]int{}
	Eventually(func() bool {
		taken := make([]places.Slot, zoneTargets*targetSlots)
		var acquiring sync.WaitGroup
		for n := range taken {
			acquiring.Go(func() {
				defer GinkgoRecover()
				taken[n] = f.acquire(n * fleetZones % fleetSize)
			})
		}
		acquiring.Wait()
		clear(got)
		byLeader := true
		for _, slot := range taken {
			got[slot.ID]++
			byLeader = byLeader && slot.GrantedBy == "p4"
		}
		if !byLeader {
			for n, slot := range taken {
				f.views[n*fleetZones%fleetSize].Release(slot, routing.Neutral, 0)
			}
			f.awaitReports()
		}
		return byLeader
	}).WithTimeout(limit).Should(BeTrue())
	return got
}

// awaitReports waits until the leaders have received the reports of all ended leases.
func (f *largeFleet) awaitReports() {
	GinkgoHelper()
	heartbeats := f.network.count("Slots.Beat")
	Eventually(func() int { return f.network.count("Slots.Beat") }).WithTimeout(limit).Should(BeNumerically(">", heartbeats+3*fleetSize))
}

var _ = Describe("The slots of a large fleet", func() {
	var f *largeFleet
	BeforeEach(func() {
		f = newLargeFleet()
		for i := range fleetZones {
			f.awaitLeader(i, fmt.Sprint("p", i+fleetZones))
		}
		f.awaitReports()
	})

	// After a sudden rise of load the whole zone requests the last free slots at once.
	// Two requests on one slot are late while another target has a free one.
	It("are each granted once, however many daemons request one at the same moment", func() {
		got := f.fillZone()
		Expect(got).To(Equal(map[string]int{"t0": targetSlots, "t4": targetSlots, "t8": targetSlots}))
		// The next one gets a slot in another zone that has free ones.
		Eventually(func() string {
			slot := f.acquire(0)
			f.views[0].Release(slot, routing.Neutral, 0)
			return slot.Zone
		}).WithTimeout(limit).ShouldNot(Equal("z0"))
	})

	// A zone with callers only, or one whose targets have all been removed.
	It("are found for a zone without targets by its leader", func() {
		for _, v := range f.views {
			v.Update(func(now time.Time, r *roster.Roster) {
				for i := range zoneTargets {
					r.Remove(now, fmt.Sprint("t", i*fleetZones))
				}
			})
		}
		Eventually(func() string {
			slot := f.acquire(0)
			f.views[0].Release(slot, routing.Neutral, 0)
			return slot.GrantedBy
		}).WithTimeout(limit).Should(BeElementOf("p5", "p6", "p7"))
	})

	It("cost two short calls a request, however many daemons there are", func() {
		before := f.network.count("Slots.Grant") + f.network.count("Slots.Report")
		const requests = 40
		for range requests {
			slot := f.acquire(0)
			f.views[0].Release(slot, routing.Neutral, 0)
		}
		Expect(f.network.count("Slots.Grant") + f.network.count("Slots.Report") - before).To(BeNumerically("<=", 2*requests+2*fleetSize))
		Expect(f.network.count("Board.Hear")).To(BeZero())
	})

	// A caller disconnects while its daemon requests a slot. The leader is not at fault,
	// and later requests must still get their slots from it.
	It("are still granted by a leader after callers disconnected during a call to it", func() {
		for range 5 {
			cancelled, cancel := context.WithCancel(context.Background())
			cancel()
			f.network.setCut("p4", true)
			slot, refusal := f.views[0].Acquire(cancelled, places.Request{Group: "g", MaxWait: time.Second})
			Expect(refusal).To(BeNil())
			f.views[0].Release(slot, routing.Neutral, 0)
			f.network.setCut("p4", false)
		}
		Expect(f.acquire(0).GrantedBy).To(Equal("p4"))
	})

	// The leader's host is cut off or frozen: messages sent to it are lost.
	It("are chosen from a daemon's own view while the leader answers nobody", func() {
		f.network.setCut("p4", true)
		began := time.Now()
		slot := f.acquire(0)
		Expect(slot.GrantedBy).To(BeEmpty())
		Expect(slot.Zone).To(Equal("z0"))
		Expect(time.Since(began)).To(BeNumerically("<", limit))
		f.network.setCut("p4", false)
		f.awaitLeader(0, "p4")
	})

	It("are granted by another daemon, which counts what runs, once the leader has died", func() {
		held := []places.Slot{f.acquire(0), f.acquire(8), f.acquire(12)}
		f.network.setCut("p4", true)
		f.stop(1 * fleetZones)
		Eventually(func() string {
			slot := f.acquire(0)
			f.views[0].Release(slot, routing.Neutral, 0)
			return slot.GrantedBy
		}).WithTimeout(limit).ShouldNot(Or(BeEmpty(), Equal("p4")))
		// The new leader learns from the holders what runs: one slot at each target.
		Eventually(func() int {
			slot := f.acquire(0)
			f.views[0].Release(slot, routing.Neutral, 0)
			return slot.Running
		}).WithTimeout(limit).Should(Equal(1))
		Expect(held).To(HaveLen(3))
	})

	It("are no longer granted by a leader once it steps down", func() {
		f.views[4].StepDown()
		Eventually(func() string {
			slot := f.acquire(0)
			f.views[0].Release(slot, routing.Neutral, 0)
			return slot.GrantedBy
		}).WithTimeout(limit).ShouldNot(Or(BeEmpty(), Equal("p4")))
	})

	// Online requests queue behind batch if its holder is not notified of the preemption.
	It("are preempted from batch where online work needs them, at the holder of the item", func() {
		var items []places.Slot
		for {
			slot, ok := f.views[8].AcquireBatch(context.Background(), places.BatchRequest{Group: "g"})
			if !ok || slot.Zone != "z0" {
				break
			}
			items = append(items, slot)
		}
		Expect(len(items)).To(Equal(zoneTargets * targetSlots))
		f.acquire(0)
		var preempted atomic.Int64
		Eventually(func() int64 {
			for _, n := range f.views[8].Preemptions() {
				preempted.Add(int64(n))
			}
			return preempted.Load()
		}).WithTimeout(limit).Should(BeEquivalentTo(1))
	})

	// A target fails every request at once and always looks empty. Daemons that have not
	// used it yet would send their requests there.
	It("of a target that fails one daemon's request are not granted to the next daemon", func() {
		bad := f.acquire(0)
		f.views[0].Release(bad, routing.HardFailed, 0)
		Eventually(func() bool {
			seen := false
			for range 2 * zoneTargets {
				slot := f.acquire(8)
				seen = seen || slot.ID == bad.ID
				f.views[8].Release(slot, routing.Neutral, 0)
			}
			return seen
		}).WithTimeout(limit).Should(BeFalse())
	})

	// The log rejects a daemon, and its partitions go to daemons in other zones.
	It("come with reports of held work through all zones", func() {
		f.views[0].SetHeldWork([]uint64{7}, []int{3})
		for _, i := range []int{1, 2, 3, 16} {
			Eventually(f.views[i].HeldElsewhere).WithTimeout(limit).Should(HaveKey(uint64(7)))
			Expect(f.views[i].PartsElsewhere()).To(HaveKey(3))
		}
		Consistently(f.views[0].HeldElsewhere).WithTimeout(time.Second / 2).Should(BeEmpty())
		f.views[0].SetHeldWork(nil, nil)
		Eventually(f.views[1].HeldElsewhere).WithTimeout(limit).Should(BeEmpty())
	})
})
