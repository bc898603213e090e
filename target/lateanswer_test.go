package target_test

import (
	"context"
	"fmt"
	"net"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tarragonhollow.example/tarragonhollow/target"
	"tarragonhollow.example/tarragonhollow/target/rawtarget"
)

var _ = Describe("A service that answers twice", func() {
	// A second answer to a request comes while the next request waits on the same connection.
	// The caller of that request must not get it.
	It("does not have its late answer taken for that of the next request", func() {
		const calls = 20
		service, err := rawtarget.Start(func(r *rawtarget.Request, c net.Conn) {
			answer := rawtarget.Whole(200, r.URI)
			rawtarget.Write(c, answer)
			time.AfterFunc(5*time.Millisecond, func() { rawtarget.Write(c, answer) })
			time.Sleep(10 * time.Millisecond)
		})
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(service.Close)
		client := target.NewServiceClient(target.DefaultClientOptions())
		DeferCleanup(client.Close)
		for i := range calls {
			path := fmt.Sprint("/orders/", i)
			answer, err := client.Call(context.Background(), service.Address, target.ServiceRequest{Method: "GET", Path: path})
			if err == nil {
				Expect(string(answer.Body)).To(Equal(path))
			}
		}
	})

	// The same at a service that names the call in its answers, so that connections are kept.
	It("does not have its late answer taken for that of the next request on a kept connection", func() {
		const calls = 20
		service, err := rawtarget.Start(func(r *rawtarget.Request, c net.Conn) {
			answer := rawtarget.Whole(200, r.URI, target.HeaderCallID+": "+r.Header.Get(target.HeaderCallID))
			rawtarget.Write(c, answer)
			time.AfterFunc(5*time.Millisecond, func() { rawtarget.Write(c, answer) })
			time.Sleep(10 * time.Millisecond)
		})
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(service.Close)
		client := target.NewServiceClient(target.DefaultClientOptions())
		DeferCleanup(client.Close)
		rejected := 0
		for i := range calls {
			path := fmt.Sprint("/orders/", i)
			answer, err := client.Call(context.Background(), service.Address, target.ServiceRequest{Method: "GET", Path: path})
			if err != nil {
				failure := target.FailureOf(err)
				Expect([]bool{failure.Reached, failure.Crashed}).To(Equal([]bool{true, false}))
				rejected++
				continue
			}
			Expect(string(answer.Body)).To(Equal(path))
			Expect(answer.Header).NotTo(HaveKey(target.HeaderCallID))
		}
		Expect(rejected).To(BeNumerically(">", 0), "some answers came late on a kept connection")
		Expect(rejected).To(BeNumerically("<", calls))
	})

	// An answer without a name may be a late one too, once a connection has served a call.
	It("does not get a kept connection if it does not name the call", func() {
		ports := make(chan string, 3)
		service, err := rawtarget.Start(func(r *rawtarget.Request, c net.Conn) {
			ports <- c.RemoteAddr().String()
			rawtarget.Write(c, rawtarget.Whole(200, r.URI))
		})
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(service.Close)
		client := target.NewServiceClient(target.DefaultClientOptions())
		DeferCleanup(client.Close)
		used := map[string]bool{}
		for range 3 {
			_, err := client.Call(context.Background(), service.Address, target.ServiceRequest{Method: "GET", Path: "/x"})
			Expect(err).NotTo(HaveOccurred())
			used[<-ports] = true
		}
		Expect(used).To(HaveLen(3))
	})
})
