package h1_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/joomcode/errorx"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tarragonhollow.example/tarragonhollow/target/h1"
	"tarragonhollow.example/tarragonhollow/target/killabletarget"
	"tarragonhollow.example/tarragonhollow/target/rawtarget"
)

var _ = Describe("The end of an answer that ends with its connection", func() {
	const unframed = "HTTP/1.1 200 OK\r\n\r\nsome"
	var (
		pool   *h1.Pool
		opened atomic.Int64
	)
	BeforeEach(func() {
		opened.Store(0)
		pool = h1.NewPool(func() { opened.Add(1) })
		DeferCleanup(pool.Close)
	})
	do := func(ctx context.Context, method, address string) *h1.Answer {
		a, err := pool.Do(ctx, address, &h1.Request{Method: method, URI: "/", Host: "h"}, h1.Options{Deadline: time.Now().Add(limit)})
		Expect(err).NotTo(HaveOccurred())
		return a
	}
	readToEnd := func(a *h1.Answer) {
		buffer := make([]byte, 100)
		for {
			if _, err := a.Read(buffer, limit); err != nil {
				Expect(err).To(MatchError(io.EOF))
				return
			}
		}
	}
	// answering starts a target that sends the answer and closes the connection, and calls hook.
	answering := func(answer string, hook func(c net.Conn)) *rawtarget.Target {
		t, err := rawtarget.Start(func(_ *rawtarget.Request, c net.Conn) {
			rawtarget.Write(c, answer)
			hook(c)
			_ = c.Close()
		})
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(t.Close)
		return t
	}

	// The kernel closes the connections of a killed process in an orderly way, and often the
	// listener after them: a look at once finds the target still listening.
	It("is not confirmed when the target's process was killed", func() {
		const (
			kills = 15
			// connections keeps the kernel busy between the answer's connection and the listener.
			connections = 100
		)
		stillListening := 0
		for range kills {
			target, err := killabletarget.Start(unframed)
			Expect(err).NotTo(HaveOccurred())
			for range connections {
				c, err := net.Dial("tcp", target.Address)
				Expect(err).NotTo(HaveOccurred())
				defer func() { _ = c.Close() }()
			}
			a := do(context.Background(), "POST", target.Address)
			_, err = a.Read(make([]byte, 1), limit)
			Expect(err).NotTo(HaveOccurred())
			killed := make(chan struct{})
			go func() {
				target.Kill()
				close(killed)
			}()
			readToEnd(a)
			if pool.Reachable(context.Background(), target.Address, h1.DialTimeout) {
				stillListening++
			}
			Expect(errorx.IsOfType(a.ConfirmEnd(), h1.Broken)).To(BeTrue())
			a.Close()
			Eventually(killed).WithTimeout(limit).Should(BeClosed())
		}
		AddReportEntry("killed targets that still listened at the end of the answer", stillListening)
	})

	It("is confirmed when the target goes on serving", func() {
		t := answering(unframed, func(net.Conn) {})
		a := do(context.Background(), "POST", t.Address)
		defer a.Close()
		readToEnd(a)
		Expect(a.ConfirmEnd()).To(Succeed())
	})

	// A target at its connection limit resets each further connection. It is alive, and its
	// answer must not be cut off.
	It("is confirmed when the target resets new connections", func() {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(listener.Close)
		go func() {
			for first := true; ; first = false {
				c, err := listener.Accept()
				if err != nil {
					return
				}
				if !first {
					rawtarget.Reset(c)
					continue
				}
				_, _ = c.Read(make([]byte, 1000))
				rawtarget.Write(c, unframed)
				_ = c.Close()
			}
		}()
		a := do(context.Background(), "POST", listener.Addr().String())
		defer a.Close()
		readToEnd(a)
		Expect(a.ConfirmEnd()).To(Succeed())
	})

	// The reset may arrive before connect has returned, which then reports it.
	It("counts an address that resets each connection as reachable", func() {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(listener.Close)
		go func() {
			for {
				c, err := listener.Accept()
				if err != nil {
					return
				}
				rawtarget.Reset(c)
			}
		}()
		for range 500 {
			Expect(pool.Reachable(context.Background(), listener.Addr().String(), limit)).To(BeTrue())
		}
	})

	// The context ends when the target is known to have restarted, while its address accepts
	// connections again.
	It("is not confirmed when the context has ended", func() {
		t := answering(unframed, func(net.Conn) {})
		ctx, cancel := context.WithCancelCause(context.Background())
		a := do(ctx, "POST", t.Address)
		defer a.Close()
		readToEnd(a)
		cancel(errors.New("the target has started again"))
		err := a.ConfirmEnd()
		Expect(errorx.IsOfType(err, h1.Broken)).To(BeTrue())
		Expect(err).To(MatchError(ContainSubstring("started again")))
	})

	// startAgain lets another process listen at the address, which answers nothing.
	startAgain := func(address string) {
		var listener net.Listener
		Eventually(func() (err error) {
			listener, err = net.Listen("tcp", address)
			return err
		}).WithTimeout(limit).Should(Succeed())
		DeferCleanup(listener.Close)
		go func() {
			for {
				c, err := listener.Accept()
				if err != nil {
					return
				}
				DeferCleanup(c.Close)
			}
		}()
	}

	// Guards against a truncated answer that ends as complete: the end is read late, and the next
	// process at the address accepts connections by then.
	It("is not confirmed by another process at the address of the killed target", func() {
		target, err := killabletarget.Start(unframed)
		Expect(err).NotTo(HaveOccurred())
		a := do(context.Background(), "POST", target.Address)
		defer a.Close()
		_, err = a.Read(make([]byte, 1), limit)
		Expect(err).NotTo(HaveOccurred())
		Eventually(opened.Load).WithTimeout(limit).Should(Equal(int64(2)))
		target.Kill()
		startAgain(target.Address)
		readToEnd(a)
		Expect(errorx.IsOfType(a.ConfirmEnd(), h1.Broken)).To(BeTrue())
	})

	// Guards against the same where the daemon was suspended before it read the head.
	It("is not confirmed by another process if the head was read after the end", func() {
		target, err := killabletarget.Start(unframed)
		Expect(err).NotTo(HaveOccurred())
		a, err := pool.Do(context.Background(), target.Address, &h1.Request{Method: "POST", URI: "/", Host: "h"},
			h1.Options{Deadline: time.Now().Add(limit), Matches: func(int, http.Header) h1.Match {
				target.Kill()
				startAgain(target.Address)
				time.Sleep(200 * time.Millisecond)
				return h1.Own
			}})
		Expect(err).NotTo(HaveOccurred())
		defer a.Close()
		readToEnd(a)
		Expect(errorx.IsOfType(a.ConfirmEnd(), h1.Broken)).To(BeTrue())
	})

	// Guards against a complete answer that is cut off because its caller reads slowly.
	It("is confirmed late when the target goes on serving", func() {
		t := answering(unframed, func(net.Conn) {})
		a := do(context.Background(), "POST", t.Address)
		defer a.Close()
		time.Sleep(300 * time.Millisecond)
		readToEnd(a)
		Expect(a.ConfirmEnd()).To(Succeed())
	})

	// Guards against a complete answer that is cut off because its target accepts no connection just
	// then: it has fallen silent, and goes on later.
	DescribeTable("is confirmed when the target accepts nothing any more", func(lasts time.Duration) {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(listener.Close)
		go func() {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			_, _ = c.Read(make([]byte, 1000))
			rawtarget.Write(c, unframed)
			time.Sleep(lasts)
			_ = c.Close()
		}()
		a := do(context.Background(), "POST", listener.Addr().String())
		defer a.Close()
		readToEnd(a)
		Expect(a.ConfirmEnd()).To(Succeed())
	},
		Entry("from the answer on, which ends at once", time.Duration(0)),
		Entry("from the answer on", 300*time.Millisecond),
	)

	const long = 1500 * time.Millisecond
	// Guards against a complete answer that is cut off because its target closes or resets
	// connections without a request meanwhile.
	DescribeTable("is confirmed when the target ends other connections", func(lasts, after time.Duration, end func(c net.Conn)) {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(listener.Close)
		go func() {
			for first := true; ; first = false {
				c, err := listener.Accept()
				if err != nil {
					return
				}
				if !first {
					time.AfterFunc(after, func() { end(c) })
					continue
				}
				go func() {
					_, _ = c.Read(make([]byte, 1000))
					rawtarget.Write(c, unframed)
					time.Sleep(lasts)
					rawtarget.Write(c, "more")
					_ = c.Close()
				}()
			}
		}()
		a := do(context.Background(), "POST", listener.Addr().String())
		defer a.Close()
		readToEnd(a)
		Expect(a.ConfirmEnd()).To(Succeed())
	},
		Entry("at once, a short answer", 20*time.Millisecond, time.Duration(0), func(c net.Conn) { _ = c.Close() }),
		Entry("at once", long, time.Duration(0), func(c net.Conn) { _ = c.Close() }),
		Entry("after a timeout", long, 1200*time.Millisecond, func(c net.Conn) { _ = c.Close() }),
		Entry("by a reset", long, time.Duration(0), rawtarget.Reset),
	)

	// A target that leaves may close its listener behind its last answer. What is framed is known
	// to be complete.
	DescribeTable("is not looked for when the end is known otherwise",
		func(method, answer string) {
			listener := make(chan *rawtarget.Target, 1)
			t := answering(answer, func(net.Conn) { (<-listener).Close() })
			listener <- t
			a := do(context.Background(), method, t.Address)
			defer a.Close()
			readToEnd(a)
			Expect(a.ConfirmEnd()).To(Succeed())
		},
		Entry("a length", "POST", rawtarget.Whole(http.StatusOK, "whole")),
		Entry("chunks", "POST", rawtarget.Head(http.StatusOK, "Transfer-Encoding: chunked")+rawtarget.Chunk("whole")+rawtarget.LastChunk),
		Entry("no body, of HEAD", "HEAD", rawtarget.Head(http.StatusOK)),
		Entry("no body, 204", "POST", rawtarget.Head(http.StatusNoContent)),
	)
})
