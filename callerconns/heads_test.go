package callerconns_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tarragonhollow.example/tarragonhollow/bodymemory"
	"tarragonhollow.example/tarragonhollow/callerconns"
)

const (
	// headLimit is the largest head, headMemory the memory for heads: enough for one of the
	// shortest lines.
	headLimit, headMemory = 16 << 10, 4 << 20
)

// maxOpen is the number of connections that a headServer accepts.
const maxOpen = 100

// headServer is a server that bounds the heads of requests.
type headServer struct {
	heads   *callerconns.Heads
	address string
	// release lets requests of the path /wait go on.
	release  chan struct{}
	reported chan callerconns.HeadsRefused
}

func startHeadServer(timeout time.Duration) *headServer {
	return startLimitedHeadServer(timeout, maxOpen)
}

// startLimitedHeadServer is startHeadServer with another number of connections.
func startLimitedHeadServer(timeout time.Duration, connections int) *headServer {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	set := metrics.NewSet()
	s := &headServer{address: inner.Addr().String(), release: make(chan struct{}), reported: make(chan callerconns.HeadsRefused, 100)}
	s.heads = &callerconns.Heads{
		Memory: bodymemory.New(headMemory), MaxBytes: func() int { return headLimit }, Timeout: timeout,
		TooLarge: set.NewCounter("too_large"), NoMemory: set.NewCounter("no_memory"),
		Refused: func(r callerconns.HeadsRefused) { s.reported <- r },
	}
	l := callerconns.New(inner, connections, limit, callerconns.Metrics{Evicted: set.NewCounter("evicted_total"), Stalled: set.NewCounter("stalled_total")})
	l.Heads = s.heads
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/refuse" {
			return
		}
		body, _ := io.ReadAll(r.Body)
		if len(r.Trailer) > 0 {
			http.Error(w, "the trailer is held in memory", http.StatusInternalServerError)
			return
		}
		if r.URL.Path == "/wait" {
			select {
			case <-s.release:
			case <-r.Context().Done():
				panic(http.ErrAbortHandler)
			}
		}
		_, _ = fmt.Fprintf(w, "%d lines, body %q", len(r.Header), body)
	})
	server := &http.Server{Handler: callerconns.CountHeads(handler), ConnState: l.Track, ConnContext: callerconns.ConnContext, ReadHeaderTimeout: time.Minute, IdleTimeout: time.Minute}
	go func() { _ = server.Serve(l) }()
	DeferCleanup(server.Close)
	return s
}

func (s *headServer) dial() *net.TCPConn {
	conn, err := net.Dial("tcp", s.address)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { _ = conn.Close() })
	Expect(conn.SetDeadline(time.Now().Add(limit))).To(Succeed())
	return conn.(*net.TCPConn)
}

// ask sends text and returns the response, its body separately.
func (s *headServer) ask(conn net.Conn, text string) (*http.Response, string) {
	_, err := io.WriteString(conn, text)
	Expect(err).NotTo(HaveOccurred())
	return readAnswer(bufio.NewReader(conn))
}

func readAnswer(from *bufio.Reader) (*http.Response, string) {
	response, err := http.ReadResponse(from, nil)
	Expect(err).NotTo(HaveOccurred())
	body, err := io.ReadAll(response.Body)
	Expect(err).NotTo(HaveOccurred())
	return response, string(body)
}

// manyLines returns a request whose head has the given size and as many distinct lines as fit.
func manyLines(path string, size int) (text string, lines int) {
	var b strings.Builder
	b.WriteString("GET " + path + " HTTP/1.1\r\nHost: h\r\n")
	for ; b.Len() <= size-len("aaa:\r\n\r\n"); lines++ {
		b.WriteString(strconv.FormatInt(int64(36*36+lines), 36) + ":\r\n")
	}
	return b.String() + "\r\n", lines
}

