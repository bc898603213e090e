package relay_test

import (
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tarragonhollow.example/tarragonhollow/core/roster"
	"tarragonhollow.example/tarragonhollow/core/route"
	"tarragonhollow.example/tarragonhollow/target/killabletarget"
	"tarragonhollow.example/tarragonhollow/target/rawtarget"
)

// A target that has announced its leave ends its last answer without framing and exits at once,
// which looks like the end of one that is killed.
var _ = Describe("The relay of the last unframed answers of targets that leave", func() {
	const (
		// drain is how long targets serve on after they have announced their leave.
		drain = 2 * time.Second
		// pause is the time between two events of a stream.
		pause = 30 * time.Millisecond
	)
	var f *fixture
	BeforeEach(func() { f = newFixture() })

	entry := func(address string) roster.Target {
		return roster.Target{ID: address, Group: "g", Address: address, Zone: "z", Version: "v1", Slots: 64}
	}
	// update applies changes of the entries that the store answered with the given time ago.
	update := func(ago time.Duration, change func(at time.Time, r *roster.Roster)) {
		f.view.Update(func(now time.Time, r *roster.Roster) {
			at := now.Add(-ago)
			r.StoreAnswered(at)
			r.StoreAnswered(at)
			change(at, r)
		})
	}
	useTarget := func(address string) {
		update(10*time.Second, func(at time.Time, r *roster.Roster) { r.Replace(at, []roster.Target{entry(address)}) })
	}
	drains := func(address string, ago time.Duration) {
		update(ago, func(at time.Time, r *roster.Roster) {
			t := entry(address)
			t.Draining = true
			r.Set(at, t)
		})
	}
	// isRemoved lets the entry be removed, which was last written the given time before.
	isRemoved := func(address string, ago, written time.Duration) {
		update(ago+written, func(at time.Time, r *roster.Roster) {
			last, _ := r.Entry(address)
			r.Set(at, last)
		})
		update(ago, func(at time.Time, r *roster.Roster) { r.Remove(at, address) })
	}
	// startNext starts another target, which becomes known.
	startNext := func(answer string) *rawtarget.Target {
		next, err := rawtarget.Start(func(_ *rawtarget.Request, c net.Conn) {
			rawtarget.Write(c, answer)
			_ = c.Close()
		})
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(next.Close)
		f.view.Update(func(now time.Time, r *roster.Roster) { r.Set(now, entry(next.Address)) })
		return next
	}
	stream := func(resumable bool) {
		f.request.Route.Kind, f.request.Route.Resumable = route.Stream, resumable
		f.request.Route.GapObjective = time.Second
	}
	type received struct {
		status int
		body   string
		err    error
	}
	receive := func(url string) received {
		response, err := http.Get(url)
		if err != nil {
			return received{err: err}
		}
		defer func() { _ = response.Body.Close() }()
		body, err := io.ReadAll(response.Body)
		return received{response.StatusCode, string(body), err}
	}
	// whileAnswering sends the request, and calls end when the target has answered it in part.
	whileAnswering := func(t *killabletarget.Target, end func()) received {
		go func() {
			defer GinkgoRecover()
			Expect(t.AwaitAnswer()).To(Succeed())
			time.Sleep(pause)
			end()
		}()
		return receive(f.listen().URL)
	}
	startLeaving := func(answer, last string) *killabletarget.Target {
		t, err := killabletarget.StartLeaving(answer, last)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(t.Kill)
		useTarget(t.Address)
		return t
	}
	startKilled := func(answer string) *killabletarget.Target {
		t, err := killabletarget.Start(answer)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(t.Kill)
		useTarget(t.Address)
		return t
	}

	// ways are how targets announce that they leave, so long ago that they may end.
	ways := map[string]func(address string){
		"draining": func(a string) { drains(a, drain+time.Second) },
		"draining and removed": func(a string) {
			drains(a, drain+time.Second)
			isRemoved(a, time.Second, time.Second)
		},
		"removed":                func(a string) { isRemoved(a, drain+time.Second, time.Second) },
		"draining, barely known": func(a string) { drains(a, drain) },
	}
	for way, announce := range ways {
		// Guards against a whole stream that is cut off because its target exits right behind it, and
		// against taking that exit for a crash.
		It("completes a stream of a target that has left: "+way, func() {
			stream(false)
			t := startLeaving(unframedHead()+plain(0, 1), plain(2))
			got := whileAnswering(t, func() {
				announce(t.Address)
				Expect(t.Leave()).To(Succeed())
			})
			Expect(got).To(Equal(received{http.StatusOK, plain(0, 1, 2), nil}))
			Expect(f.suspects.Crashes()).To(BeEmpty())
		})
	}

	// Guards against the same for answers that are no streams.
	DescribeTable("completes an answer of a target that has left", func(kind route.Kind, attempts int) {
		f.request.Route.Kind, f.request.Route.MaxAttempts = kind, attempts
		t := startLeaving(rawtarget.Head(http.StatusOK, idHeader)+"wh", "ole")
		got := whileAnswering(t, func() {
			drains(t.Address, drain+time.Second)
			Expect(t.Leave()).To(Succeed())
		})
		Expect(got).To(Equal(received{http.StatusOK, "whole", nil}))
		Expect(f.suspects.Crashes()).To(BeEmpty())
	},
		Entry("that may not be repeated", route.NonIdempotent, 1),
		Entry("that may be repeated, without another target", route.Idempotent, 3),
	)

	// Guards against an orderly end that counts as a crash where another target is asked for what
	// follows, and against a stream that is cut off because none can be.
	DescribeTable("asks another target of a stream that may be resumed whether more follows", func(rest, body string, asked int) {
		stream(true)
		t := startLeaving(unframedHead()+plain(0, 1), plain(2))
		var next *rawtarget.Target
		got := whileAnswering(t, func() {
			drains(t.Address, drain+time.Second)
			if rest != "" {
				next = startNext(rest)
			}
			Expect(t.Leave()).To(Succeed())
		})
		Expect(got).To(Equal(received{http.StatusOK, body, nil}))
		if asked > 0 {
			Expect(next.Requests()).To(HaveLen(asked))
			Expect(next.Requests()[0].Header.Get("After")).To(Equal("2"))
		}
		Expect(f.suspects.Crashes()).To(BeEmpty())
	},
		Entry("nothing does", streamHead()+rawtarget.LastChunk, plain(0, 1, 2), 1),
		Entry("an event does", streamHead()+events(3, 3)+rawtarget.LastChunk, plain(0, 1, 2, 3), 1),
		Entry("no target is left", "", plain(0, 1, 2), 0),
	)

	// Guards against orderly ends that spend the budget for the retries of failures.
	It("spends no retry of the budget on such an end", func() {
		stream(true)
		const more = 30 // streams, more than the budget has retries
		t := startLeaving(unframedHead()+plain(0, 1), plain(2))
		server := f.listen()
		results := make([]received, more)
		var streams sync.WaitGroup
		for i := range results {
			streams.Go(func() { results[i] = receive(server.URL) })
		}
		for range more {
			Expect(t.AwaitAnswer()).To(Succeed())
		}
		time.Sleep(pause)
		drains(t.Address, drain+time.Second)
		next := startNext(streamHead() + rawtarget.LastChunk)
		Expect(t.Leave()).To(Succeed())
		streams.Wait()
		for _, got := range results {
			Expect(got).To(Equal(received{http.StatusOK, plain(0, 1, 2), nil}))
		}
		Expect(next.Requests()).To(HaveLen(more))
	})

	// Guards against a truncated answer that ends as complete because its target had announced its
	// leave.
	DescribeTable("cuts off the stream of a target that is killed", func(announce func(address string), end func(t *killabletarget.Target)) {
		stream(false)
		t := startKilled(unframedHead() + plain(0, 1))
		got := whileAnswering(t, func() {
			announce(t.Address)
			end(t)
		})
		Expect(got.body).To(Equal(plain(0, 1)))
		Expect(got.err).To(HaveOccurred())
	},
		Entry("while it must still serve", func(a string) { drains(a, drain/2) }, (*killabletarget.Target).Kill),
		Entry("while it drains for longer", ways["draining"], (*killabletarget.Target).Kill),
		Entry("a moment after its entry was removed", func(a string) { isRemoved(a, drain/10, time.Second) }, (*killabletarget.Target).Kill),
		Entry("a moment after it drained and its entry was removed", func(a string) {
			drains(a, drain+time.Second)
			isRemoved(a, drain/10, time.Second)
		}, (*killabletarget.Target).Kill),
		Entry("after its entry has expired", func(a string) { isRemoved(a, drain+time.Second, 4*time.Second) }, (*killabletarget.Target).Kill),
		Entry("while it drains, paused before", ways["draining"], func(t *killabletarget.Target) {
			Expect(t.Pause()).To(Succeed())
			time.Sleep(10 * pause)
			t.Kill()
		}),
		Entry("without any announcement", func(string) {}, (*killabletarget.Target).Kill),
	)

	// Guards against the same where a target is killed right behind an event: its other answers, which
	// break off with it, show that.
	It("cuts off a stream that ends with another one of its target", func() {
		stream(false)
		var target *rawtarget.Target
		var other net.Conn
		begun, announced := make(chan struct{}, 2), make(chan struct{})
		target, err := rawtarget.Start(func(_ *rawtarget.Request, c net.Conn) {
			if other == nil {
				other = c
				rawtarget.Write(c, streamHead()+events(0, 1))
				begun <- struct{}{}
				<-announced
				return
			}
			rawtarget.Write(c, unframedHead()+plain(0, 1))
			begun <- struct{}{}
			<-announced
			rawtarget.Write(c, plain(2))
			target.Close()
		})
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(target.Close)
		useTarget(target.Address)
		server := f.listen()
		ends := make(chan received, 2)
		for range 2 {
			go func() { ends <- receive(server.URL) }()
			Eventually(begun).WithTimeout(timeout).Should(Receive())
		}
		time.Sleep(pause)
		drains(target.Address, drain+time.Second)
		close(announced)
		for range 2 {
			var got received
			Eventually(ends).WithTimeout(timeout).Should(Receive(&got))
			Expect(got.status).To(Equal(http.StatusOK))
			Expect(got.err).To(HaveOccurred())
		}
	})
})
