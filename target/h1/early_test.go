package h1_test

import (
	"context"
	"io"
	"net"
	"time"

	"github.com/joomcode/errorx"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tarragonhollow.example/tarragonhollow/target/h1"
	"tarragonhollow.example/tarragonhollow/target/rawtarget"
)

const (
	// earlyBodyBytes is more than the buffers of a connection hold.
	earlyBodyBytes = 3 << 20
	// earlyExchanges is how often each case is tried: which call sees a reset is a matter of timing.
	earlyExchanges = 30
)

var _ = Describe("An answer before the request was read", func() {
	// exchange sends long requests to a target that answers after their heads, and returns the
	// bodies that came whole.
	exchange := func(answer string, end func(c *net.TCPConn)) (whole []string, ends []h1.End) {
		pool := h1.NewPool(func() {})
		DeferCleanup(pool.Close)
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(listener.Close)
		go func() {
			for {
				c, err := listener.Accept()
				if err != nil {
					return
				}
				go func() {
					defer c.Close()
					if _, err := io.ReadFull(c, make([]byte, 20)); err != nil {
						return // a connection without a request
					}
					rawtarget.Write(c, answer)
					end(c.(*net.TCPConn))
				}()
			}
		}()
		for range earlyExchanges {
			record := h1.Record{}
			a, err := pool.Do(context.Background(), listener.Addr().String(), &h1.Request{Method: "POST", URI: "/", Host: "h", Body: make([]byte, earlyBodyBytes)},
				h1.Options{Deadline: time.Now().Add(limit), Record: &record})
			if err == nil {
				var body []byte
				if body, err = io.ReadAll(answerReader{a}); err == nil {
					err = a.ConfirmEnd()
				}
				if err == nil {
					whole = append(whole, string(body))
				}
				a.Close()
			}
			if err != nil {
				Expect(errorx.IsOfType(err, h1.Broken)).To(BeTrue(), "%v", err)
			}
			ends = append(ends, record.End)
		}
		return whole, ends
	}

	// Guards against a part of an answer that appears complete since the write of the request took
	// the error of the reset.
	It("is broken if it has no length and its connection is reset", func() {
		whole, ends := exchange("HTTP/1.1 200 OK\r\n\r\nsome", func(c *net.TCPConn) { rawtarget.Reset(c) })
		Expect(whole).To(BeEmpty())
		Expect(ends).To(HaveEach(Equal(h1.EndReset)))
	})

	It("is broken if the connection is reset while the body comes", func() {
		whole, _ := exchange("HTTP/1.1 200 OK\r\n\r\nsome", func(c *net.TCPConn) {
			time.Sleep(10 * time.Millisecond)
			rawtarget.Reset(c)
		})
		Expect(whole).To(BeEmpty())
	})

	// Guards against sound answers that are refused for the rest of a request that nobody reads.
	It("is whole if it has no length and its target ends it in order", func() {
		whole, _ := exchange("HTTP/1.1 200 OK\r\n\r\nsome", func(c *net.TCPConn) {
			_ = c.CloseWrite()
			_, _ = io.Copy(io.Discard, c)
		})
		Expect(whole).To(And(HaveLen(earlyExchanges), HaveEach("some")))
	})

	It("is whole if its target ends it in order and then resets the rest of the request", func() {
		whole, _ := exchange("HTTP/1.1 200 OK\r\n\r\nsome", func(c *net.TCPConn) {
			_ = c.CloseWrite()
			time.Sleep(10 * time.Millisecond)
			rawtarget.Reset(c)
		})
		Expect(whole).To(And(HaveLen(earlyExchanges), HaveEach("some")))
	})

	It("is whole at its length, also if its connection is reset behind it", func() {
		whole, _ := exchange("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nsome", func(c *net.TCPConn) {
			time.Sleep(10 * time.Millisecond)
			rawtarget.Reset(c)
		})
		Expect(whole).To(And(HaveLen(earlyExchanges), HaveEach("some")))
	})
})
