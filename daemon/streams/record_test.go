package streams_test

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"tarragonhollow.example/tarragonhollow/core/streamversion"
	"tarragonhollow.example/tarragonhollow/daemon/places"
	"tarragonhollow.example/tarragonhollow/daemon/streams"
	"tarragonhollow.example/tarragonhollow/extern/partlog"
	"tarragonhollow.example/tarragonhollow/extern/partlog/fakepartlog"
)

// history is what a daemon has seen of the versions of targets.
type history struct {
	mu       sync.Mutex
	history  streamversion.History
	loadedAt time.Time
}

// load sets the versions as of a list of targets that is loaded now.
func (h *history) load(versions ...string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.loadedAt = time.Now()
	h.history.Interrupted(h.loadedAt)
	h.observe(versions)
}

// set sets the versions by a change of the list.
func (h *history) set(versions ...string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.observe(versions)
}

func (h *history) observe(versions []string) {
	present := map[string]bool{}
	for _, v := range versions {
		present[v] = true
	}
	h.history.Observe(time.Now(), map[string]map[string]bool{"g": present})
	h.history.Interrupted(h.loadedAt)
}

// Versions implements streams.Targets.
func (h *history) Versions(group string) places.GroupVersions {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now()
	v := places.GroupVersions{Known: h.history.Versions(now, group), Fresh: true, Covered: h.history.Covers(now)}
	v.Several, v.Throughout = len(v.Known) > 1, v.Covered
	return v
}

// SeenVersions implements streams.SeenTargets.
func (h *history) SeenVersions() ([]streamversion.Seen, time.Time, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.history.Seen(time.Now()), h.loadedAt, !h.loadedAt.IsZero()
}

// RestoreVersions implements streams.SeenTargets.
func (h *history) RestoreVersions(loadedAt, since time.Time, seen []streamversion.Seen) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !loadedAt.Equal(h.loadedAt) {
		return false
	}
	h.history.Restore(since, seen)
	return true
}

var _ = Describe("Records of targets' versions", func() {
	const topic = "keyed.versions"
	var log *fakepartlog.Log
	BeforeEach(func() { log = fakepartlog.New(1) })

	// start starts a daemon without others, which is killed when kill is called.
	start := func(firstStart bool) (seen *history, directory *streams.Directory, kill func()) {
		seen = &history{}
		directory = streams.New(streams.Options{
			Self: "d", Peers: end{&network{down: map[string]bool{}}, "d"}, Targets: seen, Metrics: metrics.NewSet(), Logger: zap.NewNop(),
			ListPeers: func() []places.Peer { return nil },
			Records:   streams.RecordOptions{Log: log, Topic: topic, Targets: seen, FirstStart: firstStart, AllRecord: func() bool { return false }},
		})
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() {
			defer close(done)
			directory.Record(ctx)
		}()
		kill = func() { cancel(); <-done }
		DeferCleanup(kill)
		return seen, directory, kill
	}
	unnamed := func(d *streams.Directory) func() string {
		return func() string { return d.FindUnnamed(context.Background(), "g").Version }
	}
	named := func(d *streams.Directory) func() string {
		return func() string { return d.Find(context.Background(), "s", []string{"g"}).Version }
	}
	kept := func() int {
		page, err := log.Newest(context.Background(), partlog.Partition{Topic: topic}, "")
		Expect(err).NotTo(HaveOccurred())
		return len(page.Records)
	}

	// Guards against the version that is left being taken for the one at which a stream began.
	It("show a daemon that starts that there was another version", func() {
		seen, directory, kill := start(true)
		seen.load("v1")
		Eventually(unnamed(directory)).WithTimeout(timeout).Should(Equal("v1"))
		Eventually(kept).WithTimeout(timeout).Should(Equal(2))
		kill()
		seen, directory, kill = start(false)
		seen.load("v2")
		Consistently(unnamed(directory)).WithTimeout(time.Second).Should(BeEmpty())
		Expect(named(directory)()).To(BeEmpty())
		kill()
		seen, directory, _ = start(false)
		seen.load("v1", "v2")
		Consistently(unnamed(directory)).WithTimeout(time.Second).Should(BeEmpty())
	})

	It("show it also that of a version that came and went in the meantime", func() {
		seen, _, kill := start(true)
		seen.load("v1")
		Eventually(kept).WithTimeout(timeout).Should(Equal(2))
		seen.set("v1", "v2")
		Eventually(kept).WithTimeout(timeout).Should(Equal(3))
		seen.set("v1")
		kill()
		seen, directory, _ := start(false)
		seen.load("v1")
		Consistently(unnamed(directory)).WithTimeout(time.Second).Should(BeEmpty())
	})

	// Guards against a minute in which no stream is resumed where there was one version.
	It("show a daemon that starts that there was only one version", func() {
		seen, _, kill := start(true)
		seen.load("v1")
		Eventually(kept).WithTimeout(timeout).Should(Equal(2))
		kill()
		seen, directory, _ := start(false)
		seen.load("v1")
		Eventually(unnamed(directory)).WithTimeout(timeout).Should(Equal("v1"))
		Eventually(named(directory)).WithTimeout(timeout).Should(Equal("v1"))
	})

	// Guards against refusing the streams that callers resume at once where there was one version.
	It("are awaited for a moment by a stream that is resumed right after the start", func() {
		seen, _, kill := start(true)
		seen.load("v1")
		Eventually(kept).WithTimeout(timeout).Should(Equal(2))
		kill()
		seen, directory, _ := start(false)
		seen.load("v1")
		Expect(unnamed(directory)()).To(Equal("v1"))
	})

	It("cover the time in which the list of targets was not followed", func() {
		seen, directory, _ := start(true)
		seen.load("v1")
		Eventually(unnamed(directory)).WithTimeout(timeout).Should(Equal("v1"))
		seen.load("v1")
		Eventually(unnamed(directory)).WithTimeout(timeout).Should(Equal("v1"))
	})

	// Guards against streams that began before versions were recorded, under an earlier build.
	It("show nothing of the time before them", func() {
		seen, directory, kill := start(false)
		seen.load("v1")
		Eventually(kept).WithTimeout(timeout).Should(Equal(2))
		Consistently(unnamed(directory)).WithTimeout(time.Second).Should(BeEmpty())
		kill()
		seen, directory, _ = start(true)
		seen.load("v1")
		Consistently(unnamed(directory)).WithTimeout(time.Second).Should(BeEmpty(), "a first start is one without records")
	})

	It("are written and read once the log is back", func() {
		log.SetDown(true)
		seen, directory, _ := start(true)
		seen.load("v1")
		Consistently(unnamed(directory)).WithTimeout(time.Second).Should(BeEmpty())
		log.SetDown(false)
		Eventually(unnamed(directory)).WithTimeout(timeout).Should(Equal("v1"))
	})

	// Guards against a record of each version that ever was, and against writes without need.
	It("are few, and are not written again while nothing changes", func() {
		seen, directory, _ := start(true)
		seen.load("v1")
		Eventually(unnamed(directory)).WithTimeout(timeout).Should(Equal("v1"))
		appends := log.Appends()
		Consistently(log.Appends).WithTimeout(time.Second).Should(Equal(appends))
		Expect(appends).To(Equal(1), fmt.Sprint(kept()))
	})
})
