package callerconns_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"os"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tarragonhollow.example/tarragonhollow/callerconns"
)

// scarceListener can't accept a second connection until lacking returns false.
type scarceListener struct {
	net.Listener
	accepted bool
	lacking  func() bool
}

func (l *scarceListener) Accept() (net.Conn, error) {
	if l.accepted && l.lacking() {
		time.Sleep(10 * time.Millisecond)
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", syscall.EMFILE)}
	}
	l.accepted = true
	return l.Listener.Accept()
}

var _ = Describe("A listener without a free descriptor", func() {
	// Guards against callers that can't connect because idle connections hold all descriptors.
	It("closes an idle connection to accept a new one", func() {
		inner, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		set := metrics.NewSet()
		evicted := set.NewCounter("evicted_total")
		scarce := &scarceListener{Listener: inner, lacking: func() bool { return evicted.Get() == 0 }}
		l := callerconns.New(scarce, 10, limit, callerconns.Metrics{Evicted: evicted, Stalled: set.NewCounter("stalled_total")})
		server := &http.Server{ConnState: l.Track, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") })}
		go func() { _ = server.Serve(l) }()
		DeferCleanup(server.Close)
		for range 2 {
			conn, err := net.Dial("tcp", inner.Addr().String())
			Expect(err).NotTo(HaveOccurred())
			DeferCleanup(func() { _ = conn.Close() })
			Expect(conn.SetDeadline(time.Now().Add(limit))).To(Succeed())
			_, err = io.WriteString(conn, wholeRequest)
			Expect(err).NotTo(HaveOccurred())
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			Expect(err).NotTo(HaveOccurred())
			Expect(response.StatusCode).To(Equal(200))
		}
	})
})
