package callerconns_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tarragonhollow.example/tarragonhollow/callerconns"
)

// quiet is longer than any connection without a request is spared.
const quiet = 1500 * time.Millisecond

var _ = Describe("A listener at its limit", func() {
	var address string
	var evicted *metrics.Counter
	var handler http.HandlerFunc
	var onDelayed func(net.Addr, time.Duration)
	BeforeEach(func() {
		onDelayed = nil
		handler = func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") }
	})
	serve := func(maxOpen int) *callerconns.Listener {
		inner, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		set := metrics.NewSet()
		evicted = set.NewCounter("evicted_total")
		l := callerconns.New(inner, maxOpen, limit, callerconns.Metrics{Evicted: evicted, Stalled: set.NewCounter("stalled_total")})
		l.Delayed = onDelayed
		server := &http.Server{Handler: callerconns.ResetUnlessCompleted(handler), ConnState: l.Track, ConnContext: callerconns.ConnContext}
		go func() { _ = server.Serve(l) }()
		DeferCleanup(server.Close)
		address = inner.Addr().String()
		return l
	}
	dial := func(text string) *net.TCPConn {
		conn, err := net.Dial("tcp", address)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(func() { _ = conn.Close() })
		Expect(conn.SetDeadline(time.Now().Add(limit))).To(Succeed())
		_, err = io.WriteString(conn, text)
		Expect(err).NotTo(HaveOccurred())
		return conn.(*net.TCPConn)
	}
	send := func(conn net.Conn, text string) {
		_, err := io.WriteString(conn, text)
		Expect(err).NotTo(HaveOccurred())
	}
	readAnswer := func(conn net.Conn) {
		GinkgoHelper()
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		Expect(err).NotTo(HaveOccurred(), "the connection was closed")
		body, err := io.ReadAll(response.Body)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(body)).To(Equal("ok"))
	}
	expectClosed := func(conn net.Conn) {
		GinkgoHelper()
		_, err := conn.Read(make([]byte, 1))
		Expect(err).To(MatchError(io.EOF))
	}

	// Guards against closing a connection whose request has been read in part: net/http reports
	// it as new or idle until the whole header was read.
	DescribeTable("does not close a connection whose request is being read", func(keptAlive bool) {
		l := serve(2)
		reading := dial("")
		if keptAlive {
			send(reading, wholeRequest)
			readAnswer(reading)
		}
		send(reading, wholeRequest[:20])
		other := dial(wholeRequest)
		readAnswer(other)
		Eventually(l.Open).WithTimeout(limit).Should(Equal(2))
		time.Sleep(quiet)
		readAnswer(dial(wholeRequest))
		send(reading, wholeRequest[20:])
		readAnswer(reading)
		expectClosed(other)
		Expect(evicted.Get()).To(Equal(uint64(1)))
	},
		Entry("on a new connection", false),
		Entry("on a kept-alive connection", true),
	)

	// Guards against callers that send up to three bytes and no more: on a kept-alive connection
	// net/http waits for the fourth until the idle timeout, and at the limit no other caller would
	// be accepted meanwhile.
	DescribeTable("closes a connection with a part of a request that does not go on", func(keptAlive bool) {
		serve(1)
		stale := dial("")
		if keptAlive {
			send(stale, wholeRequest)
			readAnswer(stale)
		}
		send(stale, wholeRequest[:2])
		readAnswer(dial(wholeRequest))
		expectClosed(stale)
	},
		Entry("on a new connection", false),
		Entry("on a kept-alive connection", true),
	)

	// Guards against closing a connection that a caller has just opened: its request may be on
	// the way.
	It("closes a kept-alive connection rather than one that was just opened", func() {
		l := serve(2)
		opened := dial("")
		Eventually(l.Open).WithTimeout(limit).Should(Equal(1))
		kept := dial(wholeRequest)
		readAnswer(kept)
		readAnswer(dial(wholeRequest))
		expectClosed(kept)
		send(opened, wholeRequest)
		readAnswer(opened)
	})

	// Guards against closing a connection whose request has arrived and waits in the kernel
	// because the process has not got round to reading it.
	It("does not close a connection with unread bytes of a request", func() {
		inner, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		set := metrics.NewSet()
		l := callerconns.New(inner, 2, limit, callerconns.Metrics{Evicted: set.NewCounter("evicted_total"), Stalled: set.NewCounter("stalled_total")})
		DeferCleanup(l.Close)
		address = inner.Addr().String()
		accept := func() net.Conn {
			conn, err := l.Accept()
			Expect(err).NotTo(HaveOccurred())
			DeferCleanup(func() { _ = conn.Close() })
			return conn
		}
		dial(wholeRequest)
		waiting := accept()
		dial("")
		_ = accept()
		time.Sleep(quiet)
		dial("")
		_ = accept()
		read := make([]byte, len(wholeRequest))
		_, err = io.ReadFull(waiting, read)
		Expect(err).NotTo(HaveOccurred(), "the connection was closed")
		Expect(string(read)).To(Equal(wholeRequest))
	})

	// Guards against a flood of new connections that closes those of callers whose requests
	// arrive in parts.
	It("reads every request of a flood whose headers arrive in two parts", func() {
		serve(20)
		for range 20 {
			conn := dial(wholeRequest)
			readAnswer(conn)
		}
		const flood = 60
		failed := make(chan error, flood)
		for range flood {
			go func() {
				defer GinkgoRecover()
				failed <- requestInParts(address)
			}()
		}
		for range flood {
			Expect(<-failed).NotTo(HaveOccurred())
		}
	})

	// Guards against connections without a request, for example of a caller's leaking pool, that
	// lock out all others.
	It("closes connections on which nothing was sent when there is no other", func() {
		serve(2)
		silent := dial("")
		dial("")
		readAnswer(dial(wholeRequest))
		expectClosed(silent)
	})

	// Guards against a caller that can't be served although another one's request has ended.
	It("accepts the next connection as soon as a running request ends", func() {
		release := make(chan struct{})
		handler = func(w http.ResponseWriter, _ *http.Request) {
			<-release
			_, _ = io.WriteString(w, "ok")
		}
		delayed := make(chan string, 1)
		onDelayed = func(caller net.Addr, _ time.Duration) { delayed <- caller.String() }
		serve(1)
		running := dial(wholeRequest)
		next := dial(wholeRequest)
		time.Sleep(quiet)
		Expect(evicted.Get()).To(BeZero())
		close(release)
		readAnswer(running)
		readAnswer(next)
		Expect(delayed).To(Receive(Equal(next.LocalAddr().String())))
	})
})

// requestInParts sends a request on a new connection in two parts and reads its answer.
func requestInParts(address string) error {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return err
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(limit))
	for _, part := range []string{wholeRequest[:20], wholeRequest[20:]} {
		if _, err := io.WriteString(conn, part); err != nil {
			return err
		}
		time.Sleep(50 * time.Millisecond)
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return err
	}
	_, err = io.Copy(io.Discard, response.Body)
	return err
}
