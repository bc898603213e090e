package relay_test

import (
	"fmt"
	"net"
	"net/http/httptest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tarragonhollow.example/tarragonhollow/core/route"
	"tarragonhollow.example/tarragonhollow/daemon/relay"
	"tarragonhollow.example/tarragonhollow/target/rawtarget"
)

var _ = Describe("The relay of a stream", func() {
	var (
		f       *fixture
		request *relay.Request
	)
	startTargets := func(n int, script func(turn int, r *rawtarget.Request, c net.Conn)) { f.startTargets(n, script) }
	sent := func() []rawtarget.Request { return f.sent() }
	serve := func() (*httptest.ResponseRecorder, relay.Result) { return f.serve() }

	BeforeEach(func() {
		f = newFixture()
		request = f.request
		request.Route.Kind = route.Stream
		request.Route.Resumable = true
		request.Route.GapObjective = 200 * time.Millisecond
	})
	all := func(from, to int) string {
		text := ""
		for i := from; i <= to; i++ {
			text += rawtarget.Event(i, fmt.Sprint("e", i))
		}
		return text
	}

	It("forwards it to its end", func() {
		startTargets(1, func(_ int, _ *rawtarget.Request, c net.Conn) {
			rawtarget.Write(c, streamHead()+events(0, 4)+rawtarget.LastChunk)
		})
		w, result := serve()
		Expect(result).To(Equal(relay.Result{}))
		Expect(w.Body.String()).To(Equal(all(0, 4)))
	})

	// An engine crashes in the middle of an event. The caller must get each event once and
	// complete: the truncated one is dropped and fetched from another engine.
	It("resumes at another target after the last complete event", func() {
		startTargets(2, func(turn int, got *rawtarget.Request, c net.Conn) {
			if turn == 0 {
				rawtarget.Write(c, streamHead()+events(0, 2)+rawtarget.Chunk("id: 3\ndata: cu"))
				rawtarget.Reset(c)
				return
			}
			Expect(got.Header.Get("After")).To(Equal("2"))
			rawtarget.Write(c, streamHead()+events(2, 5)+rawtarget.LastChunk)
		})
		w, result := serve()
		Expect(result).To(Equal(relay.Result{}))
		Expect(w.Body.String()).To(Equal(all(0, 5)))
	})

	It("resumes at another target when its target stops sending", func() {
		startTargets(2, func(turn int, _ *rawtarget.Request, c net.Conn) {
			if turn == 0 {
				rawtarget.Write(c, streamHead()+events(0, 1))
				return
			}
			rawtarget.Write(c, streamHead()+events(2, 3)+rawtarget.LastChunk)
		})
		w, _ := serve()
		Expect(w.Body.String()).To(Equal(all(0, 3)))
	})

	It("cuts off a stream that it can't complete, so that it does not appear complete", func() {
		request.Route.Resumable = false
		startTargets(2, func(_ int, _ *rawtarget.Request, c net.Conn) {
			rawtarget.Write(c, streamHead()+events(0, 2))
			rawtarget.Reset(c)
		})
		w, result := serve()
		Expect(result.Aborted).To(BeTrue())
		Expect(w.Body.String()).To(Equal(all(0, 2)))
		Expect(sent()).To(HaveLen(1))
	})

	It("treats a stream that ends within an event as broken", func() {
		request.Route.MaxAttempts = 1
		startTargets(1, func(_ int, _ *rawtarget.Request, c net.Conn) {
			rawtarget.Write(c, streamHead()+events(0, 1)+rawtarget.Chunk("id: 2\nda")+rawtarget.LastChunk)
		})
		_, result := serve()
		Expect(result.Aborted).To(BeTrue())
	})

	// A stream breaks off, and the target that is to go on with it answers with an error. The
	// error's body must not be joined to the stream, and the caller must not receive the stream
	// as complete.
	DescribeTable("cuts off a stream whose other targets answer with an error",
		func(status int, body string) {
			startTargets(3, func(turn int, _ *rawtarget.Request, c net.Conn) {
				if turn == 0 {
					rawtarget.Write(c, streamHead()+events(0, 2))
					rawtarget.Reset(c)
					return
				}
				rawtarget.Write(c, rawtarget.Whole(status, body, idHeader))
			})
			w, result := serve()
			Expect(w.Body.String()).To(Equal(all(0, 2)))
			Expect(result.Aborted).To(BeTrue())
		},
		Entry("500", 500, "failed"),
		Entry("500 without a body", 500, ""),
		Entry("502", 502, "failed"),
		Entry("504 at the deadline", 504, ""),
		Entry("422", 422, "no"),
		Entry("404", 404, "no"),
		Entry("204", 204, ""),
		Entry("206", 206, "id: 3\ndata: e3\n\n"),
	)

	// A stream breaks off, and one of the targets that could go on with it answers with an error.
	It("resumes at another target after one that answers with an error", func() {
		startTargets(3, func(turn int, got *rawtarget.Request, c net.Conn) {
			switch turn {
			case 0:
				rawtarget.Write(c, streamHead()+events(0, 2))
				rawtarget.Reset(c)
			case 1:
				rawtarget.Write(c, rawtarget.Whole(500, "failed", idHeader))
			default:
				Expect(got.Header.Get("After")).To(Equal("2"))
				rawtarget.Write(c, streamHead()+events(3, 5)+rawtarget.LastChunk)
			}
		})
		w, result := serve()
		Expect(result).To(Equal(relay.Result{}))
		Expect(w.Body.String()).To(Equal(all(0, 5)))
	})

	// A stream breaks off, and the target that is to go on with it skips events. The caller would
	// receive a stream with a hole that ends as complete.
	It("does not join a run that begins after a gap", func() {
		startTargets(3, func(turn int, got *rawtarget.Request, c net.Conn) {
			switch turn {
			case 0:
				rawtarget.Write(c, streamHead()+events(0, 2))
				rawtarget.Reset(c)
			case 1:
				rawtarget.Write(c, streamHead()+events(5, 7)+rawtarget.LastChunk)
			default:
				Expect(got.Header.Get("After")).To(Equal("2"))
				rawtarget.Write(c, streamHead()+events(3, 7)+rawtarget.LastChunk)
			}
		})
		w, result := serve()
		Expect(result).To(Equal(relay.Result{}))
		Expect(w.Body.String()).To(Equal(all(0, 7)))
	})

	// A target numbers the events of a stream with steps. A resumed stream must not be taken
	// for one with a gap.
	It("resumes a stream whose events are not numbered one by one", func() {
		numbered := func(ids ...int) string {
			text := ""
			for _, i := range ids {
				text += rawtarget.Chunk(rawtarget.Event(i, fmt.Sprint("e", i)))
			}
			return text
		}
		startTargets(2, func(turn int, _ *rawtarget.Request, c net.Conn) {
			if turn == 0 {
				rawtarget.Write(c, streamHead()+numbered(10, 20))
				rawtarget.Reset(c)
				return
			}
			rawtarget.Write(c, streamHead()+numbered(30, 40)+rawtarget.LastChunk)
		})
		w, result := serve()
		Expect(result).To(Equal(relay.Result{}))
		Expect(w.Body.String()).To(Equal(rawtarget.Event(10, "e10") + rawtarget.Event(20, "e20") + rawtarget.Event(30, "e30") + rawtarget.Event(40, "e40")))
	})

	// A stream without event IDs breaks off. No target can be asked for the rest, and a new run
	// would be joined to the events that the caller has.
	DescribeTable("cuts off a broken stream whose last events have no ID",
		func(first string) {
			startTargets(2, func(turn int, _ *rawtarget.Request, c net.Conn) {
				rawtarget.Write(c, streamHead()+rawtarget.Chunk(first+"data: a\n\n"))
				if turn == 0 {
					rawtarget.Reset(c)
					return
				}
				rawtarget.Write(c, rawtarget.LastChunk)
			})
			w, result := serve()
			Expect(result.Aborted).To(BeTrue())
			Expect(w.Body.String()).To(Equal(first + "data: a\n\n"))
			Expect(sent()).To(HaveLen(1))
		},
		Entry("no event has one", ""),
		Entry("the first event has one", rawtarget.Event(0, "e0")),
	)

	// A comment keeps a connection open. It has no ID and is no part of the stream's content.
	It("resumes a stream after a comment", func() {
		startTargets(2, func(turn int, _ *rawtarget.Request, c net.Conn) {
			if turn == 0 {
				rawtarget.Write(c, streamHead()+events(0, 1)+rawtarget.Chunk(": wait\n\n"))
				rawtarget.Reset(c)
				return
			}
			rawtarget.Write(c, streamHead()+events(2, 3)+rawtarget.LastChunk)
		})
		w, result := serve()
		Expect(result).To(Equal(relay.Result{}))
		Expect(w.Body.String()).To(Equal(all(0, 1) + ": wait\n\n" + all(2, 3)))
	})

	// A stream breaks off, and the rest comes without framing: where its connection ends, its
	// target may have crashed. The caller's stream is framed and must not end as complete there.
	DescribeTable("does not take the end of a connection for the end of a framed stream",
		func(last string, complete bool, received string) {
			startTargets(3, func(turn int, _ *rawtarget.Request, c net.Conn) {
				switch turn {
				case 0:
					rawtarget.Write(c, streamHead()+events(0, 1))
					rawtarget.Reset(c)
				case 1:
					rawtarget.Write(c, rawtarget.Head(200, idHeader)+all(2, 3))
				default:
					rawtarget.Write(c, last)
				}
				_ = c.Close()
			})
			w, result := serve()
			Expect(result.Aborted).To(Equal(!complete))
			Expect(w.Body.String()).To(Equal(received))
		},
		Entry("another target confirms it", streamHead()+rawtarget.LastChunk, true, all(0, 3)),
		Entry("another target has the rest", streamHead()+events(4, 5)+rawtarget.LastChunk, true, all(0, 5)),
		Entry("another connection ends there too", rawtarget.Head(200, idHeader), true, all(0, 3)),
		Entry("another connection ends later", rawtarget.Head(200, idHeader)+all(4, 5), false, all(0, 5)),
		Entry("no target answers", "", false, all(0, 3)),
	)
})
