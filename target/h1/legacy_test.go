package h1_test

import (
	"context"
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

var _ = Describe("An HTTP/1.0 answer", func() {
	receive := func(answer string) (string, error) {
		pool := h1.NewPool(func() {})
		DeferCleanup(pool.Close)
		t, err := rawtarget.Start(func(_ *rawtarget.Request, c net.Conn) {
			rawtarget.Write(c, answer)
			_ = c.Close()
		})
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(t.Close)
		a, err := pool.Do(context.Background(), t.Address, &h1.Request{Method: "POST", URI: "/", Host: "h"}, h1.Options{Deadline: time.Now().Add(limit)})
		if err != nil {
			return "", err
		}
		defer a.Close()
		var b strings.Builder
		buffer := make([]byte, 100)
		for {
			n, err := a.Read(buffer, limit)
			b.Write(buffer[:n])
			if err == io.EOF {
				return b.String(), a.ConfirmEnd()
			}
			if err != nil {
				return b.String(), err
			}
		}
	}

	// Guards against chunks that are forwarded with their sizes, of which a part counts as whole.
	DescribeTable("is broken with a transfer coding", func(answer string) {
		body, err := receive(answer)
		Expect(errorx.IsOfType(err, h1.Broken)).To(BeTrue())
		Expect(body).To(BeEmpty())
	},
		Entry("cut", "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nsome\r\n"),
		Entry("whole", "HTTP/1.0 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\nsome\r\n0\r\n\r\n"),
		Entry("with a length", "HTTP/1.0 200 OK\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\nsome"),
	)

	It("is broken if its head is cut", func() {
		_, err := receive("HTTP/1.0 200 OK\r\nA: b\r\n")
		Expect(errorx.IsOfType(err, h1.Broken)).To(BeTrue())
	})

	DescribeTable("is read without one", func(answer string) {
		body, err := receive(answer)
		Expect(err).NotTo(HaveOccurred())
		Expect(body).To(Equal("some"))
	},
		Entry("to the end of the connection", "HTTP/1.0 200 OK\r\n\r\nsome"),
		Entry("with a length", "HTTP/1.0 200 OK\r\nContent-Length: 4\r\n\r\nsome"),
		Entry("with a long head", "HTTP/1.0 200 OK\r\nA: "+strings.Repeat("b", 10_000)+"\r\n\r\nsome"),
		Entry("with plain line feeds", "HTTP/1.0 200 OK\nA: b\n\nsome"),
	)
})
