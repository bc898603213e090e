package h1_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"time"

	"github.com/joomcode/errorx"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tarragonhollow.example/tarragonhollow/target/h1"
	"tarragonhollow.example/tarragonhollow/target/rawtarget"
)

var _ = Describe("An answer cut by its target", func() {
	const (
		withLength = "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 12\r\n\r\nthe whole 12"
		chunked    = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nId: 1\r\n\r\n6\r\nthe wh\r\n6;ext=1\r\nole 12\r\n0\r\n\r\n"
		trailers   = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nId: 1\r\n\r\n6\r\nthe wh\r\n6\r\nole 12\r\n0\r\nA: b\r\nC: d\r\n\r\n"
		continued  = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + withLength
		behind     = "HTTP/1.1 200 OK\r\nId: 0\r\nContent-Length: 5\r\n\r\nstray" + chunked
	)
	var pool *h1.Pool
	BeforeEach(func() {
		pool = h1.NewPool(func() {})
		DeferCleanup(pool.Close)
	})
	// receive sends a request to a target that answers with the given bytes and ends the
	// connection.
	receive := func(method, answer string, reset bool) (string, error) {
		t, err := rawtarget.Start(func(_ *rawtarget.Request, c net.Conn) {
			rawtarget.Write(c, answer)
			if reset {
				rawtarget.Reset(c)
				return
			}
			_ = c.Close()
		})
		Expect(err).NotTo(HaveOccurred())
		defer t.Close()
		a, err := pool.Do(context.Background(), t.Address, &h1.Request{Method: method, URI: "/", Host: "h"}, h1.Options{
			Deadline: time.Now().Add(limit),
			Matches:  matchID("1"),
		})
		if err != nil {
			return "", err
		}
		defer a.Close()
		var b strings.Builder
		buffer := make([]byte, 5)
		for {
			n, err := a.Read(buffer, limit)
			b.Write(buffer[:n])
			if errors.Is(err, io.EOF) {
				return b.String(), nil
			}
			if err != nil {
				return b.String(), err
			}
		}
	}

	// Guards against an end of the connection, at whatever byte, that is taken for the end
	// of the answer.
	DescribeTable("is never complete before its last byte",
		func(answer string) {
			for _, reset := range []bool{false, true} {
				for cut := range len(answer) {
					_, err := receive("POST", answer[:cut], reset)
					Expect(errorx.IsOfType(err, h1.Broken)).To(BeTrue(), "cut at %d (reset %v): %v", cut, reset, err)
				}
			}
			Expect(receive("POST", answer, false)).To(Equal("the whole 12"))
		},
		Entry("with a length", withLength),
		Entry("in chunks", chunked),
		Entry("in chunks with trailers", trailers),
		Entry("behind informational answers", continued),
		Entry("behind an answer to another request", behind),
	)

	// Guards against bytes that are read as another body than the target's.
	DescribeTable("is not accepted with ambiguous framing",
		func(answer string) {
			body, err := receive("POST", answer, false)
			Expect(errorx.IsOfType(err, h1.Broken)).To(BeTrue(), "%q, %v", body, err)
		},
		Entry("two lengths", "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 3\r\nContent-Length: 5\r\n\r\nabcde"),
		Entry("a list of lengths", "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 3, 5\r\n\r\nabcde"),
		Entry("a signed length", "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: +3\r\n\r\nabc"),
		Entry("an empty length", "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length:\r\n\r\nabc"),
		Entry("another transfer encoding", "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: gzip\r\n\r\nabc"),
		Entry("two transfer encodings", "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"),
		Entry("a chunk size that is no number", "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\nx\r\nabc\r\n0\r\n\r\n"),
		Entry("an empty chunk size", "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n\r\nabc\r\n0\r\n\r\n"),
		Entry("a negative chunk size", "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n-3\r\nabc\r\n0\r\n\r\n"),
		Entry("a chunk size of 17 digits", "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n00000000000000003\r\nabc\r\n0\r\n\r\n"),
		Entry("a chunk that is longer than its size", "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabcd\r\n0\r\n\r\n"),
		Entry("a chunk that is shorter than its size", "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nabc\r\n0\r\n\r\n"),
		Entry("a status below 100 whose body is an answer", "HTTP/1.1 099 Odd\r\nContent-Length: 41\r\n\r\nHTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 0\r\n\r\n"),
		Entry("a change of protocol that was not asked for", "HTTP/1.1 101 Switching Protocols\r\nId: 1\r\nUpgrade: x\r\n\r\nabc"),
	)

	It("is complete with its head if it has no body", func() {
		for _, status := range []int{204, 304} {
			Expect(receive("GET", fmt.Sprintf("HTTP/1.1 %d X\r\nId: 1\r\nContent-Length: 5\r\n\r\n", status), false)).To(BeEmpty())
		}
		Expect(receive("HEAD", "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 5\r\n\r\n", false)).To(BeEmpty())
	})

	It("has the chunks' body where it has a length too", func() {
		Expect(receive("POST", "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n6\r\nabcdef\r\n0\r\n\r\n", false)).To(Equal("abcdef"))
	})
})
