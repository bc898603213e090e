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
})
