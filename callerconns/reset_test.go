package callerconns_test

import (
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tarragonhollow.example/tarragonhollow/callerconns"
)

// limit bounds each wait of a caller.
const limit = 10 * time.Second

var _ = Describe("A response that is not completed", func() {
	var server *http.Server
	// serve serves the handler and returns a caller's connection with its request sent.
	serve := func(protocol string, writeTimeout time.Duration, handler http.HandlerFunc) *net.TCPConn {
		inner, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		set := metrics.NewSet()
		l := callerconns.New(inner, 10, writeTimeout, callerconns.Metrics{
			Evicted: set.NewCounter("evicted_total"), Stalled: set.NewCounter("stalled_total"),
		})
		server = &http.Server{Handler: callerconns.ResetUnlessCompleted(handler), ConnState: l.Track, ConnContext: callerconns.ConnContext}
		go func() { _ = server.Serve(l) }()
		DeferCleanup(server.Close)
		conn, err := net.Dial("tcp", inner.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(func() { _ = conn.Close() })
		Expect(conn.SetDeadline(time.Now().Add(limit))).To(Succeed())
		_, err = io.WriteString(conn, "GET / "+protocol+"\r\nHost: h\r\n\r\n")
		Expect(err).NotTo(HaveOccurred())
		return conn.(*net.TCPConn)
	}

	// Guards against a caller that takes the end of the connection for the end of its response:
	// HTTP/1.0 has no chunks, and a target may send neither chunks nor a length.
	DescribeTable("is cut visibly, and only then",
		func(protocol string, length, unframed, abort bool, ending string, isError bool) {
			conn := serve(protocol, limit, func(w http.ResponseWriter, _ *http.Request) {
				if length {
					w.Header().Set("Content-Length", "8")
				}
				w.Header().Set("Connection", "close")
				if unframed {
					w.Header().Set("Transfer-Encoding", "identity")
				}
				w.WriteHeader(http.StatusOK)
				_, _ = io.WriteString(w, "part")
				w.(http.Flusher).Flush()
				if abort {
					panic(http.ErrAbortHandler)
				}
				_, _ = io.WriteString(w, "rest")
			})
			received, err := io.ReadAll(conn)
			_, body, _ := strings.Cut(string(received), "\r\n\r\n")
			Expect(body).To(Equal(ending))
			Expect(err != nil).To(Equal(isError), "%v", err)
		},
		Entry("in chunks", "HTTP/1.1", false, false, true, "4\r\npart\r\n", false),
		Entry("with a length", "HTTP/1.1", true, false, true, "part", false),
		Entry("without framing", "HTTP/1.1", false, true, true, "part", true),
		Entry("HTTP/1.0", "HTTP/1.0", false, false, true, "part", true),
		Entry("HTTP/1.0 with a length", "HTTP/1.0", true, false, true, "part", true),
		Entry("in chunks, completed", "HTTP/1.1", false, false, false, "4\r\npart\r\n4\r\nrest\r\n0\r\n\r\n", false),
		Entry("without framing, completed", "HTTP/1.1", false, true, false, "partrest", false),
		Entry("HTTP/1.0, completed", "HTTP/1.0", false, false, false, "partrest", false),
	)

	// Guards against a completed response that looks cut: the kernel resets a connection that is
	// closed with unread bytes, here those of a request that the caller sends without waiting for
	// the end of the connection.
	DescribeTable("is not reset once completed, though the caller has sent another request",
		func(protocol string) {
			begun, sent := make(chan struct{}), make(chan struct{})
			conn := serve(protocol, limit, func(w http.ResponseWriter, _ *http.Request) {
				if protocol == "HTTP/1.1" {
					w.Header().Set("Transfer-Encoding", "identity")
				}
				_, _ = io.WriteString(w, "part")
				w.(http.Flusher).Flush()
				close(begun)
				<-sent
				_, _ = io.WriteString(w, "rest")
			})
			Eventually(begun).WithTimeout(limit).Should(BeClosed())
			_, err := io.WriteString(conn, "POST / "+protocol+"\r\nHost: h\r\nContent-Length: 100000\r\n\r\n"+strings.Repeat("x", 100000))
			Expect(err).NotTo(HaveOccurred())
			close(sent)
			received, err := io.ReadAll(conn)
			Expect(err).NotTo(HaveOccurred())
			Expect(string(received)).To(HaveSuffix("\r\n\r\npartrest"))
		},
		Entry("HTTP/1.1 without framing", "HTTP/1.1"),
		Entry("HTTP/1.0", "HTTP/1.0"),
	)

	// Guards against the same when a stopping daemon ends with the response under way.
	DescribeTable("is cut visibly when the server closes its connection",
		func(protocol, ending string, isError bool) {
			begun, end := make(chan struct{}), make(chan struct{})
			defer close(end)
			conn := serve(protocol, limit, func(w http.ResponseWriter, _ *http.Request) {
				_, _ = io.WriteString(w, "part")
				w.(http.Flusher).Flush()
				close(begun)
				<-end
			})
			Eventually(begun).WithTimeout(limit).Should(BeClosed())
			Expect(server.Close()).To(Succeed())
			received, err := io.ReadAll(conn)
			Expect(string(received)).To(HaveSuffix(ending))
			Expect(err != nil).To(Equal(isError), "%v", err)
		},
		Entry("HTTP/1.1", "HTTP/1.1", "4\r\npart\r\n", false),
		Entry("HTTP/1.0", "HTTP/1.0", "part", true),
	)

	// Guards against the same when the last bytes can't be written, which the handler does not
	// see: net/http reports no errors of its flushes.
	It("is cut visibly when the caller has stopped reading", func() {
		returned := make(chan struct{})
		conn := serve("HTTP/1.0", 100*time.Millisecond, func(w http.ResponseWriter, r *http.Request) {
			defer close(returned)
			for r.Context().Err() == nil {
				_, _ = w.Write(make([]byte, 1<<10))
				w.(http.Flusher).Flush()
			}
		})
		Eventually(returned).WithTimeout(limit).Should(BeClosed())
		_, err := io.Copy(io.Discard, conn)
		Expect(err).To(HaveOccurred())
	})
})
