package h1_test

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/joomcode/errorx"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tarragonhollow.example/tarragonhollow/target/h1"
	"tarragonhollow.example/tarragonhollow/target/rawtarget"
	"tarragonhollow.example/tarragonhollow/test/descriptors"
)

var _ = Describe("A process without free descriptors", func() {
	var pool *h1.Pool
	start := func() *rawtarget.Target {
		t, err := rawtarget.Start(func(*rawtarget.Request, net.Conn) {})
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(t.Close)
		return t
	}
	BeforeEach(func() {
		pool = h1.NewPool(func() {})
		DeferCleanup(pool.Close)
	})

	// Guards against a target that counts as failed because this process could not open a
	// connection.
	It("does not take its own lack for a failure of the target", func() {
		t := start()
		DeferCleanup(descriptors.Forbid())
		r := &h1.Request{Method: "POST", URI: "/x", Host: "h", Header: http.Header{}}
		_, err := pool.Do(context.Background(), t.Address, r, h1.Options{Deadline: time.Now().Add(limit), Matches: matchID("1")})
		Expect(errorx.IsOfType(err, h1.NotSent)).To(BeTrue(), "%v", err)
		Expect(errorx.IsOfType(err, h1.Unidentified)).To(BeTrue(), "%v", err)
		Expect(pool.Reachable(context.Background(), t.Address, limit)).To(BeTrue(), "it is not known to have ended")
	})

	// Guards against idle connections that keep requests to other targets from being sent.
	It("closes an idle connection in favour of a new one", func() {
		descriptors.Settle()
		first, second := start(), start()
		Expect(pool.Reachable(context.Background(), first.Address, limit)).To(BeTrue())
		Expect(pool.Idle()).To(Equal(1))
		Eventually(first.Open).WithTimeout(limit).Should(Equal(1))
		DeferCleanup(descriptors.Exhaust())
		Expect(pool.Reachable(context.Background(), second.Address, limit)).To(BeTrue())
		Expect(pool.Idle()).To(Equal(1))
		pool.CloseIdle(second.Address)
		Expect(pool.Idle()).To(BeZero(), "the connection is to the second target")
	})
})
