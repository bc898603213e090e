package input

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tarragonhollow.example/tarragonhollow/core/outcome"
	"tarragonhollow.example/tarragonhollow/standin/deployment"
	"tarragonhollow.example/tarragonhollow/test/fleet"
)

const (
	idleConnections   = 2000
	slowBodies        = 200
	nonReadingCallers = 50
	// slowBytes is how many bytes of a slow body are sent, of slowContentLength.
	slowBytes, slowContentLength = 900 << 10, 1 << 20
	// longJobItems and customIDLength make the results larger than socket buffers.
	longJobItems   = 16000
	customIDLength = 200
	// maxRSS is the limit for a daemon's resident memory with all connections open. The
	// daemon limits bodies to 256 MiB; garbage may grow to as much before it is
	// collected.
	maxRSS = 640 << 20
)

// residentBytes returns the VmRSS of the daemon's process in bytes.
func residentBytes(d *fleet.Daemon) int64 {
	GinkgoHelper()
	found, err := filepath.Glob("/proc/[0-9]*/cmdline")
	Expect(err).NotTo(HaveOccurred())
	for _, file := range found {
		line, _ := os.ReadFile(file)
		status, _ := os.ReadFile(filepath.Join(filepath.Dir(file), "status"))
		isChild := bytes.Contains(status, []byte(fmt.Sprintf("PPid:\t%d\n", os.Getpid())))
		if !isChild || !bytes.HasSuffix(line, []byte("/"+d.Name+".ini\x00")) {
			continue
		}
		kb := regexp.MustCompile(`VmRSS:\s+(\d+) kB`).FindSubmatch(status)
		Expect(kb).NotTo(BeNil(), "%s", status)
		n, err := strconv.ParseInt(string(kb[1]), 10, 64)
		Expect(err).NotTo(HaveOccurred())
		return n << 10
	}
	Fail("no process of " + d.Name)
	return 0
}

// clientConns holds the connections of idle, slow and non-reading callers.
type clientConns struct {
	address string
	mu      sync.Mutex
	conns   []net.Conn
}

func (c *clientConns) dial() net.Conn {
	GinkgoHelper()
	conn, err := net.Dial("tcp", c.address)
	Expect(err).NotTo(HaveOccurred())
	Expect(conn.(*net.TCPConn).SetReadBuffer(4 << 10)).To(Succeed())
	c.mu.Lock()
	defer c.mu.Unlock()
	c.conns = append(c.conns, conn)
	return conn
}

func (c *clientConns) close() {
	for _, conn := range c.conns {
		_ = conn.Close()
	}
}

// expectHealthy sends a health check on an open connection and expects status 200.
func expectHealthy(conn net.Conn) {
	GinkgoHelper()
	Expect(conn.SetDeadline(time.Now().Add(timeout))).To(Succeed())
	_, err := io.WriteString(conn, "GET /healthz HTTP/1.1\r\nHost: a\r\n\r\n")
	Expect(err).NotTo(HaveOccurred())
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	Expect(err).NotTo(HaveOccurred())
	_, err = io.Copy(io.Discard, resp.Body)
	Expect(err).NotTo(HaveOccurred())
	Expect(resp.StatusCode).To(Equal(http.StatusOK))
}

// slowBody sends most of a body, then nothing, and returns the refusal.
func slowBody(conn net.Conn, profile string, caller int, sent *atomic.Int32) refusal {
	GinkgoHelper()
	_, err := fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: a\r\nTarragon-Profile: %s\r\nTarragon-Caller: slow-%d\r\nContent-Length: %d\r\n\r\n%s",
		chatPath, profile, caller, slowContentLength, strings.Repeat(" ", slowBytes))
	Expect(err).NotTo(HaveOccurred())
	sent.Add(1)
	Expect(conn.SetReadDeadline(time.Now().Add(2 * timeout))).To(Succeed())
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	Expect(err).NotTo(HaveOccurred())
	r := readRefusal(resp)
	// Large bodies may use three quarters of the body memory; further ones are refused
	// with 503.
	Expect(fmt.Sprint(resp.StatusCode, r.Code)).To(BeElementOf("400bad_request", "503overloaded"))
	return r
}

var stalledWritesMetric = regexp.MustCompile(`tarragonhollow_http_stalled_writes_total (\d+)`)

