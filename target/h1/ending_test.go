package h1_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
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
	var pool *h1.Pool
	BeforeEach(func() {
		pool = h1.NewPool(func() {})
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
