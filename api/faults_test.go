package api_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"tarragonhollow.example/tarragonhollow/api"
	"tarragonhollow.example/tarragonhollow/core/ledger"
	"tarragonhollow.example/tarragonhollow/core/outcome"
	"tarragonhollow.example/tarragonhollow/target"
)

// rawChat returns a chat request as text.
func rawChat(body string) string {
	return fmt.Sprintf("POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nTarragon-Profile: desk\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// held makes the backend's chats wait until release is closed. running receives the
// caller of each chat that has started.
func held(d *daemon) (running chan string, release chan struct{}) {
	running, release = make(chan string, 16), make(chan struct{})
	d.chat = func(ctx context.Context, c api.ChatCall, sink func(target.Token) error) (api.ChatResult, error) {
		if sink == nil {
			sink = func(target.Token) error { return nil }
		}
		if err := sink(target.Token{Text: "first"}); err != nil {
			return api.ChatResult{}, err
		}
		running <- c.Caller
		select {
		case <-release:
		case <-ctx.Done():
			return api.ChatResult{}, ctx.Err()
		}
		if err := sink(target.Token{Index: 1, Text: "last"}); err != nil {
			return api.ChatResult{}, err
		}
		return api.ChatResult{Text: "firstlast", Finish: target.Finish{Reason: "stop"}}, nil
	}
	return running, release
}

var _ = Describe("slow and stuck callers", func() {
	// A caller stops reading its stream but keeps the connection open. The socket buffers
	// fill up, the write blocks, and the target's slot stays occupied, until no slot is
	// left for other callers.
	It("cuts a caller that stops reading, and cancels its stream", func() {
		d := start(func(o *api.Options) { o.WriteStall = 100 * time.Millisecond })
		ended := make(chan int, 1)
		d.chat = func(ctx context.Context, _ api.ChatCall, sink func(target.Token) error) (api.ChatResult, error) {
			text := strings.Repeat("x", 4096)
			for n := 0; ; n++ {
				if err := sink(target.Token{Index: n, Text: text}); err != nil {
					<-ctx.Done()
					ended <- n * len(text)
					return api.ChatResult{}, err
				}
			}
		}
		d.dial(rawChat(fmt.Sprintf(hello, true)))
		var sent int
		Eventually(ended, "20s").Should(Receive(&sent))
		const socketBuffers = 32 << 20
		Expect(sent).To(BeNumerically("<", socketBuffers), "tokens were queued in this process")
	})

	// A caller with a bad connection sends half a request and then nothing, or a byte now
	// and then. Its connection and body would be held for hours.
	DescribeTable("refuses a body that comes too slowly, and serves others meanwhile",
		func(pause time.Duration) {
			d := start(func(o *api.Options) { o.BodyStall, o.MinBodyRate = 100*time.Millisecond, 1<<20 })
			d.cfg.Profiles["desk"].Deadline = time.Hour
			conn := d.dial("POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nTarragon-Profile: desk\r\nContent-Length: 4000\r\n\r\n")
			Expect(conn.SetReadDeadline(time.Now().Add(10 * time.Second))).To(Succeed())
			go func() {
				for range 3999 {
					if _, err := conn.Write([]byte("x")); err != nil {
						return
					}
					time.Sleep(pause)
				}
			}()
			Expect(d.send("GET", "/healthz", "").StatusCode).To(Equal(200))
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			Expect(err).NotTo(HaveOccurred())
			Expect(resp.StatusCode).To(Equal(400))
			r := read(resp)
			Expect(r.Error.Message).To(ContainSubstring("too slowly"))
			Expect(r.Error.Run).To(Equal("not_run"))
		},
		Entry("it stops", time.Hour),
		Entry("it trickles", 10*time.Millisecond),
	)

	// The read deadline for the body stays set on the socket after the last byte. It would
	// expire while the model is still working, and the request would be treated as one
	// whose caller has disconnected.
	It("lets a request run longer than its body may stall", func() {
		const stall = 20 * time.Millisecond
		d := start(func(o *api.Options) { o.BodyStall = stall })
		d.chat = func(ctx context.Context, _ api.ChatCall, _ func(target.Token) error) (api.ChatResult, error) {
			select {
			case <-ctx.Done():
				return api.ChatResult{}, ctx.Err()
			case <-time.After(10 * stall):
				return api.ChatResult{Text: "ok"}, nil
			}
		}
		Expect(d.send("POST", "/v1/chat/completions", fmt.Sprintf(hello, false), "Tarragon-Profile", "desk").StatusCode).To(Equal(200))
	})

	// A caller's leaking connection pool holds all connections that the daemon accepts,
	// without a request on any. The next caller would wait until they time out.
	It("closes idle connections to accept new ones, never one with a request", func() {
		d := start(func(o *api.Options) { o.MaxConnections = 3 })
		running, release := held(d)
		busy := d.dial(rawChat(fmt.Sprintf(hello, false)))
		Eventually(running).Should(Receive())
		idle := []net.Conn{d.dial(""), d.dial(""), d.dial("")}
		Expect(d.send("GET", "/healthz", "").StatusCode).To(Equal(200))
		_ = idle[0].SetReadDeadline(time.Now().Add(10 * time.Second))
		_, err := idle[0].Read(make([]byte, 1))
		Expect(err).To(MatchError(io.EOF), "the longest idle connection was kept")
		close(release)
		resp, err := http.ReadResponse(bufio.NewReader(busy), nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(resp.StatusCode).To(Equal(200))
	})

	// A caller on a slow line sends its bodies slowly. If they counted as running requests,
	// a few of them would make the daemon refuse all callers as overloaded.
	It("does not count slow bodies as running requests", func() {
		d := start(func(o *api.Options) { o.MaxInFlight = 1 })
		running, release := held(d)
		slow := d.dial("POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nTarragon-Profile: desk\r\nTarragon-Caller: slow\r\nExpect: 100-continue\r\nContent-Length: 90\r\n\r\n")
		line, err := bufio.NewReader(slow).ReadString('\n')
		Expect(err).NotTo(HaveOccurred())
		Expect(line).To(ContainSubstring("100"), "its body is not being read")
		d.dial(rawChat(fmt.Sprintf(hello, true)))
		Eventually(running).Should(Receive())
		resp := d.send("POST", "/v1/chat/completions", fmt.Sprintf(hello, false), "Tarragon-Profile", "desk")
		Expect(read(resp).Error.Code).To(Equal("overloaded"))
		close(release)
	})

	It("limits one caller's requests and does not affect other callers", func() {
		d := start(nil)
		running, release := held(d)
		defer close(release)
		for range 2 {
			d.dial(strings.Replace(rawChat(fmt.Sprintf(hello, false)), "Host: x", "Host: x\r\nTarragon-Caller: loud", 1))
			Eventually(running).Should(Receive(Equal("loud")))
		}
		resp := d.send("POST", "/v1/chat/completions", fmt.Sprintf(hello, false), "Tarragon-Profile", "desk", "Tarragon-Caller", "loud")
		Expect(resp.StatusCode).To(Equal(429))
		Expect(read(resp).Error.Code).To(Equal("caller_limit"))
		d.send("POST", "/v1/chat/completions", fmt.Sprintf(hello, true), "Tarragon-Profile", "desk", "Tarragon-Caller", "calm")
		Eventually(running).Should(Receive(Equal("calm")))
	})
})

// oneWrite is a ResponseWriter whose first write alone succeeds.
type oneWrite struct {
	*httptest.ResponseRecorder
	written bool
}

func (w *oneWrite) Write(p []byte) (int, error) {
	if w.written {
		return 0, io.ErrClosedPipe
	}
	w.written = true
	return w.ResponseRecorder.Write(p)
}

var _ = Describe("streams that end early", func() {
	// The target crashes in the middle of an answer. A stream that simply ended, or ended
	// with [DONE], would look like the complete answer.
	It("sends an error event and no [DONE]", func() {
		d := start(nil)
		d.chat = func(_ context.Context, _ api.ChatCall, sink func(target.Token) error) (api.ChatResult, error) {
			Expect(sink(target.Token{Text: "one egg"})).To(Succeed())
			return api.ChatResult{}, outcome.Refuse(outcome.TargetFailed, "crashed").WithRun(outcome.Ran)
		}
		resp := d.send("POST", "/v1/chat/completions", fmt.Sprintf(hello, true), "Tarragon-Profile", "desk")
		text, err := io.ReadAll(resp.Body)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(text)).To(HaveSuffix(`data: {"error":{"code":"target_failed","message":"crashed","run":"ran","retry_after_ms":0}}` + "\n\n"))
		Expect(string(text)).NotTo(ContainSubstring("[DONE]"))
	})

	// A fault of the daemon itself in the middle of a response. The part that was sent must
	// not end like a complete body.
	DescribeTable("cuts off a response that has begun when its handler panics",
		func(method, path, body string) {
			d := start(nil)
			d.chat = func(_ context.Context, _ api.ChatCall, sink func(target.Token) error) (api.ChatResult, error) {
				Expect(sink(target.Token{Text: "one egg"})).To(Succeed())
				panic("fault")
			}
			d.results = func(r ledger.ResultsRequest) (ledger.ResultsReply, error) {
				if r.From > 0 {
					panic("fault")
				}
				return ledger.ResultsReply{Results: []ledger.ItemResult{{CustomID: "one egg"}}, Next: 1, Items: 2}, nil
			}
			text, err := io.ReadAll(d.send(method, path, body, "Tarragon-Profile", "desk").Body)
			Expect(err).To(MatchError(io.ErrUnexpectedEOF))
			Expect(string(text)).To(ContainSubstring("one egg"))
			Expect(d.lines.FilterMessage("request").FilterField(zap.String("code", "internal")).Len()).To(Equal(1))
		},
		Entry("a stream", "POST", "/v1/chat/completions", fmt.Sprintf(hello, true)),
		Entry("results", "GET", "/v1/jobs/j/results", ""),
	)

	// The target crashes and its error event can't be written. Without
	// it, only the connection shows that the stream broke off.
	It("cuts off a stream whose error event can't be written", func() {
		d := start(nil)
		d.chat = func(_ context.Context, _ api.ChatCall, sink func(target.Token) error) (api.ChatResult, error) {
			Expect(sink(target.Token{Text: "one egg"})).To(Succeed())
			return api.ChatResult{}, outcome.Refuse(outcome.TargetFailed, "crashed").WithRun(outcome.Ran)
		}
		r := httptest.NewRequest("POST", "/v1/chat/completions", strings.NewReader(fmt.Sprintf(hello, true)))
		r.Header.Set("Tarragon-Profile", "desk")
		w := &oneWrite{ResponseRecorder: httptest.NewRecorder()}
		Expect(func() { d.server.Handler().ServeHTTP(w, r) }).To(PanicWith(http.ErrAbortHandler))
		Expect(w.Body.String()).To(ContainSubstring("one egg"))
	})

	// A daemon is replaced while a caller reads a stream. The stop must let the stream
	// complete, make the load balancer stop sending requests, and close kept connections.
	It("interrupts no stream at a stop", func() {
		d := start(nil)
		running, release := held(d)
		resp := d.send("POST", "/v1/chat/completions", fmt.Sprintf(hello, true), "Tarragon-Profile", "desk")
		Eventually(running).Should(Receive())
		d.server.StartDrain()
		ready := d.send("GET", "/readyz", "")
		Expect(ready.StatusCode).To(Equal(503))
		Expect(ready.Close).To(BeTrue(), "no Connection: close")
		Expect(read(ready).Error.Code).To(Equal("draining"))
		stopped := make(chan error, 1)
		go func() { stopped <- d.server.Shutdown(context.Background()) }()
		Eventually(func() error {
			conn, err := net.Dial("tcp", d.addr)
			if err == nil {
				_ = conn.Close()
			}
			return err
		}, "10s").Should(HaveOccurred())
		Expect(stopped).NotTo(Receive())
		close(release)
		text, err := io.ReadAll(resp.Body)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(text)).To(HaveSuffix("data: [DONE]\n\n"))
		Eventually(stopped, "10s").Should(Receive(BeNil()))
	})
})

// BenchmarkToken measures one streamed token from the backend's sink through a loopback
// connection. Run it with -benchmem.
func BenchmarkToken(b *testing.B) {
	fake := &backend{cfg: settings()}
	fake.chat = func(_ context.Context, _ api.ChatCall, sink func(target.Token) error) (api.ChatResult, error) {
		b.ResetTimer()
		defer b.StopTimer()
		for i := range b.N {
			if err := sink(target.Token{Index: i, Text: " breakfast"}); err != nil {
				return api.ChatResult{}, err
			}
		}
		return api.ChatResult{Finish: target.Finish{Reason: "stop"}}, nil
	}
	fake.cfg.Profiles["desk"].Deadline = time.Hour
	s, err := api.New(api.Options{Backend: fake, Logger: zap.NewNop()})
	if err != nil {
		b.Fatal(err)
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	go func() { _ = s.Serve(l) }()
	b.Cleanup(func() { _ = s.Shutdown(context.Background()) })
	conn, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	_, err = io.WriteString(conn, strings.Replace(rawChat(fmt.Sprintf(hello, true)), "Host: x", "Host: x\r\nConnection: close", 1))
	if err != nil {
		b.Fatal(err)
	}
	if n, err := io.Copy(io.Discard, conn); err != nil || n < int64(b.N) {
		b.Fatalf("the stream broke off after %d bytes: %v", n, err)
	}
}
