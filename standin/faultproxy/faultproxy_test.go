package faultproxy_test

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tarragonhollow.example/tarragonhollow/standin/faultproxy"
)

func TestFaultproxy(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "faultproxy")
}

// echoTarget answers each line with the same line and counts the lines received.
type echoTarget struct {
	listener net.Listener
	lines    atomic.Int64
}

func startEcho() *echoTarget {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	e := &echoTarget{listener: listener}
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go e.serve(c)
		}
	}()
	DeferCleanup(listener.Close)
	return e
}

func (e *echoTarget) serve(c net.Conn) {
	defer c.Close()
	lines := bufio.NewReader(c)
	for {
		line, err := lines.ReadString('\n')
		if err != nil {
			return
		}
		e.lines.Add(1)
		if _, err := io.WriteString(c, line); err != nil {
			return
		}
	}
}

// client is a connection whose incoming lines arrive on a channel, which is
// closed when the connection ends.
type client struct {
	net.Conn
	lines chan string
}

func dial(address string) *client { return dialFrom("127.0.0.1", address) }

func dialFrom(ip, address string) *client {
	dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(ip)}}
	c, err := dialer.Dial("tcp", address)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { c.Close() })
	cl := &client{c, make(chan string, 100)}
	go func() {
		defer close(cl.lines)
		scanner := bufio.NewScanner(c)
		for scanner.Scan() {
			cl.lines <- scanner.Text()
		}
	}()
	return cl
}

// resetFrom reports whether a new connection is reset. The reset may arrive before or
// after the dial returns.
func resetFrom(ip, address string) bool {
	dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(ip)}}
	c, err := dialer.Dial("tcp", address)
	if err == nil {
		defer c.Close()
		Expect(c.SetReadDeadline(time.Now().Add(10 * time.Second))).To(Succeed())
		_, err = c.Read(make([]byte, 1))
	}
	return errors.Is(err, syscall.ECONNRESET)
}

func (c *client) send(line string) {
	_, err := io.WriteString(c, line+"\n")
	Expect(err).NotTo(HaveOccurred())
}

