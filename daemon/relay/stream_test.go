package relay_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tarragonhollow.example/tarragonhollow/core/retry"
	"tarragonhollow.example/tarragonhollow/core/route"
	"tarragonhollow.example/tarragonhollow/daemon/relay"
	"tarragonhollow.example/tarragonhollow/target/rawtarget"
)

// unflushable is the writer of a caller whose connection has failed.
type unflushable struct{ http.ResponseWriter }

func (unflushable) FlushError() error { return net.ErrClosed }

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
	all := func(from, to int) string { return plain(span(from, to)...) }

	It("forwards it to its end", func() {
		startTargets(1, func(_ int, _ *rawtarget.Request, c net.Conn) {
			rawtarget.Write(c, streamHead()+events(0, 4)+rawtarget.LastChunk)
		})
		w, result := serve()
		Expect(result).To(Equal(relay.Result{}))
		Expect(w.Body.String()).To(Equal(all(0, 4)))
	})

	// Guards against an answer in chunks whose coding HTTP/1.0 does not have: its chunk sizes were
	// forwarded, and one that was cut was complete.
	It("does not forward an HTTP/1.0 answer in chunks", func() {
		request.Route.MaxAttempts = 1
		startTargets(1, func(_ int, _ *rawtarget.Request, c net.Conn) {
			rawtarget.Write(c, "HTTP/1.0 200 OK\r\n"+idHeader+"\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"+events(0, 2))
			_ = c.Close()
		})
		w, result := serve()
		Expect(result.Refusal).NotTo(BeNil())
		Expect(w.Body.String()).To(BeEmpty())
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

	// An answer that ends within an event has been broken off, however it is framed.
	DescribeTable("resumes a stream that ends within an event", func(head, end string) {
		startTargets(2, func(turn int, got *rawtarget.Request, c net.Conn) {
			if turn == 0 {
				rawtarget.Write(c, head+end)
				_ = c.Close()
				return
			}
			Expect(got.Header.Get("After")).To(Equal("1"))
			rawtarget.Write(c, streamHead()+events(2, 3)+rawtarget.LastChunk)
		})
		w, result := serve()
		Expect(result).To(Equal(relay.Result{}))
		Expect(w.Body.String()).To(Equal(all(0, 3)))
	},
		Entry("in chunks, without the last blank line", streamHead(), events(0, 1)+rawtarget.Chunk("id: 2\ndata: e2\n")+rawtarget.LastChunk),
		Entry("in chunks, within a line", streamHead(), events(0, 1)+rawtarget.Chunk("id: 2\nda")+rawtarget.LastChunk),
		Entry("without framing, without the last blank line", unframedHead(), all(0, 1)+"id: 2\ndata: e2\n"),
		Entry("without framing, within a line", unframedHead(), all(0, 1)+"id: 2\nda"),
	)

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

	// A caller goes on with its stream itself, and the target starts over: its end at an event that
	// the caller has is not the stream's, and the caller must not get those events again.
	DescribeTable("knows how far the caller that resumes its stream has come",
		func(answer, got string, complete bool) {
			request.Route.MaxAttempts = 1
			request.Resumes, request.After = true, 3
			startTargets(1, func(_ int, _ *rawtarget.Request, c net.Conn) {
				rawtarget.Write(c, streamHead()+answer+rawtarget.LastChunk)
			})
			w, result := serve()
			Expect(sent()[0].Header.Get("After")).To(Equal("3"))
			Expect(w.Body.String()).To(Equal(got))
			Expect(!result.Aborted && result.Refusal == nil).To(Equal(complete))
		},
		Entry("a rest", events(4, 6), all(4, 6), true),
		Entry("an empty rest", "", "", true),
		Entry("a run from the start", events(0, 6), all(4, 6), true),
		Entry("a run from the start that ends before the caller's last event", events(0, 2), "", false),
	)

	// A stream breaks off, and the target that is to go on with it starts over and ends before the
	// caller's last event. Its end says nothing of what follows that event.
	DescribeTable("does not take the end of a run for the stream's that ends before the caller's last event",
		func(ids ...int) {
			startTargets(3, func(turn int, got *rawtarget.Request, c net.Conn) {
				switch turn {
				case 0:
					rawtarget.Write(c, streamHead()+events(0, 3))
					rawtarget.Reset(c)
				case 1:
					rawtarget.Write(c, streamHead()+chunked(ids...)+rawtarget.LastChunk)
				default:
					Expect(got.Header.Get("After")).To(Equal("3"))
					rawtarget.Write(c, streamHead()+events(4, 6)+rawtarget.LastChunk)
				}
			})
			w, result := serve()
			Expect(result).To(Equal(relay.Result{}))
			Expect(w.Body.String()).To(Equal(all(0, 6)))
		},
		Entry("at its first event", 0),
		Entry("later", 0, 1, 2),
		Entry("in the middle", 2),
	)

	// A run repeats the last event and then skips some.
	It("does not join a run with a gap behind an event that it repeats", func() {
		startTargets(3, func(turn int, _ *rawtarget.Request, c net.Conn) {
			switch turn {
			case 0:
				rawtarget.Write(c, streamHead()+events(0, 2))
				rawtarget.Reset(c)
			case 1:
				rawtarget.Write(c, streamHead()+chunked(2, 5, 6)+rawtarget.LastChunk)
			default:
				rawtarget.Write(c, streamHead()+events(3, 6)+rawtarget.LastChunk)
			}
		})
		w, _ := serve()
		Expect(w.Body.String()).To(Equal(all(0, 6)))
	})

	// A caller goes on with a stream itself. What its target answers is forwarded as it comes: the
	// daemon knows neither how the events are numbered nor what the caller has.
	DescribeTable("forwards what a target answers to a caller that goes on with its stream",
		func(after string, resumable bool, ids ...int) {
			request.Route.Resumable = resumable
			request.HTTP.Header = http.Header{"After": {after}}
			startTargets(3, func(_ int, _ *rawtarget.Request, c net.Conn) {
				rawtarget.Write(c, streamHead()+chunked(ids...)+rawtarget.LastChunk)
			})
			w, result := serve()
			Expect(result).To(Equal(relay.Result{}))
			Expect(w.Body.String()).To(Equal(plain(ids...)))
			Expect(sent()).To(HaveLen(1))
		},
		Entry("from the next event on", "1", true, 2, 3),
		Entry("with steps after 0", "0", true, 10, 20),
		Entry("with steps after 1", "1", true, 3, 5),
		Entry("with steps after 10", "10", true, 20, 30),
		Entry("from the start", "12", true, 0, 1, 2),
		Entry("from the start, on a route that can't be resumed", "12", false, 0, 1, 2),
	)

	// A target numbers the events of a stream with steps. A resumed stream must not be taken
	// for one with a gap.
	DescribeTable("resumes a stream whose events are not numbered one by one",
		func(before, after []int) {
			startTargets(2, func(turn int, _ *rawtarget.Request, c net.Conn) {
				if turn == 0 {
					rawtarget.Write(c, streamHead()+chunked(before...))
					rawtarget.Reset(c)
					return
				}
				rawtarget.Write(c, streamHead()+chunked(after...)+rawtarget.LastChunk)
			})
			w, result := serve()
			Expect(result).To(Equal(relay.Result{}))
			Expect(w.Body.String()).To(Equal(plain(before...) + plain(after...)))
		},
		Entry("broken after two events", []int{10, 20}, []int{30, 40}),
		Entry("broken after the first event", []int{10}, []int{20, 30}),
	)

	// A run repeats earlier events, one of which has no ID.
	It("does not repeat an event without ID", func() {
		first := chunked(0) + rawtarget.Chunk("data: x\n\n") + chunked(1)
		startTargets(2, func(turn int, _ *rawtarget.Request, c net.Conn) {
			rawtarget.Write(c, streamHead()+first)
			if turn == 0 {
				rawtarget.Reset(c)
				return
			}
			rawtarget.Write(c, chunked(2)+rawtarget.LastChunk)
		})
		w, result := serve()
		Expect(result).To(Equal(relay.Result{}))
		Expect(w.Body.String()).To(Equal(plain(0) + "data: x\n\n" + plain(1, 2)))
	})

	// A stream begins with an event without ID and breaks off. Where its place in the next run is
	// not known yet, it must not come twice, get lost or be sent before its place is known.
	DescribeTable("joins a run that begins with an event without ID",
		func(rest, want string) {
			x := rawtarget.Chunk("data: x\n\n")
			startTargets(3, func(turn int, got *rawtarget.Request, c net.Conn) {
				switch turn {
				case 0:
					rawtarget.Write(c, streamHead()+x+events(0, 1))
					rawtarget.Reset(c)
				case 1:
					rawtarget.Write(c, streamHead()+x+rest)
					rawtarget.Reset(c)
				default:
					Expect(got.Header.Get("After")).To(Equal("1"))
					rawtarget.Write(c, streamHead()+events(2, 3)+rawtarget.LastChunk)
				}
			})
			w, result := serve()
			Expect(result).To(Equal(relay.Result{}))
			Expect(w.Body.String()).To(Equal("data: x\n\n" + all(0, 1) + want))
		},
		Entry("and starts over", events(0, 3)+rawtarget.LastChunk, all(2, 3)),
		Entry("and starts over, broken off at once", "", all(2, 3)),
		Entry("and starts over, broken off before the caller's last event", events(0, 0), all(2, 3)),
		Entry("and goes on", events(2, 3)+rawtarget.LastChunk, "data: x\n\n"+all(2, 3)),
		Entry("and ends, so that its place remains unknown", rawtarget.LastChunk, all(2, 3)),
		Entry("and has more such events than are kept", strings.Repeat(rawtarget.Chunk("data: y\n\n"), 30)+events(2, 3)+rawtarget.LastChunk, all(2, 3)),
		Entry("and a comment, and goes on", rawtarget.Chunk(": wait\n\n")+events(2, 3)+rawtarget.LastChunk, "data: x\n\n"+all(2, 3)),
	)

	// A stream ends with an event without ID and breaks off before it. No run that starts over
	// begins with such an event, so it belongs behind the caller's last one.
	It("goes on with an event without ID", func() {
		startTargets(2, func(turn int, _ *rawtarget.Request, c net.Conn) {
			if turn == 0 {
				rawtarget.Write(c, streamHead()+events(0, 1))
				rawtarget.Reset(c)
				return
			}
			rawtarget.Write(c, streamHead()+rawtarget.Chunk("data: [DONE]\n\n")+rawtarget.LastChunk)
		})
		w, result := serve()
		Expect(result).To(Equal(relay.Result{}))
		Expect(w.Body.String()).To(Equal(all(0, 1) + "data: [DONE]\n\n"))
	})

	// The target that is to go on answers 200 with something that is not the rest.
	DescribeTable("cuts off a stream whose other targets answer 200 without events",
		func(answer string) {
			startTargets(3, func(turn int, _ *rawtarget.Request, c net.Conn) {
				if turn == 0 {
					rawtarget.Write(c, streamHead()+events(0, 1))
					rawtarget.Reset(c)
					return
				}
				rawtarget.Write(c, answer)
			})
			w, result := serve()
			Expect(w.Body.String()).To(Equal(all(0, 1)))
			Expect(result.Aborted).To(BeTrue())
		},
		Entry("an error page", rawtarget.Whole(200, "{\"error\":\"failed\"}\n\n", idHeader, "Content-Type: application/json")),
		Entry("no body, not a stream", rawtarget.Whole(200, "", idHeader, "Content-Type: application/json")),
		Entry("no body, with an encoding", rawtarget.Whole(200, "", idHeader, "Content-Type: text/event-stream", "Content-Encoding: gzip")),
		Entry("a body with an encoding", rawtarget.Whole(200, "\x1f\x8b\n\n", idHeader, "Content-Type: text/event-stream", "Content-Encoding: gzip")),
	)

	// The target that is to go on sends the body of an error slowly. Another target is ready.
	It("does not wait for the whole body of an error in place of the rest", func() {
		request.Deadline = time.Now().Add(time.Minute)
		ended := make(chan struct{})
		startTargets(3, func(turn int, _ *rawtarget.Request, c net.Conn) {
			switch turn {
			case 0:
				rawtarget.Write(c, streamHead()+events(0, 1))
				rawtarget.Reset(c)
			case 1:
				rawtarget.Write(c, rawtarget.Head(500, idHeader, "Transfer-Encoding: chunked"))
				for {
					if _, err := c.Write([]byte(rawtarget.Chunk("failed"))); err != nil {
						break
					}
					time.Sleep(20 * time.Millisecond)
				}
				close(ended)
			default:
				rawtarget.Write(c, streamHead()+events(2, 3)+rawtarget.LastChunk)
			}
		})
		w, result := serve()
		Expect(result).To(Equal(relay.Result{}))
		Expect(w.Body.String()).To(Equal(all(0, 3)))
		Eventually(ended).WithTimeout(timeout).Should(BeClosed())
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

	// Guards against a whole stream that is cut off because its last run, which alone is left, ended
	// with its connection.
	It("completes a framed stream whose last run ends with its connection", func() {
		request.Route.MaxAttempts = 2
		startTargets(2, func(turn int, _ *rawtarget.Request, c net.Conn) {
			if turn == 0 {
				rawtarget.Write(c, streamHead()+events(0, 1))
				rawtarget.Reset(c)
				return
			}
			rawtarget.Write(c, unframedHead()+all(2, 3))
			_ = c.Close()
		})
		w, result := serve()
		Expect(result.Aborted).To(BeFalse())
		Expect(w.Body.String()).To(Equal(all(0, 3)))
	})

	// A stream breaks off, and the rest comes without framing, from targets that go on serving. Guards
	// against a whole stream that is cut off since its last part ended with its connection, and
	// against an end that counts although another target shows that more follows.
	DescribeTable("takes the end of a connection for the end of a framed stream unless more follows",
		func(last string, complete bool, received string) {
			startTargets(3, func(turn int, _ *rawtarget.Request, c net.Conn) {
				switch turn {
				case 0:
					rawtarget.Write(c, streamHead()+events(0, 1))
					rawtarget.Reset(c)
				case 1:
					rawtarget.Write(c, unframedHead()+all(2, 3))
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
		Entry("another connection ends there too", unframedHead(), true, all(0, 3)),
		Entry("another connection ends there too, behind a comment", unframedHead()+": c\n\n", true, all(0, 3)+": c\n\n"),
		Entry("another connection ends there too, with the last event again", unframedHead()+all(3, 3), true, all(0, 3)),
		Entry("another connection ends behind a part of the next event", unframedHead()+"id: 4\nda", false, all(0, 3)),
		Entry("another connection ends behind an event after a gap", unframedHead()+all(5, 5), false, all(0, 3)),
		Entry("another connection ends later", unframedHead()+all(4, 5), false, all(0, 5)),
		Entry("no target answers", "", true, all(0, 3)),
		Entry("another connection breaks off behind more events", streamHead()+events(4, 5), false, all(0, 5)),
	)

	// A target stops work at its deadline and ends what it has sent in the regular way. The
	// caller would take the part for the whole stream.
	DescribeTable("cuts off a stream that its target ends at its deadline",
		func(first, last string, received string) {
			request.Route.MaxAttempts = 1
			request.Deadline = time.Now().Add(300 * time.Millisecond)
			startTargets(2, func(_ int, r *rawtarget.Request, c net.Conn) {
				began := time.Now()
				left, err := strconv.Atoi(r.Header.Get("Left"))
				Expect(err).NotTo(HaveOccurred())
				rawtarget.Write(c, first)
				time.Sleep(time.Until(began.Add(time.Duration(left)*time.Millisecond - clockError)))
				rawtarget.Write(c, last)
			})
			w, result := serve()
			// The last bytes may also come after the daemon's own timer.
			Expect(received).To(HavePrefix(w.Body.String()))
			Expect(result.Aborted).To(Equal(w.Body.Len() > 0))
			Expect(result.Refusal != nil).To(Equal(w.Body.Len() == 0))
		},
		Entry("after some events", streamHead()+events(0, 2), rawtarget.LastChunk, all(0, 2)),
		Entry("with an event", streamHead()+events(0, 2), events(3, 3)+rawtarget.LastChunk, all(0, 3)),
		Entry("before the first event", streamHead(), rawtarget.LastChunk, ""),
		Entry("with an empty answer", "", rawtarget.Whole(200, "", idHeader, "Content-Type: text/event-stream"), ""),
		Entry("with an answer that has a length", "", rawtarget.Whole(200, all(0, 1), idHeader, "Content-Type: text/event-stream"), all(0, 1)),
	)

	// The same at a target that goes on with a broken stream.
	It("cuts off a resumed stream that its target ends at its deadline", func() {
		request.Route.MaxAttempts = 2
		request.Deadline = time.Now().Add(300 * time.Millisecond)
		startTargets(2, func(turn int, r *rawtarget.Request, c net.Conn) {
			if turn == 0 {
				rawtarget.Write(c, streamHead()+events(0, 2))
				rawtarget.Reset(c)
				return
			}
			began := time.Now()
			left, err := strconv.Atoi(r.Header.Get("Left"))
			Expect(err).NotTo(HaveOccurred())
			time.Sleep(time.Until(began.Add(time.Duration(left)*time.Millisecond - clockError)))
			rawtarget.Write(c, streamHead()+rawtarget.LastChunk)
		})
		w, result := serve()
		Expect(result.Aborted).To(BeTrue())
		Expect(w.Body.String()).To(Equal(all(0, 2)))
	})

	// The caller's connection fails when the last events are flushed. They did not arrive, and
	// the log must not call the request served.
	It("does not take a stream for complete whose last events can't be flushed", func() {
		startTargets(1, func(_ int, _ *rawtarget.Request, c net.Conn) {
			rawtarget.Write(c, streamHead()+rawtarget.Chunk(all(0, 1))+rawtarget.LastChunk)
		})
		result := f.relay.Serve(context.Background(), request, unflushable{httptest.NewRecorder()})
		Expect(result.Aborted).To(BeTrue())
	})

	// More streams break at once than the retry budget covers. Their callers must not wait in
	// silence, to the end of their time, for a retry that comes after they have left.
	It("waits for the retry budget no longer than the caller of a stream", func() {
		const streams = 40
		request.Deadline = time.Now().Add(time.Minute)
		f.startTargets(2, func(_ int, r *rawtarget.Request, c net.Conn) {
			if r.Header.Get("After") == "" {
				rawtarget.Write(c, streamHead()+events(0, 1))
				time.Sleep(100 * time.Millisecond)
				rawtarget.Reset(c)
				return
			}
			rawtarget.Write(c, streamHead()+events(2, 3)+rawtarget.LastChunk)
		})
		began := time.Now()
		var completed, cut atomic.Int64
		var group sync.WaitGroup
		for range streams {
			group.Go(func() {
				defer GinkgoRecover()
				own := *request
				w := httptest.NewRecorder()
				if f.relay.Serve(context.Background(), &own, w).Aborted {
					Expect(w.Body.String()).To(Equal(all(0, 1)))
					cut.Add(1)
					return
				}
				Expect(w.Body.String()).To(Equal(all(0, 3)))
				completed.Add(1)
			})
		}
		group.Wait()
		Expect(completed.Load()).To(BeNumerically(">=", retry.MaxTokens))
		Expect(cut.Load()).To(BeNumerically(">", 0))
		Expect(time.Since(began)).To(BeNumerically("<", timeout))
	})

	// A target sends no framing, and the daemon sees that the answer breaks off. The caller's
	// answer has no framing either, so that an orderly close would end it as complete.
	DescribeTable("cuts off an unframed stream visibly",
		func(prepare func(), broken func(c net.Conn)) {
			prepare()
			startTargets(3, func(turn int, _ *rawtarget.Request, c net.Conn) {
				if turn == 0 {
					rawtarget.Write(c, unframedHead()+all(0, 1))
					broken(c)
					return
				}
				rawtarget.Reset(c)
			})
			response, err := http.Get(f.listen().URL)
			Expect(err).NotTo(HaveOccurred())
			defer func() { _ = response.Body.Close() }()
			body, err := io.ReadAll(response.Body)
			Expect(string(body)).To(Equal(all(0, 1)))
			Expect(err).To(HaveOccurred())
		},
		Entry("reset, and no other target goes on with it", func() {}, func(c net.Conn) { time.Sleep(50 * time.Millisecond); rawtarget.Reset(c) }),
		Entry("reset, on a route that may not be resumed", func() { request.Route.Resumable = false },
			func(c net.Conn) { time.Sleep(50 * time.Millisecond); rawtarget.Reset(c) }),
		Entry("ended within an event", func() { request.Route.Resumable = false },
			func(c net.Conn) { rawtarget.Write(c, "id: 2\nda"); _ = c.Close() }),
		Entry("unfinished at the deadline", func() {
			request.Route.Resumable = false
			request.Deadline = time.Now().Add(300 * time.Millisecond)
		}, func(net.Conn) { time.Sleep(time.Second) }),
	)
})
