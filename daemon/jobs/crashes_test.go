package jobs_test

import (
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"tarragonhollow.example/tarragonhollow/core/batch"
	"tarragonhollow.example/tarragonhollow/core/crashparts"
	"tarragonhollow.example/tarragonhollow/core/roster"
	"tarragonhollow.example/tarragonhollow/core/route"
	"tarragonhollow.example/tarragonhollow/daemon/duty"
	"tarragonhollow.example/tarragonhollow/daemon/jobs"
	"tarragonhollow.example/tarragonhollow/daemon/places"
	"tarragonhollow.example/tarragonhollow/daemon/relay"
	"tarragonhollow.example/tarragonhollow/daemon/relay/fakewire"
	"tarragonhollow.example/tarragonhollow/daemon/suspects/fakesuspects"
	"tarragonhollow.example/tarragonhollow/extern/partlog/fakepartlog"
	"tarragonhollow.example/tarragonhollow/target/h1"
	"tarragonhollow.example/tarragonhollow/target/rawtarget"
)

// An item is never what crashes targets, whatever ran there as they did.
var _ = Describe("Items under which targets crash", func() {
	const (
		shared = "shared"
		count  = 4
	)
	var (
		log    *fakepartlog.Log
		known  *fakesuspects.Tracker
		view   *places.Places
		peers  *fakePeers
		failed atomic.Int64
		// crashing lets each target crash that begins to run an item.
		crashing atomic.Bool
		mu       sync.Mutex
		entries  []roster.Target
		starts   int
	)

	putEntries := func() {
		list := append([]roster.Target(nil), entries...)
		view.Update(func(now time.Time, r *roster.Roster) {
			r.StoreAnswered(now)
			r.Replace(now, list)
		})
	}
	// startTarget starts a target. mu is held.
	var startTarget func()
	startTarget = func() {
		starts++
		id := fmt.Sprint("t", starts)
		var t *rawtarget.Target
		begun := make(chan struct{})
		t, err := rawtarget.Start(func(r *rawtarget.Request, c net.Conn) {
			<-begun
			if !crashing.Load() {
				answer(r, c)
				return
			}
			mu.Lock()
			defer mu.Unlock()
			for i := range entries {
				if entries[i].ID == id {
					entries = append(entries[:i], entries[i+1:]...)
					failed.Add(1)
					t.Close()
					startTarget()
					putEntries()
					return
				}
			}
		})
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(t.Close)
		entries = append(entries, roster.Target{ID: id, Group: "g", Address: t.Address, Zone: "z", Version: "v1", Slots: 1})
		close(begun)
	}
	// startDaemon starts a daemon on the log, which knows the same of crashes as the one before.
	startDaemon := func(name string) (*jobs.Jobs, func()) {
		view = places.New(places.Options{Host: name, Zone: "z", Logger: zap.NewNop()})
		pool := h1.NewPool(func() {})
		mu.Lock()
		putEntries()
		mu.Unlock()
		table := route.NewTable(1, []route.Route{batchRoute(0)}, route.Limits{})
		j := jobs.New(jobs.Options{
			Host: name, Zone: "z", Log: log, Groups: log, ListPeers: func() []places.Peer { return nil }, Peers: peers, Address: peers.address,
			FleetSize: func() int { return 1 }, Topics: topics, Parts: 4, Routes: func() *route.Table { return table },
			Places: view, Pool: pool, Wire: fakewire.Wire{}, Crashes: relay.NewCrashDetector(known, pool), KeepFor: time.Hour,
			Logger: zap.NewNop(), Metrics: metrics.NewSet(),
		})
		Expect(j.Register(peers.registrar(name))).To(Succeed())
		ctx, cancel := context.WithCancel(context.Background())
		group := duty.NewGroup(ctx)
		j.Run(group)
		stop := sync.OnceFunc(func() {
			peers.remove(name)
			cancel()
			group.Wait()
			pool.Close()
		})
		DeferCleanup(stop)
		Eventually(j.Loaded).WithTimeout(limit).Should(BeTrue())
		return j, stop
	}
	submit := func(j *jobs.Jobs, id string) {
		s := submission(id, count)
		for i := range s.Items {
			s.Items[i].Headers = []batch.Header{{Name: "Part", Value: shared}, {Name: "Part", Value: s.Items[i].ID}}
		}
		ctx, cancel := context.WithTimeout(context.Background(), limit)
		defer cancel()
		r := batchRoute(0)
		Expect(j.Submit(ctx, s, &r)).To(BeNil())
	}
	succeed := func(j *jobs.Jobs, id string) {
		Eventually(func(g Gomega) {
			v, refusal := j.Read(context.Background(), "", id, 0, 0)
			g.Expect(refusal).To(BeNil())
			g.Expect(v.Results).To(HaveLen(count))
			for _, result := range v.Results {
				g.Expect(result.State).To(Equal(batch.Succeeded))
			}
		}).WithTimeout(limit).WithPolling(10 * time.Millisecond).Should(Succeed())
	}
	verdict := func() crashparts.Verdict { return known.DecideParts([]string{shared}).Verdict }

	BeforeEach(func() {
		log, known, peers = fakepartlog.New(4), fakesuspects.New(2), &fakePeers{daemons: map[string]peerService{}}
		entries, starts = nil, 0
		failed.Store(0)
		crashing.Store(false)
		mu.Lock()
		defer mu.Unlock()
		for range count {
			startTarget()
		}
	})

	// Guards against accepted items that never run again, because targets that crashed for another
	// reason had just begun them.
	DescribeTable("run once the crashes are over", func(rounds int, restart bool) {
		crashing.Store(true)
		j, stop := startDaemon("a")
		submit(j, "j")
		Eventually(failed.Load).WithTimeout(limit).Should(BeNumerically(">=", rounds*count))
		if restart {
			stop()
			j, _ = startDaemon("b")
		}
		crashing.Store(false)
		succeed(j, "j")
		submit(j, "second")
		succeed(j, "second")
		Expect(verdict()).To(Equal(crashparts.Clear))
		Expect(known.Crashes()).To(BeEmpty())
	},
		Entry("all targets once", 1, false),
		Entry("all targets three times", 3, false),
		Entry("all targets three times, then the daemon restarts", 3, true),
	)

	// Guards against items that wait for the verdict on a part which online requests have crashed
	// targets with, and against their answers that undo it.
	It("run although online requests with a part of their prompts are refused, and leave it so", func() {
		for i := range 3 {
			known.PartsCrashed(crashparts.Crash{Target: fmt.Sprint("gone", i), Parts: []string{shared}, Requests: []string{"r"}})
		}
		Expect(verdict()).To(BeNumerically(">=", crashparts.Pending))
		j, _ := startDaemon("a")
		submit(j, "j")
		succeed(j, "j")
		Expect(verdict()).To(BeNumerically(">=", crashparts.Pending))
	})
})
