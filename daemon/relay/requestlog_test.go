package relay_test

import (
	"context"
	"net"
	"net/http/httptest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"tarragonhollow.example/tarragonhollow/core/route"
	"tarragonhollow.example/tarragonhollow/target/rawtarget"
)

var _ = Describe("The log lines of a request", func() {
	var (
		f     *fixture
		lines *observer.ObservedLogs
	)

	BeforeEach(func() {
		f = newFixture()
		f.request.Route.Kind = route.Stream
		f.request.Route.MaxAttempts = 1
		core, observed := observer.New(zap.InfoLevel)
		f.relay.Logger, lines = zap.New(core), observed
	})
	fieldsOf := func(event string) map[string]any {
		found := lines.FilterMessage(event).FilterField(zap.String("id", "r")).All()
		Expect(found).To(HaveLen(1))
		return found[0].ContextMap()
	}

	// A caller has a stream that ends too early, and the log can't tell the end that the target
	// gave from a crash, a deadline or an end of this daemon's own making.
	DescribeTable("tell how the target's answer and the response ended",
		func(ctx func() context.Context, script func(c net.Conn), answerEnd, response string, events int) {
			f.startTargets(1, func(_ int, _ *rawtarget.Request, c net.Conn) { script(c) })
			f.relay.Serve(ctx(), f.request, httptest.NewRecorder())
			last := fieldsOf("request")
			Expect(last).To(HaveKeyWithValue("answer_end", answerEnd))
			Expect(last).To(HaveKeyWithValue("response", response))
			Expect(last).To(HaveKeyWithValue("events", BeEquivalentTo(events)))
			Expect(last).To(HaveKeyWithValue("bytes", BeEquivalentTo(len(plain(span(0, events-1)...)))))
			Expect(last).To(HaveKeyWithValue("connection_reused", false))
			Expect(last).To(HaveKeyWithValue("stopping", false))
			Expect(last["left_ms"]).To(BeNumerically("<=", timeout.Milliseconds()))
			attempts := f.relay.Metrics.GetOrCreateCounter(`tarragonhollow_relay_attempts_total{kind="stream",end="` + answerEnd + `"}`)
			Expect(attempts.Get()).To(BeEquivalentTo(1))
		},
		Entry("a last chunk", context.Background, func(c net.Conn) {
			rawtarget.Write(c, streamHead()+events(0, 2)+rawtarget.LastChunk)
		}, "framing", "complete", 3),
		Entry("the end of the connection of an answer without framing", context.Background, func(c net.Conn) {
			rawtarget.Write(c, unframedHead()+plain(0, 1))
			_ = c.Close()
		}, "connection_end", "complete", 2),
		Entry("the end of the connection within chunks", context.Background, func(c net.Conn) {
			rawtarget.Write(c, streamHead()+events(0, 2))
			_ = c.Close()
		}, "cut", "cut_off", 3),
		Entry("a reset", context.Background, func(c net.Conn) {
			rawtarget.Write(c, streamHead()+events(0, 2))
			time.Sleep(resetDelay)
			rawtarget.Reset(c)
		}, "reset", "cut_off", 3),
		Entry("what is no answer", context.Background, func(c net.Conn) {
			rawtarget.Write(c, "?\r\n\r\n")
		}, "invalid", "refusal", 0),
		Entry("the caller's end", func() context.Context {
			ctx, cancel := context.WithCancel(context.Background())
			time.AfterFunc(resetDelay, cancel)
			return ctx
		}, func(c net.Conn) {
			rawtarget.Write(c, streamHead()+events(0, 2))
		}, "cancelled", "cut_off", 3),
	)

	It("tell that an answer was ended at its deadline, and that the process was stopping", func() {
		f.request.Deadline = time.Now().Add(resetDelay)
		f.relay.Stopping = func() bool { return true }
		f.startTargets(1, func(_ int, _ *rawtarget.Request, c net.Conn) { rawtarget.Write(c, streamHead()+events(0, 2)) })
		f.serve()
		for _, event := range []string{"attempt_failed", "request"} {
			fields := fieldsOf(event)
			Expect(fields).To(HaveKeyWithValue("answer_end", "deadline"))
			Expect(fields).To(HaveKeyWithValue("stopping", true))
			Expect(fields["left_ms"]).To(BeNumerically("<", 0))
		}
	})

	// A killed target's kernel ends an answer without framing like the target itself.
	It("tell that the target was gone after the end of its connection", func() {
		f.startTargets(1, func(_ int, _ *rawtarget.Request, c net.Conn) {
			rawtarget.Write(c, unframedHead()+plain(0, 1))
			go f.targets[0].Close()
			_ = c.Close()
		})
		f.serve()
		for _, event := range []string{"attempt_failed", "request"} {
			Expect(fieldsOf(event)).To(HaveKeyWithValue("answer_end", "target_gone"))
		}
		Expect(fieldsOf("request")).To(HaveKeyWithValue("response", "cut_off"))
	})

	It("tell that the connection to the target was reused", func() {
		f.request.Route.Kind = route.Idempotent
		f.startTargets(1, func(_ int, _ *rawtarget.Request, c net.Conn) { rawtarget.Write(c, rawtarget.Whole(200, "x", idHeader)) })
		f.serve()
		f.serve()
		ends := lines.FilterMessage("request").All()
		Expect(ends).To(HaveLen(2))
		Expect(ends[0].ContextMap()).To(HaveKeyWithValue("connection_reused", false))
		Expect(ends[1].ContextMap()).To(HaveKeyWithValue("connection_reused", true))
		Expect(ends[1].ContextMap()).To(HaveKeyWithValue("bytes", BeEquivalentTo(1)))
	})
})

// resetDelay lets the relay read what precedes a reset: the kernel drops unread bytes.
const resetDelay = 100 * time.Millisecond
