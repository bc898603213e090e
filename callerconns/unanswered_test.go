package callerconns_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tarragonhollow.example/tarragonhollow/callerconns"
)

var _ = Describe("A connection that is closed without a response", func() {
	serve := func(text string) (l *callerconns.Listener, caller *net.TCPConn, reports chan callerconns.Unanswered) {
		inner, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		set := metrics.NewSet()
		l = callerconns.New(inner, 10, limit, callerconns.Metrics{Evicted: set.NewCounter("evicted_total"), Stalled: set.NewCounter("stalled_total")})
		reports = make(chan callerconns.Unanswered, 10)
		l.Unanswered = func(u callerconns.Unanswered) { reports <- u }
		handler := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") })
		server := &http.Server{Handler: callerconns.ResetUnlessCompleted(handler), ConnState: l.Track, ConnContext: callerconns.ConnContext}
		go func() { _ = server.Serve(l) }()
		DeferCleanup(server.Close)
		conn, err := net.Dial("tcp", inner.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(func() { _ = conn.Close() })
		_, err = io.WriteString(conn, text)
		Expect(err).NotTo(HaveOccurred())
		return l, conn.(*net.TCPConn), reports
	}

	// Guards against a caller that sees a closed connection where the daemon's log has nothing.
	It("is reported with its cause if a part of a request was read", func() {
		l, caller, reports := serve(wholeRequest[:20])
		Eventually(l.Open).WithTimeout(limit).Should(Equal(1))
		ctx, cancel := context.WithTimeout(context.Background(), limit)
		defer cancel()
		Expect(l.CloseGracefully(ctx, time.Second)).To(Succeed())
		var u callerconns.Unanswered
		Eventually(reports).WithTimeout(limit).Should(Receive(&u))
		Expect(u.Caller.String()).To(Equal(caller.LocalAddr().String()))
		Expect(u.Cause).To(Equal("closed by the shutdown"))
		Consistently(reports).ShouldNot(Receive())
	})

	// Guards against lines about connections on which no request is lost.
	DescribeTable("is not reported", func(text string) {
		l, caller, reports := serve(text)
		if text != "" {
			_, err := caller.Read(make([]byte, 1))
			Expect(err).NotTo(HaveOccurred())
		}
		Expect(caller.Close()).To(Succeed())
		Eventually(l.Open).WithTimeout(limit).Should(BeZero())
		Expect(reports).NotTo(Receive())
	},
		Entry("before a request", ""),
		Entry("after a response", wholeRequest),
		Entry("after a response of net/http's own", "?\r\n\r\n"),
	)
})

const wholeRequest = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"
