package streams_test

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"tarragonhollow.example/tarragonhollow/daemon/places"
	"tarragonhollow.example/tarragonhollow/daemon/streams"
	"tarragonhollow.example/tarragonhollow/peer"
	"tarragonhollow.example/tarragonhollow/peer/fakepeer"
)

func TestStreams(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "streams")
}

const timeout = 5 * time.Second

// network carries calls between the daemons of one process, of which some are down.
type network struct {
	fakepeer.Receivers
	mu    sync.Mutex
	down  map[string]bool
	calls atomic.Int64
	// longest is the length of the longest name of a stream in a record.
	longest int
}

func (n *network) setDown(down bool, addresses ...string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, address := range addresses {
		n.down[address] = down
	}
}

// end is one daemon's end of the network.
type end struct {
	*network
	self string
}

// Call implements peer.Caller.
func (e end) Call(_ context.Context, address, method string, args, reply any) error {
	e.calls.Add(1)
	e.mu.Lock()
	down := e.down[address] || e.down[e.self]
	if records, ok := args.(streams.RecordArgs); ok {
		for _, r := range records.Records {
			e.longest = max(e.longest, len(r.Stream))
		}
	}
	e.mu.Unlock()
	if down {
		return peer.Unreachable.New("%s", address)
	}
	return e.Invoke(address, method, args, reply)
}

// Notify implements peer.Caller.
func (e end) Notify(address, method string, args any) {
	_ = e.Call(context.Background(), address, method, args, nil)
}

// view is what a daemon knows of the versions of targets.
type view struct {
	mu    sync.Mutex
	known places.GroupVersions
}

func (v *view) set(throughout bool, versions ...string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.known = places.GroupVersions{Known: versions, Several: len(versions) > 1, Fresh: true, Throughout: throughout}
}

// setStale sets the view as of a list of targets that is not confirmed any more.
func (v *view) setStale() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.known.Fresh, v.known.Throughout = false, false
}

// setCovered sets the view as of a list of targets that covers the memory and is not confirmed any more.
func (v *view) setCovered(version string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.known = places.GroupVersions{Known: []string{version}, Covered: true}
}

func (v *view) Versions(string) places.GroupVersions {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.known
}

