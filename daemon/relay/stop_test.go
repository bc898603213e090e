package relay_test

import (
	"context"
	"net"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tarragonhollow.example/tarragonhollow/core/outcome"
	"tarragonhollow.example/tarragonhollow/core/route"
	"tarragonhollow.example/tarragonhollow/target/rawtarget"
)

var _ = Describe("A relay in a planned stop", func() {
	var (
		f   *fixture
		end context.CancelFunc
	)
	stopsIn := func(left time.Duration) {
		at := time.Now().Add(left)
		f.relay.StopsAt = func() (time.Time, bool) { return at, true }
	}
	answer := func(_ int, _ *rawtarget.Request, c net.Conn) {
		rawtarget.Write(c, rawtarget.Whole(200, "ok", idHeader))
	}
	BeforeEach(func() {
		f = newFixture()
		f.relay.Ended, end = context.WithCancel(context.Background())
		DeferCleanup(end)
	})

	// Guards against requests that are passed on late in a stop and cut at its end.
	It("refuses a request that is not known to end in time, before it is sent", func() {
		f.startTargets(1, answer)
		stopsIn(timeout / 2)
		_, result := f.serve()
		Expect(result.Refusal).NotTo(BeNil())
		Expect(result.Refusal.Run).To(Equal(outcome.NotRun))
		Expect(f.sent()).To(BeEmpty())
	})

	It("serves a request whose deadline ends it in time", func() {
		f.startTargets(1, answer)
		stopsIn(2 * timeout)
		w, result := f.serve()
		Expect(result.Refusal).To(BeNil())
		Expect(w.Body.String()).To(Equal("ok"))
	})

	// Guards against refusing what can be served: most requests take a part of their deadline.
	It("serves a request of a route whose requests end in time", func() {
		f.startTargets(1, answer)
		for range 16 {
			_, result := f.serve()
			Expect(result.Refusal).To(BeNil())
		}
		stopsIn(timeout / 2)
		w, result := f.serve()
		Expect(result.Refusal).To(BeNil())
		Expect(w.Body.String()).To(Equal("ok"))
		stopsIn(0)
		_, result = f.serve()
		Expect(result.Refusal).NotTo(BeNil())
	})

	// Guards against a connection that is closed without an answer at the end of the grace.
	DescribeTable("answers a request that still runs at the end", func(kind route.Kind) {
		f.request.Route.Kind = kind
		begun := make(chan struct{}, 1)
		f.startTargets(1, func(_ int, _ *rawtarget.Request, c net.Conn) {
			begun <- struct{}{}
			_, _ = c.Read(make([]byte, 1)) // until the relay closes it
		})
		go func() { <-begun; end() }()
		_, result := f.serve()
		Expect(result.CallerLeft).To(BeFalse())
		Expect(result.Aborted).To(BeFalse())
		Expect(result.Refusal).NotTo(BeNil())
		Expect(result.Refusal.Run).To(Equal(outcome.MayHaveRun))
	},
		Entry("that may be repeated", route.Idempotent),
		Entry("that may not be repeated", route.NonIdempotent),
		Entry("a stream before its first event", route.Stream),
	)

	It("says of a request that waits for a slot at the end that it has not run", func() {
		go func() { time.Sleep(50 * time.Millisecond); end() }()
		f.startTargets(1, func(_ int, _ *rawtarget.Request, c net.Conn) {
			rawtarget.Write(c, rawtarget.Whole(503, "", idHeader, "Not-Run: 1"))
		})
		_, result := f.serve()
		Expect(result.Refusal).NotTo(BeNil())
		Expect(result.Refusal.Run).To(Equal(outcome.NotRun))
	})

	It("cuts a stream that goes on at the end off visibly", func() {
		f.request.Route.Kind = route.Stream
		f.startTargets(1, func(_ int, _ *rawtarget.Request, c net.Conn) {
			rawtarget.Write(c, streamHead()+events(0, 2))
			time.Sleep(50 * time.Millisecond)
			end()
			_, _ = c.Read(make([]byte, 1))
		})
		w, result := f.serve()
		Expect(w.Body.String()).To(Equal(plain(0, 1, 2)))
		Expect(result.Aborted).To(BeTrue())
	})
})
