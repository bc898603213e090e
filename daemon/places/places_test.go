package places_test

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"tarragonhollow.example/tarragonhollow/core/board"
	"tarragonhollow.example/tarragonhollow/core/outcome"
	"tarragonhollow.example/tarragonhollow/core/roster"
	"tarragonhollow.example/tarragonhollow/core/routing"
	"tarragonhollow.example/tarragonhollow/daemon/places"
	"tarragonhollow.example/tarragonhollow/peer"
)

func TestPlaces(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "places")
}

const limit = 10 * time.Second

// hearer is what peers call.
type hearer interface {
	Hear(board.Word, *places.Ack) error
}

// wire hands the words of one daemon to the others.
type wire struct {
	mu      sync.Mutex
	hearers map[string]hearer
	// senders holds, by daemon, whose words it was told.
	senders map[string]map[string]bool
}

type registrar struct {
	wire *wire
	name string
}

func (r registrar) Register(_ string, receiver any) error {
	r.wire.hearers[r.name] = receiver.(hearer)
	return nil
}

func (w *wire) Call(context.Context, string, string, any, any) error {
	return peer.Unreachable.New("no")
}

func (w *wire) Notify(address, _ string, args any) {
	w.mu.Lock()
	if w.senders[address] == nil {
		w.senders[address] = map[string]bool{}
	}
	w.senders[address][args.(board.Word).From] = true
	w.mu.Unlock()
	_ = w.hearers[address].Hear(args.(board.Word), nil) // it never fails
}

func (w *wire) toldBy(address string) map[string]bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return maps.Clone(w.senders[address])
}

