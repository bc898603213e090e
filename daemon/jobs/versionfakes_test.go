package jobs_test

import (
	"context"
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"tarragonhollow.example/tarragonhollow/core/batch"
	"tarragonhollow.example/tarragonhollow/core/roster"
	"tarragonhollow.example/tarragonhollow/core/route"
	"tarragonhollow.example/tarragonhollow/daemon/duty"
	"tarragonhollow.example/tarragonhollow/daemon/jobs"
	"tarragonhollow.example/tarragonhollow/daemon/places"
	"tarragonhollow.example/tarragonhollow/daemon/relay"
	"tarragonhollow.example/tarragonhollow/daemon/relay/fakewire"
	"tarragonhollow.example/tarragonhollow/daemon/suspects/fakesuspects"
	"tarragonhollow.example/tarragonhollow/extern/partlog"
	"tarragonhollow.example/tarragonhollow/extern/partlog/fakepartlog"
	"tarragonhollow.example/tarragonhollow/target/h1"
	"tarragonhollow.example/tarragonhollow/target/rawtarget"
)

const (
	// brokenEvents is how many events a run has that breaks off, versionEvents how many an
	// item has.
	brokenEvents, versionEvents = 20, 24
)

// versionHolder is a daemon that holds all partitions.
type versionHolder struct {
	jobs *jobs.Jobs
	view *places.Places
	stop func()
}

// versionFixture has targets of several software versions and daemons that run items there.
type versionFixture struct {
	log     *fakepartlog.Log
	entries []roster.Target
	lines   *observer.ObservedLogs
	logger  *zap.Logger
	// route is the route of all items.
	route route.Route
	// identity returns the start that the target at an address states, "" for none.
	identity func(address string) string

	mu sync.Mutex
	// respond is what each target does with a request, by the version that it runs.
	respond func(version string, r *rawtarget.Request, c net.Conn)
	// asked holds the version and the After header of each request, in their order.
	asked []string
}

func newVersionFixture() *versionFixture {
	core, lines := observer.New(zap.InfoLevel)
	return &versionFixture{log: fakepartlog.New(4), lines: lines, logger: zap.New(core), route: batchRoute(0), identity: func(string) string { return "" }, respond: breakOffNew}
}

// startTargets starts a target of each of the versions.
func (f *versionFixture) startTargets(versions ...string) {
	for _, version := range versions {
		id := fmt.Sprintf("t%d", len(f.entries))
		t, err := rawtarget.Start(func(r *rawtarget.Request, c net.Conn) {
			if r.URI == fakewire.IdentityURI {
				rawtarget.Write(c, rawtarget.Whole(200, "", "Born: "+f.identity(c.LocalAddr().String())))
				return
			}
			f.mu.Lock()
			f.asked = append(f.asked, version+":"+r.Header.Get("After"))
			respond := f.respond
			f.mu.Unlock()
			respond(version, r, c)
		})
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(t.Close)
		f.entries = append(f.entries, roster.Target{ID: id, Group: "g", Address: t.Address, Zone: "z", Version: version, Slots: 8})
	}
}

func (f *versionFixture) setRespond(respond func(version string, r *rawtarget.Request, c net.Conn)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.respond = respond
}

// requests returns the version and the After header of each request so far.
func (f *versionFixture) requests() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]string(nil), f.asked...)
}

// entriesOf returns the entries of the targets of the versions.
func (f *versionFixture) entriesOf(versions ...string) []roster.Target {
	var list []roster.Target
	for _, t := range f.entries {
		for _, version := range versions {
			if t.Version == version {
				list = append(list, t)
			}
		}
	}
	return list
}

// setTargets makes the entries all that the daemon knows.
func (h *versionHolder) setTargets(entries []roster.Target) {
	h.view.Update(func(now time.Time, r *roster.Roster) {
		r.StoreAnswered(now)
		r.Replace(now, entries)
	})
}

// holder starts a daemon that knows the entries.
func (f *versionFixture) holder(name string, entries []roster.Target) *versionHolder {
	h := &versionHolder{view: places.New(places.Options{Host: name, Zone: "z", Logger: f.logger})}
	h.setTargets(entries)
	peers := &fakePeers{daemons: map[string]peerService{}}
	pool := h1.NewPool(func() {})
	table := route.NewTable(1, []route.Route{f.route}, route.Limits{})
	h.jobs = jobs.New(jobs.Options{
		Host: name, Zone: "z", Log: f.log, Groups: allPartitions{f.log}, Peers: peers, Address: peers.address,
		ListPeers: func() []places.Peer { return nil }, FleetSize: func() int { return 1 }, Topics: topics, Parts: 4,
		Routes: func() *route.Table { return table }, Places: h.view, Pool: pool, Wire: fakewire.Wire{},
		Crashes: relay.NewCrashDetector(fakesuspects.New(2), pool), KeepFor: time.Hour, Logger: f.logger, Metrics: metrics.NewSet(),
	})
	ctx, cancel := context.WithCancel(context.Background())
	group := duty.NewGroup(ctx)
	h.jobs.Run(group)
	h.stop = sync.OnceFunc(func() {
		cancel()
		group.Wait()
		pool.Close()
	})
	DeferCleanup(h.stop)
	Eventually(h.jobs.Loaded).WithTimeout(limit).Should(BeTrue())
	return h
}

