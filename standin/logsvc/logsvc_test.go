package logsvc_test

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tarragonhollow.example/tarragonhollow/standin/logsvc"
)

func TestLogsvc(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "logsvc")
}

// clock is a fake clock that the specs advance.
type clock struct {
	mu  sync.Mutex
	now time.Time
}

func (c *clock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

func (c *clock) advance(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = c.now.Add(d)
}

// The specs use literal requests and responses: the real clients share their types
// with the server, so they would not notice if both deviated from the contract.
var _ = Describe("The log service", func() {
	var (
		now        *clock
		server     *logsvc.Server
		httpServer *httptest.Server
	)

	start := func(opts logsvc.Options) {
		now = &clock{now: time.UnixMilli(1_000_000)}
		opts.Now = now.Now
		var err error
		server, err = logsvc.New(opts)
		Expect(err).NotTo(HaveOccurred())
		httpServer = httptest.NewServer(server.Handler())
		DeferCleanup(func() {
			server.Close()
			httpServer.Close()
		})
	}
	call := func(method, path, body string) (int, string, http.Header) {
		req, err := http.NewRequest(method, httpServer.URL+path, strings.NewReader(body))
		Expect(err).NotTo(HaveOccurred())
		req.Header.Set("X-Client", "daemon-1")
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			return 0, err.Error(), nil
		}
		defer resp.Body.Close()
		text, err := io.ReadAll(resp.Body)
		Expect(err).NotTo(HaveOccurred())
		return resp.StatusCode, strings.TrimSpace(string(text)), resp.Header
	}
	get := func(path string) string {
		_, text, _ := call("GET", path, "")
		return text
	}
	post := func(stream, data string) int {
		status, _, _ := call("POST", "/v1/streams/"+stream+"/records", data)
		return status
	}

	It("answers according to the contract", func() {
		start(logsvc.Options{})
		_, text, _ := call("POST", "/v1/streams/shard-7/records", "hello")
		Expect(text).To(Equal(`{"offset":0}`))
		Expect(get("/v1/streams/shard-7/records?from=0&max_bytes=10&wait_ms=0")).To(Equal(
			`{"first":0,"next":1,"records":[{"offset":0,"at_ms":1000000,"data":"aGVsbG8="}]}`))
		Expect(get("/v1/streams/shard-7")).To(Equal(`{"first":0,"next":1}`))
		Expect(get("/v1/streams")).To(Equal(`{"streams":[{"name":"shard-7","first":0,"next":1}]}`))
		Expect(get("/v1/streams/none/records")).To(Equal(`{"first":0,"next":0,"records":[]}`))
	})

	// A daemon is down for longer than the log keeps records. When it reads again, the
	// first record lies after the offset where it stopped, and the gap must be visible.
	It("drops records older than the retention and never reuses an offset", func() {
		start(logsvc.Options{Retention: 10 * time.Second})
		Expect(post("s", "old")).To(Equal(200))
		now.advance(6 * time.Second)
		Expect(post("s", "new")).To(Equal(200))
		now.advance(5 * time.Second)
		Expect(get("/v1/streams/s/records?from=0")).To(Equal(
			`{"first":1,"next":2,"records":[{"offset":1,"at_ms":1006000,"data":"bmV3"}]}`))
		now.advance(time.Hour)
		Expect(get("/v1/streams/s")).To(Equal(`{"first":2,"next":2}`))
		_, text, _ := call("POST", "/v1/streams/s/records", "next")
		Expect(text).To(Equal(`{"offset":2}`))
	})

	It("limits appends over all streams and returns when to retry", func() {
		start(logsvc.Options{AppendsPerSecond: 2, Burst: 3})
		for i := range 3 {
			Expect(post(fmt.Sprint("s", i), "x")).To(Equal(200))
		}
		status, text, header := call("POST", "/v1/streams/s0/records", "x")
		Expect(status).To(Equal(429))
		Expect(text).To(Equal(`{"error":"rate limit exceeded","retry_after_ms":500}`))
		Expect(header.Get("Retry-After")).To(Equal("1"))
		now.advance(500 * time.Millisecond)
		Expect(post("s0", "x")).To(Equal(200))
		now.advance(700 * time.Millisecond)
		Expect(get("/control/stats")).To(Equal(`{"appends":4,"bytes":4,"rejected":1,"limited":1,"lost_answers":0,` +
			`"reads":0,"read_bytes":0,"waiting_reads":0,"appends_last_second":1,"peak_appends_per_second":4}`))
	})

	It("rejects a record over the size limit without storing any of it", func() {
		start(logsvc.Options{MaxRecordBytes: 4})
		Expect(post("s", "1234")).To(Equal(200))
		Expect(post("s", "12345")).To(Equal(413))
		Expect(get("/v1/streams/s")).To(Equal(`{"first":0,"next":1}`))
	})

	// The append is made and its answer is lost: the caller sees a closed connection,
	// but the record is in the log.
	It("loses answers only after the append", func() {
		start(logsvc.Options{})
		call("PUT", "/control/faults", `{"lose_answers_next":1}`)
		Expect(post("s", "x")).To(Equal(0))
		Expect(get("/v1/streams/s")).To(Equal(`{"first":0,"next":1}`))
		Expect(post("s", "x")).To(Equal(200))
		Expect(server.Stats().LostAnswers).To(Equal(int64(1)))
	})

	It("denies a single client, with 503 or by closing the connection", func() {
		start(logsvc.Options{})
		call("PUT", "/control/faults", `{"deny_clients":["daemon-1"]}`)
		Expect(post("s", "x")).To(Equal(503))
		call("PUT", "/control/faults", `{"deny_clients":["daemon-1"],"deny_with":"cut"}`)
		Expect(post("s", "x")).To(Equal(0))
		call("PUT", "/control/faults", `{"deny_clients":["daemon-2"]}`)
		Expect(post("s", "x")).To(Equal(200))
		Expect(get("/v1/streams/s")).To(Equal(`{"first":0,"next":1}`))
	})

	It("ends waiting long polls at an append and at an outage", func() {
		start(logsvc.Options{})
		polls := make(chan string)
		poll := func() {
			defer GinkgoRecover()
			_, text, _ := call("GET", "/v1/streams/s/records?from=0&wait_ms=60000", "")
			polls <- text
		}
		waiting := func() int { return server.Stats().WaitingReads }
		go poll()
		Eventually(waiting).Should(Equal(1))
		Expect(post("s", "x")).To(Equal(200))
		Eventually(polls).Should(Receive(ContainSubstring(`"next":1`)))

		outcome := make(chan int)
		go func() {
			defer GinkgoRecover()
			status, _, _ := call("GET", "/v1/streams/s/records?from=1&wait_ms=60000", "")
			outcome <- status
		}()
		Eventually(waiting).Should(Equal(1))
		call("PUT", "/control/faults", `{"outage":"unavailable"}`)
		Eventually(outcome).Should(Receive(Equal(503)))
	})

	It("rejects invalid control requests", func() {
		start(logsvc.Options{})
		for _, body := range []string{`{"outtage":"cut"}`, `{"outage":"maybe"}`, `{"lose_answers_share":1.5}`, `{} {}`} {
			status, _, _ := call("PUT", "/control/faults", body)
			Expect(status).To(Equal(400), body)
		}
	})
})
