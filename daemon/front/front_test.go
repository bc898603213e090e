package front

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"sync"
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

// newTestConfiguration returns a configuration whose versions are written as their
// number, with anything after the first line ignored.
func newTestConfiguration() *Configuration {
	return NewConfiguration(ConfigurationOptions{Logger: zap.NewNop(), Decode: func(written []byte) (*route.Table, error) {
		number, _, _ := strings.Cut(string(written), "\n")
		version, err := strconv.ParseInt(number, 10, 64)
		return table(version), err
	}})
}

// applyPadded applies a version that is written with size bytes that don't compress.
func (c *Configuration) applyPadded(version int64, size int) {
	padding := make([]byte, size)
	_, _ = rand.NewChaCha8([32]byte{}).Read(padding) // never fails
	Expect(c.Apply(append([]byte(strconv.FormatInt(version, 10)+"\n"), padding...), "source")).To(Succeed())
}

func (c *Configuration) applyVersion(version int64) {
	Expect(c.Apply([]byte(strconv.FormatInt(version, 10)), "source")).To(Succeed())
}

// hostsOf returns the options of a daemon of a fleet in the zones z1 and z2.
func hostsOf(log partlog.Log, host, address, zone string) hostsOptions {
	return hostsOptions{Log: log, Topic: "hosts", Parts: 4, Host: host, Local: places.Peer{Address: address, Zone: zone}, Zones: []string{"z1", "z2"}, Logger: zap.NewNop()}
}

func table(version int64) *route.Table {
	return route.NewTable(version, []route.Route{{Host: "h", Prefix: "/", Groups: []route.Share{{Group: "g", Weight: 1}}}}, route.Limits{})
}

var _ = Describe("A daemon", func() {
	var n *Node
	start := time.Unix(1000, 0)
	BeforeEach(func() {
		n = &Node{Logger: zap.NewNop(), started: start, Configuration: newTestConfiguration()}
		n.Places = places.New(places.Options{Host: "h", Zone: "z", Logger: zap.NewNop()})
	})

	It("never goes back to an older configuration", func() {
		c := n.Configuration
		c.applyVersion(7)
		c.applyVersion(5)
		Expect(c.Routes().Version).To(BeEquivalentTo(7))
		c.applyVersion(9)
		Expect(c.Routes().Version).To(BeEquivalentTo(9))
	})

	// Guards against a small host that decodes a large configuration once for each way in
	// which it arrives.
	It("decodes a configuration once, however often it arrives", func() {
		decoded := 0
		c := NewConfiguration(ConfigurationOptions{Logger: zap.NewNop(), Decode: func([]byte) (*route.Table, error) {
			decoded++
			return table(7), nil
		}})
		for range 3 {
			Expect(c.Apply([]byte("7"), "source")).To(Succeed())
		}
		Expect(decoded).To(Equal(1))
		Expect(c.Apply([]byte("7 "), "source")).To(Succeed())
		Expect(decoded).To(Equal(2))
	})

	// All hosts have lost power and start again; callers arrive before the routes.
	It("holds a request until the first configuration, if it has just started", func() {
		c := n.Configuration
		got := make(chan *route.Table)
		go func() { got <- c.Await(context.Background()) }()
		c.applyVersion(3)
		c.applyVersion(4)
		Eventually(got).Should(Receive(Not(BeNil())))
		Expect(c.Await(context.Background()).Version).To(BeEquivalentTo(4))
	})

	// The log is down for longer. Requests that can't be served are refused at once then.
	It("holds no request once it has had time to read its configuration", func() {
		c := n.Configuration
		c.started = time.Now().Add(-startupWait)
		Expect(c.Await(context.Background())).To(BeNil())
		c.started = time.Now()
		cancelled, cancel := context.WithCancel(context.Background())
		cancel()
		Expect(c.Await(cancelled)).To(BeNil())
	})

	// The log was down and the targets' entries have expired when a daemon starts. It
	// must not accept callers that other daemons could serve.
	It("reaches its targets only once it knows some, or has waited for them", func() {
		Expect(n.hasTargets(table(1), start)).To(BeFalse())
		Expect(n.hasTargets(table(1), start.Add(startupTargetWait))).To(BeTrue())
	})

	It("stays ready when its targets are removed later", func() {
		n.Places.Update(func(now time.Time, r *roster.Roster) {
			r.StoreAnswered(now)
			r.Replace(now, []roster.Target{{ID: "t", Group: "g"}})
		})
		Expect(n.hasTargets(table(1), start)).To(BeTrue())
		n.Places.Update(func(now time.Time, r *roster.Roster) { r.Replace(now, nil) })
		Expect(n.hasTargets(table(1), start)).To(BeTrue())
	})

	It("finds the others by their records, and not itself", func() {
		log := fakepartlog.New(1)
		a := newHosts(hostsOf(log, "a", "1:1", "z1"))
		b := newHosts(hostsOf(log, "b", "2:2", "z2"))
		a.announce(GinkgoT().Context())
		b.announce(GinkgoT().Context())
		load := func() {
			for _, part := range append(a.remoteParts(), a.part("z1")) {
				l := a.list(part)
				Expect(partlog.Load(GinkgoT().Context(), log, l.partition, l)).To(Succeed())
			}
		}
		load()
		Expect(a.peers()).To(Equal([]places.Peer{{Address: "2:2", Zone: "z2"}}))
		Expect(a.fleetSize()).To(Equal(2))
		address, known := a.addressOf("b")
		Expect(known).To(BeTrue())
		Expect(address).To(Equal("2:2"))
		b.deregister(GinkgoT().Context())
		load()
		Expect(a.peers()).To(BeEmpty())
	})

	// Guards against an outdated size of the fleet, by which the quotas of accounts are
	// divided.
	It("drops the lists of other zones that it no longer follows, once its zone is large", func() {
		log := fakepartlog.New(1)
		put := func(h *hosts) {
			_, err := log.Append(context.Background(), h.localList().partition, []partlog.Record{{Key: h.Host, Value: encodeEntry(h.Local)}}, partlog.AnyOffset)
			Expect(err).NotTo(HaveOccurred())
		}
		a := newHosts(hostsOf(log, "a", "1:1", "z1"))
		// Zones may share a partition; these two must not.
		other := "z2"
		for n := 3; a.part(other) == a.part("z1"); n++ {
			other = fmt.Sprint("z", n)
		}
		a.Zones = []string{"z1", other}
		put(a)
		put(newHosts(hostsOf(log, "b", "2:2", other)))
		ctx, cancel := context.WithCancel(context.Background())
		var ended sync.WaitGroup
		ended.Go(func() { a.run(ctx) })
		DeferCleanup(func() {
			cancel()
			ended.Wait()
		})
		Eventually(a.knownFleetSize).WithTimeout(zoneLimit).Should(Equal(2))
		for n := range smallZone {
			put(newHosts(hostsOf(log, fmt.Sprint("n", n), fmt.Sprint("3:", n+1), "z1")))
		}
		Eventually(a.isLarge).WithTimeout(zoneLimit).Should(BeTrue())
		Eventually(func() int { return len(a.peers()) }).WithTimeout(zoneLimit).Should(Equal(smallZone))
		Expect(a.knownFleetSize()).To(BeZero())
	})

	// Somebody else writes to the topic of the daemons' entries. The entries of the
	// daemons must not be affected.
	It("skips records of its topic that name no peer", func() {
		log := fakepartlog.New(1)
		a := newHosts(hostsOf(log, "a", "1:1", "z1"))
		a.localList().apply([]partlog.StoredRecord{
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
