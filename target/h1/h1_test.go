package h1_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/joomcode/errorx"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tarragonhollow.example/tarragonhollow/target/h1"
	"tarragonhollow.example/tarragonhollow/target/rawtarget"
)

func TestH1(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "h1")
}

// limit is the maximum wait for an expected event.
const limit = 5 * time.Second

// matchID attributes answers by the header Id; errors may lack it.
func matchID(id string) func(int, http.Header) h1.Match {
	return func(status int, header http.Header) h1.Match {
		switch got := header.Get("Id"); {
		case got == id:
			return h1.Own
		case got == "" && status >= 300:
			return h1.Unnamed
		default:
			return h1.Other
		}
	}
}

var _ = Describe("An exchange", func() {
	var (
		pool   *h1.Pool
		opened atomic.Int64
	)

	BeforeEach(func() {
		opened.Store(0)
		pool = h1.NewPool(func() { opened.Add(1) })
		DeferCleanup(pool.Close)
	})

	start := func(script func(r *rawtarget.Request, c net.Conn)) *rawtarget.Target {
		t, err := rawtarget.Start(script)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(t.Close)
		return t
	}
	options := func(id string) h1.Options {
		return h1.Options{
			MaxIdle: time.Minute, Deadline: time.Now().Add(limit),
			Matches: matchID(id),
		}
	}
	request := func(id string) *h1.Request {
		return &h1.Request{Method: "POST", URI: "/a/b?c=%20d", Host: "h.example", Header: http.Header{"Id": {id}}, Body: []byte("body")}
	}
	read := func(a *h1.Answer) (string, error) {
		var b strings.Builder
		buffer := make([]byte, 7)
		for {
			n, err := a.Read(buffer, limit)
			b.Write(buffer[:n])
			if err == io.EOF {
				return b.String(), nil
			}
			if err != nil {
				return b.String(), err
			}
		}
	}
	exchange := func(t *rawtarget.Target, id string) (string, error) {
		a, err := pool.Do(context.Background(), t.Address, request(id), options(id))
		if err != nil {
			return "", err
		}
		defer a.Close()
		return read(a)
	}
	echo := func(r *rawtarget.Request, c net.Conn) {
		rawtarget.Write(c, rawtarget.Whole(200, "for "+r.Header.Get("Id"), "Id: "+r.Header.Get("Id")))
	}

	It("sends the request byte for byte and keeps the connection", func() {
		t := start(echo)
		Expect(exchange(t, "1")).To(Equal("for 1"))
		Expect(exchange(t, "2")).To(Equal("for 2"))
		got := t.Requests()
		Expect(got[0].URI).To(Equal("/a/b?c=%20d"))
		Expect(got[0].Host).To(Equal("h.example"))
		Expect(string(got[0].Body)).To(Equal("body"))
		Expect(opened.Load()).To(BeEquivalentTo(1))
	})

	// Guards against file descriptors that are held for targets that are not used again.
	It("closes idle connections that are too old to be reused, and no others", func() {
		exchange := func(headers ...string) {
			t := start(func(_ *rawtarget.Request, c net.Conn) {
				rawtarget.Write(c, rawtarget.Whole(200, "x", append(headers, "Id: r")...))
			})
			answer, err := pool.Do(context.Background(), t.Address, request("r"), options("r"))
			Expect(err).NotTo(HaveOccurred())
			_, err = read(answer)
			Expect(err).NotTo(HaveOccurred())
			answer.Close()
		}
		exchange("Keep-Alive: timeout=3600")
		exchange("Keep-Alive: timeout=1")
		Expect(pool.Idle()).To(Equal(2))
		Eventually(func() int {
			pool.CloseExpired()
			return pool.Idle()
		}).WithTimeout(limit).Should(Equal(1))
	})

	// Guards against a caller getting another caller's answer: a target sends a second
	// answer to a request that it has already answered. If the connection were kept, the
	// second answer would be read as the answer to the next request.
	It("does not keep a connection on which more bytes follow the answer", func() {
		t := start(func(r *rawtarget.Request, c net.Conn) {
			id := r.Header.Get("Id")
			// In one write, so that the second answer directly follows the first.
			rawtarget.Write(c, rawtarget.Whole(200, "for "+id, "Id: "+id)+rawtarget.Whole(200, "stray", "Id: "+id))
		})
		Expect(exchange(t, "1")).To(Equal("for 1"))
		Expect(exchange(t, "2")).To(Equal("for 2"))
		Expect(t.Requests()[1].Conn).NotTo(Equal(t.Requests()[0].Conn))
	})

	// The second answer arrives late, when the next request has already been sent on that
	// connection. Only the id in its header shows that it belongs to another request.
	It("skips the late answer to another request", func() {
		t := start(func(r *rawtarget.Request, c net.Conn) {
			if r.Index == 1 {
				rawtarget.Write(c, rawtarget.Whole(200, "stray", "Id: 1"))
			}
			echo(r, c)
		})
		Expect(exchange(t, "1")).To(Equal("for 1"))
		Expect(exchange(t, "2")).To(Equal("for 2"))
		Expect(opened.Load()).To(BeEquivalentTo(1))
	})

	// An error without an ID arrives on a kept connection, where it may be left over from an
	// earlier request: it would end a request that its target still runs.
	DescribeTable("takes an error that names no request for the request's own only on a new connection",
		func(first string) {
			t := start(func(r *rawtarget.Request, c net.Conn) {
				if r.Index == 1 {
					rawtarget.Write(c, first+rawtarget.Whole(500, "whose"))
					return
				}
				echo(r, c)
			})
			Expect(exchange(t, "1")).To(Equal("for 1"))
			_, err := exchange(t, "2")
			Expect(errorx.IsOfType(err, h1.Unattributed)).To(BeTrue(), "%v", err)
			Expect(exchange(t, "3")).To(Equal("for 3"))
			Expect(opened.Load()).To(BeEquivalentTo(2))
		},
		Entry("by itself", ""),
		Entry("behind an answer to another request", rawtarget.Whole(200, "stray", "Id: 1")),
	)

	It("takes an error that names no request for the request's own on a new connection", func() {
		t := start(func(_ *rawtarget.Request, c net.Conn) { rawtarget.Write(c, rawtarget.Whole(400, "no id")) })
		Expect(exchange(t, "1")).To(Equal("no id"))
	})

	// The target closes an idle connection while a request is being sent on it. A client
	// that resends the request on its own may run it twice.
	It("never sends a request twice by itself", func() {
		t := start(func(r *rawtarget.Request, c net.Conn) {
			if r.Index == 1 {
				rawtarget.Reset(c)
				return
			}
			echo(r, c)
		})
		Expect(exchange(t, "1")).To(Equal("for 1"))
		_, err := exchange(t, "2")
		Expect(errorx.IsOfType(err, h1.Broken)).To(BeTrue(), "%v", err)
		Expect(t.Requests()).To(HaveLen(2))
	})

	It("does not reuse a connection that the target has closed or that was idle too long", func() {
		t := start(func(r *rawtarget.Request, c net.Conn) {
			echo(r, c)
			if r.Header.Get("Id") == "1" {
				_ = c.Close()
			}
		})
		Expect(exchange(t, "1")).To(Equal("for 1"))
		Eventually(t.Open).WithTimeout(limit).Should(BeZero())
		Expect(exchange(t, "2")).To(Equal("for 2"))
		o := options("3")
		o.MaxIdle = 0
		a, err := pool.Do(context.Background(), t.Address, request("3"), o)
		Expect(err).NotTo(HaveOccurred())
		a.Close()
		Expect(opened.Load()).To(BeEquivalentTo(3))
	})

	DescribeTable("does not treat a truncated answer as complete",
		func(answer string, reset bool) {
			t := start(func(_ *rawtarget.Request, c net.Conn) {
				rawtarget.Write(c, answer)
				if reset {
					rawtarget.Reset(c)
					return
				}
				_ = c.Close()
			})
			_, err := exchange(t, "1")
			Expect(errorx.IsOfType(err, h1.Broken)).To(BeTrue(), "%v", err)
		},
		Entry("shorter than its length", rawtarget.Head(200, "Id: 1", "Content-Length: 10")+"short", false),
		Entry("without its last chunk", rawtarget.Head(200, "Id: 1", "Transfer-Encoding: chunked")+rawtarget.Chunk("part"), false),
		Entry("within its head", "HTTP/1.1 200 OK\r\nId: 1\r\n", false),
		Entry("not HTTP at all", "\x00\x01garbage\r\n\r\n", false),
		Entry("nothing", "", false),
		Entry("without a length, and reset", rawtarget.Head(200, "Id: 1")+"part", true),
	)

	It("reads an answer without a length to the end of its connection, which it does not keep", func() {
		t := start(func(_ *rawtarget.Request, c net.Conn) {
			rawtarget.Write(c, rawtarget.Head(200, "Id: 1")+"all of it")
			_ = c.Close()
		})
		Expect(exchange(t, "1")).To(Equal("all of it"))
		Expect(exchange(t, "1")).To(Equal("all of it"))
		Expect(opened.Load()).To(BeEquivalentTo(2))
	})

	// A target answers before it has read a long body and then continues to read it. If
	// the connection were kept, the target would read the next request as the rest of
	// that body.
	It("does not keep a connection whose request was not sent completely", func() {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(listener.Close)
		closed := make(chan struct{})
		go func() {
			defer GinkgoRecover()
			c, err := listener.Accept()
			if err != nil {
				return
			}
			rawtarget.Write(c, rawtarget.Whole(413, "too long", "Id: 1"))
			buffer := make([]byte, 1)
			for {
				time.Sleep(10 * time.Millisecond)
				if _, err := c.Read(buffer); err != nil {
					break
				}
			}
			close(closed)
		}()
		long := request("1")
		long.Body = make([]byte, 64<<20)
		a, err := pool.Do(context.Background(), listener.Addr().String(), long, options("1"))
		Expect(err).NotTo(HaveOccurred())
		Expect(read(a)).To(Equal("too long"))
		a.Close()
		again, err := pool.Do(context.Background(), listener.Addr().String(), request("2"), h1.Options{
			MaxIdle: time.Minute, Deadline: time.Now().Add(limit), MaxWait: 100 * time.Millisecond})
		if err == nil {
			again.Close()
		}
		Expect(opened.Load()).To(BeEquivalentTo(2))
	})

	// Guards against two requests in one: an item of a job contains any text, and the second
	// answer would be read as the one to the next request on the connection.
	DescribeTable("does not send a request that its target would read as another one",
		func(change func(r *h1.Request)) {
			t := start(echo)
			r := request("1")
			change(r)
			_, err := pool.Do(context.Background(), t.Address, r, options("1"))
			Expect(errorx.IsOfType(err, h1.NotSent)).To(BeTrue(), "%v", err)
			Expect(t.Requests()).To(BeEmpty())
		},
		Entry("in its method", func(r *h1.Request) { r.Method = "GET / HTTP/1.1\r\nHost: h\r\n\r\nPOST" }),
		Entry("in its target", func(r *h1.Request) { r.URI = "/a HTTP/1.1\r\nHost: h\r\nId: 1\r\n\r\nPOST /b" }),
		Entry("without a target", func(r *h1.Request) { r.URI = "" }),
		Entry("in its host", func(r *h1.Request) { r.Host = "h\r\n\r\nGET / HTTP/1.1\r\nHost: h" }),
		Entry("in the value of a header", func(r *h1.Request) { r.Header.Set("A", "b\r\n\r\nGET / HTTP/1.1\r\nHost: h") }),
		Entry("in the name of a header", func(r *h1.Request) { r.Header["A: b\r\nContent-Length"] = []string{"0"} }),
		Entry("with a second host", func(r *h1.Request) { r.Header.Set("Host", "other.example") }),
		Entry("with a second host, in lower case", func(r *h1.Request) { r.Header["host"] = []string{"other.example"} }),
		Entry("with a second length", func(r *h1.Request) { r.Header.Set("Content-Length", "0") }),
		Entry("with a length and chunks", func(r *h1.Request) { r.Header["transfer-encoding"] = []string{"chunked"} }),
	)

	It("distinguishes an unreachable target from one that does not answer", func() {
		closed := start(echo)
		closed.Close()
		_, err := exchange(closed, "1")
		Expect(errorx.IsOfType(err, h1.NotSent)).To(BeTrue(), "%v", err)

		silent := start(func(*rawtarget.Request, net.Conn) {})
		o := options("1")
		o.MaxWait = 50 * time.Millisecond
		_, err = pool.Do(context.Background(), silent.Address, request("1"), o)
		Expect(errorx.IsOfType(err, h1.Silent)).To(BeTrue(), "%v", err)
		Eventually(silent.Open).WithTimeout(limit).Should(BeZero())
	})

	// Guards against a request that goes on for a caller that has left: each read sets a new
	// deadline and undid the one by which the end of the context interrupts reads.
	It("ends with its context, also between two reads", func() {
		t := start(func(_ *rawtarget.Request, c net.Conn) {
			rawtarget.Write(c, rawtarget.Head(200, "Id: 1", "Content-Length: 4"))
		})
		ctx, cancel := context.WithCancel(context.Background())
		a, err := pool.Do(ctx, t.Address, request("1"), options("1"))
		Expect(err).NotTo(HaveOccurred())
		defer a.Close()
		cancel()
		done := make(chan error, 1)
		go func() {
			time.Sleep(20 * time.Millisecond) // the context's end has set its deadline by now
			_, err := a.Read(make([]byte, 4), time.Hour)
			done <- err
		}()
		var ended error
		Eventually(done).WithTimeout(limit / 2).Should(Receive(&ended))
		Expect(errorx.IsOfType(ended, h1.Silent)).To(BeTrue(), "%v", ended)
	})

	It("closes the connection when its context ends, so that the target stops", func() {
		silent := start(func(*rawtarget.Request, net.Conn) {})
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan error, 1)
		go func() {
			_, err := pool.Do(ctx, silent.Address, request("1"), options("1"))
			done <- err
		}()
		Eventually(silent.Requests).WithTimeout(limit).Should(HaveLen(1))
		cancel()
		Eventually(done).WithTimeout(limit).Should(Receive(HaveOccurred()))
		Eventually(silent.Open).WithTimeout(limit).Should(BeZero())
	})

	// A caller that waits for another target must be able to keep the exchange until it has one,
	// and the record must name the silence as its end.
	It("leaves the wait for the head to the caller that asks for it", func() {
		t := start(func(_ *rawtarget.Request, _ net.Conn) {})
		ctx, cancel := context.WithCancelCause(context.Background())
		var record h1.Record
		ended := 0
		o := options("r")
		o.Record, o.MaxWait = &record, 10*time.Millisecond
		o.HeadWait = func() func() {
			time.AfterFunc(20*o.MaxWait, func() { cancel(h1.Silent.New("left")) })
			return func() { ended++ }
		}
		_, err := pool.Do(ctx, t.Address, request("r"), o)
		Expect(errorx.IsOfType(err, h1.Silent)).To(BeTrue(), "%v", err)
		Expect(ctx.Err()).To(HaveOccurred(), "MaxWait ended the wait")
		Expect(record.End).To(Equal(h1.EndTimeout))
		Expect(ended).To(Equal(1))
	})
})