// stalledCallers returns how many callers the daemon disconnected because they did not
// read, or -1 if that cannot be determined.
func stalledCallers(d *fleet.Daemon) int {
	resp, err := send(d, "GET", "/metrics", nil)
	if err != nil {
		return -1
	}
	defer resp.Body.Close()
	text, _ := io.ReadAll(resp.Body)
	found := stalledWritesMetric.FindSubmatch(text)
	if found == nil {
		return -1
	}
	n, _ := strconv.Atoi(string(found[1]))
	return n
}

var _ = Describe("Many idle, slow and non-reading callers of one daemon", func() {
	// A connection pool leaks thousands of connections, clients stop in the middle of
	// their bodies, and others request large results and do not read them. The daemon's
	// memory must stay bounded, slow bodies must be refused and non-reading callers
	// disconnected, and ordinary callers must not be affected.
	It("use bounded memory and harm no ordinary caller", func() {
		f := fleet.Start(fleet.Options{Daemons: 2, Shape: func(s *deployment.Shape) { s.EngineOptions.TimeScale = 200 }})
		d := f.Daemons[0]
		runLongJob(f, d)
		c := &clientConns{address: strings.TrimPrefix(d.Client.Base, "http://")}
		defer c.close()
		before := residentBytes(d)

		idle := make([]net.Conn, idleConnections)
		concurrently(slowBodies, func(i int) {
			for k := i; k < len(idle); k += slowBodies {
				idle[k] = c.dial()
				expectHealthy(idle[k])
			}
		})
		for range nonReadingCallers {
			_, err := io.WriteString(c.dial(), "GET /v1/jobs/long/results HTTP/1.1\r\nHost: a\r\n\r\n")
			Expect(err).NotTo(HaveOccurred())
		}
		var sent atomic.Int32
		var refused [slowBodies]refusal
		var slow sync.WaitGroup
		for i := range slowBodies {
			slow.Go(func() {
				defer GinkgoRecover()
				refused[i] = slowBody(c.dial(), f.Shape.ChatProfile, i, &sent)
			})
		}
		maxResident := before
		Eventually(func() int32 { return sent.Load() }, timeout, pollInterval).Should(Equal(int32(slowBodies)))
		// Ordinary callers continue until every non-reading caller is disconnected.
		rounds := 0
		Eventually(func() int {
			rounds++
			text := fmt.Sprintf("guest %d", rounds)
			Expect(f.Stream(d, "", text)).To(Equal(f.Expected(text)))
			key := fmt.Sprintf("tray-%d", rounds)
			_, err := f.Order(d, key)
			Expect(err).NotTo(HaveOccurred())
			Expect(f.Executions(key)).To(Equal(1))
			maxResident = max(maxResident, residentBytes(d))
			return stalledCallers(d)
		}, 2*timeout, pollInterval).Should(BeNumerically(">=", nonReadingCallers))
		slow.Wait()
		for i, r := range refused {
			Expect(r.Run).To(Equal(outcome.NotRun), "slow body %d: %+v", i, r)
		}
		for _, conn := range idle {
			expectHealthy(conn)
		}
		fmt.Fprintf(GinkgoWriter, "resident MiB: %d before, %d at most; %d rounds of ordinary requests\n", before>>20, maxResident>>20, rounds)
		Expect(maxResident).To(BeNumerically("<", maxRSS))
	})
})

// runLongJob runs a job whose results are larger than a socket's buffers.
func runLongJob(f *fleet.Fleet, d *fleet.Daemon) {
	GinkgoHelper()
	var b strings.Builder
	for i := range longJobItems {
		fmt.Fprintf(&b, `{"custom_id":"%0*d","url":"/v1/chat/completions","body":{"model":"ordering","max_tokens":1,"messages":[{"role":"user","content":"long %d"}]}}`+"\n",
			customIDLength, i, i)
	}
	resp, err := send(d, "PUT", "/v1/jobs/long", strings.NewReader(b.String()), "Tarragon-Profile", f.Shape.BatchProfile)
	Expect(err).NotTo(HaveOccurred())
	Expect(resp.Body.Close()).To(Succeed())
	Expect(resp.StatusCode).To(Equal(http.StatusAccepted))
	f.WaitJob(d, fleet.Job{Name: "long"})
}