// submit submits the job j of n items.
func (h *versionHolder) submit(n int) {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	r := batchRoute(0)
	Expect(h.jobs.Submit(ctx, submission("j", n), &r)).To(BeNil())
}

// outputs returns the outputs of the job j once all of its items have succeeded.
func (h *versionHolder) outputs() []string {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	var list []string
	Eventually(func(g Gomega) {
		v, refusal := h.jobs.Read(ctx, "", "j", len(list), 100*time.Millisecond)
		g.Expect(refusal).To(BeNil())
		for _, r := range v.Results {
			Expect(r.State).To(Equal(batch.Succeeded))
			list = append(list, r.Output)
		}
		g.Expect(list).To(HaveLen(v.Total))
	}).WithTimeout(limit).WithPolling(time.Millisecond).Should(Succeed())
	return list
}

// savedProgress returns the saved progress of unfinished items.
func (f *versionFixture) savedProgress() []batch.Progress {
	part := partlog.Partition{Topic: topics.Progress, Part: jobs.Part("j", 4)}
	page, err := f.log.Newest(context.Background(), part, "")
	Expect(err).NotTo(HaveOccurred())
	var list []batch.Progress
	for _, record := range page.Records {
		_, p, ok, err := batch.DecodeProgress(record.Key, record.Value)
		Expect(err).NotTo(HaveOccurred())
		if ok {
			list = append(list, p)
		}
	}
	return list
}

// saveProgress saves the events of a broken run as progress of the item j-0.
func (f *versionFixture) saveProgress(p batch.Progress) {
	p.LastEvent, p.Output = brokenEvents-1, versionText("v1", brokenEvents)
	value, err := batch.Encode(p)
	Expect(err).NotTo(HaveOccurred())
	part := partlog.Partition{Topic: topics.Progress, Part: jobs.Part("j", 4)}
	_, err = f.log.Append(context.Background(), part, []partlog.Record{{Key: batch.ResultKey("j", 0), Value: value}}, partlog.AnyOffset)
	Expect(err).NotTo(HaveOccurred())
}

// holderAfter starts a daemon that takes over the item j-0 with the progress that an earlier holder
// saved. All targets finish the item.
func (f *versionFixture) holderAfter(saved batch.Progress) *versionHolder {
	f.setRespond(finishItem)
	earlier := f.holder("a", nil)
	earlier.submit(1)
	f.saveProgress(saved)
	earlier.stop()
	time.Sleep(2 * time.Millisecond) // an earlier holder is assumed if the job is older by a millisecond
	return f.holder("b", f.entries)
}

// startOvers returns the log lines of items that started over, as reason and dropped events.
func (f *versionFixture) startOvers() []string {
	var list []string
	for _, line := range f.lines.FilterMessage("item_started_over").All() {
		list = append(list, fmt.Sprintf("%v: %v", line.ContextMap()["reason"], line.ContextMap()["events_dropped"]))
	}
	return list
}

// versionText returns the data of the first n events of a target of the version.
func versionText(version string, n int) string {
	var list []string
	for i := range n {
		list = append(list, fmt.Sprintf("%s.%d", version, i))
	}
	return strings.Join(list, "\n")
}

// writeEvents writes the head of an answer and the events that follow the request's last one, up
// to the given number.
func writeEvents(version string, r *rawtarget.Request, c net.Conn, most int) {
	first := 0
	if after, err := strconv.Atoi(r.Header.Get("After")); err == nil {
		first = after + 1
	}
	rawtarget.Write(c, head(r.Header.Get("Id")))
	for i := first; i < most; i++ {
		rawtarget.Write(c, rawtarget.Chunk(rawtarget.Event(i, fmt.Sprintf("%s.%d", version, i))))
	}
}

// finishItem answers with all events.
func finishItem(version string, r *rawtarget.Request, c net.Conn) {
	writeEvents(version, r, c, versionEvents)
	rawtarget.Write(c, rawtarget.LastChunk)
}

// breakOffNew breaks off each item that doesn't resume.
func breakOffNew(version string, r *rawtarget.Request, c net.Conn) {
	if r.Header.Get("After") != "" {
		finishItem(version, r, c)
		return
	}
	writeEvents(version, r, c, brokenEvents)
	rawtarget.Reset(c)
}

// breakOffAt breaks off the items at one version that don't resume.
func breakOffAt(broken string) func(string, *rawtarget.Request, net.Conn) {
	return func(version string, r *rawtarget.Request, c net.Conn) {
		if version == broken {
			breakOffNew(version, r, c)
			return
		}
		finishItem(version, r, c)
	}
}

// writeRest writes the events after those of a broken run and the end of the answer.
func writeRest(version string, c net.Conn) {
	for i := brokenEvents; i < versionEvents; i++ {
		rawtarget.Write(c, rawtarget.Chunk(rawtarget.Event(i, fmt.Sprintf("%s.%d", version, i))))
	}
	rawtarget.Write(c, rawtarget.LastChunk)
}

// restartingTarget answers the first request as given, and the others as a target of v2.
func restartingTarget(first func(*rawtarget.Request, net.Conn)) func(string, *rawtarget.Request, net.Conn) {
	var mu sync.Mutex
	restarted := false
	return func(_ string, r *rawtarget.Request, c net.Conn) {
		mu.Lock()
		again := restarted
		restarted = true
		mu.Unlock()
		if again {
			finishItem("v2", r, c)
			return
		}
		first(r, c)
	}
}