var _ = Describe("The view of the targets", func() {
	var fleet int
	BeforeEach(func() { fleet = 2 })

	view := func(name, zone string, targets ...roster.Target) *places.Places {
		p := places.New(places.Options{Host: name, Zone: zone, PeerAddress: name, Fleet: func() int { return fleet }, Logger: zap.NewNop()})
		p.Update(func(now time.Time, r *roster.Roster) {
			r.Heard(now)
			r.Replace(now, targets)
		})
		return p
	}
	target := func(id, zone string) roster.Target {
		return roster.Target{ID: id, Start: roster.StartOf(id, 0), Group: "g", Address: id, Zone: zone, Slots: 4}
	}
	// born is a later start of a target.
	born := func(t roster.Target, at int64) roster.Target {
		t.Born, t.Start = at, roster.StartOf(t.ID, at)
		return t
	}
	take := func(p *places.Places) string {
		t, refusal := p.Take(places.Ask{Group: "g", Patience: time.Second})
		Expect(refusal).To(BeNil())
		return t.ID
	}

	It("spreads requests, the own zone first", func() {
		p := view("d", "z1", target("a", "z1"), target("b", "z1"), target("far", "z2"))
		got := map[string]int{}
		for range 6 {
			got[take(p)]++
		}
		Expect(got["a"]).To(BeNumerically("~", 2, 1))
		Expect(got["b"]).To(BeNumerically("~", 2, 1))
		Expect(got["far"]).To(BeNumerically("<=", 2))
		first := view("d", "z1", target("a", "z1"), target("far", "z2"))
		Expect(take(first)).To(Equal("a"))
	})

	It("refuses at once and truly without any target", func() {
		p := view("d", "z1")
		_, refusal := p.Take(places.Ask{Group: "g"})
		Expect(refusal.Run).To(Equal(outcome.NotRun))
	})

	It("sends online requests to free places before those that batch has taken", func() {
		p := view("d", "z1", target("a", "z1"), target("b", "z1"))
		for range 4 {
			t, ok := p.TakeBatch("g", map[string]bool{string(roster.StartOf("b", 0)): true}, 0)
			Expect(ok).To(BeTrue())
			Expect(t.ID).To(Equal("a"))
		}
		for range 4 {
			Expect(take(p)).To(Equal("b"))
		}
		Expect(p.Yields()).To(BeEmpty())
		Expect(take(p)).To(Equal("a"))
		Expect(p.Yields()).To(Equal(map[roster.Start]int{roster.StartOf("a", 0): 1}))
	})

	It("leaves the headroom free of batch and takes no target that is out", func() {
		p := view("d", "z1", target("a", "z1"))
		for range 3 {
			_, ok := p.TakeBatch("g", nil, 1)
			Expect(ok).To(BeTrue())
		}
		_, ok := p.TakeBatch("g", nil, 1)
		Expect(ok).To(BeFalse())
		Expect(p.Free("g", 0)).To(Equal(1))
		p.ReleaseBatch(target("a", "z1"), routing.HardFailed)
		_, ok = p.TakeBatch("g", nil, 0)
		Expect(ok).To(BeFalse())
	})

	// A target crashes with four requests, refuses the next ones, and starts again
	// under its ID. What was counted and believed of its earlier start must not keep
	// requests away from it, nor end up on the new one.
	It("believes nothing of an earlier start once it knows a later one", func() {
		first := target("a", "z1")
		p := view("d", "z1", first)
		var work []places.Place
		for range 4 {
			place, refusal := p.Take(places.Ask{Group: "g", Patience: time.Second})
			Expect(refusal).To(BeNil())
			work = append(work, place)
		}
		p.Release(work[0].Target, routing.HardFailed, 0)
		Expect(p.Free("g", 0)).To(BeZero())
		p.Update(func(now time.Time, r *roster.Roster) { r.Set(now, born(first, 100)) })
		Expect(p.Free("g", 0)).To(Equal(4))
		place, refusal := p.Take(places.Ask{Group: "g", Exclude: map[string]bool{string(first.Start): true}})
		Expect(refusal).To(BeNil())
		Expect(place.Running).To(BeZero())
		Expect(place.Born).To(BeEquivalentTo(100))
		for _, w := range work[1:] {
			Expect(w.Alive.Err()).To(HaveOccurred())
			p.Release(w.Target, routing.HardFailed, 0)
		}
		Expect(place.Alive.Err()).NotTo(HaveOccurred())
		Expect(p.Free("g", 0)).To(Equal(3))
	})

	// A target drains, crashes before its work is done, and starts again. It is no
	// longer among those that get work, but what runs there must end all the same.
	It("ends the work at a target that drained and has started again", func() {
		first := target("a", "z1")
		p := view("d", "z1", first)
		place, ok := p.TakeBatch("g", nil, 0)
		Expect(ok).To(BeTrue())
		drains := first
		drains.Draining = true
		p.Update(func(now time.Time, r *roster.Roster) { r.Set(now, drains) })
		Expect(place.Alive.Err()).NotTo(HaveOccurred())
		p.Update(func(now time.Time, r *roster.Roster) { r.Set(now, born(first, 100)) })
		Expect(place.Alive.Err()).To(HaveOccurred())
	})

	// The crashed target's connections may look whole from here.
	It("forgets the connections to an earlier start", func() {
		first := target("a", "z1")
		p := view("d", "z1", first)
		var forgotten []string
		p.OnGone(func(address string) { forgotten = append(forgotten, address) })
		p.Update(func(now time.Time, r *roster.Roster) { r.Set(now, born(first, 100)) })
		Expect(forgotten).To(Equal([]string{first.Address}))
	})

	It("counts what other daemons run", func() {
		w := &wire{hearers: map[string]hearer{}, senders: map[string]map[string]bool{}}
		a, b := view("a", "z1", target("t", "z1")), view("b", "z1", target("t", "z1"))
		Expect(a.Register(registrar{w, "a"})).To(Succeed())
		Expect(b.Register(registrar{w, "b"})).To(Succeed())
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() {
			a.Spread(ctx, w, func() []places.Peer { return []places.Peer{{Address: "b", Zone: "z1"}} })
			close(done)
		}()
		DeferCleanup(func() {
			cancel()
			<-done
		})
		for range 4 {
			take(a)
		}
		Eventually(func() int { return b.Free("g", 0) }).WithTimeout(limit).Should(BeZero())
		a.SetHeld([]uint64{7}, []int{3})
		Eventually(b.HeldElsewhere).WithTimeout(limit).Should(HaveKey(uint64(7)))
		Expect(b.PartsElsewhere()).To(Equal(map[int]bool{3: true}))
	})

	// A target fails every request of one zone at once and looks empty all the time.
	// Daemons of that zone that have not met it yet would send their orders there;
	// those of the other zone are served by it.
	It("tells the own zone which targets fail, and no other", func() {
		w := &wire{hearers: map[string]hearer{}, senders: map[string]map[string]bool{}}
		bad, good := target("bad", "z1"), target("good", "z1")
		a, near, far := view("a", "z1", bad), view("near", "z1", bad, good), view("far", "z2", bad, good)
		for name, p := range map[string]*places.Places{"a": a, "near": near, "far": far} {
			Expect(p.Register(registrar{w, name})).To(Succeed())
		}
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() {
			a.Spread(ctx, w, func() []places.Peer {
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
				id := take(p)
				got[id]++
				p.Release(target(id, "z1"), routing.Neutral, 0)
			}
			return got
		}
		Eventually(func() int {
			Expect(take(a)).To(Equal("bad"))
			a.Release(bad, routing.SoftFailed, 0)
			return chosen(near)["bad"]
		}).WithTimeout(limit).Should(BeZero())
		Expect(chosen(far)["bad"]).To(BeNumerically(">", 0))
	})

	// Words to everybody grow with the square of the fleet: the smallest hosts would
	// do little else, and the links between zones would carry little else.
	It("tells other zones a digest, each daemon to a few, in a large fleet", func() {
		fleet = 60
		w := &wire{hearers: map[string]hearer{}, senders: map[string]map[string]bool{}}
		var peers []places.Peer
		var views []*places.Places
		for i := range fleet {
			peers = append(peers, places.Peer{Address: fmt.Sprint("p", i), Zone: fmt.Sprint("z", i%4)})
		}
		for i, p := range peers {
			v := view(p.Address, p.Zone, target("t", "z0"))
			Expect(v.Register(registrar{w, p.Address})).To(Succeed())
			views = append(views, v)
			others := slices.Delete(slices.Clone(peers), i, i+1)
			ctx, cancel := context.WithCancel(context.Background())
			done := make(chan struct{}, 2)
			for _, run := range []func(context.Context, peer.Caller, func() []places.Peer){v.Spread, v.SpreadFar} {
				go func() {
					run(ctx, w, func() []places.Peer { return others })
					done <- struct{}{}
				}()
			}
			DeferCleanup(func() {
				cancel()
				<-done
				<-done
			})
		}
		// Two daemons of one zone run something; all zones hear of both together.
		take(views[0])
		take(views[4])
		for _, v := range views {
			Eventually(func() int { return v.Free("g", 0) }).WithTimeout(limit).Should(Equal(2))
		}
		// p4 is in the zone of p0, p1 in another one.
		Expect(w.toldBy("p4")).To(HaveKey("p0"))
		Expect(w.toldBy("p1")).To(HaveKey("zone z0"))
		Expect(w.toldBy("p1")).NotTo(Or(HaveKey("p0"), HaveKey("p4")))
		// A daemon sends at most as many digests as it takes for every daemon of the
		// other zones to have two speakers in its zone, and some more by chance.
		for _, v := range views {
			Expect(len(v.Listeners(peers))).To(BeNumerically("<=", 3*2*fleet*3/4/(fleet/4)))
		}
	})
})