var _ = Describe("The fault proxy", func() {
	var (
		target *echoTarget
		proxy  *faultproxy.Proxy
	)

	held := func() int { return proxy.Stats().Held }

	BeforeEach(func() {
		target = startEcho()
		var err error
		proxy, err = faultproxy.New(faultproxy.Options{Target: target.listener.Addr().String()})
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(proxy.Close)
	})

	// A network passes one direction and loses the other. Requests reach the target
	// and are executed, no answers come back, and neither side sees an error.
	It("stalls only the answers and delivers them in order afterwards", func() {
		c := dial(proxy.Addr())
		c.send("a")
		Eventually(c.lines).Should(Receive(Equal("a")))
		Expect(proxy.SetFaults(faultproxy.Faults{Stall: faultproxy.StallDown})).To(Succeed())
		c.send("b")
		c.send("c")
		Eventually(target.lines.Load).Should(Equal(int64(3)))
		Eventually(held).Should(Equal(1))
		Expect(c.lines).NotTo(Receive())
		Expect(proxy.Clear()).To(Succeed())
		Eventually(c.lines).Should(Receive(Equal("b")))
		Eventually(c.lines).Should(Receive(Equal("c")))
	})

	It("stalls only the requests", func() {
		c := dial(proxy.Addr())
		c.send("a")
		Eventually(c.lines).Should(Receive(Equal("a")))
		Expect(proxy.SetFaults(faultproxy.Faults{Stall: faultproxy.StallUp})).To(Succeed())
		c.send("b")
		Eventually(held).Should(Equal(1))
		Expect(proxy.Stats().BytesUp).To(Equal(int64(2)))
		Expect(target.lines.Load()).To(Equal(int64(1)))
		Expect(proxy.Clear()).To(Succeed())
		Eventually(c.lines).Should(Receive(Equal("b")))
	})

	// The target has executed the request when its answer is lost with the connection.
	// The caller cannot distinguish this from a request that was never received.
	It("drops an answer after the request was delivered", func() {
		Expect(proxy.SetFaults(faultproxy.Faults{DropAnswers: 1, DropAnswersTo: "POST"})).To(Succeed())
		c := dial(proxy.Addr())
		c.send("GET")
		Eventually(c.lines).Should(Receive(Equal("GET")))
		c.send("POST")
		Eventually(c.lines).Should(BeClosed())
		Expect(target.lines.Load()).To(Equal(int64(2)))
		Expect(proxy.Stats().DroppedAnswers).To(Equal(int64(1)))

		again := dial(proxy.Addr())
		again.send("POST")
		Eventually(again.lines).Should(Receive(Equal("POST")))
	})

	It("refuses connections while cut and then accepts them again on the same port", func() {
		c := dial(proxy.Addr())
		c.send("a")
		Eventually(c.lines).Should(Receive(Equal("a")))
		Expect(proxy.SetFaults(faultproxy.Faults{Cut: faultproxy.CutRefuse})).To(Succeed())
		Eventually(c.lines).Should(BeClosed())
		_, err := net.Dial("tcp", proxy.Addr())
		Expect(err).To(MatchError(ContainSubstring("refused")))
		Expect(proxy.Clear()).To(Succeed())
		c = dial(proxy.Addr())
		c.send("b")
		Eventually(c.lines).Should(Receive(Equal("b")))
	})

	// The network between two of three hosts is cut. The third host keeps its open
	// connection, can open new ones, and is not affected.
	It("applies faults only to the connections of the listed clients", func() {
		cut, passing := dialFrom("127.0.0.2", proxy.Addr()), dialFrom("127.0.0.3", proxy.Addr())
		for _, c := range []*client{cut, passing} {
			c.send("a")
			Eventually(c.lines).Should(Receive(Equal("a")))
		}
		only := []string{"127.0.0.2"}
		Expect(proxy.SetFaults(faultproxy.Faults{Stall: faultproxy.StallBoth, OnlyFrom: only})).To(Succeed())
		cut.send("held")
		Eventually(held).Should(Equal(1))
		passing.send("b")
		Eventually(passing.lines).Should(Receive(Equal("b")))
		Expect(cut.lines).NotTo(Receive())

		Expect(proxy.SetFaults(faultproxy.Faults{Cut: faultproxy.CutReset, OnlyFrom: only})).To(Succeed())
		Eventually(cut.lines).Should(BeClosed())
		Expect(resetFrom("127.0.0.2", proxy.Addr())).To(BeTrue())
		for _, c := range []*client{passing, dialFrom("127.0.0.3", proxy.Addr())} {
			c.send("c")
			Eventually(c.lines).Should(Receive(Equal("c")))
		}

		Expect(proxy.SetFaults(faultproxy.Faults{DropAnswers: 1, OnlyFrom: only})).To(Succeed())
		passing.send("d")
		Eventually(passing.lines).Should(Receive(Equal("d")))
		dropped := dialFrom("127.0.0.2", proxy.Addr())
		dropped.send("e")
		Eventually(dropped.lines).Should(BeClosed())
		Expect(proxy.Stats().DroppedAnswers).To(Equal(int64(1)))
	})

	It("is controlled over HTTP and rejects invalid faults", func() {
		control := httptest.NewServer(proxy.Control())
		DeferCleanup(control.Close)
		put := func(body string) int {
			req, err := http.NewRequest("PUT", control.URL+"/control/faults", strings.NewReader(body))
			Expect(err).NotTo(HaveOccurred())
			resp, err := http.DefaultClient.Do(req)
			Expect(err).NotTo(HaveOccurred())
			resp.Body.Close()
			return resp.StatusCode
		}
		Expect(put(`{"cut":"reset"}`)).To(Equal(200))
		Expect(resetFrom("127.0.0.1", proxy.Addr())).To(BeTrue())
		Expect(put(`{"stall":"sideways"}`)).To(Equal(400))
		Expect(put(`{"stal":"up"}`)).To(Equal(400))
		Expect(put(`{"cut":"refuse","only_from":["127.0.0.2"]}`)).To(Equal(400))
		Expect(put(`{"cut":"reset","only_from":["127.0.0.02"]}`)).To(Equal(400))
		Expect(proxy.Faults()).To(Equal(faultproxy.Faults{Cut: faultproxy.CutReset}))
		Expect(put(`{"cut":"reset","only_from":["127.0.0.2"]}`)).To(Equal(200))
		Expect(proxy.Faults().OnlyFrom).To(Equal([]string{"127.0.0.2"}))
	})
})
