package extern_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tarragonhollow.example/tarragonhollow/extern"
	"tarragonhollow.example/tarragonhollow/standin/faultproxy"
	"tarragonhollow.example/tarragonhollow/standin/hostlist"
	"tarragonhollow.example/tarragonhollow/standin/logsvc"
	"tarragonhollow.example/tarragonhollow/standin/weights"
)

func TestPlatform(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "platform")
}

var ctx = context.Background()

// serve runs a handler and returns its IP:PORT.
func serve(handler http.Handler) string {
	web := httptest.NewServer(handler)
	DeferCleanup(web.Close)
	return web.Listener.Addr().String()
}

func newLog(address string, timeout time.Duration) *extern.HTTPLog {
	log, err := extern.NewHTTPLog(extern.Options{URL: "http://" + address, Client: "d1", Timeout: timeout})
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(log.Close)
	return log
}

var _ = Describe("The log client behind a fault proxy", func() {
	var (
		service *logsvc.Server
		proxy   *faultproxy.Proxy
		log     *extern.HTTPLog
	)

	BeforeEach(func() {
		var err error
		service, err = logsvc.New(logsvc.Options{AppendsPerSecond: 1, Burst: 5, MaxRecordBytes: 100,
			Now: func() time.Time { return time.UnixMilli(0) }})
		Expect(err).NotTo(HaveOccurred())
		address := serve(service.Handler())
		DeferCleanup(service.Close)
		proxy, err = faultproxy.New(faultproxy.Options{Target: address})
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(proxy.Close)
		log = newLog(proxy.Addr(), time.Minute)
	})
	appended := func() int64 {
		_, next := service.Store().Bounds("shard/1")
		return next
	}

	It("appends, reads and follows over the wire", func() {
		for i, data := range []string{"a", "b\x00c"} {
			offset, err := log.Append(ctx, "shard/1", []byte(data))
			Expect(err).NotTo(HaveOccurred())
			Expect(offset).To(Equal(int64(i)))
		}
		page, err := log.Read(ctx, "shard/1", 1, 100, time.Minute)
		Expect(err).NotTo(HaveOccurred())
		Expect(page.Records).To(HaveLen(1))
		Expect(page.Records[0].Data).To(Equal([]byte("b\x00c")))
		service.Store().Trim("shard/1", 1)
		first, next, err := log.Bounds(ctx, "shard/1")
		Expect(err).NotTo(HaveOccurred())
		Expect([]int64{first, next}).To(Equal([]int64{1, 2}))
	})

	// The log appends a record, and its response is lost. If the client retried the
	// append or reported it as failed, so that the writer retried it, the log would
	// hold the record twice.
	It("reports a lost response as an unknown outcome and does not repeat the append", func() {
		_, err := log.Append(ctx, "shard/1", []byte("first")) // leaves a connection to reuse
		Expect(err).NotTo(HaveOccurred())
		Expect(proxy.SetFaults(faultproxy.Faults{DropAnswers: 1})).To(Succeed())
		_, err = log.Append(ctx, "shard/1", []byte("second"))
		Expect(extern.IsUnknown(err)).To(BeTrue(), "%v", err)
		Expect(appended()).To(Equal(int64(2)))
	})

	It("reports an unknown outcome for an append that is cancelled during a stall", func() {
		Expect(proxy.SetFaults(faultproxy.Faults{Stall: faultproxy.StallUp})).To(Succeed())
		short, cancel := context.WithCancel(ctx)
		failed := make(chan error)
		go func() {
			_, err := log.Append(short, "shard/1", []byte("late"))
			failed <- err
		}()
		Eventually(func() int { return proxy.Stats().Held }).Should(Equal(1))
		cancel()
		Expect(extern.IsUnknown(<-failed)).To(BeTrue())
		Expect(appended()).To(BeZero())
		Expect(proxy.Clear()).To(Succeed())
	})

	It("reports the log as unavailable if nothing can have been sent", func() {
		Expect(proxy.SetFaults(faultproxy.Faults{Cut: faultproxy.CutRefuse})).To(Succeed())
		_, err := log.Append(ctx, "shard/1", []byte("x"))
		Expect(extern.IsUnavailable(err)).To(BeTrue(), "%v", err)
		Expect(proxy.Clear()).To(Succeed())

		ended, cancel := context.WithCancel(ctx)
		cancel()
		_, err = log.Append(ended, "shard/1", []byte("x"))
		Expect(extern.IsUnavailable(err)).To(BeTrue(), "%v", err)

		Expect(service.SetFaults(logsvc.Faults{Outage: logsvc.FailUnavailable})).To(Succeed())
		_, err = log.Append(ctx, "shard/1", []byte("x"))
		Expect(extern.IsUnavailable(err)).To(BeTrue(), "%v", err)
		Expect(appended()).To(BeZero())
	})

	It("distinguishes the kinds of limits", func() {
		_, err := log.Append(ctx, "shard/1", make([]byte, 101))
		Expect(extern.IsTooLarge(err)).To(BeTrue(), "%v", err)
		for range 5 {
			_, err = log.Append(ctx, "shard/1", []byte("x"))
			Expect(err).NotTo(HaveOccurred())
		}
		_, err = log.Append(ctx, "shard/1", []byte("x"))
		retryAfter, limited := extern.IsLimited(err)
		Expect(limited).To(BeTrue(), "%v", err)
		Expect(retryAfter).To(Equal(time.Second))
	})

	It("never reports a failed read as an unknown outcome", func() {
		Expect(proxy.SetFaults(faultproxy.Faults{Cut: faultproxy.CutReset})).To(Succeed())
		_, err := log.Read(ctx, "shard/1", 0, 100, 0)
		Expect(extern.IsUnavailable(err)).To(BeTrue(), "%v", err)
	})
})

