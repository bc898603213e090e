package relay_test

import (
	"context"
	"net"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"tarragonhollow.example/tarragonhollow/core/roster"
	"tarragonhollow.example/tarragonhollow/core/route"
	"tarragonhollow.example/tarragonhollow/target/rawtarget"
)

const (
	// silence is how long a sound target may send nothing, longer than the relay waits for a
	// target while another one is free.
	silence = 1200 * time.Millisecond
	// silentSlots gives every request of a spec a free slot.
	silentSlots = 64
)

// tally counts how requests ended.
type tally struct{ whole, refused, unanswered int }

// silentFixture is a fixture whose targets fall silent.
type silentFixture struct {
	*fixture
	list []roster.Target
}

func newSilentFixture(kind route.Kind) *silentFixture {
	f := &silentFixture{fixture: newFixture()}
	f.request.Route.Kind = kind
	f.request.Route.Resumable = kind == route.Stream
	f.request.Route.GapObjective = 100 * time.Millisecond
	return f
}

// start starts n targets with free slots.
func (f *silentFixture) start(n int, script func(turn int, r *rawtarget.Request, c net.Conn)) {
	f.startTargets(n, script)
	for i, t := range f.targets {
		f.list = append(f.list, roster.Target{ID: string(rune('a' + i)), Group: "g", Address: t.Address, Zone: "z", Version: "v1", Slots: silentSlots})
	}
	f.announce()
}

func (f *silentFixture) announce() {
	f.view.Update(func(now time.Time, ros *roster.Roster) {
		ros.StoreAnswered(now)
		ros.Replace(now, f.list)
	})
}

// announceSlots sets how many slots each target has.
func (f *silentFixture) announceSlots(slots int) {
	for i := range f.list {
		f.list[i].Slots = slots
	}
	f.announce()
}

// serveAll serves n requests at once. want is the whole answer.
func (f *silentFixture) serveAll(n int, want string) tally {
	var group sync.WaitGroup
	var mu sync.Mutex
	var all tally
	for range n {
		group.Go(func() {
			own := *f.request
			own.Arrived = time.Now()
			own.Deadline = own.Arrived.Add(timeout)
			w := httptest.NewRecorder()
			result := f.relay.Serve(context.Background(), &own, w)
			mu.Lock()
			defer mu.Unlock()
			switch {
			case result.Refusal != nil:
				all.refused++
			case !result.Aborted && !result.CallerLeft && w.Body.String() == want:
				all.whole++
			default:
				all.unanswered++
			}
		})
	}
	group.Wait()
	// Searches that the end of a silence interrupts release their slots.
	Eventually(f.view.BusyTargets).WithTimeout(timeout).Should(BeEmpty())
	return all
}

// beginAndPause answers the first run of a stream with a silence in its middle.
func beginAndPause(c net.Conn) {
	rawtarget.Write(c, streamHead()+events(0, 1))
	time.Sleep(silence)
	rawtarget.Write(c, events(2, 3)+rawtarget.LastChunk)
}

func reject(c net.Conn) { rawtarget.Write(c, rawtarget.Whole(503, "", idHeader, "Not-Run: 1")) }

func resumed(r *rawtarget.Request) bool { return r.Header.Get("After") != "" }