var _ = Describe("Directories of streams' versions", func() {
	const daemons = 13
	var (
		net   *network
		all   []places.Peer
		dirs  []*streams.Directory
		views []*view
		group = []string{"g"}
	)
	address := func(i int) string { return fmt.Sprint("d", i) }
	// start starts daemon i, or starts it again without what it held.
	start := func(i int) {
		views[i] = &view{}
		dirs[i] = streams.New(streams.Options{
			Self: address(i), Peers: end{net, address(i)}, Targets: views[i], Metrics: metrics.NewSet(), Logger: zap.NewNop(),
			ListPeers: func() []places.Peer {
				return append(append([]places.Peer(nil), all[:i]...), all[i+1:]...)
			},
		})
		Expect(dirs[i].Register(net.At(address(i)))).To(Succeed())
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		directory := dirs[i]
		go func() { defer close(done); directory.Run(ctx) }()
		DeferCleanup(func() { cancel(); <-done })
	}
	BeforeEach(func() {
		net = &network{down: map[string]bool{}}
		all, dirs, views = nil, make([]*streams.Directory, daemons), make([]*view, daemons)
		for i := range daemons {
			all = append(all, places.Peer{Address: address(i)})
		}
		for i := range daemons {
			start(i)
		}
	})
	setAll := func(throughout bool, versions ...string) {
		for _, v := range views {
			v.set(throughout, versions...)
		}
	}
	find := func(i int, stream string) streams.Origin { return dirs[i].Find(context.Background(), stream, group) }

	// A caller's stream can't go on at another daemon than the one at which it began, which may
	// be dead.
	It("know at each daemon where a stream began while several versions serve", func() {
		setAll(true, "v1", "v2")
		dirs[0].Began("s", "g", "v2", false)
		Eventually(func() string { return find(1, "s").Version }).WithTimeout(timeout).Should(Equal("v2"))
		net.setDown(true, address(0))
		for i := 1; i < daemons; i++ {
			origin := find(i, "s")
			Expect(origin.Version).To(Equal("v2"), "at daemon %d", i)
			Expect(origin.Group).To(Equal("g"))
			Expect(origin.Source).To(Or(Equal(streams.Peer), Equal(streams.Local)))
		}
	})

	// Guards against clients with long IDs: thousands of records would hold them at several
	// daemons.
	It("know streams with long IDs, and hold no long IDs", func() {
		setAll(true, "v1", "v2")
		long := strings.Repeat("a", 14<<10)
		dirs[0].Began(long+"0", "g", "v1", false)
		dirs[0].Began(long+"1", "g", "v2", false)
		for i := range daemons {
			Eventually(func() string { return find(i, long+"0").Version }).WithTimeout(timeout).Should(Equal("v1"))
			Eventually(func() string { return find(i, long+"1").Version }).WithTimeout(timeout).Should(Equal("v2"))
		}
		net.mu.Lock()
		defer net.mu.Unlock()
		Expect(net.longest).To(BeNumerically("<=", 64))
	})

	// Most streams are unknown after some hosts were restarted together.
	It("know most streams after a third of the daemons have restarted", func() {
		setAll(true, "v1", "v2")
		const n = 100
		for i := range n {
			dirs[i%5].Began(fmt.Sprint("s", i), "g", "v1", false)
		}
		Eventually(func() string { return find(12, fmt.Sprint("s", n-1)).Version }).WithTimeout(timeout).Should(Equal("v1"))
		time.Sleep(50 * time.Millisecond) // the records of the last streams arrive
		for i := range 5 {
			start(i)
			views[i].set(false, "v1", "v2")
		}
		known := 0
		for i := range n {
			switch find(5+i%8, fmt.Sprint("s", i)).Version {
			case "v1":
				known++
			case "":
			default:
				Fail("a version was guessed")
			}
		}
		Expect(known).To(BeNumerically(">=", 90))
	})

	// A service of one version pays for what only others need.
	It("send nothing while the targets have one version, and know it without a record", func() {
		setAll(true, "v1")
		for i := range 100 {
			dirs[0].Began(fmt.Sprint("s", i), "g", "v1", false)
		}
		time.Sleep(300 * time.Millisecond) // more than one check
		Expect(net.calls.Load()).To(BeZero())
		net.setDown(true, address(0))
		Expect(find(1, "s1")).To(HaveField("Source", streams.SingleVersion))
		Expect(find(1, "s1")).To(HaveField("Version", "v1"))
	})

	// A stream that began before another version came is unknown once its daemon is lost.
	It("send what began before another version came", func() {
		setAll(true, "v1")
		dirs[0].Began("s", "g", "v1", false)
		setAll(true, "v1", "v2")
		Eventually(func() string { return find(1, "s").Version }).WithTimeout(timeout).Should(Equal("v1"))
	})

	// A daemon that is cut off from the store goes on with streams unknown elsewhere, while
	// another version has come.
	It("send what begins while the list of targets is not confirmed", func() {
		setAll(true, "v1")
		views[0].setStale()
		dirs[0].Began("s", "g", "v1", false)
		for _, v := range views[1:] {
			v.set(true, "v1", "v2")
		}
		Eventually(func() string { return find(1, "s").Version }).WithTimeout(timeout).Should(Equal("v1"))
	})

	It("know the single version at a daemon that has just started from another one", func() {
		setAll(true, "v1")
		start(1)
		views[1].set(false, "v1")
		Expect(find(1, "s")).To(HaveField("Source", streams.PeerSingleVersion))
	})

	// Versions are guessed from an incomplete view.
	DescribeTable("don't guess the version of a stream without a record",
		func(prepare func()) {
			setAll(true, "v1")
			prepare()
			Expect(find(1, "s")).To(HaveField("Version", BeEmpty()))
		},
		Entry("several versions serve", func() { setAll(true, "v1", "v2") }),
		Entry("no daemon has known the targets for long", func() { setAll(false, "v1") }),
		Entry("another daemon knows of another version", func() { views[2].set(false, "v2"); setAllBut(views, 2, "v1") }),
		Entry("this daemon alone knows of another version", func() { views[1].set(true, "v1", "v2") }),
		Entry("no other daemon answers", func() {
			for i := range daemons {
				net.setDown(i != 1, address(i))
			}
		}),
		Entry("the versions are not known", func() { setAll(true, "") }),
		Entry("no daemon's list of targets is current", func() {
			for _, v := range views {
				v.setStale()
			}
		}),
		Entry("no other daemon's list of targets is current", func() {
			for i, v := range views {
				if i != 1 {
					v.set(false)
					v.setStale()
				}
			}
		}),
	)

	// A stream of two versions, in one answer, is resumed at either.
	It("don't know a stream whose version became uncertain", func() {
		setAll(true, "v1", "v2")
		dirs[0].Began("s", "g", "v1", false)
		Eventually(func() string { return find(1, "s").Version }).WithTimeout(timeout).Should(Equal("v1"))
		dirs[0].Began("s", "g", "", false)
		Eventually(func() string { return find(2, "s").Version }).WithTimeout(timeout).Should(BeEmpty())
	})

	// Another daemon's list of targets is older than the version at which the stream began here.
	It("send what begins at another version than the single one that is known", func() {
		setAll(true, "v1")
		dirs[0].Began("s", "g", "v2", false)
		Eventually(func() string { return find(1, "s").Version }).WithTimeout(timeout).Should(Equal("v2"))
	})

	// The links fail for a moment, and the record of a stream is lost for good.
	It("send again what did not arrive", func() {
		setAll(true, "v1", "v2")
		for i := 1; i < daemons; i++ {
			net.setDown(true, address(i))
		}
		dirs[0].Began("s", "g", "v1", false)
		time.Sleep(50 * time.Millisecond)
		for i := 1; i < daemons; i++ {
			net.setDown(false, address(i))
		}
		time.Sleep(500 * time.Millisecond)
		net.setDown(true, address(0))
		Expect(find(1, "s").Version).To(Equal("v1"))
	})

	// A fleet of two sends each record eight times.
	It("send once to the only other daemon", func() {
		all = all[:2]
		setAll(true, "v1", "v2")
		dirs[0].Began("s", "g", "v1", false)
		time.Sleep(500 * time.Millisecond) // more than one check
		Expect(net.calls.Load()).To(Equal(int64(1)))
	})

	// One daemon has a record from before the version became uncertain.
	It("take a stream with contradicting records for uncertain", func() {
		setAll(true, "v1", "v2")
		dirs[0].Began("s", "g", "v1", false)
		dirs[1].Began("s", "g", "v2", false)
		time.Sleep(50 * time.Millisecond) // both are sent
		Expect(find(2, "s")).To(HaveField("Version", BeEmpty()))
		Expect(find(3, "s")).To(HaveField("Version", BeEmpty()))
	})

	// What one daemon inferred is taken for a record by others, which know of another version.
	It("don't pass on as a record what was inferred", func() {
		setAll(true, "v1")
		for i := range daemons {
			Expect(find(i, "s").Version).To(Equal("v1"))
		}
		setAll(true, "v1", "v2")
		Expect(find(1, "s").Version).To(BeEmpty())
	})

	// A stream goes on at another of its route's groups.
	It("know the group of a stream whose route has several", func() {
		setAll(true, "v1")
		dirs[0].Began("s", "h", "v1", true)
		Eventually(func() string {
			return dirs[1].Find(context.Background(), "s", []string{"g", "h"}).Group
		}).WithTimeout(timeout).Should(Equal("h"))
		Expect(dirs[1].Find(context.Background(), "s", []string{"g"}).Source).To(Equal(streams.OtherGroup), "the route has changed")
		Expect(dirs[1].Find(context.Background(), "other", []string{"g", "h"}).Source).To(Equal(streams.Unknown))
	})

	// Guards against a guess: a version that is the only one known need not be the only one that was.
	It("take a stream that its caller doesn't name for one of the only version that there was", func() {
		setAll(false, "v1")
		Expect(dirs[0].FindUnnamed(context.Background(), "g").Version).To(BeEmpty(), "nobody knows that there was no other one")
		views[0].setCovered("v1")
		Expect(dirs[0].FindUnnamed(context.Background(), "g").Version).To(Equal("v1"), "known here, also while the list of targets is old")
		for _, v := range views[1 : daemons/2] {
			v.set(false, "v2")
		}
		Expect(dirs[0].FindUnnamed(context.Background(), "g").Version).To(BeEmpty(), "other daemons know another one")
		setAll(false, "v1")
		for _, v := range views[1:] {
			v.setCovered("v1")
		}
		Expect(dirs[0].FindUnnamed(context.Background(), "g").Version).To(Equal("v1"), "known at other daemons")
		setAll(true, "v1", "v2")
		Expect(dirs[0].FindUnnamed(context.Background(), "g").Version).To(BeEmpty())
	})
})

// setAllBut sets the views of all daemons but one.
func setAllBut(views []*view, except int, version string) {
	for i, v := range views {
		if i != except {
			v.set(true, version)
		}
	}
}
