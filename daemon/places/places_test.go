package places_test

import (
	"context"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"tarragonhollow.example/tarragonhollow/core/outcome"
	"tarragonhollow.example/tarragonhollow/core/roster"
	"tarragonhollow.example/tarragonhollow/core/routing"
	"tarragonhollow.example/tarragonhollow/daemon/places"
	"tarragonhollow.example/tarragonhollow/peer"
	"tarragonhollow.example/tarragonhollow/peer/fakepeer"
)

func TestPlaces(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "places")
}

const limit = 10 * time.Second

// network passes the calls between daemons in one process, without delay. The test may
// cut addresses off.
type network struct {
	fakepeer.Receivers

	mu sync.Mutex
	// calls counts the calls by method.
	calls map[string]int
	// cut holds the addresses to which calls are lost.
	cut map[string]bool
	// lost holds the methods whose calls are lost.
	lost map[string]bool
}

func newNetwork() *network {
	return &network{calls: map[string]int{}, cut: map[string]bool{}, lost: map[string]bool{}}
}

// Call implements peer.Caller.
func (n *network) Call(ctx context.Context, address, method string, args, reply any) error {
	n.mu.Lock()
	n.calls[method]++
	cut := n.cut[address] || n.lost[method]
	n.mu.Unlock()
	if cut {
		<-ctx.Done()
		return peer.NoReply.Wrap(ctx.Err(), "%s", address)
	}
	return n.Invoke(address, method, args, reply)
}

// Notify implements peer.Caller.
func (n *network) Notify(address, method string, args any) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_ = n.Call(ctx, address, method, args, new(places.Ack)) // one way
	}()
}

func (n *network) setCut(address string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[address] = cut
}

func (n *network) lose(method string, lost bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.lost[method] = lost
}

func (n *network) count(method string) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.calls[method]
}