var _ = Describe("Heads of requests", func() {
	// Guards against bounds that refuse what is within the limits when no other request runs.
	It("are served at the very edge of their limit", func() {
		s := startHeadServer(limit)
		for range 3 {
			text, lines := manyLines("/", headLimit)
			response, body := s.ask(s.dial(), text)
			Expect(response.StatusCode).To(Equal(200), body)
			Expect(body).To(Equal(fmt.Sprintf("%d lines, body \"\"", lines)))
			Eventually(s.heads.Memory.Total).WithTimeout(limit).Should(BeZero())
			long := "GET / HTTP/1.1\r\nHost: h\r\nLong: "
			response, body = s.ask(s.dial(), long+strings.Repeat("x", headLimit-len(long)-len("\r\n\r\n"))+"\r\n\r\n")
			Expect(response.StatusCode).To(Equal(200), body)
			Eventually(s.heads.Memory.Total).WithTimeout(limit).Should(BeZero())
		}
	})

	// Guards against one client whose heads use the common memory up, so that ordinary requests
	// are refused, and against refusals that don't say that a request may be sent again.
	It("are refused for memory that others hold, unless they are ordinary", func() {
		s := startHeadServer(limit)
		text, _ := manyLines("/wait", headLimit)
		var waiting []*net.TCPConn
		for s.heads.NoMemory.Get() == 0 {
			conn, held := s.dial(), s.heads.Memory.Total()
			waiting = append(waiting, conn)
			_, err := io.WriteString(conn, text)
			Expect(err).NotTo(HaveOccurred())
			Eventually(func() bool { return s.heads.Memory.Total() > held || s.heads.NoMemory.Get() > 0 }).WithTimeout(limit).Should(BeTrue())
		}
		Expect(len(waiting)).To(BeNumerically(">", 1))
		response, body := readAnswer(bufio.NewReader(waiting[len(waiting)-1]))
		Expect(response.StatusCode).To(BeElementOf(429, 503))
		Expect(response.Header.Get("Retry-After")).To(Equal("1"))
		Expect(response.Close).To(BeTrue())
		Expect(body).To(ContainSubstring(`"run":"not_run"`))
		response, _ = s.ask(s.dial(), wholeRequest)
		Expect(response.StatusCode).To(Equal(200))
		Expect(s.reported).To(HaveLen(1), "reports of refusals within a second")
		close(s.release)
		Eventually(s.heads.Memory.Total).WithTimeout(limit).Should(BeZero())
		response, _ = s.ask(s.dial(), text)
		Expect(response.StatusCode).To(Equal(200))
	})

	// Guards against memory that stays reserved after its connection.
	DescribeTable("give their memory back when the connection breaks", func(text func() string) {
		s := startHeadServer(limit)
		conn := s.dial()
		_, err := io.WriteString(conn, text())
		Expect(err).NotTo(HaveOccurred())
		Eventually(s.heads.Memory.Total).WithTimeout(limit).Should(BeNumerically(">", 0))
		Expect(conn.SetLinger(0)).To(Succeed())
		Expect(conn.Close()).To(Succeed())
		close(s.release)
		Eventually(s.heads.Memory.Total).WithTimeout(limit).Should(BeZero())
		Expect(s.heads.Memory.Callers()).To(BeZero())
	},
		Entry("within a head", func() string { text, _ := manyLines("/", headLimit); return text[:len(text)-2] }),
		Entry("within a body", func() string {
			text, _ := manyLines("/", headLimit/2)
			return strings.Replace(text, "Host: h\r\n", "Host: h\r\nContent-Length: 9\r\n", 1) + "x"
		}),
		Entry("while the handler runs", func() string { text, _ := manyLines("/wait", headLimit); return text }),
		Entry("within a head behind another request", func() string {
			text, _ := manyLines("/", headLimit)
			return wholeRequest + text[:len(text)-2]
		}),
	)

	// Guards against memory that is given back while net/http waits for the body of a request that
	// its handler has refused, and still holds the head.
	It("are counted until the request has ended, not only its handler", func() {
		s := startHeadServer(limit)
		text, _ := manyLines("/refuse", headLimit/2)
		conn := s.dial()
		_, err := io.WriteString(conn, strings.Replace(text, "Host: h\r\n", "Host: h\r\nContent-Length: 9\r\n", 1)+"x")
		Expect(err).NotTo(HaveOccurred())
		Eventually(s.heads.Memory.Total).WithTimeout(limit).Should(BeNumerically(">", 0))
		Consistently(s.heads.Memory.Total, "300ms").Should(BeNumerically(">", 0))
		Expect(conn.Close()).To(Succeed())
		Eventually(s.heads.Memory.Total).WithTimeout(limit).Should(BeZero())
	})

	// Guards against bytes that are lost, or taken for another request's, where heads arrive in
	// parts or behind each other.
	It("arrive whole however they are cut", func() {
		s := startHeadServer(limit)
		large, lines := manyLines("/", headLimit)
		text := "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 6\r\n\r\na\r\n\r\nb" +
			"GET / HTTP/1.1\nHost: h\nA: b\n c\n\n" + large +
			"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\n\r\n\n\r\n0\r\nT: u\r\n\r\n" +
			"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n\r\n" + wholeRequest
		want := []string{`1 lines, body "a\r\n\r\nb"`, `1 lines, body ""`, fmt.Sprintf("%d lines, body \"\"", lines),
			`0 lines, body "\r\n\n"`, `1 lines, body ""`}
		for _, part := range []int{1, 2, 3, 7, 64, 1000, 4095, 4096, 4097, len(text)} {
			conn := s.dial()
			go func() {
				for rest := text; rest != ""; {
					n := min(part, len(rest))
					if _, err := io.WriteString(conn, rest[:n]); err != nil {
						return
					}
					rest = rest[n:]
				}
			}()
			from := bufio.NewReader(conn)
			for _, body := range want {
				response, got := readAnswer(from)
				Expect(response.StatusCode).To(Equal(200), "parts of %d bytes: %s", part, got)
				Expect(got).To(Equal(body), "parts of %d bytes", part)
			}
			response, _ := readAnswer(from)
			Expect(response.StatusCode).To(Equal(200))
		}
	})

	// Guards against a client that holds a connection with a head that it sends slowly: the server
	// takes a kept connection for idle until the head is complete.
	It("must be complete in time on a kept connection", func() {
		s := startHeadServer(100 * time.Millisecond)
		conn := s.dial()
		response, _ := s.ask(conn, wholeRequest)
		Expect(response.StatusCode).To(Equal(200))
		_, err := io.WriteString(conn, "GET / HTTP/1.1\r\n")
		Expect(err).NotTo(HaveOccurred())
		_, err = conn.Read(make([]byte, 1))
		Expect(err).To(Equal(io.EOF))
	})

	// Guards against requests that are cut by the time for their heads, while their bodies come or
	// they run.
	It("have no bound of time once they are complete", func() {
		s := startHeadServer(time.Second)
		for _, parts := range [][]string{
			{"GET /wait HTTP/1.1\r\n", "Host: h\r\n\r\n"},
			{"POST /wait HTTP/1.1\r\n", "Host: h\r\nContent-Length: 4\r\n\r\n", "w", "x", "y", "z"},
		} {
			conn, answered := s.dial(), make(chan int, 1)
			for _, part := range parts {
				_, err := io.WriteString(conn, part)
				Expect(err).NotTo(HaveOccurred())
				time.Sleep(300 * time.Millisecond)
			}
			go func() {
				defer GinkgoRecover()
				response, _ := readAnswer(bufio.NewReader(conn))
				answered <- response.StatusCode
			}()
			Consistently(answered, "200ms").ShouldNot(Receive())
			s.release <- struct{}{}
			Eventually(answered).WithTimeout(limit).Should(Receive(Equal(http.StatusOK)))
		}
	})

	// Guards against a running request whose connection is closed for a new one because it arrived
	// together with the body of the request before.
	It("keep their connection open behind a body", func() {
		s := startLimitedHeadServer(limit, 1)
		conn := s.dial()
		from := bufio.NewReader(conn)
		_, err := io.WriteString(conn, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\nxGET /wait HTTP/1.1\r\nHost: h\r\n\r\n")
		Expect(err).NotTo(HaveOccurred())
		response, _ := readAnswer(from)
		Expect(response.StatusCode).To(Equal(http.StatusOK))
		other, served := s.dial(), make(chan int, 1)
		go func() {
			defer GinkgoRecover()
			response, _ := s.ask(other, wholeRequest)
			served <- response.StatusCode
		}()
		Consistently(served, "500ms").ShouldNot(Receive())
		s.release <- struct{}{}
		response, _ = readAnswer(from)
		Expect(response.StatusCode).To(Equal(http.StatusOK))
		Eventually(served).WithTimeout(limit).Should(Receive(Equal(http.StatusOK)))
	})

	// Guards against parts of heads that net/http parses and holds unnoticed, since it has read them
	// together with the end of a body.
	DescribeTable("are counted where they begin behind a body", func(framing, body string) {
		s := startHeadServer(limit)
		large, _ := manyLines("/", 4000)
		conn := s.dial()
		response, _ := s.ask(conn, "POST / HTTP/1.1\r\nHost: h\r\n"+framing+"\r\n\r\n"+body+large[:len(large)-2])
		Expect(response.StatusCode).To(Equal(http.StatusOK))
		Eventually(s.heads.Memory.Total).WithTimeout(limit).Should(BeNumerically(">", 0))
		Expect(conn.Close()).To(Succeed())
		Eventually(s.heads.Memory.Total).WithTimeout(limit).Should(BeZero())
	},
		Entry("in chunks", "Transfer-Encoding: chunked", "1\r\nx\r\n0\r\n\r\n"),
		Entry("in chunks, with a trailer", "Transfer-Encoding: chunked", "0\r\nA: b\r\n\r\n"),
	)

	It("are held as they arrived behind a body of a stated length", func() {
		s := startHeadServer(limit)
		large, lines := manyLines("/", 4000)
		conn := s.dial()
		from := bufio.NewReader(conn)
		_, err := io.WriteString(conn, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\nx"+large[:len(large)-2])
		Expect(err).NotTo(HaveOccurred())
		response, _ := readAnswer(from)
		Expect(response.StatusCode).To(Equal(http.StatusOK))
		Consistently(s.heads.Memory.Total, "100ms").Should(BeZero())
		_, err = io.WriteString(conn, "\r\n")
		Expect(err).NotTo(HaveOccurred())
		response, body := readAnswer(from)
		Expect(response.StatusCode).To(Equal(http.StatusOK))
		Expect(body).To(Equal(fmt.Sprintf("%d lines, body \"\"", lines)))
	})

	// Guards against trailers of many lines that are held while their requests run.
	It("are followed by no trailer once the body is read", func() {
		s := startHeadServer(limit)
		response, body := s.ask(s.dial(), "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\nA: b\r\n\r\n")
		Expect(response.StatusCode).To(Equal(http.StatusOK), body)
		Expect(body).To(Equal(`0 lines, body "x"`))
	})

	// Guards against a refusal that is lost in the reset of a connection on which the client still
	// sends, and against heads that are parsed beyond their limit.
	It("are refused over their limit while the client still sends", func() {
		s := startHeadServer(limit)
		for _, line := range []string{"aaa:\r\n", "a: b\r\n c\r\n", strings.Repeat("x", 100)} {
			conn := s.dial()
			sent := make(chan error, 1)
			go func() {
				_, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\nA: "+strings.Repeat(line, 900_000/len(line)))
				sent <- err
			}()
			response, body := readAnswer(bufio.NewReader(conn))
			Expect(response.StatusCode).To(Equal(431))
			Expect(response.Close).To(BeTrue())
			Expect(body).To(ContainSubstring(`"run":"not_run"`))
			Eventually(sent).WithTimeout(limit).Should(Receive(BeNil()))
		}
		Expect(s.heads.TooLarge.Get()).To(BeEquivalentTo(3))
		Eventually(s.heads.Memory.Total).WithTimeout(limit).Should(BeZero())
	})

	// Guards against what is no head being held until its time is over.
	DescribeTable("are refused at once if they are none", func(text string) {
		s := startHeadServer(limit)
		response, _ := s.ask(s.dial(), text)
		Expect(response.StatusCode).To(Equal(400))
	},
		Entry("an empty line", "\r\n"),
		Entry("a line that is no request line", "hello\r\n"),
		Entry("a line without a colon", "GET / HTTP/1.1\r\nHost: h\r\nx\r\n"),
		Entry("a folded line at the beginning", "GET / HTTP/1.1\r\n x: y\r\n"),
	)
})
