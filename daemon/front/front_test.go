package front

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"tarragonhollow.example/tarragonhollow/core/roster"
	"tarragonhollow.example/tarragonhollow/core/route"
	"tarragonhollow.example/tarragonhollow/daemon/places"
	"tarragonhollow.example/tarragonhollow/extern/partlog"
	"tarragonhollow.example/tarragonhollow/extern/partlog/fakepartlog"
)

func TestFront(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "front")
}

func table(version int64) *route.Table {
	return route.NewTable(version, []route.Route{{Host: "h", Prefix: "/", Groups: []route.Share{{Group: "g", Weight: 1}}}}, route.Limits{})
}

var _ = Describe("A daemon", func() {
	var n *Node
	start := time.Unix(1000, 0)
	BeforeEach(func() {
		n = &Node{Logger: zap.NewNop(), started: start}
		n.Places = places.New(places.Options{Host: "h", Zone: "z", Logger: zap.NewNop()})
	})

	It("never goes back to an older configuration", func() {
		n.SetRoutes(table(7))
		n.SetRoutes(table(5))
		Expect(n.Routes().Version).To(BeEquivalentTo(7))
		n.SetRoutes(table(9))
		Expect(n.Routes().Version).To(BeEquivalentTo(9))
	})

	// All hosts have lost power and start again; callers are there before the routes.
	It("keeps a request until the first configuration, if it has just started", func() {
		n.started = time.Now()
		got := make(chan *route.Table)
		go func() { got <- n.AwaitRoutes(context.Background()) }()
		n.SetRoutes(table(3))
		n.SetRoutes(table(4))
		Eventually(got).Should(Receive(Not(BeNil())))
		Expect(n.AwaitRoutes(context.Background()).Version).To(BeEquivalentTo(4))
	})

	// The store is away for longer. What can't be served is refused at once then.
	It("keeps no request once it has had time to read its configuration", func() {
		n.started = time.Now().Add(-startWait)
		Expect(n.AwaitRoutes(context.Background())).To(BeNil())
		n.started = time.Now()
		left, cancel := context.WithCancel(context.Background())
		cancel()
		Expect(n.AwaitRoutes(left)).To(BeNil())
	})

	// The store was away and the targets' entries have lapsed when a daemon
	// starts. It must not take callers whom other daemons could serve.
	It("reaches its targets only once it knows some, or has waited for them", func() {
		Expect(n.reaches(table(1), start)).To(BeFalse())
		Expect(n.reaches(table(1), start.Add(targetWait))).To(BeTrue())
	})

	It("stays in service when its targets go later", func() {
		n.Places.Update(func(now time.Time, r *roster.Roster) {
			r.Heard(now)
			r.Replace(now, []roster.Target{{ID: "t", Group: "g"}})
		})
		Expect(n.reaches(table(1), start)).To(BeTrue())
		n.Places.Update(func(now time.Time, r *roster.Roster) { r.Replace(now, nil) })
		Expect(n.reaches(table(1), start)).To(BeTrue())
	})

	It("finds the others by their records, and not itself", func() {
		log := fakepartlog.New(1)
		a := newHosts(log, "hosts", "a", places.Peer{Address: "1:1", Zone: "z1"}, zap.NewNop())
		b := newHosts(log, "hosts", "b", places.Peer{Address: "2:2", Zone: "z2"}, zap.NewNop())
		a.announce(GinkgoT().Context())
		b.announce(GinkgoT().Context())
		Expect(partlog.Load(GinkgoT().Context(), log, a.partition, a)).To(Succeed())
		Expect(a.peers()).To(Equal([]places.Peer{{Address: "2:2", Zone: "z2"}}))
		Expect(a.count()).To(Equal(2))
		address, known := a.addressOf("b")
		Expect(known).To(BeTrue())
		Expect(address).To(Equal("2:2"))
		b.leave(GinkgoT().Context())
		Expect(partlog.Load(GinkgoT().Context(), log, a.partition, a)).To(Succeed())
		Expect(a.peers()).To(BeEmpty())
	})

	// Somebody writes into the topic where the daemons tell of each other. It must
	// cost the daemons that wrote properly nothing.
	It("passes over records of its topic that name no peer", func() {
		log := fakepartlog.New(1)
		a := newHosts(log, "hosts", "a", places.Peer{Address: "1:1", Zone: "z1"}, zap.NewNop())
		a.apply([]partlog.Kept{
			{Record: partlog.Record{Key: "b", Value: encodeEntry(places.Peer{Address: "2:2", Zone: "z2"})}},
			{Record: partlog.Record{Key: "c", Value: []byte("3:3")}},
			{Record: partlog.Record{Key: "d", Value: []byte("somewhere z2")}},
			{Record: partlog.Record{Key: "e", Value: []byte{0xff, 0}}},
			{Record: partlog.Record{Key: "f", Value: []byte("4:4 z2 NaN")}},
			{Record: partlog.Record{Key: "g", Value: []byte("4:4 z2 -1")}},
			{Record: partlog.Record{Key: "i", Value: []byte("4:4  1")}},
			{Unreadable: true},
		})
		Expect(a.peers()).To(Equal([]places.Peer{{Address: "2:2", Zone: "z2"}}))
	})
})
