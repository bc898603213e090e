package jobs

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tarragonhollow.example/tarragonhollow/target/h1"
	"tarragonhollow.example/tarragonhollow/target/killabletarget"
	"tarragonhollow.example/tarragonhollow/target/rawtarget"
)

var _ = Describe("An item whose target is killed in an unframed answer and whose address is reused", func() {
	// Failure guarded against: the daemon reads the end late (it was suspended), the end is confirmed by
	// the next process at the address, and a 422 or the last 500 then lists the part as the whole text.
	It("is not taken for ended", func() {
		var opened atomic.Int64
		pool := h1.NewPool(func() { opened.Add(1) })
		DeferCleanup(pool.Close)
		killed, err := killabletarget.Start(rawtarget.Head(200, "Content-Type: text/event-stream") + rawtarget.Event(0, "a") + rawtarget.Event(1, "b"))
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(killed.Kill)
		answer, err := pool.Do(context.Background(), killed.Address, &h1.Request{Method: "POST", URI: "/", Host: "h"}, h1.Options{Deadline: time.Now().Add(10 * time.Second)})
		Expect(err).NotTo(HaveOccurred())
		defer answer.Close()
		Eventually(opened.Load).Should(Equal(int64(2))) // the second connection to the target
		killed.Kill()
		again, err := net.Listen("tcp", killed.Address)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(again.Close)
		go func() {
			for {
				c, err := again.Accept()
				if err != nil {
					return
				}
				go func() { _, _ = http.ReadRequest(bufio.NewReader(c)) }()
			}
		}()
		p := newProgress()
		end := readAnswer(answer, p, (*h1.Answer).ConfirmEnd)
		Expect(end.complete).To(BeFalse())
		GinkgoWriter.Println(end.cause)
		Expect(p.endedUnframed()).To(BeFalse(), "giveUp would list the part as succeeded")
	})
})

var _ = Describe("An item under which targets crash again and again", func() {
	// Guards against an item that stays away from idle targets long after the crashes are over.
	It("is tried again within two seconds", func() {
		p := newProgress()
		for range 20 {
			p.countUnsuccessful(runResult{broken: true}, p.lastEvent)
			Expect(p.backoff(failureDelay)).To(BeNumerically("<=", 2*time.Second))
		}
	})
})
