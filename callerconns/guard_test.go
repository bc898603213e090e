package callerconns_test

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tarragonhollow.example/tarragonhollow/callerconns"
)

var _ = Describe("ResetUnlessCompleted", func() {
	var server *http.Server
	var address string
	var mu sync.Mutex
	var last net.Conn
	accepted := func() net.Conn { mu.Lock(); defer mu.Unlock(); return last }
	readBuffer := 0
	BeforeEach(func() { readBuffer = 0 })
	serve := func(handler http.HandlerFunc) {
		inner, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		set := metrics.NewSet()
		l := callerconns.New(recorder{inner, func(c net.Conn) { mu.Lock(); defer mu.Unlock(); last = c }}, 10, limit, callerconns.Metrics{
			Evicted: set.NewCounter("evicted_total"), Stalled: set.NewCounter("stalled_total"),
		})
		server = &http.Server{Handler: callerconns.ResetUnlessCompleted(handler), ConnState: l.Track, ConnContext: callerconns.ConnContext}
		go func() { _ = server.Serve(l) }()
		DeferCleanup(server.Close)
		address = inner.Addr().String()
	}
	dial := func(text string) *net.TCPConn {
		conn, err := net.Dial("tcp", address)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(func() { _ = conn.Close() })
		Expect(conn.SetDeadline(time.Now().Add(limit))).To(Succeed())
		tcp := conn.(*net.TCPConn)
		if readBuffer > 0 {
			Expect(tcp.SetReadBuffer(readBuffer)).To(Succeed())
		}
		_, err = io.WriteString(conn, text)
		Expect(err).NotTo(HaveOccurred())
		return tcp
	}

	// The handler has returned and net/http still writes the last bytes to a slow caller when the
	// daemon ends. The end of the connection must not end the response as complete.
	DescribeTable("resets a connection that the server closes during the last write", func(text string) {
		returned := make(chan struct{})
		serve(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Transfer-Encoding", "identity")
			w.WriteHeader(200)
			w.(http.Flusher).Flush()
			// Fills the socket beside net/http, so that its last write blocks.
			raw := accepted()
			for range 4 {
				Expect(raw.SetWriteDeadline(time.Now().Add(300 * time.Millisecond))).To(Succeed())
				for {
					if _, err := raw.Write(make([]byte, 1<<10)); err != nil {
						break
					}
				}
			}
			_, _ = w.Write(bytes.Repeat([]byte("y"), 3000))
			_, _ = io.WriteString(w, "the end")
			close(returned)
		})
		conn := dial(text)
		Eventually(returned).WithTimeout(limit).Should(BeClosed())
		time.Sleep(300 * time.Millisecond)
		Expect(server.Close()).To(Succeed())
		received, err := io.ReadAll(conn)
		GinkgoWriter.Println("received", len(received), "bytes, whole:", bytes.HasSuffix(received, []byte("the end")), err)
		Expect(err != nil || bytes.HasSuffix(received, []byte("the end"))).To(BeTrue(), "cut, and ended as complete")
	},
		Entry("HTTP/1.1", "GET / HTTP/1.1\r\nHost: h\r\n\r\n"),
		Entry("HTTP/1.0", "GET / HTTP/1.0\r\nHost: h\r\n\r\n"),
	)

	// The handler writes without WriteHeader, as net/http allows.
	It("resets an unframed response whose head was sent by the first write", func() {
		serve(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Transfer-Encoding", "identity")
			_, _ = io.WriteString(w, "part")
			w.(http.Flusher).Flush()
			panic(http.ErrAbortHandler)
		})
		_, err := io.ReadAll(dial("GET / HTTP/1.1\r\nHost: h\r\n\r\n"))
		Expect(err).To(HaveOccurred())
	})

	It("keeps a connection after normal responses, HEAD, 1xx and an HTTP/1.0 keep-alive", func() {
		serve(func(w http.ResponseWriter, r *http.Request) {
			rc := http.NewResponseController(w)
			Expect(rc.SetWriteDeadline(time.Now().Add(time.Minute))).To(Succeed())
			Expect(rc.SetReadDeadline(time.Now().Add(time.Minute))).To(Succeed())
			w.Header().Set("Content-Length", "2")
			if r.ProtoAtLeast(1, 1) && r.Method == "GET" {
				w.WriteHeader(http.StatusEarlyHints)
			}
			w.WriteHeader(200)
			_, _ = io.WriteString(w, "ok")
			Expect(rc.Flush()).To(Succeed())
		})
		for _, text := range []string{
			"GET / HTTP/1.1\r\nHost: h\r\n\r\n", "HEAD / HTTP/1.1\r\nHost: h\r\n\r\n",
			"GET / HTTP/1.0\r\nHost: h\r\nConnection: keep-alive\r\n\r\n",
		} {
			conn := dial("")
			reader := bufio.NewReader(conn)
			for range 3 {
				_, err := io.WriteString(conn, text)
				Expect(err).NotTo(HaveOccurred())
				request, err := http.ReadRequest(bufio.NewReader(strings.NewReader(text)))
				Expect(err).NotTo(HaveOccurred())
				response, err := http.ReadResponse(reader, request)
				Expect(err).NotTo(HaveOccurred())
				for response.StatusCode == 103 {
					response, err = http.ReadResponse(reader, request)
					Expect(err).NotTo(HaveOccurred())
				}
				body, err := io.ReadAll(response.Body)
				Expect(err).NotTo(HaveOccurred())
				if request.Method == "GET" {
					Expect(string(body)).To(Equal("ok"))
				}
			}
		}
	})

	It("allows a hijack", func() {
		serve(func(w http.ResponseWriter, _ *http.Request) {
			c, _, err := http.NewResponseController(w).Hijack()
			Expect(err).NotTo(HaveOccurred())
			_, _ = io.WriteString(c, "x")
			_ = c.Close()
		})
		received, err := io.ReadAll(dial("GET / HTTP/1.1\r\nHost: h\r\n\r\n"))
		Expect(err).NotTo(HaveOccurred())
		Expect(string(received)).To(Equal("x"))
	})

	// A complete response of 1 MB to a slow caller, without framing.
	DescribeTable("never resets a complete response", func(text string) {
		serve(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Transfer-Encoding", "identity")
			w.WriteHeader(200)
			for range 1024 {
				_, _ = w.Write(make([]byte, 1<<10))
			}
		})
		conn := dial(text)
		total := 0
		buffer := make([]byte, 32<<10)
		for {
			n, err := conn.Read(buffer)
			total += n
			if err == io.EOF {
				break
			}
			Expect(err).NotTo(HaveOccurred())
			time.Sleep(time.Millisecond)
		}
		Expect(total).To(BeNumerically(">", 1<<20))
	},
		Entry("HTTP/1.1", "GET / HTTP/1.1\r\nHost: h\r\n\r\n"),
		Entry("HTTP/1.0", "GET / HTTP/1.0\r\nHost: h\r\n\r\n"),
	)
})

// recorder reports the connections that it accepts.
type recorder struct {
	net.Listener
	note func(net.Conn)
}

func (r recorder) Accept() (net.Conn, error) {
	c, err := r.Listener.Accept()
	if err == nil {
		r.note(c)
	}
	return c, err
}
