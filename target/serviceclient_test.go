package target_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tarragonhollow.example/tarragonhollow/target"
	"tarragonhollow.example/tarragonhollow/target/killabletarget"
)

var _ = Describe("ServiceClient", func() {
	ctx := target.WithKey(context.Background(), "order-1")
	client := func() *target.ServiceClient {
		c := target.NewServiceClient(target.DefaultClientOptions())
		DeferCleanup(c.Close)
		return c
	}
	warmUp := target.ServiceRequest{Method: http.MethodGet, Path: "/menu?day=1"}

	// Guards against double execution: the service executes an order and the connection
	// breaks before the answer. Since the connection was reused, Go's transport would
	// resend the order, and the guest would be billed twice.
	DescribeTable("a call that is executed and then cut on a reused connection", func(method string, body []byte) {
		s, address := startService()
		c := client()
		for range 2 { // the connection of the first call to an address is not kept
			_, err := c.Call(context.Background(), address, warmUp)
			Expect(err).NotTo(HaveOccurred())
		}
		control(address, `{"answer_lost":1}`)
		_, err := c.Call(ctx, address, target.ServiceRequest{Method: method, Path: "/orders", Body: body})
		Expect(s.Record().Executions).To(Equal(map[string]int{"order-1": 1}))
		f := target.FailureOf(err)
		Expect([]bool{f.Reached, f.Crashed}).To(Equal([]bool{true, true}))
	},
		Entry("POST", http.MethodPost, []byte(`{"tray":1}`)),
		Entry("POST without a body", http.MethodPost, nil),
		Entry("GET", http.MethodGet, nil),
	)

	// The same failure with http.Client, without the guard: shows that the specs above
	// can fail.
	It("would be executed twice with http.Client", func() {
		s, address := startService()
		naive := &http.Client{Transport: &http.Transport{MaxConnsPerHost: 1}}
		DeferCleanup(naive.CloseIdleConnections)
		resp, err := naive.Get("http://" + address + "/menu")
		Expect(err).NotTo(HaveOccurred())
		Expect(io.ReadAll(resp.Body)).NotTo(BeEmpty(), "read to its end, so that the connection is used again")
		control(address, `{"answer_lost":1}`)
		r, err := http.NewRequest(http.MethodPost, "http://"+address+"/orders", strings.NewReader(`{"tray":1}`))
		Expect(err).NotTo(HaveOccurred())
		r.Header.Set(target.HeaderKey, "order-1")
		resp, err = naive.Do(r)
		Expect(err).NotTo(HaveOccurred())
		Expect(resp.Body.Close()).To(Succeed())
		Expect(s.Record().Executions).To(Equal(map[string]int{"order-1": 2}))
	})

	DescribeTable("an error status", func(status int, executions int, reached, busy, rejected bool) {
		s, address := startService()
		control(address, `{"error_status":`+strconv.Itoa(status)+`}`)
		resp, err := client().Call(ctx, address, target.ServiceRequest{Method: http.MethodPost, Path: "/orders"})
		f := target.FailureOf(err)
		Expect([]bool{f.Reached, f.Busy, f.Rejected, f.Crashed}).To(Equal([]bool{reached, busy, rejected, false}))
		Expect(resp.Status).To(Equal(status))
		Expect(s.Record().Executions["order-1"]).To(Equal(executions))
	},
		Entry("429 has not run", 429, 0, false, true, false),
		Entry("503 marked as not run by the service has not run", 503, 0, false, true, false),
		Entry("500 may have run", 500, 1, true, false, false),
		Entry("409 is the service's own refusal", 409, 1, true, false, true),
	)

	// A proxy in front of the service answers 503 after the service executed the order.
	// Without the service's header the call must not be reported as not run.
	It("does not treat a 503 without the header as not run", func() {
		address := startHandler(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(http.StatusServiceUnavailable)
		}), func() {})
		_, err := client().Call(ctx, address, warmUp)
		Expect([]bool{target.FailureOf(err).Reached, target.FailureOf(err).Busy}).To(Equal([]bool{true, false}))
	})

	It("does not follow a redirect with a second call", func() {
		calls := 0
		address := startHandler(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			calls++
			http.Redirect(w, r, "/again", http.StatusTemporaryRedirect)
		}), func() {})
		resp, err := client().Call(ctx, address, target.ServiceRequest{Method: http.MethodPost, Path: "/orders"})
		Expect(err).NotTo(HaveOccurred())
		Expect([]int{resp.Status, calls}).To(Equal([]int{http.StatusTemporaryRedirect, 1}))
	})

	// A service switches protocols although it was not asked to. What comes until it closes
	// the connection is no HTTP answer and must not be passed on as a complete one.
	It("takes nothing behind a change of protocols for an answer", func() {
		address := startHandler(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			conn, _, err := http.NewResponseController(w).Hijack()
			if err != nil {
				return
			}
			_, _ = io.WriteString(conn, "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: x\r\n\r\nhalf")
			_ = conn.Close()
		}), func() {})
		resp, err := client().Call(ctx, address, warmUp)
		Expect(resp.Body).To(BeEmpty())
		f := target.FailureOf(err)
		Expect([]bool{f.Reached, f.Crashed, f.Rejected}).To(Equal([]bool{true, false, false}))
	})

	It("reports a truncated answer as a crash, never as an answer", func() {
		address := startHandler(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "100")
			_, _ = w.Write([]byte("half"))
		}), func() {})
		resp, err := client().Call(ctx, address, warmUp)
		Expect([]bool{target.FailureOf(err).Reached, target.FailureOf(err).Crashed}).To(Equal([]bool{true, true}))
		Expect(resp.Body).To(BeEmpty())
	})

	// A killed service's kernel closes the connection in an orderly way, which is how an answer
	// without length and chunks ends. The truncated answer must not be passed on.
	It("reports an answer without framing as a crash if the service's process was killed", func() {
		killed, err := killabletarget.Start("HTTP/1.1 200 OK\r\n\r\nhalf")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(killed.Kill)
		go func() {
			defer GinkgoRecover()
			Expect(killed.AwaitAnswer()).To(Succeed())
			killed.Kill()
		}()
		resp, err := client().Call(ctx, killed.Address, warmUp)
		Expect(err).To(HaveOccurred())
		Expect([]bool{target.FailureOf(err).Reached, target.FailureOf(err).Crashed}).To(Equal([]bool{true, true}))
		Expect(resp.Body).To(BeEmpty())
	})

	// Guards against a truncated answer that is passed on because another process accepts at the
	// address of the killed one by the time its end is read.
	It("reports an answer without framing as a crash if another process has the service's address", func() {
		killed, err := killabletarget.Start("HTTP/1.1 200 OK\r\n\r\nhalf")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(killed.Kill)
		go func() {
			defer GinkgoRecover()
			Expect(killed.AwaitAnswer()).To(Succeed())
			time.Sleep(100 * time.Millisecond) // the head is read meanwhile
			killed.Kill()
			again, err := net.Listen("tcp", killed.Address)
			Expect(err).NotTo(HaveOccurred())
			DeferCleanup(again.Close)
		}()
		_, err = client().Call(ctx, killed.Address, warmUp)
		Expect(err).To(HaveOccurred())
		Expect(target.FailureOf(err).Reached).To(BeTrue())
	})

	It("returns an answer without framing of a service that goes on serving", func() {
		address := startHandler(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Transfer-Encoding", "identity")
			_, _ = io.WriteString(w, "whole")
		}), func() {})
		resp, err := client().Call(ctx, address, warmUp)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(resp.Body)).To(Equal("whole"))
	})
})
