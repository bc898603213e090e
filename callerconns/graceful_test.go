package callerconns_test

import (
	"bufio"
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

var _ = Describe("A graceful shutdown", func() {
	// Guards against closing a connection whose request was read but has not reached the handler:
	// net/http reports it as idle until it has the whole header, and the process may be slow or
	// suspended in between.
	It("serves a request that was being read when it began", func() {
		inner, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		set := metrics.NewSet()
		l := callerconns.New(inner, 10, limit, callerconns.Metrics{Evicted: set.NewCounter("evicted_total"), Stalled: set.NewCounter("stalled_total")})
		server := &http.Server{ConnState: l.Track, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Connection", "close")
			_, _ = io.WriteString(w, "ok")
		})}
		go func() { _ = server.Serve(l) }()
		DeferCleanup(server.Close)
		conn, err := net.Dial("tcp", inner.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(func() { _ = conn.Close() })
		Expect(conn.SetDeadline(time.Now().Add(limit))).To(Succeed())
		_, err = io.WriteString(conn, wholeRequest[:20])
		Expect(err).NotTo(HaveOccurred())
		Eventually(l.Open).WithTimeout(limit).Should(Equal(1))
		ctx, cancel := context.WithTimeout(context.Background(), limit)
		defer cancel()
		closed := make(chan error, 1)
		go func() { closed <- l.CloseGracefully(ctx, limit) }()
		time.Sleep(time.Second) // longer than an idle connection is kept
		_, err = io.WriteString(conn, wholeRequest[20:])
		Expect(err).NotTo(HaveOccurred())
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		Expect(err).NotTo(HaveOccurred(), "the connection was closed")
		Expect(response.StatusCode).To(Equal(200))
		Eventually(closed).WithTimeout(limit).Should(Receive(BeNil()))
	})

	// Guards against a reset of a connection whose request the process has not got round to
	// reading.
	It("does not close a connection with unread bytes of a request", func() {
		inner, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		set := metrics.NewSet()
		l := callerconns.New(inner, 10, limit, callerconns.Metrics{Evicted: set.NewCounter("evicted_total"), Stalled: set.NewCounter("stalled_total")})
		conn, err := net.Dial("tcp", inner.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(func() { _ = conn.Close() })
		_, err = io.WriteString(conn, wholeRequest)
		Expect(err).NotTo(HaveOccurred())
		accepted, err := l.Accept()
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(func() { _ = accepted.Close() })
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		Expect(l.CloseGracefully(ctx, limit)).To(Succeed())
		read := make([]byte, len(wholeRequest))
		_, err = io.ReadFull(accepted, read)
		Expect(err).NotTo(HaveOccurred(), "the connection was closed")
		Expect(string(read)).To(Equal(wholeRequest))
	})
})
