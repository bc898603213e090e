package target_test

import (
	"context"
	"errors"
	"net"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tarragonhollow.example/tarragonhollow/target"
	"tarragonhollow.example/tarragonhollow/target/rawtarget"
)

var _ = Describe("A call that may not start any more once it has a connection", func() {
	// A caller that was suspended while it waited for the connection would send what it may
	// not send any more.
	It("writes nothing and says so, on a new and on a kept connection", func() {
		service, err := rawtarget.Start(func(r *rawtarget.Request, c net.Conn) {
			rawtarget.Write(c, rawtarget.Whole(200, r.URI, target.HeaderCallID+": "+r.Header.Get(target.HeaderCallID)))
		})
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(service.Close)
		client := target.NewServiceClient(target.DefaultClientOptions())
		DeferCleanup(client.Close)
		tooLate := errors.New("too late")
		call := func(path string, result error) error {
			ctx := target.WithStartCheck(context.Background(), func() error { return result })
			_, err := client.Call(ctx, service.Address, target.ServiceRequest{Method: "POST", Path: path, Body: []byte("x")})
			return err
		}
		for range 3 {
			failure := target.FailureOf(call("/late", tooLate))
			Expect(failure).NotTo(BeNil())
			Expect(failure.Reached).To(BeFalse())
			Expect(failure.Crashed).To(BeFalse())
			Expect(failure.Err).To(MatchError(tooLate))
			Expect(call("/orders", nil)).To(Succeed())
		}
		for _, r := range service.Requests() {
			Expect(r.URI).To(Equal("/orders"))
		}
		Expect(service.Requests()).To(HaveLen(3))
	})
})
