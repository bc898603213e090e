package h1_test

import (
	"context"
	"io"
	"net"
	"sync/atomic"
	"time"

	"github.com/joomcode/errorx"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tarragonhollow.example/tarragonhollow/target/h1"
	"tarragonhollow.example/tarragonhollow/target/rawtarget"
)

// startLimited starts a target that holds at most limit connections and resets any further one,
// also the one that finds no place because of an answer that is being sent.
func startLimited(limit int64, script func(c net.Conn)) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(listener.Close)
	var open atomic.Int64
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			if open.Add(1) > limit {
				open.Add(-1)
				rawtarget.Reset(c)
				continue
			}
			go func() {
				defer open.Add(-1)
				defer func() { _ = c.Close() }()
				if n, _ := c.Read(make([]byte, 1000)); n > 0 {
					script(c)
				}
			}()
		}
	}()
	return listener.Addr().String()
}

var _ = Describe("The end of an unframed answer of a target at its connection limit", func() {
	// Failure guarded against: the second connection is reset while the answer holds the last place,
	// and the next one is kept since the answer's end has freed that place. The target is alive, and
	// its whole answer was cut off.
	It("is confirmed when its own end makes room for another connection", func() {
		address := startLimited(1, func(c net.Conn) {
			rawtarget.Write(c, "HTTP/1.1 200 OK\r\n\r\nsome")
			time.Sleep(20 * time.Millisecond) // the second connection is reset meanwhile
		})
		pool := h1.NewPool(func() {})
		DeferCleanup(pool.Close)
		a, err := pool.Do(context.Background(), address, &h1.Request{Method: "POST", URI: "/", Host: "h"}, h1.Options{Deadline: time.Now().Add(limit)})
		Expect(err).NotTo(HaveOccurred())
		defer a.Close()
		for buffer := make([]byte, 100); err == nil; {
			_, err = a.Read(buffer, limit)
		}
		Expect(err).To(MatchError(io.EOF))
		Expect(a.ConfirmEnd()).To(Succeed())
	})

	// Failure guarded against: a killed process's kernel resets the connections that it had not
	// accepted, as a target at its limit does, and its truncated answer appears complete.
	DescribeTable("is not confirmed when the listener ended with it", func(startAgain bool) {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		address := listener.Addr().String()
		gone := make(chan struct{})
		go func() {
			defer GinkgoRecover()
			defer close(gone)
			c, err := listener.Accept()
			Expect(err).NotTo(HaveOccurred())
			_, _ = c.Read(make([]byte, 1000))
			rawtarget.Write(c, "HTTP/1.1 200 OK\r\n\r\nsome")
			time.Sleep(50 * time.Millisecond) // the second connection is established, and not accepted
			_ = listener.Close()
			_ = c.Close()
			if startAgain {
				again, err := net.Listen("tcp", address)
				Expect(err).NotTo(HaveOccurred())
				DeferCleanup(again.Close)
			}
		}()
		pool := h1.NewPool(func() {})
		DeferCleanup(pool.Close)
		a, err := pool.Do(context.Background(), address, &h1.Request{Method: "POST", URI: "/", Host: "h"}, h1.Options{Deadline: time.Now().Add(limit)})
		Expect(err).NotTo(HaveOccurred())
		defer a.Close()
		Eventually(gone).WithTimeout(limit).Should(BeClosed())
		if startAgain {
			time.Sleep(200 * time.Millisecond) // the end is read late
		}
		for buffer := make([]byte, 100); err == nil; {
			_, err = a.Read(buffer, limit)
		}
		Expect(err).To(MatchError(io.EOF))
		Expect(errorx.IsOfType(a.ConfirmEnd(), h1.Broken)).To(BeTrue())
	},
		Entry("and nothing listens there", false),
		Entry("and another process listens there when the end is read", true),
	)
})