// The log closes an idle connection just as an append is written to it. net/http then
// decides on its own whether to resend the request; the append must reach the log at
// most once.
var _ = It("does not send an append again on a connection that the server closes", func() {
	var posts atomic.Int64
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(listener.Close)
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go answerOnceThenClose(c, &posts)
		}
	}()
	log := newLog(listener.Addr().String(), time.Minute)
	_, err = log.Append(ctx, "s", []byte("x"))
	Expect(err).NotTo(HaveOccurred())
	_, err = log.Append(ctx, "s", []byte("y"))
	Expect(extern.IsUnknown(err)).To(BeTrue(), "%v", err)
	Expect(posts.Load()).To(Equal(int64(2)))
})

// answerOnceThenClose answers the first request of a connection, then reads a second
// one and closes the connection without a response.
func answerOnceThenClose(c net.Conn, posts *atomic.Int64) {
	defer c.Close()
	buffer := make([]byte, 4096)
	for request := range 2 {
		if _, err := c.Read(buffer); err != nil {
			return
		}
		posts.Add(1)
		if request == 0 {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 12\r\n\r\n{\"offset\":7}")
		}
	}
}

var _ = DescribeTable("An append's answer means", func(status int, body string, is func(error) bool) {
	log := newLog(serve(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Location", "/elsewhere")
		w.WriteHeader(status)
		_, _ = io.WriteString(w, body)
	})), time.Minute)
	_, err := log.Append(ctx, "s", []byte("x"))
	Expect(is(err)).To(BeTrue(), "%v", err)
},
	Entry("unknown, from a gateway that lost its back end", 502, "bad gateway", extern.IsUnknown),
	Entry("unknown, from a gateway that waited too long", 504, "", extern.IsUnknown),
	Entry("appended, also as 201", 201, `{"offset":3}`, func(err error) bool { return err == nil }),
	Entry("unknown, without an offset", 200, `{}`, extern.IsUnknown),
	Entry("unknown, if not JSON", 200, `<html>`, extern.IsUnknown),
	Entry("not appended, with a redirect that must not be followed", 307, "", func(err error) bool {
		return !extern.IsUnknown(err) && err != nil
	}),
	Entry("not appended, in an outage", 503, "", extern.IsUnavailable),
)

var _ = Describe("The other clients", func() {
	It("read the host list", func() {
		host := extern.Host{Name: "t1", Role: extern.RoleTarget, Address: "127.0.0.1:9", Zone: "hai-chau", State: extern.HostLive}
		server, err := hostlist.New(hostlist.Options{Hosts: []extern.Host{host}})
		Expect(err).NotTo(HaveOccurred())
		client, err := extern.NewHTTPHostList(extern.Options{URL: "http://" + serve(server.Handler())})
		Expect(err).NotTo(HaveOccurred())
		Expect(client.Hosts(ctx)).To(Equal(extern.HostView{Version: 1, Hosts: []extern.Host{host}}))
		Expect(server.SetFaults(hostlist.Faults{Outage: true})).To(Succeed())
		_, err = client.Hosts(ctx)
		Expect(extern.IsUnavailable(err)).To(BeTrue())
	})

	It("read the weight store within its rate", func() {
		now := time.UnixMilli(0)
		held := extern.Weights{Model: "order/1", Version: "v2", Bytes: 9}
		server, err := weights.New(weights.Options{RequestsPerSecond: 2, Burst: 2, Weights: []extern.Weights{held},
			Now: func() time.Time { return now }})
		Expect(err).NotTo(HaveOccurred())
		client, err := extern.NewHTTPWeightStore(extern.Options{URL: "http://" + serve(server.Handler())})
		Expect(err).NotTo(HaveOccurred())
		Expect(client.Weights(ctx, "order/1", "v2")).To(Equal(held))
		_, err = client.Weights(ctx, "order/1", "v3")
		Expect(extern.IsNotFound(err)).To(BeTrue())
		_, err = client.Weights(ctx, "order/1", "v2")
		retryAfter, limited := extern.IsLimited(err)
		Expect(limited).To(BeTrue())
		Expect(retryAfter).To(Equal(500 * time.Millisecond))
	})
})