var _ = Describe("The relay at targets that fall silent and go on", func() {
	whole := plain(span(0, 3)...)

	// More streams fall silent at once than the retry budget covers. Those without a retry were
	// cut off, although their targets went on.
	It("completes more streams than the retry budget covers", func() {
		f := newSilentFixture(route.Stream)
		f.start(4, func(_ int, r *rawtarget.Request, c net.Conn) {
			if !resumed(r) {
				beginAndPause(c)
				return
			}
			rawtarget.Write(c, streamHead()+events(2, 3)+rawtarget.LastChunk)
		})
		Expect(f.serveAll(60, whole)).To(Equal(tally{whole: 60}))
	})

	// All targets fall silent at once, in every run.
	It("completes streams while every target is silent", func() {
		f := newSilentFixture(route.Stream)
		f.start(3, func(_ int, r *rawtarget.Request, c net.Conn) {
			if !resumed(r) {
				beginAndPause(c)
				return
			}
			time.Sleep(silence)
			rawtarget.Write(c, streamHead()+events(2, 3)+rawtarget.LastChunk)
		})
		Expect(f.serveAll(30, whole)).To(Equal(tally{whole: 30}))
		Expect(len(f.sent())).To(BeNumerically("<=", 30*f.request.Route.MaxAttempts))
	})

	// The streams' target falls silent and no other one can go on with them.
	DescribeTable("completes streams that no other target can go on with",
		func(change func(f *silentFixture)) {
			f := newSilentFixture(route.Stream)
			var began atomic.Int64
			f.start(3, func(_ int, r *rawtarget.Request, c net.Conn) {
				if resumed(r) {
					reject(c)
					return
				}
				rawtarget.Write(c, streamHead()+events(0, 1))
				began.Add(1)
				time.Sleep(silence)
				rawtarget.Write(c, events(2, 3)+rawtarget.LastChunk)
			})
			first := f.list
			f.list = first[:1]
			f.announce()
			go func() {
				defer GinkgoRecover()
				Eventually(began.Load).WithTimeout(timeout).Should(Equal(int64(10)))
				f.list = first
				change(f)
				f.announce()
			}()
			Expect(f.serveAll(10, whole)).To(Equal(tally{whole: 10}))
		},
		Entry("there is none", func(f *silentFixture) { f.list = f.list[:1] }),
		Entry("the others are of another version", func(f *silentFixture) { f.list[1].Version, f.list[2].Version = "v2", "v2" }),
		Entry("the others are draining", func(f *silentFixture) { f.list[1].Draining, f.list[2].Draining = true, true }),
		Entry("the others are full", func(f *silentFixture) { f.list[1].Slots, f.list[2].Slots = 0, 0 }),
		Entry("their own drains beside others of another version", func(f *silentFixture) {
			f.list[0].Draining, f.list[1].Version, f.list[2].Version = true, "v2", "v2"
		}),
		Entry("all drain", func(f *silentFixture) { f.list[0].Draining, f.list[1].Draining, f.list[2].Draining = true, true, true }),
		Entry("all entries are removed", func(f *silentFixture) { f.list = nil }),
	)

	// A change of the configuration moves the streams' target to another group while it is silent:
	// what has begun goes on as it began.
	It("completes streams whose target is moved to another group", func() {
		f := newSilentFixture(route.Stream)
		var began atomic.Int64
		f.start(1, func(_ int, r *rawtarget.Request, c net.Conn) {
			began.Add(1)
			beginAndPause(c)
		})
		go func() {
			defer GinkgoRecover()
			Eventually(began.Load).WithTimeout(timeout).Should(Equal(int64(5)))
			f.list = []roster.Target{{ID: "other", Group: "other", Address: f.targets[0].Address, Zone: "z", Version: "v1", Slots: silentSlots}}
			f.announce()
		}()
		Expect(f.serveAll(5, whole)).To(Equal(tally{whole: 5}))
	})

	// The same before the first byte. A request whose answer has not begun may be refused, but not
	// end without an answer.
	DescribeTable("answers or refuses requests whose targets are silent before the first byte",
		func(kind route.Kind, head string, targets int) {
			f := newSilentFixture(kind)
			want := whole
			if kind != route.Stream {
				want = "done"
			}
			f.start(targets, func(_ int, r *rawtarget.Request, c net.Conn) {
				rawtarget.Write(c, head)
				time.Sleep(silence + 200*time.Millisecond)
				switch {
				case kind != route.Stream:
					rawtarget.Write(c, rawtarget.Whole(200, want, idHeader))
				case head == "":
					rawtarget.Write(c, streamHead()+events(0, 3)+rawtarget.LastChunk)
				default:
					rawtarget.Write(c, events(0, 3)+rawtarget.LastChunk)
				}
			})
			got := f.serveAll(40, want)
			Expect(got).To(Equal(tally{whole: 40}))
		},
		Entry("the head of a stream", route.Stream, "", 3),
		Entry("the first event of a stream", route.Stream, streamHead(), 3),
		Entry("a whole answer", route.Idempotent, "", 3),
		Entry("a whole answer of the only target", route.Idempotent, "", 1),
	)

	// A search that goes on after its wait would end a run whose target has gone on: its work is
	// lost, and the stream has one run less.
	It("does not leave a target that has gone on before another one is ready", func() {
		f := newSilentFixture(route.Stream)
		f.request.Route.GapObjective = time.Second // a pause on a busy machine is no silence
		var goneOn atomic.Bool
		f.start(2, func(_ int, _ *rawtarget.Request, c net.Conn) {
			rawtarget.Write(c, streamHead()+events(0, 0))
			time.Sleep(silence)
			rawtarget.Write(c, events(1, 1))
			goneOn.Store(true)
			for i := range 10 {
				time.Sleep(150 * time.Millisecond)
				rawtarget.Write(c, events(2+i, 2+i))
			}
			rawtarget.Write(c, rawtarget.LastChunk)
		})
		both := f.list
		f.list = both[:1]
		f.announce()
		go func() {
			defer GinkgoRecover()
			Eventually(goneOn.Load).WithTimeout(timeout).Should(BeTrue())
			f.list = both
			f.announce()
		}()
		Expect(f.serveAll(1, plain(span(0, 11)...))).To(Equal(tally{whole: 1}))
		Expect(f.sent()).To(HaveLen(1))
	})

	// No other target is ready while the caller waits, and it leaves during the silence.
	It("ends when its caller leaves a silent target", func() {
		f := newSilentFixture(route.Stream)
		ended := make(chan struct{})
		DeferCleanup(func() { close(ended) })
		f.start(1, func(_ int, _ *rawtarget.Request, c net.Conn) {
			rawtarget.Write(c, streamHead()+events(0, 1))
			<-ended
		})
		f.request.Deadline = time.Now().Add(time.Minute)
		ctx, cancel := context.WithTimeout(context.Background(), silence)
		defer cancel()
		w := httptest.NewRecorder()
		Expect(f.relay.Serve(ctx, f.request, w).CallerLeft).To(BeTrue())
		Expect(f.sent()).To(HaveLen(1))
		Expect(f.view.BusyTargets()).To(BeEmpty())
	})

	// Searches that end without a slot, or without the need for one, must not spend the budget:
	// streams that are silent later could not be moved to a free target.
	It("returns retries that are not made to the budget", func() {
		f := newSilentFixture(route.Stream)
		f.request.Route.Timeout = time.Minute
		f.start(1, func(_ int, _ *rawtarget.Request, c net.Conn) { beginAndPause(c) })
		for range 2 {
			Expect(f.serveAll(30, whole)).To(Equal(tally{whole: 30}))
		}
		f.list = nil
		f.start(2, func(_ int, r *rawtarget.Request, c net.Conn) {
			if !resumed(r) {
				rawtarget.Write(c, streamHead()+events(0, 1))
				time.Sleep(2 * timeout)
				return
			}
			rawtarget.Write(c, streamHead()+events(2, 3)+rawtarget.LastChunk)
		})
		Expect(f.serveAll(20, whole)).To(Equal(tally{whole: 20}))
	})

	// A target that stays silent is still left, for one that is free, or for a busy one before the
	// caller's wait is over.
	DescribeTable("leaves a target that stays silent", func(slots int, atLeast time.Duration) {
		f := newSilentFixture(route.Stream)
		f.start(2, func(_ int, r *rawtarget.Request, c net.Conn) {
			if !resumed(r) {
				rawtarget.Write(c, streamHead()+events(0, 1))
				time.Sleep(2 * timeout)
				return
			}
			rawtarget.Write(c, streamHead()+events(2, 3)+rawtarget.LastChunk)
		})
		f.announceSlots(slots)
		core, lines := observer.New(zap.InfoLevel)
		f.relay.Logger = zap.New(core)
		Expect(f.serveAll(1, whole)).To(Equal(tally{whole: 1}))
		Expect(f.sent()).To(HaveLen(2))
		failed := lines.FilterMessage("attempt_failed").All()
		Expect(failed).To(HaveLen(1))
		Expect(failed[0].ContextMap()).To(HaveKeyWithValue("answer_end", "timeout"))
		sent := lines.FilterMessage("request_sent").All()
		for _, line := range append(failed, sent[1]) {
			Expect(line.ContextMap()["left_silent_ms"]).To(BeNumerically(">=", atLeast.Milliseconds()))
			Expect(line.ContextMap()).To(HaveKeyWithValue("left_for", sent[1].ContextMap()["target"]))
		}
	},
		Entry("a free one", silentSlots, 300*time.Millisecond),
		Entry("a busy one", 0, 1600*time.Millisecond),
	)
})
