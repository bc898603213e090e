package h1_test

import (
	"context"
	"net"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tarragonhollow.example/tarragonhollow/target/h1"
	"tarragonhollow.example/tarragonhollow/target/rawtarget"
)

var _ = Describe("The rest of an answer that is not used", func() {
	// Failure guarded against: a refusal without framing, on a connection that its target keeps open,
	// delays the next attempt until the drain's timeout, though such a connection is never reused.
	It("is not awaited if the connection can't be used again", func() {
		target, err := rawtarget.Start(func(_ *rawtarget.Request, c net.Conn) {
			rawtarget.Write(c, "HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\n\r\nfull")
		})
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(target.Close)
		pool := h1.NewPool(func() {})
		DeferCleanup(pool.Close)
		a, err := pool.Do(context.Background(), target.Address, &h1.Request{Method: "POST", URI: "/", Host: "h"}, h1.Options{Deadline: time.Now().Add(time.Hour)})
		Expect(err).NotTo(HaveOccurred())
		defer a.Close()
		drained := make(chan struct{})
		go func() {
			a.Drain(time.Hour)
			close(drained)
		}()
		Eventually(drained).WithTimeout(limit).Should(BeClosed())
	})
})