var _ = Describe("The view of the targets", func() {
	var fleet int
	BeforeEach(func() { fleet = 2 })

	view := func(name, zone string, targets ...roster.Target) *places.Places {
		p := places.New(places.Options{Host: name, Zone: zone, PeerAddress: name, FleetSize: func() int { return fleet }, Logger: zap.NewNop()})
		p.Update(func(now time.Time, r *roster.Roster) {
			r.StoreAnswered(now)
			r.Replace(now, targets)
		})
		return p
	}
	target := func(id, zone string) roster.Target {
		return roster.Target{ID: id, Start: roster.StartOf(id, 0), Group: "g", Address: id, Zone: zone, Slots: 4}
	}
	// born returns a later start of a target.
	born := func(t roster.Target, at int64) roster.Target {
		t.Born, t.Start = at, roster.StartOf(t.ID, at)
		return t
	}
	acquire := func(p *places.Places) places.Slot {
		t, refusal := p.Acquire(context.Background(), places.Request{Group: "g", MaxWait: time.Second})
		Expect(refusal).To(BeNil())
		return t
	}
	acquireID := func(p *places.Places) string { return acquire(p).ID }

	It("spreads requests, the local zone first", func() {
		p := view("d", "z1", target("a", "z1"), target("b", "z1"), target("far", "z2"))
		got := map[string]int{}
		for range 6 {
			got[acquireID(p)]++
		}
		Expect(got["a"]).To(BeNumerically("~", 2, 1))
		Expect(got["b"]).To(BeNumerically("~", 2, 1))
		Expect(got["far"]).To(BeNumerically("<=", 2))
		first := view("d", "z1", target("a", "z1"), target("far", "z2"))
		Expect(acquireID(first)).To(Equal("a"))
	})

	It("refuses at once, as not run, without any target", func() {
		p := view("d", "z1")
		_, refusal := p.Acquire(context.Background(), places.Request{Group: "g"})
		Expect(refusal.Run).To(Equal(outcome.NotRun))
	})

	It("sends online requests to free slots before those taken by batch", func() {
		p := view("d", "z1", target("a", "z1"), target("b", "z1"))
		for range 4 {
			t, ok := p.AcquireBatch(context.Background(), places.BatchRequest{Group: "g", Exclude: map[string]bool{string(roster.StartOf("b", 0)): true}})
			Expect(ok).To(BeTrue())
			Expect(t.ID).To(Equal("a"))
		}
		for range 4 {
			Expect(acquireID(p)).To(Equal("b"))
		}
		Expect(p.Preemptions()).To(BeEmpty())
		Expect(acquireID(p)).To(Equal("a"))
		Expect(p.Preemptions()).To(Equal(map[roster.Start]int{roster.StartOf("a", 0): 1}))
	})

	It("keeps the headroom free of batch and uses no ejected target", func() {
		p := view("d", "z1", target("a", "z1"))
		var last places.Slot
		for range 3 {
			var ok bool
			last, ok = p.AcquireBatch(context.Background(), places.BatchRequest{Group: "g", Headroom: 1})
			Expect(ok).To(BeTrue())
		}
		_, ok := p.AcquireBatch(context.Background(), places.BatchRequest{Group: "g", Headroom: 1})
		Expect(ok).To(BeFalse())
		Expect(p.FreeSlots("g", 0)).To(Equal(1))
		p.ReleaseBatch(last, routing.HardFailed)
		_, ok = p.AcquireBatch(context.Background(), places.BatchRequest{Group: "g"})
		Expect(ok).To(BeFalse())
	})

	// A target crashes with four requests, refuses the next ones, and restarts under the
	// same ID. Counts and health of its earlier start must neither keep requests away
	// from it nor apply to the new start.
	It("ignores counts and health of an earlier start once it knows a later one", func() {
		first := target("a", "z1")
		p := view("d", "z1", first)
		var work []places.Slot
		for range 4 {
			slot, refusal := p.Acquire(context.Background(), places.Request{Group: "g", MaxWait: time.Second})
			Expect(refusal).To(BeNil())
			work = append(work, slot)
		}
		p.Release(work[0], routing.HardFailed, 0)
		Expect(p.FreeSlots("g", 0)).To(BeZero())
		p.Update(func(now time.Time, r *roster.Roster) { r.Set(now, born(first, 100)) })
		Expect(p.FreeSlots("g", 0)).To(Equal(4))
		slot, refusal := p.Acquire(context.Background(), places.Request{Group: "g", Exclude: map[string]bool{string(first.Start): true}})
		Expect(refusal).To(BeNil())
		Expect(slot.Running).To(BeZero())
		Expect(slot.Born).To(BeEquivalentTo(100))
		for _, w := range work[1:] {
			Expect(w.Alive.Err()).To(HaveOccurred())
			p.Release(w, routing.HardFailed, 0)
		}
		Expect(slot.Alive.Err()).NotTo(HaveOccurred())
		Expect(p.FreeSlots("g", 0)).To(Equal(3))
	})

	// A change of the configuration takes targets away and brings them back, as they were. Work
	// under way there must go on, and must still count.
	It("keeps the work of a target whose entry is away for a while", func() {
		at := target("a", "z1")
		p := view("d", "z1", at)
		slot := acquire(p)
		for _, list := range [][]roster.Target{nil, {at}} {
			p.Update(func(now time.Time, r *roster.Roster) {
				r.StoreAnswered(now)
				r.Replace(now, list)
			})
			Expect(slot.Alive.Err()).NotTo(HaveOccurred())
			Expect(p.BusyTargets()).To(ConsistOf("a"))
		}
		Eventually(func() int { return p.FreeSlots("g", 0) }).WithTimeout(limit).Should(Equal(3))
		p.Release(slot, routing.Succeeded, time.Second)
		Expect(p.FreeSlots("g", 0)).To(Equal(4))
		Expect(p.BusyTargets()).To(BeEmpty())
	})

	// The same for what is known of its health: a target that failed must not get work again only
	// because its group was announced anew.
	It("keeps the health of targets when others change", func() {
		failed, other := target("a", "z1"), target("b", "z1")
		p := view("d", "z1", failed)
		p.Release(acquire(p), routing.HardFailed, 0)
		Expect(p.FreeSlots("g", 0)).To(BeZero())
		moved := other
		moved.Group = "h"
		for _, list := range [][]roster.Target{{failed, moved}, {failed}} {
			p.Update(func(now time.Time, r *roster.Roster) {
				r.StoreAnswered(now)
				r.Replace(now, list)
			})
			Expect(p.FreeSlots("g", 0)).To(BeZero())
		}
	})

	// A target drains, crashes before its work is done, and restarts. It is no longer
	// eligible for work, but what runs there must still be cancelled.
	It("cancels the work at a target that drained and has restarted", func() {
		first := target("a", "z1")
		p := view("d", "z1", first)
		slot, ok := p.AcquireBatch(context.Background(), places.BatchRequest{Group: "g"})
		Expect(ok).To(BeTrue())
		drains := first
		drains.Draining = true
		p.Update(func(now time.Time, r *roster.Roster) { r.Set(now, drains) })
		Expect(slot.Alive.Err()).NotTo(HaveOccurred())
		p.Update(func(now time.Time, r *roster.Roster) { r.Set(now, born(first, 100)) })
		Expect(slot.Alive.Err()).To(HaveOccurred())
	})

	// Guards against a data race, which the race detector shows: work ends while the restart of
	// its target is handled.
	It("lets work end while its target's restart is handled", func() {
		first := target("a", "z1")
		p := view("d", "z1", first)
		for start := range 20 {
			var wg sync.WaitGroup
			for range 4 {
				slot, ok := p.AcquireBatch(context.Background(), places.BatchRequest{Group: "g"})
				Expect(ok).To(BeTrue())
				wg.Add(1)
				go func() {
					defer wg.Done()
					p.ReleaseBatch(slot, routing.Neutral)
				}()
			}
			p.Update(func(now time.Time, r *roster.Roster) { r.Set(now, born(first, int64(start+100))) })
			wg.Wait()
			Expect(p.FreeSlots("g", 0)).To(Equal(4))
		}
	})

	// The crashed target's connections may look intact from this daemon.
	It("reports the address of an earlier start as removed", func() {
		first := target("a", "z1")
		p := view("d", "z1", first)
		var removed []string
		p.OnRemoved(func(address string) { removed = append(removed, address) })
		p.Update(func(now time.Time, r *roster.Roster) { r.Set(now, born(first, 100)) })
		Expect(removed).To(Equal([]string{first.Address}))
	})

	It("counts what other daemons run", func() {
		n := newNetwork()
		a, b := view("a", "z1", target("t", "z1")), view("b", "z1", target("t", "z1"))
		Expect(a.Register(n.At("a"))).To(Succeed())
		Expect(b.Register(n.At("b"))).To(Succeed())
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() {
			a.BroadcastLoad(ctx, n, func() []places.Peer { return []places.Peer{{Address: "b", Zone: "z1"}} })
			close(done)
		}()
		DeferCleanup(func() {
			cancel()
			<-done
		})
		for range 4 {
			acquireID(a)
		}
		Eventually(func() int { return b.FreeSlots("g", 0) }).WithTimeout(limit).Should(BeZero())
		a.SetHeldWork([]uint64{7}, []int{3})
		Eventually(b.HeldElsewhere).WithTimeout(limit).Should(HaveKey(uint64(7)))
		Expect(b.PartsElsewhere()).To(Equal(map[int]bool{3: true}))
	})

	// A target fails every request of one zone at once and always looks empty. Daemons of
	// that zone that have not used it yet would send their requests there; it serves
	// those of the other zone.
	It("reports failing targets to the local zone only", func() {
		n := newNetwork()
		bad, good := target("bad", "z1"), target("good", "z1")
		a, near, far := view("a", "z1", bad), view("near", "z1", bad, good), view("far", "z2", bad, good)
		for name, p := range map[string]*places.Places{"a": a, "near": near, "far": far} {
			Expect(p.Register(n.At(name))).To(Succeed())
		}
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() {
			a.BroadcastLoad(ctx, n, func() []places.Peer {
				return []places.Peer{{Address: "near", Zone: "z1"}, {Address: "far", Zone: "z2"}}
			})
			close(done)
		}()
		DeferCleanup(func() {
			cancel()
			<-done
		})
		chosen := func(p *places.Places) map[string]int {
			got := map[string]int{}
			for range 20 {
				slot := acquire(p)
				got[slot.ID]++
				p.Release(slot, routing.Neutral, 0)
			}
			return got
		}
		Eventually(func() int {
			slot := acquire(a)
			Expect(slot.ID).To(Equal("bad"))
			a.Release(slot, routing.SoftFailed, 0)
			return chosen(near)["bad"]
		}).WithTimeout(limit).Should(BeZero())
		// The last load report may count a request that has ended since; a degradation
		// lasts longer.
		Eventually(func() int { return far.FreeSlots("g", 0) }).WithTimeout(limit).Should(Equal(2 * 4))
		Expect(chosen(far)["bad"]).To(BeNumerically(">", 0))
	})
})
